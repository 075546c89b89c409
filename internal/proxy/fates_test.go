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

// fated is a plan of runs r0, r1, … of which each has answered for a while, some faster,
// some slower. It needs no time.
func fated(runs int) (*Node, *service) {
	var rs []target.Run
	for i := range runs {
		rs = append(rs, at(fmt.Sprint("r", i), "a", 4))
	}
	n, s := plan(rs...)
	for k := range 20 {
		for i := range runs {
			s.took = 100 * time.Millisecond
			now := n.clock.Now()
			s.all[fmt.Sprint("r", i)].met(now, now, answered, time.Duration(70+(13*k+7*i)%60)*time.Millisecond)
		}
	}
	return n, s
}

// fate lets one request to a run end.
func fate(n *Node, s *service, id string, o outcome, d time.Duration) {
	s.mu.Lock()
	g := s.hold(s.all[id], n.clock.Now())
	s.mu.Unlock()
	time.Sleep(d)
	s.release(g, o, d, 0)
}

// usable are the runs that a request of a kind may be sent to, and with how many.
func usable(n *Node, s *service, k route.RetryPolicy) map[string]int {
	m := map[string]int{}
	for _, id := range fill(n, s, k) {
		m[id]++
	}
	for _, e := range s.all {
		for range e.starts {
			s.limit.under--
		}
		e.starts = nil
	}
	return m
}

// TestFailingRun: a run that fails a good part of its requests is passed over though it
// answers the others; it comes back by a trickle of repeatable requests, later with each
// relapse.
func TestFailingRun(t *testing.T) {
	for _, o := range []outcome{reset, spoilt, erred, mute} {
		synctest.Test(t, func(t *testing.T) {
			n, s := fated(6)
			e := s.all["r0"]
			if got := usable(n, s, route.AtMostOnce); got["r0"] == 0 {
				t.Fatalf("%v before any failure", got)
			}
			hold := firstHold
			s.norm.fail = 0
			for range 5 {
				fate(n, s, "r0", o, 50*time.Millisecond)
				// An answer that was under way ends a penalty, and not this.
				e.cleared()
				s.limit = limit{}
				if got := usable(n, s, route.Idempotent); got["r0"] != 0 {
					t.Errorf("outcome %d: %v right after", o, got)
				}
				time.Sleep(hold - 2*time.Millisecond)
				if e.illness(n.clock.Now()) < suspectAt {
					t.Errorf("outcome %d: back after less than %v", o, hold)
				}
				time.Sleep(4 * time.Millisecond)
				if got := usable(n, s, route.AtMostOnce); got["r0"] != 0 {
					t.Errorf("outcome %d: on trial with requests that may run once: %v", o, got)
				}
				for k := range wellAfter - 1 {
					if got := usable(n, s, route.Idempotent); got["r0"] != 1+k {
						t.Errorf("outcome %d: %d on trial after %d answers", o, got["r0"], k)
					}
					fate(n, s, "r0", answered, 100*time.Millisecond)
				}
				hold = min(2*hold, mostHold)
			}
			fate(n, s, "r0", answered, 100*time.Millisecond)
			if got := usable(n, s, route.AtMostOnce); got["r0"] < 4 {
				t.Errorf("outcome %d: %v once it is well", o, got)
			}
		})
	}
}

// TestFateWindow: where failures are common in the service, one says little; a run whose
// window has many more of them than its peers' is passed over.
func TestFateWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := fated(6)
		s.norm.fail = 0.3
		e := s.all["r0"]
		for k := range fateGaps {
			s.norm.fail = 0.3
			fate(n, s, "r0", reset, 10*time.Millisecond)
			e.cleared()
			if k == 0 && e.fates.ill {
				t.Error("ill by one failure of many")
			}
			if e.fates.ill {
				return
			}
			fate(n, s, "r0", answered, 100*time.Millisecond)
			if e.fates.ill {
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
		n, s := fated(6)
		s.mu.Lock()
		g := s.hold(s.all["r0"], n.clock.Now())
		s.mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		if s.all["r0"].illness(n.clock.Now()) >= suspectAt {
			t.Error("suspected after an answer's usual time")
		}
		time.Sleep(time.Second)
		if s.all["r0"].illness(n.clock.Now()) < suspectAt {
			t.Error("not suspected after 1.15 s; answers take 0.1 s")
		}
		s.release(g, answered, 1150*time.Millisecond, 0)
		if s.all["r0"].illness(n.clock.Now()) >= suspectAt {
			t.Error("still suspected after its answer")
		}
	})
}

