package watch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

// testPublisher is a publisher whose freshness is set by the test.
type testPublisher struct {
	*Publisher
	fresh atomic.Bool
	epoch atomic.Uint64
}

func newTestPublisher() *testPublisher {
	b := &testPublisher{}
	b.fresh.Store(true)
	b.Publisher = &Publisher{Me: func() Member {
		return Member{ID: "m", Kind: Controller, Inner: "in-m", Zone: "z", Inc: 5, Seat: quorum.Seat{ID: "m", Disk: "d"}}
	},
		Replica: NewReplica(clock.Wall{}), Clock: clock.Wall{}, Core: func() quorum.Core { return quorum.Core{Epoch: b.epoch.Load()} }, VotingEpoch: func() uint64 { return 0 },
		Fresh: func() (time.Duration, bool) { return 0, b.fresh.Load() }, Others: func() []Member { return nil }, OtherGateways: func() map[string]string { return map[string]string{"f9": "y"} }}
	return b
}

var testGateway = Member{ID: "f", Kind: Gateway, Zone: "z", Inc: 1}

func (b *testPublisher) ask(t *testing.T, a WatchAsk) WatchTold {
	t.Helper()
	r, err := b.handleWatch(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestAnAskWaitsForNewsAndNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPublisher()
		b.Replica.MergeItems([]item.Item{testItem("x", 1)})
		r := b.ask(t, WatchAsk{Me: testGateway, Sums: make([]uint64, sumsLen)})
		if len(r.Items) != 1 || r.Inc != 5 || r.Me.ID != "m" || len(r.Peers) != 1 || r.Gateways != 2 || r.GatewaysNear != 1 {
			t.Fatalf("%+v", r)
		}
		next := func(wait time.Duration) WatchAsk {
			return WatchAsk{Me: Member{ID: "f", Inc: 1}, Inc: 5, Seen: r.Seen, Epoch: 0, Wait: wait}
		}
		start := time.Now()
		r = b.ask(t, next(700*time.Millisecond))
		if d := time.Since(start); d != 700*time.Millisecond || r.Waited != d || len(r.Items)+len(r.Peers) > 0 {
			t.Errorf("answer without changes after %v: %+v", d, r)
		}
		if b.ask(t, next(time.Hour)); time.Since(start) != 700*time.Millisecond+maxWait {
			t.Errorf("held back until %v", time.Since(start))
		}
		for name, f := range map[string]func(){
			"an item":   func() { b.Replica.MergeItems([]item.Item{testItem("x", r.Seen.Items+5)}) },
			"a run":     func() { b.Replica.MergeRuns([]target.Run{testRun("1", 1)}) },
			"freshness": func() { b.fresh.Store(!b.fresh.Load()); b.Replica.Wake() },
		} {
			start = time.Now()
			go func() {
				time.Sleep(300 * time.Millisecond)
				f()
			}()
			r = b.ask(t, next(time.Second))
			if d := time.Since(start); d != 300*time.Millisecond || r.Waited != d {
				t.Errorf("%s reported after %v (%v)", name, d, r.Waited)
			}
		}
	})
}

func TestAnotherLifeTellsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPublisher()
		b.Replica.MergeItems([]item.Item{testItem("x", 1), testItem("y", 1)})
		none := make([]uint64, sumsLen)
		for name, a := range map[string]WatchAsk{
			"never introduced":                  {Me: Member{ID: "f", Inc: 1}, Inc: 5},
			"earlier incarnation":               {Me: Member{ID: "f", Inc: 1}, Inc: 4, Seen: Cursor{Items: 2}},
			"cursor beyond the changes":         {Me: Member{ID: "f", Inc: 1}, Inc: 5, Seen: Cursor{Items: 9}},
			"other incarnation of the follower": {Me: Member{ID: "f", Inc: 2}, Inc: 5},
		} {
			if name != "never introduced" {
				b.ask(t, WatchAsk{Me: testGateway, Sums: none})
			}
			if r := b.ask(t, a); !r.Anew || len(r.Items) > 0 {
				t.Errorf("%s: %+v", name, r)
			}
			a.Me, a.Sums = testGateway, none
			if r := b.ask(t, a); r.Anew || len(r.Items) != 2 && name != "other incarnation of the follower" {
				t.Errorf("%s, introduced: %+v", name, r)
			}
			b.followers = nil
		}
	})
}

func TestGatewaysThatAreGoneAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPublisher()
		b.ask(t, WatchAsk{Me: testGateway, Sums: make([]uint64, sumsLen)})
		if n, zones := b.Gateways(); n != 2 || zones["z"] != 1 || zones["y"] != 1 {
			t.Errorf("%d %v", n, zones)
		}
		time.Sleep(gatewayTimeout + time.Second)
		if n, zones := b.Gateways(); n != 1 || zones["z"] != 0 {
			t.Errorf("%d %v", n, zones)
		}
		time.Sleep(followerRetention)
		if _, _ = b.Gateways(); len(b.FollowerMembers()) != 0 {
			t.Error("a follower is never removed")
		}
	})
}

// A request whose context ends returns at once and leaves no goroutine behind.
func TestAnAskEndsWithItsPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPublisher()
		b.ask(t, WatchAsk{Me: testGateway, Sums: make([]uint64, sumsLen)})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := b.handleWatch(ctx, WatchAsk{Me: Member{ID: "f", Inc: 1}, Inc: 5, Wait: time.Second}); err != nil || time.Since(start) != 100*time.Millisecond {
			t.Error(err, time.Since(start))
		}
	})
}

// locked calls read with the follower's lock held.
func locked[T any](f *testFollower, read func(*testFollower) T) T {
	f.Lock()
	defer f.Unlock()
	return read(f)
}

// testFollower polls in a loop and records what it receives, and when.
type testFollower struct {
	sync.Mutex
	last    WatchTold
	answers int
	items   map[string]time.Time
	runs    map[string]time.Time
}

func startFollower(t *testing.T, b *testPublisher, me Member, until time.Duration) *testFollower {
	f := &testFollower{items: map[string]time.Time{}, runs: map[string]time.Time{}}
	f.last = b.ask(t, WatchAsk{Me: me, Sums: make([]uint64, sumsLen)})
	go func() {
		for start := time.Now(); t.Context().Err() == nil && time.Since(start) < until; {
			r, err := b.handleWatch(t.Context(), WatchAsk{Me: Member{ID: me.ID, Inc: me.Inc}, Inc: 5, Seen: f.last.Seen, Wait: time.Second})
			if err != nil {
				t.Error(err)
				return
			}
			if err := r.unpack(); err != nil {
				t.Error(err)
				return
			}
			f.Lock()
			f.last = r
			if len(r.Items)+len(r.Runs) > 0 {
				f.answers++
			}
			for _, i := range r.Items {
				f.items[i.Name] = time.Now()
			}
			for _, x := range r.Runs {
				f.runs[x.ID+stateSuffix(x.State)] = time.Now()
			}
			f.Unlock()
		}
	}()
	return f
}

func answerCount(f *testFollower) int { return f.answers }

func stateSuffix(s target.State) string { return fmt.Sprintf(" in state %d", s) }

func runInState(id string, s target.State) target.Run {
	r := testRun(id, 1)
	r.State = s
	return r
}

