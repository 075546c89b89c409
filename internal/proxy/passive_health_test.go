package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

// warmService returns a service with endpoints r0, r1, … that have each answered a number of
// requests, at varying latencies. No time passes.
func warmService(runs int) (*Node, *service) {
	var rs []target.Run
	for i := range runs {
		rs = append(rs, readyRun(fmt.Sprint("r", i), "a", 4))
	}
	n, s := testService(rs...)
	for k := range 20 {
		for i := range runs {
			s.latency = 100 * time.Millisecond
			now := n.clock.Now()
			s.endpoints[fmt.Sprint("r", i)].recordOutcome(now, now, outcomeAnswered, time.Duration(70+(13*k+7*i)%60)*time.Millisecond)
		}
	}
	return n, s
}

// finishRequest sends one request to an endpoint and ends it with an outcome after d.
func finishRequest(n *Node, s *service, id string, o outcome, d time.Duration) {
	s.mu.Lock()
	g := s.reserve(s.endpoints[id], n.clock.Now())
	s.mu.Unlock()
	time.Sleep(d)
	s.release(g, o, d, 0)
}

// usableRuns returns the endpoints to which requests of a kind may be sent, and how many each.
func usableRuns(n *Node, s *service, k route.RetryPolicy) map[string]int {
	m := map[string]int{}
	for _, id := range acquireAll(n, s, k) {
		m[id]++
	}
	for _, e := range s.endpoints {
		for range e.inFlight {
			s.limit.inFlight--
		}
		e.inFlight = nil
	}
	return m
}

// TestFailingRun: an endpoint that fails a good part of its requests is ejected although it answers
// the others. It returns by a few repeatable requests at first, and later with each relapse.
func TestFailingRun(t *testing.T) {
	for _, o := range []outcome{outcomeReset, outcomeInvalid, outcomeServerError, outcomeSilent} {
		synctest.Test(t, func(t *testing.T) {
			n, s := warmService(6)
			e := s.endpoints["r0"]
			if got := usableRuns(n, s, route.AtMostOnce); got["r0"] == 0 {
				t.Fatalf("%v usable before any failure", got)
			}
			ejection := initialEjection
			s.baseline.failureRate = 0
			for range 5 {
				finishRequest(n, s, "r0", o, 50*time.Millisecond)
				// An answer that was in flight ends a backoff, but not an ejection.
				e.resetBackoff()
				s.limit = concurrencyLimit{}
				if got := usableRuns(n, s, route.Idempotent); got["r0"] != 0 {
					t.Errorf("outcome %d: %v usable right after", o, got)
				}
				time.Sleep(ejection - 2*time.Millisecond)
				if e.passiveSuspicion(n.clock.Now()) < suspicionThreshold {
					t.Errorf("outcome %d: in use again after less than %v", o, ejection)
				}
				time.Sleep(4 * time.Millisecond)
				if got := usableRuns(n, s, route.AtMostOnce); got["r0"] != 0 {
					t.Errorf("outcome %d: on probation with requests that must run at most once: %v", o, got)
				}
				for k := range recoverAfter - 1 {
					if got := usableRuns(n, s, route.Idempotent); got["r0"] != 1+k {
						t.Errorf("outcome %d: %d requests allowed on probation after %d answers", o, got["r0"], k)
					}
					finishRequest(n, s, "r0", outcomeAnswered, 100*time.Millisecond)
				}
				ejection = min(2*ejection, maxEjection)
			}
			finishRequest(n, s, "r0", outcomeAnswered, 100*time.Millisecond)
			if got := usableRuns(n, s, route.AtMostOnce); got["r0"] < 4 {
				t.Errorf("outcome %d: %v usable after recovery", o, got)
			}
		})
	}
}

// TestFateWindow: where failures are common in the service, a single one is weak evidence; an
// endpoint with many more of them in its window than its peers is ejected.
func TestFateWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		s.baseline.failureRate = 0.3
		e := s.endpoints["r0"]
		for k := range passiveWindow {
			s.baseline.failureRate = 0.3
			finishRequest(n, s, "r0", outcomeReset, 10*time.Millisecond)
			e.resetBackoff()
			if k == 0 && e.passive.unhealthy {
				t.Error("ejected for one failure where failures are common")
			}
			if e.passive.unhealthy {
				return
			}
			finishRequest(n, s, "r0", outcomeAnswered, 100*time.Millisecond)
			if e.passive.unhealthy {
				return
			}
		}
		t.Error("half of its requests failed, and it was not ejected")
	})
}

// TestSilentRun: a request that waits for longer than the peers' latencies make likely has the
// endpoint suspected while it waits; its answer ends that.
func TestSilentRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		s.mu.Lock()
		g := s.reserve(s.endpoints["r0"], n.clock.Now())
		s.mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		if s.endpoints["r0"].passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
			t.Error("suspected within the usual latency")
		}
		time.Sleep(time.Second)
		if s.endpoints["r0"].passiveSuspicion(n.clock.Now()) < suspicionThreshold {
			t.Error("not suspected after 1.15 s; answers take 0.1 s")
		}
		s.release(g, outcomeAnswered, 1150*time.Millisecond, 0)
		if s.endpoints["r0"].passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
			t.Error("still suspected after its answer")
		}
	})
}

