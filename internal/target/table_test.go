package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

var testStart = time.Unix(1e9, 0)

func testRun(id string, seq uint64, s State) Run {
	return Run{ID: id, Service: "a", Addr: "10.0.0.1:" + id, Zone: "z", Slots: 2, Seq: seq, State: s}
}

func TestOnlyMaterialNewsIsTold(t *testing.T) {
	tb := NewTable()
	now := testStart
	for i, c := range []struct {
		r       Run
		changed bool
	}{
		{testRun("1", 1, Ready), true},
		{testRun("1", 2, Ready), false}, // an ordinary heartbeat
		{testRun("1", 1, Ready), false}, // a late heartbeat
		{func() Run { r := testRun("1", 3, Ready); r.Slots = 3; return r }(), true},
		{func() Run { r := testRun("1", 2, Ready); r.Slots = 9; return r }(), false},               // older slots
		{func() Run { r := testRun("1", 3, Ready); r.Slots, r.Silent = 3, 3; return r }(), true},   // suspected
		{func() Run { r := testRun("1", 4, Ready); r.Slots = 3; return r }(), true},                // heard again
		{func() Run { r := testRun("1", 5, Draining); r.Slots = 3; return r }(), true},             // is draining
		{func() Run { r := testRun("1", 6, Ready); r.Slots = 3; return r }(), false},               // does not become ready again
		{func() Run { r := testRun("1", 2, Ended); return r }(), true},                             // has ended
		{func() Run { r := testRun("1", 9, Draining); r.Slots = 3; return r }(), false},            // a late heartbeat
		{Run{ID: "", State: Ready}, false}, {Run{ID: "x"}, false}, {Run{ID: "x", State: 7}, false}, // invalid
	} {
		seq := tb.Seq()
		if got := tb.Merge(c.r, now); got != c.changed || (tb.Seq() > seq) != c.changed {
			t.Errorf("%d: changed %v, sequence %d -> %d, want changed %v", i, got, seq, tb.Seq(), c.changed)
		}
	}
	if r, _ := tb.Get("1", now); r.State != Ended || r.Slots != 3 || r.Seq != 9 || r.Suspected() || tb.Len() != 1 {
		t.Errorf("%+v of %d", r, tb.Len())
	}
}

// Tables that merged the same copies converge regardless of the order, and their checksums
// are equal.
func TestCopiesMergeAlikeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		var in []Run
		for range 60 {
			r := testRun(fmt.Sprint(rnd.IntN(5)), uint64(rnd.IntN(6)), State(1+rnd.IntN(3)))
			r.Slots, r.Silent = rnd.IntN(3), uint64(rnd.IntN(5))
			if rnd.IntN(3) == 0 {
				r.Addr = "10.0.0.2:1"
			}
			if rnd.IntN(9) == 0 {
				r = Run{ID: r.ID, State: Ended}
			}
			in = append(in, r)
		}
		a, b := NewTable(), NewTable()
		for _, r := range in {
			a.Merge(r, testStart)
		}
		rnd.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
		for _, r := range in {
			b.Merge(r, testStart)
		}
		for r := range a.All(testStart) {
			if o, _ := b.Get(r.ID, testStart); o != r {
				t.Fatalf("seed %d: %+v and %+v", seed, r, o)
			}
		}
		if a.Sums() != b.Sums() {
			t.Fatalf("seed %d: equal tables, different checksums", seed)
		}
		var none [Buckets]uint64
		if a.Sums() == none {
			t.Fatal("the checksums are zero")
		}
		// A table that follows the other by Since converges too.
		c := NewTable()
		for at, more := uint64(0), true; more; {
			var rs []Run
			rs, at, more = a.Since(at, 2, 0, testStart)
			for _, r := range rs {
				c.Merge(r, testStart)
			}
		}
		if c.Sums() != a.Sums() {
			t.Fatalf("seed %d: Since did not return everything", seed)
		}
	}
}

