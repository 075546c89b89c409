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

// testService returns a node without a network and its one service, to test choices alone.
func testService(runs ...target.Run) (*Node, *service) {
	n := New(Config{Settings: Settings{ID: "gateway1", Zone: "a", Zones: map[string]string{"a": "r", "b": "r", "c": "far"}, Headers: testHeaders}, Clock: clock.Wall{}})
	n.ApplyItems([]item.Item{route.Service{Name: "svc", Version: 1, MaxConns: 100, Health: "/health"}.Item()})
	n.SetGateways(1, 1)
	n.ApplyRuns(runs)
	return n, n.services["svc"]
}

func readyRun(id, zone string, slots int) target.Run {
	return target.Run{ID: id, Service: "svc", Addr: "127.0.0.1:1", Zone: zone, Slots: slots, State: target.Ready, Seq: 1}
}

func testExchange(n *Node, s *service, k route.RetryPolicy) *exchange {
	now := n.clock.Now()
	return &exchange{n: n, svc: s, kind: k, atMostOnce: !k.AllowsRetry(), maxAttempts: 3, receivedAt: now, deadline: now.Add(2 * time.Second), latencyTarget: 400 * time.Millisecond}
}

// acquireAll acquires endpoints for requests until none has capacity, and returns their run IDs in
// order.
func acquireAll(n *Node, s *service, k route.RetryPolicy) (ids []string) {
	for {
		g := s.tryAcquire(testExchange(n, s, k))
		if g.e == nil {
			return ids
		}
		ids = append(ids, g.e.run.ID)
	}
}

// TestTiers: slots of the own zone come first, then those of other zones of the region, then one
// extra request at each, then other regions. Repeatable requests may use twice the slots, and
// downloads fill the own zone first.
func TestTiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[route.RetryPolicy][]string{
			route.AtMostOnce: {"a1", "a1", "b1", "b1", "a1", "b1", "c1", "c1", "c1"},
			route.Idempotent: {"a1", "a1", "b1", "b1", "a1", "b1", "c1", "c1", "c1", "a1", "b1", "c1"},
			route.Download:   {"a1", "a1", "a1", "a1", "b1", "b1", "c1", "c1", "b1", "c1", "b1", "c1"},
		} {
			n, s := testService(readyRun("a1", "a", 2), readyRun("b1", "b", 2), readyRun("c1", "c", 2))
			if got := acquireAll(n, s, kind); !slices.Equal(got, want) {
				t.Errorf("%d: %v, want %v", kind, got, want)
			}
		}
	})
}

// TestConnectionsBound: a node keeps within its share of a target's connections.
func TestConnectionsBound(t *testing.T) {
	n, s := testService(readyRun("a1", "a", 50))
	for gateways, want := range map[int]int{2: 40, 10: 8, 100: 2} {
		n.SetGateways(gateways, 1)
		got := acquireAll(n, s, route.Idempotent)
		if len(got) != want {
			t.Errorf("%d gateways: %d requests at once, want %d", gateways, len(got), want)
		}
		s.endpoints["a1"].inFlight = nil
	}
}

// TestFasterFirst: of two otherwise equal endpoints the faster one gets more requests.
func TestFasterFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := testService(readyRun("slow", "a", 20), readyRun("fast", "a", 20))
		for range 20 {
			s.endpoints["slow"].recordAnswer(n.clock.Now(), 200*time.Millisecond)
			s.endpoints["fast"].recordAnswer(n.clock.Now(), 50*time.Millisecond)
		}
		count := map[string]int{}
		for range 20 {
			count[s.tryAcquire(testExchange(n, s, route.AtMostOnce)).e.run.ID]++
		}
		if count["fast"] < 3*count["slow"] || count["slow"] == 0 {
			t.Errorf("%v", count)
		}
	})
}

// TestColdLast: of two targets of unknown latency, the one that has just started is expected to
// be slower.
func TestColdLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := readyRun("cold", "a", 20)
		cold.Cold = 5 * time.Second
		n, s := testService(cold, readyRun("warm", "a", 20))
		if g := s.tryAcquire(testExchange(n, s, route.AtMostOnce)); g.e.run.ID != "warm" {
			t.Error("the cold target was chosen first")
		}
		time.Sleep(6 * time.Second)
		if n.clock.Now().Before(s.endpoints["cold"].coldUntil) {
			t.Error("the target still counts as cold after 6 s")
		}
	})
}

// TestNodesBeginApart: nodes that know nothing of each other start with different endpoints.
func TestNodesBeginApart(t *testing.T) {
	firsts := map[string]bool{}
	for i := range 20 {
		n := New(Config{Settings: Settings{ID: fmt.Sprint("gateway", i), Zone: "a", Headers: testHeaders}, Clock: clock.Wall{}})
		for k := range 9 {
			n.ApplyRuns([]target.Run{readyRun(fmt.Sprint("r", k), "a", 2)})
		}
		s := n.services["svc"]
		firsts[s.tryAcquire(testExchange(n, s, route.AtMostOnce)).e.run.ID] = true
	}
	if len(firsts) < 5 {
		t.Errorf("20 nodes start with %d of 9 endpoints", len(firsts))
	}
}

