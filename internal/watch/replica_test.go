package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/target"
)

func testItem(name string, v uint64) item.Item {
	return item.Item{Key: item.Key{Kind: item.Route, Name: name}, Version: v, Body: fmt.Appendf(nil, "%s at %d", name, v)}
}

func testRun(id string, seq uint64) target.Run {
	return target.Run{ID: id, Service: "a", Addr: "x:" + id, Zone: "z", Slots: 2, State: target.Ready, Seq: seq}
}

// fillReplicas adds random items and runs to both replicas, and some to only one.
func fillReplicas(rnd *rand.Rand, n int, both []*Replica, one *Replica) {
	for i := range n {
		it, r := testItem(fmt.Sprint(i), 1+rnd.Uint64N(9)), testRun(fmt.Sprint(i%40), 1)
		it.Gone = rnd.IntN(5) == 0
		for _, b := range both {
			b.MergeItems([]item.Item{it})
			b.MergeRuns([]target.Run{r})
		}
	}
	for range rnd.IntN(4) {
		one.MergeItems([]item.Item{testItem(fmt.Sprint(rnd.IntN(n)), 10+rnd.Uint64N(9))})
		r := testRun(fmt.Sprint(rnd.IntN(40)), 2)
		r.State = target.Draining
		one.MergeRuns([]target.Run{r})
	}
}

// Buckets with equal checksums are left out. A follower that pages with its first checksums
// ends with all of the publisher's content, even if that changes meanwhile.
func TestOnlyWhatDiffersIsTold(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		a, b := NewReplica(clock.Wall{}), NewReplica(clock.Wall{})
		fillReplicas(rnd, 500, []*Replica{a, b}, a)
		sums := b.Sums()
		sent := 0
		for at, more := (Cursor{}), true; more; {
			var is []item.Item
			var rs []target.Run
			is, rs, at, more = a.since(at, sums, 200)
			sent += len(is) + len(rs)
			b.MergeItems(is)
			b.MergeRuns(rs)
			if more && rnd.IntN(3) == 0 {
				a.MergeItems([]item.Item{testItem(fmt.Sprint(rnd.IntN(500)), 100+rnd.Uint64N(100))})
			}
		}
		if fmt.Sprint(a.Sums()) != fmt.Sprint(b.Sums()) {
			t.Fatalf("seed %d: the replicas differ", seed)
		}
		if sent > 270 {
			t.Errorf("seed %d: %d of 540 sent for a few that differ", seed, sent)
		}
		if is, rs, _, more := a.since(Cursor{}, b.Sums(), 1<<20); len(is)+len(rs) > 0 || more {
			t.Errorf("seed %d: %d items and %d runs sent to a replica that holds them", seed, len(is), len(rs))
		}
	}
}

func TestAnswersAreBounded(t *testing.T) {
	a := NewReplica(clock.Wall{})
	for i := range 1000 {
		a.MergeItems([]item.Item{testItem(fmt.Sprintf("%05d", i), 1)})
	}
	a.MergeRuns([]target.Run{testRun("1", 1)})
	seen := 0
	var runs []target.Run
	for at, more := (Cursor{}), true; more; {
		var is []item.Item
		is, runs, at, more = a.since(at, nil, 1000)
		n := 0
		for _, i := range is {
			n += len(i.Name) + len(i.Body)
		}
		if n > 1000 {
			t.Fatalf("%d bytes in one answer", n)
		}
		if seen += len(is); len(is) == 0 && len(runs) == 0 {
			t.Fatal("no progress")
		}
	}
	if seen != 1000 || len(runs) != 1 {
		t.Errorf("%d items, %d runs", seen, len(runs))
	}
}

func TestWaitersAreWokenByNewsOnly(t *testing.T) {
	b := NewReplica(clock.Wall{})
	woken := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	b.MergeItems([]item.Item{testItem("x", 2)})
	b.MergeRuns([]target.Run{testRun("1", 5)})
	c := b.Changed()
	b.MergeItems([]item.Item{testItem("x", 2), testItem("x", 1)})
	b.MergeRuns([]target.Run{testRun("1", 9)})
	if woken(c) {
		t.Error("woken although nothing changed")
	}
	b.MergeItems([]item.Item{testItem("x", 3)})
	if !woken(c) {
		t.Error("not woken by an item")
	}
	c = b.Changed()
	b.MergeRuns([]target.Run{testRun("2", 1)})
	if !woken(c) {
		t.Error("not woken by a run")
	}
}

func TestNewsArePackedAndUnpacked(t *testing.T) {
	var r WatchTold
	for i := range 2000 {
		r.Items = append(r.Items, testItem(fmt.Sprint(i), uint64(i)))
	}
	r.Runs = []target.Run{testRun("1", 1)}
	if err := r.pack(); err != nil || len(r.Packed) == 0 || r.Items != nil {
		t.Fatal(err, len(r.Packed))
	}
	if err := r.unpack(); err != nil || len(r.Items) != 2000 || len(r.Runs) != 1 || r.Items[7].Compare(testItem("7", 7)) != 0 {
		t.Fatal(err, len(r.Items))
	}
	small := WatchTold{Items: []item.Item{testItem("1", 1)}}
	if err := small.pack(); err != nil || small.Packed != nil {
		t.Error("a small answer is packed")
	}
	bad := WatchTold{Packed: []byte("no such thing")}
	if bad.unpack() == nil {
		t.Error("invalid data was unpacked")
	}
}
