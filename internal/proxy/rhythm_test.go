package proxy

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

func newTestPacer(free float64) *probePacer {
	r := &probePacer{base: 4 * time.Second, freeRate: free}
	r.current.Store(int64(r.base))
	return r
}

// TestRhythm: the interval grows until probes are within what is free or a tenth of the
// requests, goes back when more is asked, and does not swing between two.
func TestRhythm(t *testing.T) {
	for _, c := range []struct {
		runs   int
		asked  float64 // a second
		within time.Duration
	}{
		{8, 0, 4 * time.Second},
		{16, 0, 8 * time.Second},
		{40, 0, 32 * time.Second}, // 16 s would be 2.5 a second
		{1000, 0, 32 * time.Second},
		{24, 20, 16 * time.Second},
		{24, 80, 4 * time.Second},
		{1000, 191, 32 * time.Second},
		{1000, 3200, 4 * time.Second},
	} {
		r := newTestPacer(2)
		var n float64
		changes := 0
		for range 240 { // two minutes
			n += c.asked / 2
			if r.adjust(probeTick, uint64(n), c.runs) {
				changes++
			}
		}
		if r.interval() != c.within || changes > 6 {
			t.Errorf("%d runs, %v asked a second: every %v after %d changes, want %v", c.runs, c.asked, r.interval(), changes, c.within)
		}
	}
	// From busy to calm and back.
	r := newTestPacer(2)
	n := 0.0
	for _, x := range []struct {
		asked float64
		want  time.Duration
	}{{500, 4 * time.Second}, {1, 32 * time.Second}, {500, 4 * time.Second}} {
		for range 240 {
			n += x.asked / 2
			r.adjust(probeTick, uint64(n), 100)
		}
		if r.interval() != x.want {
			t.Errorf("%v a second: every %v, want %v", x.asked, r.interval(), x.want)
		}
	}
}

// TestSeldomProbed: where a node works with many runs and has little to do, it probes them
// seldom, suspects none of them for that, and finds one that falls silent all the same; one
// that is passed over is probed as usual, and found well soon after it is.
func TestSeldomProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t, newPipes(), nil)
		l.routes(1)
		probes, dead := 0, false
		for i := range 24 {
			id := fmt.Sprint("r", i)
			s := l.stand(id, nil, sealed)
			s.mu.Lock()
			s.health = func(l *lab, c net.Conn, q *seen) bool {
				l.mu.Lock()
				probes++
				silent := dead && id == "r7"
				l.mu.Unlock()
				if silent {
					time.Sleep(time.Hour)
				}
				return healthy(l, c, q)
			}
			s.mu.Unlock()
		}
		s := l.node.all()[0]
		worst := 0.0
		pass := func(d time.Duration) {
			for range int(d / time.Second) {
				s.mu.Lock()
				// It works with all of them, and sends nobody any request that stands in.
				s.recentPeak, s.usedAt = 1000, time.Now()
				for id, e := range s.endpoints {
					if id != "r7" || !dead {
						worst = max(worst, e.suspicion(time.Now()))
					}
				}
				s.mu.Unlock()
				time.Sleep(time.Second)
			}
		}
		l.call("/idem/x", "q", time.Second)
		pass(60 * time.Second)
		if e := l.node.rhythm.interval(); e != 16*time.Second {
			t.Errorf("every %v", e)
		}
		l.mu.Lock()
		probes = 0
		l.mu.Unlock()
		pass(5 * time.Minute)
		l.mu.Lock()
		n := probes
		dead = true
		l.mu.Unlock()
		if n < 300 || n > 600 {
			t.Errorf("%d probes in 5 minutes, 450 are to be expected", n)
		}
		if worst >= suspicionThreshold {
			t.Errorf("a run that is well has a suspicion of %v", worst)
		}
		for _, st := range l.stands {
			if st.id == "r7" {
				st.cut()
			}
		}
		pass(80 * time.Second)
		s.mu.Lock()
		w := s.endpoints["r7"].suspicion(time.Now())
		s.mu.Unlock()
		if w < suspicionThreshold {
			t.Errorf("a silent run has a suspicion of %v after 80 s", w)
		}
		l.mu.Lock()
		dead = false
		l.mu.Unlock()
		l.stands["r7"].cut()
		pass(15 * time.Second)
		s.mu.Lock()
		w = s.endpoints["r7"].suspicion(time.Now())
		s.mu.Unlock()
		if w >= suspicionThreshold {
			t.Errorf("a run that is well again has a suspicion of %v after 15 s", w)
		}
		l.close()
	})
}