// TestHalfPassedOver: bad endpoints are ejected, but never more than half of all.
func TestHalfPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs []target.Run
		for i := range 6 {
			runs = append(runs, readyRun(fmt.Sprint("r", i), "a", 2))
		}
		n, s := testService(runs...)
		usedRuns := func() map[string]bool {
			m := map[string]bool{}
			for _, id := range acquireAll(n, s, route.AtMostOnce) {
				m[id] = true
			}
			for _, e := range s.endpoints {
				e.inFlight = nil
			}
			return m
		}
		now := n.clock.Now()
		for k := range 6 {
			if got := usedRuns(); len(got) != max(3, 6-k) {
				t.Errorf("%d bad: %v used", k, got)
			}
			switch k {
			case 0, 1:
				s.endpoints[fmt.Sprint("r", k)].recordFailure(now, now, initialBackoff)
			default:
				r := runs[k]
				r.Silent, r.Seq = uint64(9-k), 1
				n.ApplyRuns([]target.Run{r})
			}
		}
		if got := usedRuns(); len(got) != 3 || got["r0"] || got["r1"] {
			t.Errorf("all bad: %v used; those in backoff are the most suspected", got)
		}
		// A heartbeat that the control plane received after all.
		r := runs[5]
		r.Seq = 20
		n.ApplyRuns([]target.Run{r})
		if s.endpoints["r5"].suspicion(now) != 0 {
			t.Error("still suspected")
		}
	})
}

// TestPenalty: a backoff doubles, expires, then allows one request at a time; an answer resets it.
func TestPenalty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := testService(readyRun("r0", "a", 4), readyRun("r1", "a", 4))
		e := s.endpoints["r0"]
		for k, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
			began := n.clock.Now()
			time.Sleep(time.Millisecond)
			now := n.clock.Now()
			e.recordFailure(now, began, initialBackoff)
			// A request that began earlier gives no new information.
			e.recordFailure(now, began.Add(-time.Second), initialBackoff)
			if got := e.backoffUntil.Sub(now); got != want {
				t.Errorf("failure %d: %v, want %v", k, got, want)
			}
			time.Sleep(want + time.Millisecond)
			if w := e.suspicion(n.clock.Now()); w >= suspicionThreshold {
				t.Errorf("suspicion %v after the backoff", w)
			}
		}
		if got := e.headroom(n.clock.Now(), 4); got != 1 {
			t.Errorf("headroom of %d after a backoff", got)
		}
		e.recordAnswer(n.clock.Now(), time.Millisecond)
		if got := e.headroom(n.clock.Now(), 4); got != 4 {
			t.Errorf("headroom of %d after an answer", got)
		}
	})
}

// TestOwnZoneGone: without a healthy endpoint in the own zone, other zones serve.
func TestOwnZoneGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := testService(readyRun("a1", "a", 2), readyRun("b1", "b", 2), readyRun("b2", "b", 2))
		now := n.clock.Now()
		s.endpoints["a1"].recordFailure(now, now, initialBackoff)
		if g := s.tryAcquire(testExchange(n, s, route.Download)); g.e == nil || g.e.sameZone {
			t.Errorf("%+v", g)
		}
	})
}

// TestNewsMerge: updates merge to the same state in any order, and an ended target stays ended.
func TestNewsMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := readyRun("r0", "a", 2)
		later := ready
		later.Seq, later.Slots = 5, 4
		draining := target.Run{ID: "r0", Service: "svc", State: target.Draining, Seq: 6}
		ended := target.Run{ID: "r0", Service: "svc", State: target.Ended, Seq: 6}
		updates := []target.Run{ready, later, draining, ended}
		for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 0, 3, 2}, {2, 3, 0, 1}} {
			n, s := testService()
			for _, i := range order {
				n.ApplyRuns([]target.Run{updates[i]})
			}
			if r := n.runs["r0"].run; r.State != target.Ended || r.Seq != 6 || s.endpoints["r0"] != nil {
				t.Errorf("%v: %+v", order, r)
			}
			n.ApplyRuns([]target.Run{later})
			if s.endpoints["r0"] != nil {
				t.Errorf("%v: an ended target was added again", order)
			}
			time.Sleep(endedRunRetention + time.Second)
			n.dropEndedRuns(n.clock.Now())
			if len(n.runs) != 0 {
				t.Error("an ended target was never forgotten")
			}
		}
	})
}