func TestSinceTellsEachChangeOnceAndStaysSmall(t *testing.T) {
	tb := NewTable()
	for i := range 10 {
		tb.Merge(testRun(fmt.Sprint(i), 1, Ready), testStart)
	}
	_, at, _ := tb.Since(0, 0, 0, testStart)
	for s := range uint64(1000) {
		r := testRun("3", 2+s, Ready)
		r.Slots = int(s)
		tb.Merge(r, testStart)
	}
	rs, to, more := tb.Since(at, 0, 0, testStart)
	if len(rs) != 1 || rs[0].ID != "3" || rs[0].Slots != 999 || more || to != tb.Seq() {
		t.Errorf("%v %d %v", rs, to, more)
	}
	if len(tb.log) > 2*10+logSlack+1 {
		t.Errorf("the log holds %d changes of 10 runs", len(tb.log))
	}
	if rs, _, _ := tb.Since(tb.Seq()+5, 0, 0, testStart); len(rs) != 10 {
		t.Errorf("a sequence number that was never issued returns %d runs", len(rs))
	}
	if rs, _, more := tb.Since(0, 0, 100, testStart); len(rs) == 0 || len(rs) > 4 || !more {
		t.Errorf("100 bytes hold %d runs", len(rs))
	}
}

func testHeartbeat(id, addr string, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "a", Addr: addr, Zone: "z", Slots: 2, Seq: seq, Cold: 5 * time.Second}
}

const quietTime = 2 * time.Second

func stateOf(tb *Table, id string) State {
	r, _ := tb.Get(id, testStart)
	return r.State
}

func TestANewerRunTakesAnAddressOver(t *testing.T) {
	tb := NewTable()
	tb.ReceiveHeartbeat(testHeartbeat("old", "x:1", 7), quietTime, testStart)
	// The older run has not been silent for long enough: it may still send heartbeats.
	tb.ReceiveHeartbeat(testHeartbeat("new", "x:1", 1), quietTime, testStart.Add(quietTime))
	if r, _ := tb.Get("old", testStart); r.State != Ready || r.Suspected() {
		t.Errorf("ended too early: %+v", r)
	}
	if tb.EndSuperseded(quietTime, testStart.Add(quietTime)); stateOf(tb, "old") != Ready {
		t.Error("ended too early")
	}
	if !tb.EndSuperseded(quietTime, testStart.Add(quietTime+1)) {
		t.Error("the end of the older run is not reported as a change")
	}
	if r, _ := tb.Get("old", testStart); r.State != Ended {
		t.Errorf("still there: %+v", r)
	}
	if r, _ := tb.Get("new", testStart); r.State != Ready {
		t.Errorf("the newer run ended: %+v", r)
	}
	// A late heartbeat of the older run neither restores it nor affects the newer one.
	tb.ReceiveHeartbeat(testHeartbeat("old", "x:1", 8), quietTime, testStart.Add(time.Minute))
	tb.EndSuperseded(quietTime, testStart.Add(10*time.Minute))
	if older, newer := stateOf(tb, "old"), stateOf(tb, "new"); older != Ended || newer != Ready {
		t.Errorf("states %d and %d", older, newer)
	}
}

// A node does not know the last heartbeat of a run whose heartbeats another node receives:
// the run is only suspected until that node corrects it.
func TestARunHeardElsewhereIsOnlySuspected(t *testing.T) {
	home, here := NewTable(), NewTable()
	home.ReceiveHeartbeat(testHeartbeat("old", "x:1", 7), quietTime, testStart)
	r, _ := home.Get("old", testStart)
	here.Merge(r, testStart)
	home.ReceiveHeartbeat(testHeartbeat("old", "x:1", 8), quietTime, testStart.Add(time.Second))
	here.ReceiveHeartbeat(testHeartbeat("new", "x:1", 1), quietTime, testStart.Add(time.Second))
	r, _ = here.Get("old", testStart)
	if r.State != Ready || !r.Suspected() {
		t.Fatalf("%+v", r)
	}
	if !home.Merge(r, testStart.Add(time.Second)) {
		t.Error("the node that hears the run does not refute the suspicion")
	}
	r, _ = home.Get("old", testStart)
	here.Merge(r, testStart.Add(time.Second))
	if r, _ := here.Get("old", testStart); r.Suspected() {
		t.Errorf("not cleared: %+v", r)
	}
}