// TestFatesOfAll: where more than half fail alike nothing is held against any of them;
// up to half of them are passed over.
func TestFatesOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := fated(6)
		for i := range 6 {
			s.norm.fail = 0
			fate(n, s, fmt.Sprint("r", i), reset, time.Millisecond)
			s.all[fmt.Sprint("r", i)].cleared()
			want := 6 - i - 1
			if i >= 3 {
				want = 6
			}
			if got := usable(n, s, route.AtMostOnce); len(got) != want {
				t.Errorf("%d ill: %v", i+1, got)
			}
		}
		// Neither are they where the others are silent.
		for i := 1; i < 6; i++ {
			s.all[fmt.Sprint("r", i)].fates = nil
		}
		for i := 1; i < 4; i++ {
			now := n.clock.Now()
			s.all[fmt.Sprint("r", i)].failed(now, now, firstPenalty)
		}
		if got := usable(n, s, route.AtMostOnce); got["r0"] == 0 || len(got) != 3 {
			t.Errorf("three under penalty, one ill: %v", got)
		}
	})
}

// TestNoFault: full targets, and slow ones where all are, are not ill.
func TestNoFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := fated(6)
		for range 50 {
			fate(n, s, "r0", turnedAway, time.Millisecond)
			fate(n, s, "r1", withheld, time.Millisecond)
		}
		for _, id := range []string{"r0", "r1"} {
			if s.all[id].fates.ill || s.all[id].illness(n.clock.Now()) >= suspectAt {
				t.Errorf("%s is held for ill, for being full", id)
			}
		}
		for k := range 30 {
			for i := range 6 {
				fate(n, s, fmt.Sprint("r", i), answered, time.Duration(170+(31*k+17*i)%120)*time.Millisecond)
			}
		}
		for id, e := range s.all {
			if e.fates != nil && e.fates.ill || e.illness(n.clock.Now()) >= suspectAt {
				t.Errorf("%s is held for ill", id)
			}
		}
		// What full targets do to the limit is another matter.
		s.limit = limit{}
		if got := usable(n, s, route.AtMostOnce); len(got) != 6 {
			t.Errorf("%v", got)
		}
	})
}

// TestOldFailure: what went out before a run was held for ill says nothing new.
func TestOldFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := fated(6)
		e := s.all["r0"]
		began := n.clock.Now()
		time.Sleep(time.Millisecond)
		e.met(n.clock.Now(), began, reset, 0)
		was := *e.fates
		if !was.ill {
			t.Fatal("not ill after a reset")
		}
		e.met(n.clock.Now(), began, reset, 0)
		e.met(n.clock.Now(), began, answered, 0)
		if *e.fates != was {
			t.Errorf("%+v, was %+v", *e.fates, was)
		}
	})
}

// TestFatesAreSmall: a node may know thousands of runs, and serves from little processor time.
func TestFatesAreSmall(t *testing.T) {
	if k := unsafe.Sizeof(fates{}); k > 160 {
		t.Errorf("%d bytes a run", k)
	}
	n, s := fated(48)
	x := ask(n, s, route.Idempotent)
	now := n.clock.Now()
	e := s.all["r0"]
	if k := testing.AllocsPerRun(100, func() {
		s.pick(now, x)
		e.met(now, now, answered, 100*time.Millisecond)
		e.met(now, now, reset, 100*time.Millisecond)
	}); k != 0 {
		t.Errorf("%v allocations a request", k)
	}
}

// BenchmarkPick is one choice among 48 runs, with fates known and without.
func BenchmarkPick(b *testing.B) {
	for _, known := range []bool{true, false} {
		b.Run(fmt.Sprint("fates=", known), func(b *testing.B) {
			n, s := fated(48)
			x := ask(n, s, route.Idempotent)
			now := n.clock.Now()
			for _, e := range s.work {
				e.probed = true
				e.watch(now)
				if !known {
					e.fates = nil
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
	n, s := fated(48)
	now := n.clock.Now()
	e := s.all["r0"]
	b.ReportAllocs()
	k := 0
	for b.Loop() {
		k++
		e.met(now, now, answered, time.Duration(70+k%60)*time.Millisecond)
	}
}