// The first change after an idle time is sent at once. Subsequent runs are batched, for a
// shorter time if they are urgent, and no change is held back for longer. Items are never held back.
func TestNewsAreHeldTogether(t *testing.T) {
	for name, c := range map[string]struct {
		kind           string
		change         func(*testPublisher, int)
		interval       time.Duration
		maxDelay, hold time.Duration
	}{
		"runs that appear": {Gateway, func(b *testPublisher, i int) { b.Replica.MergeRuns([]target.Run{testRun(fmt.Sprint(i), 1)}) }, time.Millisecond, holdNormal, holdNormal},
		"runs that leave": {Gateway, func(b *testPublisher, i int) {
			b.Replica.MergeRuns([]target.Run{runInState(fmt.Sprint(i), target.Draining)})
		}, time.Millisecond, holdUrgent, holdUrgent},
		"items":                           {Gateway, func(b *testPublisher, i int) { b.Replica.MergeItems([]item.Item{testItem(fmt.Sprint(i), 1)}) }, 10 * time.Millisecond, 0, 0},
		"items at a controller":           {Controller, func(b *testPublisher, i int) { b.Replica.MergeItems([]item.Item{testItem(fmt.Sprint(i), 1)}) }, 10 * time.Millisecond, 0, 0},
		"runs that appear at controllers": {Controller, func(b *testPublisher, i int) { b.Replica.MergeRuns([]target.Run{testRun(fmt.Sprint(i), 1)}) }, time.Millisecond, holdController, holdController},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestPublisher()
				b.Replica.MergeItems([]item.Item{testItem("before", 1)})
				f := startFollower(t, b, Member{ID: "f", Kind: c.kind, Zone: "z", Inc: 1}, 3*time.Second)
				time.Sleep(time.Second + 17*time.Millisecond) // idle time
				const maxChanges = 1000
				changedAt := map[string]time.Time{}
				start := time.Now()
				n := int(min(maxChanges, time.Second/c.interval))
				for i := range n {
					changedAt[fmt.Sprint(i)] = time.Now()
					c.change(b, i)
					synctest.Wait()
					if n := locked(f, answerCount); i == 0 && n != 1 {
						t.Errorf("the first change is sent in %d answers", n)
					}
					time.Sleep(c.interval)
				}
				time.Sleep(2*time.Second + holdNormal)
				synctest.Wait()
				f.Lock()
				defer f.Unlock()
				receivedAt := f.items
				if len(f.runs) > 0 {
					receivedAt = f.runs
				}
				longestDelay := time.Duration(0)
				for id, at := range changedAt {
					got, ok := receivedAt[id]
					for _, s := range []target.State{target.Ready, target.Draining} {
						if x, has := receivedAt[id+stateSuffix(s)]; has {
							got, ok = x, true
						}
					}
					if !ok {
						t.Fatalf("%s is never sent", id)
					}
					longestDelay = max(longestDelay, got.Sub(at))
				}
				if longestDelay > c.maxDelay {
					t.Errorf("a change was sent %v late, want at most %v", longestDelay, c.maxDelay)
				}
				if c.hold > 0 {
					if want := int(time.Second/c.hold) + 2; f.answers > want {
						t.Errorf("%d answers for %d changes in %v, want at most %d", f.answers, n, time.Since(start), want)
					}
				}
			})
		})
	}
}

// A leaving run is sent in time even if runs that appeared are held back for longer. A publisher
// that is stopping or no longer fresh reports that at once.
func TestALeavingIsNotHeldBehindTheRest(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*testPublisher)
		maxDelay time.Duration
		reported func(*testFollower) bool
	}{
		"leaves": {func(b *testPublisher) { b.Replica.MergeRuns([]target.Run{runInState("x", target.Ended)}) }, holdUrgent,
			func(f *testFollower) bool { return !f.runs["x"+stateSuffix(target.Ended)].IsZero() }},
		"item": {func(b *testPublisher) { b.Replica.MergeItems([]item.Item{testItem("y", 1)}) }, holdUrgent,
			func(f *testFollower) bool { return !f.items["y"].IsZero() }},
		"not fresh": {func(b *testPublisher) { b.fresh.Store(false); b.Replica.Wake() }, 0, func(f *testFollower) bool { return !f.last.Fresh }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestPublisher()
				b.Replica.MergeItems([]item.Item{testItem("before", 1)})
				f := startFollower(t, b, testGateway, 2*time.Second)
				time.Sleep(500 * time.Millisecond)
				for i := range 2 {
					b.Replica.MergeRuns([]target.Run{testRun(fmt.Sprint(i), 1)})
					synctest.Wait()
				}
				if n := locked(f, answerCount); n != 1 {
					t.Fatalf("%d answers: the second change is not held back", n)
				}
				time.Sleep(20 * time.Millisecond)
				c.change(b)
				if c.maxDelay > 0 {
					time.Sleep(c.maxDelay)
				}
				synctest.Wait()
				if !locked(f, c.reported) {
					t.Errorf("not reported after %v", c.maxDelay)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}
