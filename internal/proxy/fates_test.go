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

// warmService is a plan of runs r0, r1, … of which each has answered for a while, some faster,
// some slower. It needs no time.
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
			s.endpoints[fmt.Sprint("r", i)].recordOutcome(now, now, answered, time.Duration(70+(13*k+7*i)%60)*time.Millisecond)
		}
	}
	return n, s
}

// finishRequest lets one request to a run end.
func finishRequest(n *Node, s *service, id string, o outcome, d time.Duration) {
	s.mu.Lock()
	g := s.hold(s.endpoints[id], n.clock.Now())
	s.mu.Unlock()
	time.Sleep(d)
	s.release(g, o, d, 0)
}

// usableRuns are the runs that a request of a kind may be sent to, and with how many.
func usableRuns(n *Node, s *service, k route.Repeat) map[string]int {
	m := map[string]int{}
	for _, id := range takeAll(n, s, k) {
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

// TestFailingRun: a run that fails a good part of its requests is passed over though it
// answers the others; it comes back by a trickle of repeatable requests, later with each
// relapse.
func TestFailingRun(t *testing.T) {
	for _, o := range []outcome{reset, spoilt, erred, mute} {
		synctest.Test(t, func(t *testing.T) {
			n, s := warmService(6)
			e := s.endpoints["r0"]
			if got := usableRuns(n, s, route.Once); got["r0"] == 0 {
				t.Fatalf("%v before any failure", got)
			}
			hold := initialEjection
			s.baseline.failureRate = 0
			for range 5 {
				finishRequest(n, s, "r0", o, 50*time.Millisecond)
				// An answer that was under way ends a penalty, and not this.
				e.resetBackoff()
				s.limit = concurrencyLimit{}
				if got := usableRuns(n, s, route.Idempotent); got["r0"] != 0 {
					t.Errorf("outcome %d: %v right after", o, got)
				}
				time.Sleep(hold - 2*time.Millisecond)
				if e.passiveSuspicion(n.clock.Now()) < suspicionThreshold {
					t.Errorf("outcome %d: back after less than %v", o, hold)
				}
				time.Sleep(4 * time.Millisecond)
				if got := usableRuns(n, s, route.Once); got["r0"] != 0 {
					t.Errorf("outcome %d: on trial with requests that may run once: %v", o, got)
				}
				for k := range recoverAfter - 1 {
					if got := usableRuns(n, s, route.Idempotent); got["r0"] != 1+k {
						t.Errorf("outcome %d: %d on trial after %d answers", o, got["r0"], k)
					}
					finishRequest(n, s, "r0", answered, 100*time.Millisecond)
				}
				hold = min(2*hold, maxEjection)
			}
			finishRequest(n, s, "r0", answered, 100*time.Millisecond)
			if got := usableRuns(n, s, route.Once); got["r0"] < 4 {
				t.Errorf("outcome %d: %v once it is well", o, got)
			}
		})
	}
}

// TestFateWindow: where failures are common in the service, one says little; a run whose
// window has many more of them than its peers' is passed over.
func TestFateWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		s.baseline.failureRate = 0.3
		e := s.endpoints["r0"]
		for k := range passiveWindow {
			s.baseline.failureRate = 0.3
			finishRequest(n, s, "r0", reset, 10*time.Millisecond)
			e.resetBackoff()
			if k == 0 && e.passive.unhealthy {
				t.Error("ill by one failure of many")
			}
			if e.passive.unhealthy {
				return
			}
			finishRequest(n, s, "r0", answered, 100*time.Millisecond)
			if e.passive.unhealthy {
				return
			}
		}
		t.Error("half of its requests failed, and it is not passed over")
	})
}

// TestSilentRun: a request that waits for longer than its peers' answers make likely has
// the run passed over while it waits; the answer ends that.
func TestSilentRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		s.mu.Lock()
		g := s.hold(s.endpoints["r0"], n.clock.Now())
		s.mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		if s.endpoints["r0"].passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
			t.Error("suspected after an answer's usual time")
		}
		time.Sleep(time.Second)
		if s.endpoints["r0"].passiveSuspicion(n.clock.Now()) < suspicionThreshold {
			t.Error("not suspected after 1.15 s; answers take 0.1 s")
		}
		s.release(g, answered, 1150*time.Millisecond, 0)
		if s.endpoints["r0"].passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
			t.Error("still suspected after its answer")
		}
	})
}

