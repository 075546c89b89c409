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

// TestRhythm: the interval grows until the probe rate is within the free rate or a tenth of the
// request rate, shrinks when the request rate rises, and does not oscillate.
func TestRhythm(t *testing.T) {
	for _, c := range []struct {
		runs        int
		requestRate float64 // per second
		want        time.Duration
	}{
		{8, 0, 4 * time.Second},
		{16, 0, 8 * time.Second},
		{40, 0, 32 * time.Second}, // 16 s would be 2.5 probes per second
		{1000, 0, 32 * time.Second},
		{24, 20, 16 * time.Second},
		{24, 80, 4 * time.Second},
		{1000, 191, 32 * time.Second},
		{1000, 3200, 4 * time.Second},
	} {
		r := newTestPacer(2)
		var requests float64
		changes := 0
		for range 240 { // two minutes
			requests += c.requestRate / 2
			if r.adjust(probeTick, uint64(requests), c.runs) {
				changes++
			}
		}
		if r.interval() != c.want || changes > 6 {
			t.Errorf("%d endpoints, %v requests per second: interval %v after %d changes, want %v", c.runs, c.requestRate, r.interval(), changes, c.want)
		}
	}
	// From high load to low and back.
	r := newTestPacer(2)
	requests := 0.0
	for _, x := range []struct {
		requestRate float64
		want        time.Duration
	}{{500, 4 * time.Second}, {1, 32 * time.Second}, {500, 4 * time.Second}} {
		for range 240 {
			requests += x.requestRate / 2
			r.adjust(probeTick, uint64(requests), 100)
		}
		if r.interval() != x.want {
			t.Errorf("%v requests per second: interval %v, want %v", x.requestRate, r.interval(), x.want)
		}
	}
}

// TestSeldomProbed: a node with many endpoints and little load probes them rarely, suspects none
// for that, and still detects one that becomes silent. A suspected endpoint is probed at the base
// interval, and its recovery is noticed soon.
func TestSeldomProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(1)
		probes, silenced := 0, false
		for i := range 24 {
			id := fmt.Sprint("r", i)
			s := l.startTarget(id, nil, serveOK)
			s.mu.Lock()
			s.health = func(l *harness, c net.Conn, q *receivedRequest) bool {
				l.mu.Lock()
				probes++
				silent := silenced && id == "r7"
				l.mu.Unlock()
				if silent {
					time.Sleep(time.Hour)
				}
				return healthy(l, c, q)
			}
			s.mu.Unlock()
		}
		s := l.node.allServices()[0]
		maxSuspicion := 0.0
		advance := func(d time.Duration) {
			for range int(d / time.Second) {
				s.mu.Lock()
				// Keep all endpoints in the subset, and the service in use without requests that
				// substitute for probes.
				s.recentPeak, s.lastUsed = 1000, time.Now()
				for id, e := range s.endpoints {
					if id != "r7" || !silenced {
						maxSuspicion = max(maxSuspicion, e.suspicion(time.Now()))
					}
				}
				s.mu.Unlock()
				time.Sleep(time.Second)
			}
		}
		l.request("/idem/x", "q", time.Second)
		advance(60 * time.Second)
		if e := l.node.probePacer.interval(); e != 16*time.Second {
			t.Errorf("interval %v", e)
		}
		l.mu.Lock()
		probes = 0
		l.mu.Unlock()
		advance(5 * time.Minute)
		l.mu.Lock()
		n := probes
		silenced = true
		l.mu.Unlock()
		if n < 300 || n > 600 {
			t.Errorf("%d probes in 5 minutes, about 450 expected", n)
		}
		if maxSuspicion >= suspicionThreshold {
			t.Errorf("a healthy endpoint has a suspicion of %v", maxSuspicion)
		}
		for _, st := range l.targets {
			if st.id == "r7" {
				st.closeConns()
			}
		}
		advance(80 * time.Second)
		s.mu.Lock()
		w := s.endpoints["r7"].suspicion(time.Now())
		s.mu.Unlock()
		if w < suspicionThreshold {
			t.Errorf("a silent endpoint has a suspicion of %v after 80 s", w)
		}
		l.mu.Lock()
		silenced = false
		l.mu.Unlock()
		l.targets["r7"].closeConns()
		advance(15 * time.Second)
		s.mu.Lock()
		w = s.endpoints["r7"].suspicion(time.Now())
		s.mu.Unlock()
		if w >= suspicionThreshold {
			t.Errorf("a recovered endpoint has a suspicion of %v after 15 s", w)
		}
		l.close()
	})
}
