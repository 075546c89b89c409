package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/target"
)

// randomFailures is a target that fails in a mode drawn for each request. A request counts as run
// only if the mode runs it.
func randomFailures(silent bool) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		p := rand.IntN(100)
		switch {
		case p < 40:
			return serveOK(l, c, s)
		case p < 45 && silent:
			l.recordRun(s)
			_, _ = io.Copy(io.Discard, c)
			return false
		case p < 50 && silent:
			return delayed(time.Duration(rand.IntN(600))*time.Millisecond, serveOK)(l, c, s)
		case p < 55:
			// A connection that the target closes without notice.
			serveOK(l, c, s)
			return false
		}
		return failureModes[rand.IntN(len(failureModes))].fault(l, c, s)
	}
}

// runMix sends many requests of all kinds from concurrent callers, while targets start, drain and
// take over each other's addresses.
func runMix(t *testing.T, nw network, callers, requests int, pause time.Duration, silent bool) {
	l := newHarness(t, nw, func(s *Settings) { s.Linger = time.Millisecond })
	l.routes(3)
	var names []string
	seq := uint64(1)
	for i := range 5 {
		names = append(names, fmt.Sprint("s", i))
		l.startTarget(names[i], nil, randomFailures(silent))
	}
	type result struct {
		kind, id string
		response
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for k := range callers {
		wg.Go(func() {
			var c *client
			for i := range requests {
				if c == nil {
					c = l.client()
				}
				kind := []string{"once", "once", "idem", "down"}[rand.IntN(4)]
				id := fmt.Sprintf("%s-%d-%d", kind, k, i)
				g, err := c.call("POST", "/"+kind+"/x", id, 1500*time.Millisecond)
				if err != nil {
					t.Errorf("%s: %v", id, err)
				}
				mu.Lock()
				results = append(results, result{kind, id, g})
				mu.Unlock()
				if g.close || err != nil || rand.IntN(10) == 0 {
					_ = c.c.Close()
					c = nil
				}
				if k == 0 && i%97 == 50 {
					// One target replaces another.
					old := names[0]
					names = append(names[1:], fmt.Sprint("n", i))
					l.node.ApplyRuns([]target.Run{{ID: old, Service: "svc", State: target.Draining, Seq: seq}})
					l.startTarget(names[len(names)-1], nil, randomFailures(silent))
				}
				if k == 0 && i%5 == 0 {
					// Later heartbeats restore endpoints that were marked as replaced.
					seq++
					for _, id := range names {
						l.node.ApplyRuns([]target.Run{{ID: id, Service: "svc", Addr: l.targets[id].ln.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: seq}})
					}
				}
				if g.status == 503 {
					time.Sleep(pause)
				}
			}
			if c != nil {
				_ = c.c.Close()
			}
		})
	}
	wg.Wait()
	served, refused := 0, 0
	for _, e := range results {
		if e.status == 503 {
			refused++
		}
		n := l.runCount(e.id)
		switch {
		case e.kind == "once" && n > 1:
			t.Errorf("%s ran %d times", e.id, n)
		case impliesNotRun(e.status) && n > 0:
			t.Errorf("%s was answered %d and ran", e.id, e.status)
		case e.status == 200 && !e.validFor(e.id):
			t.Errorf("%s got %+v", e.id, e.response)
		case e.status == 200:
			served++
		case e.status != 500 && e.status != 502 && e.status != 503 && e.status != 504:
			t.Errorf("%s got %+v", e.id, e.response)
		}
		if e.header.Get(testHeaders.RequestID) != e.id {
			t.Errorf("%s got an answer that names %q", e.id, e.header.Get(testHeaders.RequestID))
		}
	}
	asked := map[string]map[string]int{}
	for _, s := range l.requests() {
		if asked[s.id] == nil {
			asked[s.id] = map[string]int{}
		}
		asked[s.id][s.targetID]++
	}
	for id, runs := range asked {
		sum := 0
		for run, n := range runs {
			if sum += n; n > 1 {
				t.Errorf("%s was sent to %s %d times", id, run, n)
			}
		}
		if sum > 3 {
			t.Errorf("%s was sent %d times", id, sum)
		}
	}
	if served < (len(results)-refused)/2 || served < 500 {
		t.Errorf("%d of %d were served, %d refused", served, len(results), refused)
	}
	t.Logf("%d of %d served; %+v", served, len(results), l.node.Stats())
	l.close()
	if s := l.node.Stats(); s.Inside != 0 || s.MemoryUsed != 0 || s.Callers != 0 {
		t.Errorf("resources not released: %+v", s)
	}
	for _, s := range l.node.allServices() {
		for _, e := range s.endpoints {
			if len(e.inFlight) != 0 || e.conns != 0 {
				t.Errorf("%s: %d requests in flight, %d connections", e.run.ID, len(e.inFlight), e.conns)
			}
		}
	}
}

func TestMixOverLoopback(t *testing.T) { runMix(t, loopback{}, 8, 400, 0, false) }

func TestMixOverVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { runMix(t, newPipes(), 16, 400, 100*time.Millisecond, true) })
}

// TestBudget: with all targets failing, retries stay within the budget in every window, and some
// are made.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ratio, window = 0.2, 10 * time.Second
		l := newHarness(t, newPipes(), func(s *Settings) { s.BudgetRatio, s.BudgetWindow, s.BudgetSlack = ratio, window, 0 })
		l.routes(3)
		type arrival struct {
			at time.Time
			id string
		}
		var mu sync.Mutex
		var arrivals []arrival
		fail := func(l *harness, c net.Conn, s *receivedRequest) bool {
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), s.id})
			mu.Unlock()
			if rand.IntN(2) == 0 {
				return answerRaw("HTTP/1.1 503 Full\nX-Id: ID\nX-Not-Run: 1\nContent-Length: 0\n\n")(l, c, s)
			}
			return false
		}
		for i := range 4 {
			l.startTarget(fmt.Sprint("s", i), nil, fail)
		}
		began := time.Now()
		var sent []time.Time
		for i := range 3000 {
			// The load pauses now and then.
			if i%500 == 499 {
				time.Sleep(4 * time.Second)
			}
			time.Sleep(10 * time.Millisecond)
			sent = append(sent, time.Now())
			l.request([]string{"/once/x", "/idem/x", "/down/x"}[i%3], fmt.Sprint("q", i), time.Second)
		}
		count := func(from, to time.Time) (n int) {
			for _, s := range sent {
				if s.After(from) && !s.After(to) {
					n++
				}
			}
			return n
		}
		total := 0
		known := map[string]bool{}
		var extra []time.Time
		for _, a := range arrivals {
			if known[a.id] {
				extra = append(extra, a.at)
				total++
			}
			known[a.id] = true
		}
		for end := began; end.Before(time.Now()); end = end.Add(100 * time.Millisecond) {
			n := 0
			for _, e := range extra {
				if e.After(end.Add(-window)) && !e.After(end) {
					n++
				}
			}
			requests := max(count(end.Add(-window), end), count(end.Add(-2*window), end.Add(-window)))
			if float64(n) > ratio*float64(requests) {
				t.Fatalf("%d retries in the window that ends after %v, with %d requests", n, end.Sub(began), requests)
			}
		}
		if total < 100 {
			t.Errorf("%d retries in total", total)
		}
		l.close()
	})
}
