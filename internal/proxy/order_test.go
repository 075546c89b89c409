package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

// TestUnsynced checks that a node that may not have received a route yet never answers 404,
// and that a synced one does.
func TestUnsynced(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.startTarget("one", nil, serveOK)
	if g := l.request("/nowhere/x", "q1", time.Second); g.status != 503 || g.header.Get(testHeaders.RetryAfter) == "" || g.header.Get(testHeaders.RequestID) != "q1" {
		t.Errorf("unsynced: %+v", g)
	}
	if l.node.Ready() {
		t.Error("ready without routes")
	}
	l.routes(1)
	if !l.node.Ready() {
		t.Error("not ready with routes")
	}
	for _, p := range []string{"/nowhere/x", "/once", "/", "/Once/x"} {
		if g := l.request(p, "q2", time.Second); g.status != 404 || g.close {
			t.Errorf("%s: %+v", p, g)
		}
	}
	l.node.ApplyItems([]item.Item{{Key: item.Key{Kind: item.Route, Name: "r/once/"}, Version: 2, Gone: true}})
	if g := l.request("/once/x", "q3", time.Second); g.status != 404 {
		t.Errorf("a dropped route: %+v", g)
	}
	// A delayed older version does not restore the route.
	l.node.ApplyItems([]item.Item{route.Route{Name: "r/once/", Version: 1, Host: "h", Prefix: "/once/", Repeat: route.AtMostOnce, Shares: []route.Share{{Service: "svc", Weight: 1}}}.Item()})
	if g := l.request("/once/x", "q4", time.Second); g.status != 404 {
		t.Errorf("a dropped route came back: %+v", g)
	}
}

// TestLateNews checks that a node refuses requests, also those without a route, while its updates are
// so old that a change may be in force that it has not received. Later it considers itself cut off and
// serves with what it knows. New updates make it serve again at once.
func TestLateNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), func(s *Settings) { s.NewsWithin, s.NewsLost = 2*time.Second, 3*time.Second })
		l.startTarget("one", nil, serveOK)
		l.routes(1)
		asOf := time.Now()
		l.node.SetAsOf(asOf)
		for i, c := range []struct {
			at               time.Duration
			served, unrouted int
		}{{0, 200, 404}, {1990 * time.Millisecond, 200, 404}, {2010 * time.Millisecond, 503, 503}, {2990 * time.Millisecond, 503, 503}, {3010 * time.Millisecond, 200, 404}} {
			time.Sleep(c.at - time.Since(asOf))
			for path, want := range map[string]int{"/once/x": c.served, "/nowhere/x": c.unrouted} {
				id := fmt.Sprint(path, i)
				g := l.request(path, id, time.Second)
				if g.status != want || (g.status == 503) != (g.header.Get(testHeaders.RetryAfter) != "") || (want == 200) != (l.runCount(id) == 1) {
					t.Errorf("%v old: %s: %+v, ran %d times", c.at, path, g, l.runCount(id))
				}
			}
		}
		if st := l.node.Stats(); st.Behind != 4 || st.Refused != 4 {
			t.Errorf("%+v", st)
		}
		l.node.SetAsOf(time.Now().Add(-2500 * time.Millisecond))
		if g := l.request("/once/x", "late", time.Second); g.status != 503 {
			t.Errorf("late again: %+v", g)
		}
		l.node.SetAsOf(time.Now())
		if g := l.request("/once/x", "new", time.Second); g.status != 200 {
			t.Errorf("with a fresh configuration: %+v", g)
		}
		l.close()
	})
}

// TestNoTarget checks that a service without a usable run is refused at once.
func TestNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(1)
		began := time.Now()
		g := l.request("/once/x", "q1", 3*time.Second)
		if g.status != 503 || g.header.Get(testHeaders.RetryAfter) == "" || time.Since(began) != 0 {
			t.Errorf("%+v after %v", g, time.Since(began))
		}
		l.node.ApplyRuns([]target.Run{{ID: "x", Service: "svc", Addr: "pipe9", Zone: "a", Slots: 1, State: target.Draining, Seq: 1}})
		if g := l.request("/once/x", "q2", 3*time.Second); g.status != 503 {
			t.Errorf("%+v", g)
		}
		l.close()
	})
}