func TestRunsThatAreOverAreForgotten(t *testing.T) {
	tb := NewTable()
	now := testStart
	tb.ReceiveHeartbeat(testHeartbeat("gone", "x:1", 1), quietTime, now)
	tb.MarkEnded("gone", now)
	tb.MarkEnded("never", now)
	tb.ReceiveHeartbeat(testHeartbeat("lost", "x:2", 1), quietTime, now)
	tb.Suspect("lost", now)
	tb.ReceiveHeartbeat(testHeartbeat("here", "x:3", 1), quietTime, now)
	tb.Merge(testRun("4", 1, Ready), now) // received from another node, and then never again
	now = now.Add(inactiveRetention)
	tb.Maintain(now)
	if tb.Len() != 5 {
		t.Errorf("%d runs after %v", tb.Len(), inactiveRetention)
	}
	if r, _ := tb.Get("4", now); !r.Suspected() {
		t.Error("a run that no node announces is not suspected")
	}
	if r, _ := tb.Get("here", now); r.Suspected() {
		t.Error("a run that is heard here is suspected")
	}
	tb.Maintain(now.Add(time.Second))
	if ids := lo.Map(slices.Collect(tb.All(now)), func(r Run, _ int) string { return r.ID }); len(ids) != 2 || !lo.Every(ids, []string{"here", "4"}) {
		t.Errorf("left: %v", ids)
	}
	sums := NewTable()
	for r := range tb.All(now) {
		sums.Merge(r, now)
	}
	if sums.Sums() != tb.Sums() {
		t.Error("removed runs are still in the checksums")
	}
}

func TestTheTableIsBounded(t *testing.T) {
	tb := NewTable()
	for i := range MaxRuns {
		tb.Merge(testRun(fmt.Sprint(i), 1, Ready), testStart)
	}
	if tb.Merge(testRun("x", 1, Ready), testStart) || tb.Len() != MaxRuns {
		t.Errorf("a full table accepted another run: %d", tb.Len())
	}
	tb.MarkEnded("7", testStart)
	if !tb.Merge(testRun("x", 1, Ready), testStart) || tb.Len() != MaxRuns {
		t.Error("an ended run was not evicted")
	}
	if _, ok := tb.Get("7", testStart); ok {
		t.Error("another run was evicted")
	}
}

func TestColdIsToldAsWhatIsLeft(t *testing.T) {
	tb := NewTable()
	tb.ReceiveHeartbeat(testHeartbeat("1", "x:1", 1), quietTime, testStart)
	for at, want := range map[time.Duration]time.Duration{0: 5 * time.Second, 2 * time.Second: 3 * time.Second, 9 * time.Second: 0} {
		if r, _ := tb.Get("1", testStart.Add(at)); r.Cold != want {
			t.Errorf("after %v: %v", at, r.Cold)
		}
	}
}

// A run that moves from one node to another is reported at once, so that the first node stops
// judging it, but not with each heartbeat.
func TestAMoveIsToldNowAndThen(t *testing.T) {
	tb := NewTable()
	tb.Merge(testRun("1", 5, Ready), testStart)
	now := testStart.Add(moveReportInterval)
	b := testHeartbeat("1", "10.0.0.1:1", 6)
	if _, changed, moved := tb.ReceiveHeartbeat(b, quietTime, now); !changed || !moved {
		t.Error("a move is not reported as a change")
	}
	b.Seq++
	if _, changed, moved := tb.ReceiveHeartbeat(b, quietTime, now); changed || moved {
		t.Error("the next heartbeat is reported as a change")
	}
	tb.Merge(testRun("1", 8, Ready), now)
	b.Seq = 9
	if _, changed, moved := tb.ReceiveHeartbeat(b, quietTime, now.Add(moveReportInterval/2)); changed || !moved {
		t.Errorf("an immediate move back: changed %v, moved %v", changed, moved)
	}
}

