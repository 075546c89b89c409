package proxy

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

// plan is a node without network, for choices alone.
func plan(runs ...target.Run) (*Node, *service) {
	n := New(Parts{Settings: Settings{ID: "gateway1", Zone: "a", Zones: map[string]string{"a": "r", "b": "r", "c": "far"}, Dialect: dialect}, Clock: clock.Wall{}})
	n.TakeItems([]item.Item{route.Service{Name: "svc", Version: 1, MaxConns: 100, Health: "/health"}.Item()})
	n.SetGateways(1, 1)
	n.TakeRuns(runs)
	return n, n.services["svc"]
}

func at(id, zone string, slots int) target.Run {
	return target.Run{ID: id, Service: "svc", Addr: "127.0.0.1:1", Zone: zone, Slots: slots, State: target.Ready, Seq: 1}
}

func ask(n *Node, s *service, k route.RetryPolicy) *exchange {
	now := n.clock.Now()
	return &exchange{n: n, svc: s, kind: k, once: !k.AllowsRetry(), attempts: 3, came: now, deadline: now.Add(2 * time.Second), aim: 400 * time.Millisecond}
}

// fill takes places until there are none, and tells at whom.
func fill(n *Node, s *service, k route.RetryPolicy) (ids []string) {
	for {
		g := s.take(ask(n, s, k))
		if g.e == nil {
			return ids
		}
		ids = append(ids, g.e.run.ID)
	}
}

// TestTiers: own slots first, then those of other zones of the region, then one more
// each, then other regions; repeatable requests may go on to twice the slots; downloads
// fill the own zone up first.
func TestTiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[route.RetryPolicy][]string{
			route.AtMostOnce: {"a1", "a1", "b1", "b1", "a1", "b1", "c1", "c1", "c1"},
			route.Idempotent: {"a1", "a1", "b1", "b1", "a1", "b1", "c1", "c1", "c1", "a1", "b1", "c1"},
			route.Download:   {"a1", "a1", "a1", "a1", "b1", "b1", "c1", "c1", "b1", "c1", "b1", "c1"},
		} {
			n, s := plan(at("a1", "a", 2), at("b1", "b", 2), at("c1", "c", 2))
			if got := fill(n, s, kind); !slices.Equal(got, want) {
				t.Errorf("%d: %v, want %v", kind, got, want)
			}
		}
	})
}

// TestConnectionsBound: a node keeps to its part of a target's connections.
func TestConnectionsBound(t *testing.T) {
	n, s := plan(at("a1", "a", 50))
	for gateways, want := range map[int]int{2: 40, 10: 8, 100: 2} {
		n.SetGateways(gateways, 1)
		got := fill(n, s, route.Idempotent)
		if len(got) != want {
			t.Errorf("%d gateways: %d at once, want %d", gateways, len(got), want)
		}
		s.all["a1"].starts = nil
	}
}

// TestFasterFirst: of two runs alike else the faster gets more.
func TestFasterFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := plan(at("slow", "a", 20), at("fast", "a", 20))
		for range 20 {
			s.all["slow"].answered(n.clock.Now(), 200*time.Millisecond)
			s.all["fast"].answered(n.clock.Now(), 50*time.Millisecond)
		}
		count := map[string]int{}
		for range 20 {
			count[s.take(ask(n, s, route.AtMostOnce)).e.run.ID]++
		}
		if count["fast"] < 3*count["slow"] || count["slow"] == 0 {
			t.Errorf("%v", count)
		}
	})
}

// TestColdLast: of two unknown runs the one that has just started is taken for slower.
func TestColdLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := at("cold", "a", 20)
		cold.Cold = 5 * time.Second
		n, s := plan(cold, at("warm", "a", 20))
		if g := s.take(ask(n, s, route.AtMostOnce)); g.e.run.ID != "warm" {
			t.Error("the cold one went first")
		}
		time.Sleep(6 * time.Second)
		if n.clock.Now().Before(s.all["cold"].coldTill) {
			t.Error("still cold")
		}
	})
}

// TestNodesBeginApart: nodes that know nothing of each other begin with different runs.
func TestNodesBeginApart(t *testing.T) {
	firsts := map[string]bool{}
	for i := range 20 {
		n := New(Parts{Settings: Settings{ID: fmt.Sprint("gateway", i), Zone: "a", Dialect: dialect}, Clock: clock.Wall{}})
		for k := range 9 {
			n.TakeRuns([]target.Run{at(fmt.Sprint("r", k), "a", 2)})
		}
		s := n.services["svc"]
		firsts[s.take(ask(n, s, route.AtMostOnce)).e.run.ID] = true
	}
	if len(firsts) < 5 {
		t.Errorf("20 nodes begin with %d of 9 runs", len(firsts))
	}
}