// TestPriority checks that under overload the highest priority is served before
// the others, nobody waits longer than a quarter of its latency target, every request is answered, and
// the lowest priority is served now and then.
func TestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.node.ApplyItems([]item.Item{
			route.Service{Name: "svc", Version: 1, MaxConns: 100}.Item(),
			route.Route{Name: "hi", Version: 1, Host: "h", Prefix: "/hi/", Repeat: route.AtMostOnce, AimMS: 400, Priority: 0, Shares: []route.Share{{Service: "svc", Weight: 1}}}.Item(),
			route.Route{Name: "lo", Version: 1, Host: "h", Prefix: "/lo/", Repeat: route.AtMostOnce, AimMS: 400, Priority: 2, Shares: []route.Share{{Service: "svc", Weight: 1}}}.Item(),
		})
		l.node.SetSynced(true)
		// The target accepts two requests but works on one at a time: 50 a second, while 62 of
		// each priority arrive.
		slot := make(chan struct{}, 1)
		l.startTarget("one", func(r *target.Run) { r.Slots = 1 }, func(l *harness, c net.Conn, s *receivedRequest) bool {
			slot <- struct{}{}
			time.Sleep(20 * time.Millisecond)
			<-slot
			return serveOK(l, c, s)
		})
		var mu sync.Mutex
		served, requested := map[string]int{}, map[string]int{}
		refusedAfter := time.Duration(0)
		var wg sync.WaitGroup
		for i := range 400 {
			kind := "hi"
			if i%2 == 1 {
				kind = "lo"
			}
			wg.Go(func() {
				id := fmt.Sprint(kind, i)
				began := time.Now()
				g := l.request("/"+kind+"/x", id, 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				requested[kind]++
				switch {
				case g.validFor(id):
					served[kind]++
				case g.status == 503 && g.header.Get(testHeaders.RetryAfter) != "" && l.runCount(id) == 0:
					refusedAfter = max(refusedAfter, time.Since(began))
				default:
					t.Errorf("%s got %+v", id, g)
				}
			})
			time.Sleep(8 * time.Millisecond)
		}
		wg.Wait()
		t.Logf("served %v of %v, refused after %v at most", served, requested, refusedAfter)
		if served["hi"] < 4*served["lo"] || served["lo"] < 10 || served["hi"]+served["lo"] < 150 {
			t.Errorf("served %v of %v", served, requested)
		}
		if refusedAfter > 80*time.Millisecond {
			t.Errorf("refused only after %v", refusedAfter)
		}
		l.close()
	})
}