func TestRunsHeardHereAreToldAgain(t *testing.T) {
	tb := NewTable()
	tb.Maintain(testStart)
	tb.ReceiveHeartbeat(testHeartbeat("mine", "x:1", 1), quietTime, testStart)
	tb.Merge(testRun("2", 1, Ready), testStart)
	for i := range uint64(60) {
		tb.ReceiveHeartbeat(testHeartbeat("mine", "x:1", 2+i), quietTime, testStart.Add(time.Duration(i)*time.Second))
	}
	at := tb.Seq()
	if tb.Maintain(testStart.Add(ReannounceInterval - time.Second)); tb.Seq() != at {
		t.Error("announced again too early")
	}
	if !tb.Maintain(testStart.Add(ReannounceInterval)) {
		t.Error("not announced again")
	}
	rs, _, _ := tb.Since(at, 0, 0, testStart)
	if len(rs) != 1 || rs[0].ID != "mine" || rs[0].Seq != 61 {
		t.Errorf("%+v", rs)
	}
}

func TestBeatsAreChecked(t *testing.T) {
	if err := testHeartbeat("1", "x:1", 1).Check(); err != nil {
		t.Error(err)
	}
	long := string(make([]byte, maxStringLen+1))
	for name, b := range map[string]Heartbeat{"no id": {Service: "a", Addr: "x"}, "no service": {ID: "i", Addr: "x"}, "no address": {ID: "i", Service: "a"},
		"long id": {ID: long, Service: "a", Addr: "x"}, "negative slots": {ID: "i", Service: "a", Addr: "x", Slots: -1}} {
		if b.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// An ordinary heartbeat causes no allocation in the table.
func TestAnOrdinaryBeatAllocatesNothing(t *testing.T) {
	tb, now := NewTable(), time.Now()
	seq := uint64(1)
	b := testHeartbeat("i", "x:1", seq)
	tb.ReceiveHeartbeat(b, quietTime, now)
	if n := testing.AllocsPerRun(100, func() {
		b.Seq++
		tb.ReceiveHeartbeat(b, quietTime, now)
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// Copies of one heartbeat that differ in any location field converge, whichever comes first.
func TestCopiesOfOneBeatEndAlike(t *testing.T) {
	a := Run{ID: "i", Service: "s", Addr: "x:1", Zone: "z", Slots: 2, State: Ready, Seq: 3}
	for name, change := range map[string]func(*Run){
		"service": func(r *Run) { r.Service = "t" }, "address": func(r *Run) { r.Addr = "x:2" },
		"zone": func(r *Run) { r.Zone = "y" }, "slots": func(r *Run) { r.Slots = 300 },
	} {
		b := a
		change(&b)
		if x, y := mergeRuns(a, b), mergeRuns(b, a); x != y {
			t.Errorf("%s: %+v or %+v", name, x, y)
		}
		tb, now := NewTable(), time.Now()
		tb.Merge(a, now)
		c := b
		c.Seq++
		if !tb.Merge(c, now) {
			t.Errorf("%s: a later heartbeat is not reported as a change", name)
		}
	}
}

func BenchmarkHear(b *testing.B) {
	tb, now := NewTable(), time.Now()
	x := testHeartbeat("i", "x:1", 1)
	b.ReportAllocs()
	for b.Loop() {
		x.Seq++
		tb.ReceiveHeartbeat(x, quietTime, now)
	}
}