// TestHalfPassedOver: bad runs are passed over, but never more than half of them.
func TestHalfPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs []target.Run
		for i := range 6 {
			runs = append(runs, at(fmt.Sprint("r", i), "a", 2))
		}
		n, s := plan(runs...)
		used := func() map[string]bool {
			m := map[string]bool{}
			for _, id := range fill(n, s, route.AtMostOnce) {
				m[id] = true
			}
			for _, e := range s.all {
				e.starts = nil
			}
			return m
		}
		now := n.clock.Now()
		for k := range 6 {
			if got := used(); len(got) != max(3, 6-k) {
				t.Errorf("%d bad: %v used", k, got)
			}
			switch k {
			case 0, 1:
				s.all[fmt.Sprint("r", k)].failed(now, now, firstPenalty)
			default:
				r := runs[k]
				r.Silent, r.Seq = uint64(9-k), 1
				n.TakeRuns([]target.Run{r})
			}
		}
		if got := used(); len(got) != 3 || got["r0"] || got["r1"] {
			t.Errorf("all bad: %v used; those in penalty are the worst", got)
		}
		// A beat that the control plane heard after all.
		r := runs[5]
		r.Seq = 20
		n.TakeRuns([]target.Run{r})
		if s.all["r5"].suspicion(now) != 0 {
			t.Error("still suspected")
		}
	})
}

// TestPenalty: it doubles, ends, tries one request at a time, and an answer clears it.
func TestPenalty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := plan(at("r0", "a", 4), at("r1", "a", 4))
		e := s.all["r0"]
		for k, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
			began := n.clock.Now()
			time.Sleep(time.Millisecond)
			now := n.clock.Now()
			e.failed(now, began, firstPenalty)
			// What went out before says nothing new.
			e.failed(now, began.Add(-time.Second), firstPenalty)
			if got := e.barred.Sub(now); got != want {
				t.Errorf("failure %d: %v, want %v", k, got, want)
			}
			time.Sleep(want + time.Millisecond)
			if w := e.suspicion(n.clock.Now()); w >= suspectAt {
				t.Errorf("suspicion %v after the penalty", w)
			}
		}
		if got := e.room(n.clock.Now(), 4); got != 1 {
			t.Errorf("room for %d tries", got)
		}
		e.answered(n.clock.Now(), time.Millisecond)
		if got := e.room(n.clock.Now(), 4); got != 4 {
			t.Errorf("room for %d after an answer", got)
		}
	})
}

// TestOwnZoneGone: with no run in the own zone that is well, others serve.
func TestOwnZoneGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := plan(at("a1", "a", 2), at("b1", "b", 2), at("b2", "b", 2))
		now := n.clock.Now()
		s.all["a1"].failed(now, now, firstPenalty)
		if g := s.take(ask(n, s, route.Download)); g.e == nil || g.e.near {
			t.Errorf("%+v", g)
		}
	})
}

// TestNewsMerge: any order of news ends alike, and an ended run stays so.
func TestNewsMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := at("r0", "a", 2)
		later := ready
		later.Seq, later.Slots = 5, 4
		drains := target.Run{ID: "r0", Service: "svc", State: target.Draining, Seq: 6}
		ended := target.Run{ID: "r0", Service: "svc", State: target.Ended, Seq: 6}
		news := []target.Run{ready, later, drains, ended}
		for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 0, 3, 2}, {2, 3, 0, 1}} {
			n, s := plan()
			for _, i := range order {
				n.TakeRuns([]target.Run{news[i]})
			}
			if r := n.runs["r0"].run; r.State != target.Ended || r.Seq != 6 || s.all["r0"] != nil {
				t.Errorf("%v: %+v", order, r)
			}
			n.TakeRuns([]target.Run{later})
			if s.all["r0"] != nil {
				t.Errorf("%v: an ended run came back", order)
			}
			time.Sleep(endedFor + time.Second)
			n.forget(n.clock.Now())
			if len(n.runs) != 0 {
				t.Error("remembered for good")
			}
		}
	})
}