// TestRetryGrows checks that Retry-After is longer under overload than at low load.
func TestRetryGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(1)
		l.startTarget("one", func(r *target.Run) { r.Slots = 1 }, delayed(200*time.Millisecond, serveOK))
		longestRetryAfter := func(n int) (most time.Duration) {
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range n {
				wg.Go(func() {
					g := l.request("/once/x", fmt.Sprint("n", n, "-", i), 3*time.Second)
					if v := g.header.Get(testHeaders.RetryAfter); v != "" {
						d, err := time.ParseDuration(v + "s")
						if err != nil || g.status != 503 || d < minRetryAfter || d > time.Second {
							t.Errorf("Retry-After %q with status %d", v, g.status)
						}
						mu.Lock()
						most = max(most, d)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
			return most
		}
		few, many := longestRetryAfter(4), longestRetryAfter(100)
		if few == 0 || many <= few {
			t.Errorf("Retry-After %v with few requests and %v with many", few, many)
		}
		l.close()
	})
}

// TestStop checks that a planned stop makes the node not ready at once, accepts callers for a
// while, cuts nothing off, and ends when every request is answered.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(1)
		l.startTarget("one", func(r *target.Run) { r.Slots = 50 }, delayed(4*time.Second, serveOK))
		idle := l.client()
		if g, err := idle.call("GET", "/none/", "warm", time.Second); err != nil || g.close {
			t.Fatal(g, err)
		}
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				id := fmt.Sprint("q", i)
				if g := l.request("/once/x", id, 10*time.Second); !g.validFor(id) {
					t.Errorf("%s got %+v", id, g)
				}
			})
		}
		time.Sleep(time.Second)
		began := time.Now()
		var stopped time.Duration
		wg.Go(func() {
			if err := l.node.Stop(t.Context()); err != nil {
				t.Error(err)
			}
			stopped = time.Since(began)
		})
		synctest.Wait()
		if l.node.Ready() {
			t.Error("still ready")
		}
		time.Sleep(time.Second)
		if g := l.request("/none/x", "late", time.Second); g.status != 404 || !g.close {
			t.Errorf("while stopping: %+v", g)
		}
		closed := time.Duration(0)
		wg.Go(func() {
			_, err := idle.r.ReadByte()
			if err != io.EOF {
				t.Errorf("an idle caller got %v", err)
			}
			closed = time.Since(began)
		})
		wg.Wait()
		if closed != 2500*time.Millisecond {
			t.Errorf("an idle caller was closed after %v", closed)
		}
		// The requests in flight end after 3 s.
		if stopped != 3*time.Second {
			t.Errorf("stopped after %v", stopped)
		}
	})
}

// TestStopKeepsToTheGrace checks that a request that a target still works on is not answered in its
// place, and that the node does not wait past its grace period.
func TestStopKeepsToTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(1)
		l.startTarget("one", nil, delayed(30*time.Second, serveOK))
		c := l.client()
		if err := c.send("GET", "/once/x", "q1", 60*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		began := time.Now()
		err := l.node.Stop(t.Context())
		if err == nil || !strings.Contains(err.Error(), "1 requests") || time.Since(began) != 5700*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		go func() { time.Sleep(time.Second); _ = c.c.Close() }()
		if g, err := c.read(); err == nil {
			t.Errorf("answered %+v", g)
		}
		l.close()
	})
}

// TestStopMeetsRequest checks that a request that arrives just when idle connections are
// closed is either served completely or not read.
func TestStopMeetsRequest(t *testing.T) {
	for i := range 50 {
		l := newHarness(t, loopback{}, func(s *Settings) { s.Linger = time.Nanosecond })
		l.routes(1)
		l.startTarget("one", nil, serveOK)
		c := l.client()
		id := fmt.Sprint("q", i)
		if g, err := c.call("GET", "/once/x", "warm", 5*time.Second); err != nil || !g.validFor("warm") {
			t.Fatal(g, err)
		}
		done := make(chan error)
		go func() { done <- l.node.Stop(t.Context()) }()
		g, err := c.call("GET", "/once/x", id, 5*time.Second)
		switch {
		case err == nil && g.validFor(id):
		case err != nil && l.runCount(id) == 0:
		default:
			t.Errorf("got %+v, %v; ran %d times", g, err, l.runCount(id))
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.close()
	}
}

// TestDraining checks that a draining run gets no request from the moment the node knows.
func TestDraining(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.startTarget("one", nil, serveOK)
	l.startTarget("two", nil, serveOK)
	for i := range 40 {
		id := fmt.Sprint("q", i)
		if i == 20 {
			l.node.ApplyRuns([]target.Run{{ID: "one", Service: "svc", State: target.Draining, Seq: 5}})
			// A delayed update with an earlier heartbeat.
			l.node.ApplyRuns([]target.Run{{ID: "one", Service: "svc", Addr: l.targets["one"].ln.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: 3}})
		}
		if g := l.request("/once/x", id, 5*time.Second); !g.validFor(id) {
			t.Errorf("%+v", g)
		}
	}
	for _, s := range l.requests()[20:] {
		if s.targetID == "one" {
			t.Errorf("%s was sent to a draining run", s.id)
		}
	}
}