// TestFatesOfAll: up to half of the endpoints are ejected; where more than half fail alike, passive
// health is ignored for all.
func TestFatesOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		for i := range 6 {
			s.baseline.failureRate = 0
			finishRequest(n, s, fmt.Sprint("r", i), outcomeReset, time.Millisecond)
			s.endpoints[fmt.Sprint("r", i)].resetBackoff()
			want := 6 - i - 1
			if i >= 3 {
				want = 6
			}
			if got := usableRuns(n, s, route.AtMostOnce); len(got) != want {
				t.Errorf("%d unhealthy: %v usable", i+1, got)
			}
		}
		// The same holds where the other endpoints are in backoff.
		for i := 1; i < 6; i++ {
			s.endpoints[fmt.Sprint("r", i)].passive = nil
		}
		for i := 1; i < 4; i++ {
			now := n.clock.Now()
			s.endpoints[fmt.Sprint("r", i)].recordFailure(now, now, initialBackoff)
		}
		if got := usableRuns(n, s, route.AtMostOnce); got["r0"] == 0 || len(got) != 3 {
			t.Errorf("three in backoff, one unhealthy: %v usable", got)
		}
	})
}

// TestNoFault: full targets, and slow ones where all are slow, are not considered unhealthy.
func TestNoFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		for range 50 {
			finishRequest(n, s, "r0", outcomeRejected, time.Millisecond)
			finishRequest(n, s, "r1", outcomeNotSent, time.Millisecond)
		}
		for _, id := range []string{"r0", "r1"} {
			if s.endpoints[id].passive.unhealthy || s.endpoints[id].passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
				t.Errorf("%s is considered unhealthy for being full", id)
			}
		}
		for k := range 30 {
			for i := range 6 {
				finishRequest(n, s, fmt.Sprint("r", i), outcomeAnswered, time.Duration(170+(31*k+17*i)%120)*time.Millisecond)
			}
		}
		for id, e := range s.endpoints {
			if e.passive != nil && e.passive.unhealthy || e.passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
				t.Errorf("%s is considered unhealthy", id)
			}
		}
		// The effect of full targets on the concurrency limit is not tested here.
		s.limit = concurrencyLimit{}
		if got := usableRuns(n, s, route.AtMostOnce); len(got) != 6 {
			t.Errorf("%v usable", got)
		}
	})
}

// TestOldFailure: a request sent before an endpoint was ejected gives no new information.
func TestOldFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		e := s.endpoints["r0"]
		began := n.clock.Now()
		time.Sleep(time.Millisecond)
		e.recordOutcome(n.clock.Now(), began, outcomeReset, 0)
		was := *e.passive
		if !was.unhealthy {
			t.Fatal("not unhealthy after a reset")
		}
		e.recordOutcome(n.clock.Now(), began, outcomeReset, 0)
		e.recordOutcome(n.clock.Now(), began, outcomeAnswered, 0)
		if *e.passive != was {
			t.Errorf("%+v, was %+v", *e.passive, was)
		}
	})
}

// TestFatesAreSmall: a node may know thousands of endpoints and has little processor time.
func TestFatesAreSmall(t *testing.T) {
	if k := unsafe.Sizeof(passiveHealth{}); k > 160 {
		t.Errorf("%d bytes per endpoint", k)
	}
	n, s := warmService(48)
	x := testExchange(n, s, route.Idempotent)
	now := n.clock.Now()
	e := s.endpoints["r0"]
	if k := testing.AllocsPerRun(100, func() {
		s.pick(now, x)
		e.recordOutcome(now, now, outcomeAnswered, 100*time.Millisecond)
		e.recordOutcome(now, now, outcomeReset, 100*time.Millisecond)
	}); k != 0 {
		t.Errorf("%v allocations per request", k)
	}
}

// BenchmarkPick measures one choice among 48 endpoints, with passive health and without.
func BenchmarkPick(b *testing.B) {
	for _, known := range []bool{true, false} {
		b.Run(fmt.Sprint("fates=", known), func(b *testing.B) {
			n, s := warmService(48)
			x := testExchange(n, s, route.Idempotent)
			now := n.clock.Now()
			for _, e := range s.subset {
				e.probed = true
				e.startDetector(now)
				if !known {
					e.passive = nil
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.pick(now, x)
			}
		})
	}
}

// BenchmarkMet measures recording one answer.
func BenchmarkMet(b *testing.B) {
	n, s := warmService(48)
	now := n.clock.Now()
	e := s.endpoints["r0"]
	b.ReportAllocs()
	k := 0
	for b.Loop() {
		k++
		e.recordOutcome(now, now, outcomeAnswered, time.Duration(70+k%60)*time.Millisecond)
	}
}