// TestLastRankMayWait: where the queue is so long that waiting seems pointless, a few requests of
// each priority still wait, because every oldestEvery-th grant goes to the longest waiting one. Others
// are refused at once.
func TestLastRankMayWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := testService(readyRun("a1", "a", 1))
		acquireAll(n, s, route.AtMostOnce)
		now := n.clock.Now()
		for range 100 {
			s.queue.push(&waiter{x: testExchange(n, s, route.AtMostOnce), arrived: now, granted: make(chan grant, 1), index: -1})
		}
		began := time.Now()
		waited := make(chan time.Duration, 5)
		for range 5 {
			go func() {
				x := testExchange(n, s, route.AtMostOnce)
				x.priority = 3
				g, retry := s.acquire(x)
				if g.e != nil || retry < minRetryAfter {
					t.Errorf("%+v, %v", g, retry)
				}
				waited <- time.Since(began)
			}()
		}
		refused := 0
		for range 5 {
			switch d := <-waited; d {
			case 0:
				refused++
			case 400 * time.Millisecond / maxWaitDivisor:
			default:
				t.Errorf("waited %v", d)
			}
		}
		if refused != 5-minQueuedPerRank {
			t.Errorf("%d of 5 were refused at once", refused)
		}
	})
}

// TestZoneWithFewRuns: where the targets of the own zone are slow because they are full, less
// loaded ones of another zone in the region are used too, except for downloads.
func TestZoneWithFewRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[route.RetryPolicy]bool{route.Idempotent: true, route.AtMostOnce: true, route.Download: false} {
			n, s := testService(readyRun("a1", "a", 20), readyRun("b1", "b", 20), readyRun("c1", "c", 20))
			for range 20 {
				s.endpoints["a1"].recordAnswer(n.clock.Now(), 400*time.Millisecond)
				s.endpoints["b1"].recordAnswer(n.clock.Now(), 50*time.Millisecond)
				s.endpoints["c1"].recordAnswer(n.clock.Now(), time.Millisecond)
			}
			count := map[string]int{}
			for range 12 {
				count[s.tryAcquire(testExchange(n, s, kind)).e.run.ID]++
			}
			if count["b1"] > 0 != want || count["c1"] != 0 || count["a1"] == 0 {
				t.Errorf("%d: %v", kind, count)
			}
		}
	})
}

// TestRunsFollowTheLoad: the subset is small under low load, grows at once with the load, and
// shrinks slowly. An endpoint that returns to the subset is not suspected for the time in which
// it was not probed.
func TestRunsFollowTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs []target.Run
		for i := range 60 {
			runs = append(runs, readyRun(fmt.Sprintf("a%d", i), "a", 2))
		}
		n, s := testService(runs...)
		s.lastUsed = n.clock.Now()
		sweep := func(times int) {
			for range times {
				time.Sleep(probeTick)
				s.sweep(n.clock.Now())
				s.dueProbes(n.clock.Now())
			}
		}
		sweep(1)
		if len(s.subset) != maxSubset {
			t.Errorf("subset of %d at first, want %d", len(s.subset), maxSubset)
		}
		sweep(60)
		if len(s.subset) != minSubset {
			t.Errorf("subset of %d when idle, want %d", len(s.subset), minSubset)
		}
		var grants []grant
		for range maxSubset {
			grants = append(grants, s.tryAcquire(testExchange(n, s, route.Idempotent)))
		}
		sweep(1)
		if len(s.subset) != maxSubset {
			t.Errorf("subset of %d under load, want %d", len(s.subset), maxSubset)
		}
		for _, e := range s.subset[minSubset:] {
			if w := e.suspicion(n.clock.Now()); w > 0.5 {
				t.Errorf("%s returned to the subset with a suspicion of %.2f", e.run.ID, w)
			}
		}
		for _, g := range grants {
			s.release(g, outcomeAnswered, 100*time.Millisecond, time.Second)
		}
		sweep(2)
		if len(s.subset) != maxSubset {
			t.Errorf("subset of %d a second after the load, want %d", len(s.subset), maxSubset)
		}
	})
}

// TestKeptConnectionsFirst: of otherwise equal endpoints, one with an idle connection is chosen,
// but not for a request that must run at most once if the connection has been idle for too long.
func TestKeptConnectionsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := testService(readyRun("a1", "a", 2), readyRun("a2", "a", 2), readyRun("a3", "a", 2))
		last := s.subset[2]
		last.idle = []*conn{{idleSince: n.clock.Now(), idleTimeout: defaultIdleTimeout}}
		for kind, want := range map[route.RetryPolicy]bool{route.Idempotent: true, route.AtMostOnce: true} {
			g := s.tryAcquire(testExchange(n, s, kind))
			if got := g.e == last; got != want {
				t.Errorf("%d: the idle connection is used: %v", kind, got)
			}
			s.release(g, outcomeNotSent, 0, time.Second)
		}
		time.Sleep(maxIdleAtMostOnce)
		if g := s.tryAcquire(testExchange(n, s, route.AtMostOnce)); g.e == last {
			t.Error("chosen for an idle connection that may be dead")
		}
		if g := s.tryAcquire(testExchange(n, s, route.Idempotent)); g.e != last {
			t.Error("a usable idle connection was not preferred")
		}
	})
}