// TestFatesOfAll: where more than half fail alike nothing is held against any of them;
// up to half of them are passed over.
func TestFatesOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		for i := range 6 {
			s.baseline.failureRate = 0
			finishRequest(n, s, fmt.Sprint("r", i), reset, time.Millisecond)
			s.endpoints[fmt.Sprint("r", i)].resetBackoff()
			want := 6 - i - 1
			if i >= 3 {
				want = 6
			}
			if got := usableRuns(n, s, route.Once); len(got) != want {
				t.Errorf("%d ill: %v", i+1, got)
			}
		}
		// Neither are they where the others are silent.
		for i := 1; i < 6; i++ {
			s.endpoints[fmt.Sprint("r", i)].passive = nil
		}
		for i := 1; i < 4; i++ {
			now := n.clock.Now()
			s.endpoints[fmt.Sprint("r", i)].recordFailure(now, now, initialBackoff)
		}
		if got := usableRuns(n, s, route.Once); got["r0"] == 0 || len(got) != 3 {
			t.Errorf("three under penalty, one ill: %v", got)
		}
	})
}

// TestNoFault: full targets, and slow ones where all are, are not ill.
func TestNoFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		for range 50 {
			finishRequest(n, s, "r0", turnedAway, time.Millisecond)
			finishRequest(n, s, "r1", withheld, time.Millisecond)
		}
		for _, id := range []string{"r0", "r1"} {
			if s.endpoints[id].passive.unhealthy || s.endpoints[id].passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
				t.Errorf("%s is held for ill, for being full", id)
			}
		}
		for k := range 30 {
			for i := range 6 {
				finishRequest(n, s, fmt.Sprint("r", i), answered, time.Duration(170+(31*k+17*i)%120)*time.Millisecond)
			}
		}
		for id, e := range s.endpoints {
			if e.passive != nil && e.passive.unhealthy || e.passiveSuspicion(n.clock.Now()) >= suspicionThreshold {
				t.Errorf("%s is held for ill", id)
			}
		}
		// What full targets do to the limit is another matter.
		s.limit = concurrencyLimit{}
		if got := usableRuns(n, s, route.Once); len(got) != 6 {
			t.Errorf("%v", got)
		}
	})
}

// TestOldFailure: what went out before a run was held for ill says nothing new.
func TestOldFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := warmService(6)
		e := s.endpoints["r0"]
		began := n.clock.Now()
		time.Sleep(time.Millisecond)
		e.recordOutcome(n.clock.Now(), began, reset, 0)
		was := *e.passive
		if !was.unhealthy {
			t.Fatal("not ill after a reset")
		}
		e.recordOutcome(n.clock.Now(), began, reset, 0)
		e.recordOutcome(n.clock.Now(), began, answered, 0)
		if *e.passive != was {
			t.Errorf("%+v, was %+v", *e.passive, was)
		}
	})
}

// TestFatesAreSmall: a node may know thousands of runs, and serves from little processor time.
func TestFatesAreSmall(t *testing.T) {
	if k := unsafe.Sizeof(passiveHealth{}); k > 160 {
		t.Errorf("%d bytes a run", k)
	}
	n, s := warmService(48)
	x := testExchange(n, s, route.Idempotent)
	now := n.clock.Now()
	e := s.endpoints["r0"]
	if k := testing.AllocsPerRun(100, func() {
		s.pick(now, x)
		e.recordOutcome(now, now, answered, 100*time.Millisecond)
		e.recordOutcome(now, now, reset, 100*time.Millisecond)
	}); k != 0 {
		t.Errorf("%v allocations a request", k)
	}
}

// BenchmarkPick is one choice among 48 runs, with fates known and without.
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

// BenchmarkMet is one answer taken into the windows.
func BenchmarkMet(b *testing.B) {
	n, s := warmService(48)
	now := n.clock.Now()
	e := s.endpoints["r0"]
	b.ReportAllocs()
	k := 0
	for b.Loop() {
		k++
		e.recordOutcome(now, now, answered, time.Duration(70+k%60)*time.Millisecond)
	}
}