// TestLastRankMayWait: where the queue is so long that to wait seems in vain, some of
// each rank wait all the same, for their turn; others are refused at once.
func TestLastRankMayWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := plan(at("a1", "a", 1))
		fill(n, s, route.AtMostOnce)
		now := n.clock.Now()
		for range 100 {
			s.queue.push(&waiter{x: ask(n, s, route.AtMostOnce), came: now, got: make(chan grant, 1), index: -1})
		}
		began := time.Now()
		waited := make(chan time.Duration, 5)
		for range 5 {
			go func() {
				x := ask(n, s, route.AtMostOnce)
				x.priority = 3
				g, retry := s.acquire(x)
				if g.e != nil || retry < minRetry {
					t.Errorf("%+v, %v", g, retry)
				}
				waited <- time.Since(began)
			}()
		}
		n0 := 0
		for range 5 {
			switch d := <-waited; d {
			case 0:
				n0++
			case 400 * time.Millisecond / waitPart:
			default:
				t.Errorf("waited %v", d)
			}
		}
		if n0 != 5-fewPeers {
			t.Errorf("%d of 5 were refused at once", n0)
		}
	})
}

// TestZoneWithFewRuns: where the own zone's runs are slow for being full, those of another
// zone of the region that are not are used, too; downloads stay.
func TestZoneWithFewRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[route.RetryPolicy]bool{route.Idempotent: true, route.AtMostOnce: true, route.Download: false} {
			n, s := plan(at("a1", "a", 20), at("b1", "b", 20), at("c1", "c", 20))
			for range 20 {
				s.all["a1"].answered(n.clock.Now(), 400*time.Millisecond)
				s.all["b1"].answered(n.clock.Now(), 50*time.Millisecond)
				s.all["c1"].answered(n.clock.Now(), time.Millisecond)
			}
			count := map[string]int{}
			for range 12 {
				count[s.take(ask(n, s, kind)).e.run.ID]++
			}
			if count["b1"] > 0 != want || count["c1"] != 0 || count["a1"] == 0 {
				t.Errorf("%d: %v", kind, count)
			}
		}
	})
}

// TestRunsFollowTheLoad: with little under way a node works with few runs of a service,
// with more at once with more, and it lets go of them only slowly. A run that comes back
// is not suspected for the time in which nobody asked it.
func TestRunsFollowTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs []target.Run
		for i := range 60 {
			runs = append(runs, at(fmt.Sprintf("a%d", i), "a", 2))
		}
		n, s := plan(runs...)
		s.usedAt = n.clock.Now()
		look := func(times int) {
			for range times {
				time.Sleep(probeTick)
				s.sweep(n.clock.Now())
				s.due(n.clock.Now())
			}
		}
		look(1)
		if len(s.work) != mostRuns {
			t.Errorf("works with %d at first, want %d", len(s.work), mostRuns)
		}
		look(60)
		if len(s.work) != fewRuns {
			t.Errorf("works with %d when idle, want %d", len(s.work), fewRuns)
		}
		var held []grant
		for range mostRuns {
			held = append(held, s.take(ask(n, s, route.Idempotent)))
		}
		look(1)
		if len(s.work) != mostRuns {
			t.Errorf("works with %d under load, want %d", len(s.work), mostRuns)
		}
		for _, e := range s.work[fewRuns:] {
			if w := e.suspicion(n.clock.Now()); w > 0.5 {
				t.Errorf("%s came back with a suspicion of %.2f", e.run.ID, w)
			}
		}
		for _, g := range held {
			s.release(g, answered, 100*time.Millisecond, time.Second)
		}
		look(2)
		if len(s.work) != mostRuns {
			t.Errorf("works with %d a second after the load, want %d", len(s.work), mostRuns)
		}
	})
}

// TestKeptConnectionsFirst: of runs alike else one with a connection at hand is asked, but
// not for a request that may run once where that has lain idle for too long.
func TestKeptConnectionsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := plan(at("a1", "a", 2), at("a2", "a", 2), at("a3", "a", 2))
		last := s.work[2]
		last.idle = []*conn{{idleAt: n.clock.Now(), life: idleTime}}
		for kind, want := range map[route.RetryPolicy]bool{route.Idempotent: true, route.AtMostOnce: true} {
			g := s.take(ask(n, s, kind))
			if got := g.e == last; got != want {
				t.Errorf("%d: the kept connection is used: %v", kind, got)
			}
			s.release(g, withheld, 0, time.Second)
		}
		time.Sleep(onceIdle)
		if g := s.take(ask(n, s, route.AtMostOnce)); g.e == last {
			t.Error("asked for a kept connection that may be dead")
		}
		if g := s.take(ask(n, s, route.Idempotent)); g.e != last {
			t.Error("a kept connection was left aside")
		}
	})
}
