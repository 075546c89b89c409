package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/target"
)

func resetConn(c net.Conn) bool {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	return false
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// failureMode is one way in which the first target that gets a request can fail.
type failureMode struct {
	name                   string
	fault                  handler
	onceStatus, idemStatus int // the status that the caller gets
	// onceRuns is how often a request that must run at most once is run.
	onceRuns int
}

func runThen(do handler) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		l.recordRun(s)
		return do(l, c, s)
	}
}

func answerRaw(f string) handler {
	return func(_ *harness, c net.Conn, s *receivedRequest) bool {
		return write(c, strings.ReplaceAll(strings.ReplaceAll(f, "\n", "\r\n"), "ID", s.id))
	}
}

func answerRawThenClose(f string) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool { answerRaw(f)(l, c, s); return false }
}

var failureModes = []failureMode{
	{"reset after reading", runThen(func(_ *harness, c net.Conn, _ *receivedRequest) bool { return resetConn(c) }), 502, 200, 1},
	{"closed after reading", runThen(func(*harness, net.Conn, *receivedRequest) bool { return false }), 502, 200, 1},
	{"half a body", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\nContent-Length: 10\n\nhalf")), 502, 200, 1},
	{"half a head", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Se")), 502, 200, 1},
	{"no last chunk", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\nTransfer-Encoding: chunked\n\n4\nhalf\n")), 502, 200, 1},
	{"last chunk cut", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\nTransfer-Encoding: chunked\n\n4\nhalf\n0\n")), 502, 200, 1},
	{"broken chunk", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\nTransfer-Encoding: chunked\n\n2\nhalf\n0\n\n")), 502, 200, 1},
	{"another request's answer", runThen(answerRaw("HTTP/1.1 200 OK\nX-Id: other\nX-Seal: s\nContent-Length: 1\n\nx")), 502, 200, 1},
	{"another request's word that it did not run", runThen(answerRaw("HTTP/1.1 503 Full\nX-Id: other\nX-Not-Run: 1\nContent-Length: 0\n\n")), 502, 200, 1},
	{"two ids", runThen(answerRaw("HTTP/1.1 200 OK\nX-Id: ID\nX-Id: other\nX-Seal: s\nContent-Length: 1\n\nx")), 502, 200, 1},
	{"no id", runThen(answerRaw("HTTP/1.1 200 OK\nX-Seal: s\nContent-Length: 1\n\nx")), 502, 200, 1},
	{"no seal", runThen(answerRaw("HTTP/1.1 200 OK\nX-Id: ID\nContent-Length: 1\n\nx")), 502, 200, 1},
	{"empty seal", runThen(answerRaw("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal:\nContent-Length: 1\n\nx")), 502, 200, 1},
	{"an encoding", runThen(answerRaw("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\nContent-Encoding: gzip\nContent-Length: 1\n\nx")), 502, 200, 1},
	{"two lengths", runThen(answerRaw("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\nContent-Length: 4\nContent-Length: 1\n\nx123")), 502, 200, 1},
	{"no end", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\n\nall of it?")), 502, 200, 1},
	{"no end, but as chunks", runThen(answerRawThenClose("HTTP/1.1 200 OK\nX-Id: ID\nX-Seal: s\n\n4\nbody\n0\n\n")), 502, 200, 1},
	{"a success that says it did not run", runThen(func(_ *harness, c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nX-Not-Run: 1\r\n", answerBody(s.id))
	}), 200, 200, 1},
	{"no HTTP", runThen(answerRawThenClose("garble garble\n\n")), 502, 200, 1},
	{"switching protocols", runThen(answerRaw("HTTP/1.1 101 Switching\nX-Id: ID\nX-Seal: s\n\n")), 502, 200, 1},
	{"not run, full", answerRaw("HTTP/1.1 503 Full\nX-Id: ID\nX-Not-Run: 1\nContent-Length: 0\n\n"), 200, 200, 1},
	{"not run, 429", answerRaw("HTTP/1.1 429 Full\nX-Id: ID\nX-Not-Run: 1\nContent-Length: 0\n\n"), 200, 200, 1},
	{"misdirected", answerMisdirected, 200, 200, 1},
	{"503 without a word", runThen(answerRaw("HTTP/1.1 503 Bad\nX-Id: ID\nContent-Length: 0\n\n")), 502, 200, 1},
	{"429 without a word", runThen(answerRaw("HTTP/1.1 429 Bad\nX-Id: ID\nContent-Length: 0\n\n")), 502, 200, 1},
	{"its own 500", runThen(answerRaw("HTTP/1.1 500 Bad\nX-Id: ID\nContent-Length: 3\n\nbad")), 500, 500, 1},
	{"its own 504", runThen(answerRaw("HTTP/1.1 504 Late\nX-Id: ID\nContent-Length: 0\n\n")), 504, 504, 1},
	{"interim answers", runThen(func(l *harness, c net.Conn, s *receivedRequest) bool {
		return answerRaw("HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Hints\nX-Id: other\n\n")(l, c, s) &&
			writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}), 200, 200, 1},
	{"closing", runThen(func(_ *harness, c net.Conn, s *receivedRequest) bool {
		writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nConnection: Close\r\n", answerBody(s.id))
		return false
	}), 200, 200, 1},
}

// TestWaysToFail lets the first target that gets a request fail in each mode, over loopback: the
// caller gets a complete answer or a truthful status, and a request that must run at most once
// does so.
func TestWaysToFail(t *testing.T) {
	for _, w := range failureModes {
		for _, kind := range []string{"once", "idem", "down"} {
			t.Run(w.name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				l := newHarness(t, loopback{}, nil)
				l.routes(2)
				l.startTarget("one", nil, failFirst(w.fault))
				l.startTarget("two", nil, failFirst(w.fault))
				want := w.idemStatus
				if kind == "once" {
					want = w.onceStatus
				}
				g := l.request("/"+kind+"/x", "q1", 5*time.Second)
				if g.status != want || want == 200 && !g.validFor("q1") {
					t.Errorf("caller got %+v, want %d", g, want)
				}
				if kind == "once" && l.runCount("q1") != w.onceRuns {
					t.Errorf("ran %d times, want %d", l.runCount("q1"), w.onceRuns)
				}
				// The failure does not affect later requests.
				for i := range 3 {
					id := fmt.Sprint("later", i)
					if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) {
						t.Errorf("%s got %+v", id, g)
					}
				}
			})
		}
	}
}

// TestRefusedConnect: an unreachable target costs neither retry budget nor an attempt, and is not
// chosen for the next request.
func TestRefusedConnect(t *testing.T) {
	for _, kind := range []string{"once", "idem", "down"} {
		l := newHarness(t, loopback{}, func(s *Settings) { s.BudgetRatio = 0 })
		l.routes(1)
		for _, id := range []string{"one", "two", "three"} {
			s := l.startTarget(id, nil, serveOK)
			if id != "two" {
				s.stop()
			}
		}
		for i := range 4 {
			id := fmt.Sprint(kind, i)
			if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) || l.runCount(id) != 1 {
				t.Errorf("%s got %+v, ran %d times", id, g, l.runCount(id))
			}
		}
		// At most half of the three are ejected together, so one of the two unreachable ones may
		// be chosen again.
		if n := l.node.Stats().DialsFailed; n > 5 {
			t.Errorf("%d connects failed", n)
		}
	}
}

// TestResetBeforeReading: the target resets a connection without reading. The node cannot know
// whether the request was read, so it runs at most once, and elsewhere only if no byte was sent.
func TestResetBeforeReading(t *testing.T) {
	for _, kind := range []string{"once", "idem"} {
		l := newHarness(t, loopback{}, nil)
		l.routes(2)
		l.startTarget("good", nil, serveOK)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				resetConn(c)
			}
		}()
		l.node.ApplyRuns([]target.Run{{ID: "full", Service: "svc", Addr: ln.Addr().String(), Zone: "a", Slots: 40, State: target.Ready, Seq: 1}})
		for i := range 20 {
			id := fmt.Sprint(kind, i)
			g := l.request("/"+kind+"/x", id, 5*time.Second)
			switch {
			case g.validFor(id) && l.runCount(id) == 1:
			case kind == "once" && g.status == 502 && l.runCount(id) == 0:
			default:
				t.Errorf("%s got %+v, ran %d times", id, g, l.runCount(id))
			}
		}
	}
}

// TestSurplus: bytes after a complete answer belong to no request.
func TestSurplus(t *testing.T) {
	for _, kind := range []string{"once", "idem"} {
		l := newHarness(t, loopback{}, nil)
		l.routes(2)
		l.startTarget("one", nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
			l.recordRun(s)
			b := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(answerBody(s.id)), answerBody(s.id))
			return write(c, b+"HTTP/1.1 200 OK\r\nX-Id: next\r\nX-Seal: s\r\nContent-Length: 1\r\n\r\nx")
		})
		for i := range 5 {
			id := fmt.Sprint("q", i)
			if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) {
				t.Errorf("got %+v", g)
			}
		}
		for _, s := range l.requests() {
			if s.connIndex != 1 {
				t.Errorf("%s was sent on a connection with surplus bytes", s.id)
			}
		}
	}
}

// TestForgottenIdle: a connection that its target closed while it was idle is detected before a
// request is written to it.
func TestForgottenIdle(t *testing.T) {
	for _, kind := range []string{"once", "idem"} {
		l := newHarness(t, loopback{}, nil)
		l.routes(1)
		s := l.startTarget("one", nil, serveOK)
		for i := range 5 {
			id := fmt.Sprint("q", i)
			if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) || l.runCount(id) != 1 {
				t.Errorf("%s got %+v, ran %d times", id, g, l.runCount(id))
			}
			s.closeConns()
			waitFor(t, func() bool { return !idleAlive(l.node) })
		}
		if n := l.node.Stats().Stale; n != 0 {
			t.Errorf("%d connections failed during a request", n)
		}
	}
}

// idleAlive reports whether any idle connection still looks alive.
func idleAlive(n *Node) bool {
	for _, s := range n.allServices() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.endpoints {
			for _, c := range e.idle {
				_ = c.nc.SetDeadline(time.Time{})
				if c.alive() {
					return true
				}
			}
		}
	}
	return false
}

// waitFor polls until the operating system has made a change visible.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("the test ended")
		}
	}
}

// TestReuse: sequential requests share a connection.
func TestReuse(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.startTarget("one", nil, serveOK)
	for i := range 10 {
		id := fmt.Sprint("q", i)
		if g := l.request("/once/x", id, 5*time.Second); !g.validFor(id) {
			t.Errorf("got %+v", g)
		}
	}
	if n := l.node.Stats().Dials; n != 1 {
		t.Errorf("%d connects for 10 sequential requests", n)
	}
}

// TestMisdirectedIsGone: an endpoint at whose address another target answers is not chosen again
// until there is an update of it.
func TestMisdirectedIsGone(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(3)
	other := l.startTarget("other", func(r *target.Run) { r.Service = "else" }, serveOK)
	l.startTarget("good", nil, serveOK)
	old := target.Run{ID: "was", Service: "svc", Addr: other.ln.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: 1}
	l.node.ApplyRuns([]target.Run{old})
	asked := func() (n int) {
		for _, s := range l.requests() {
			if s.targetID == "other" {
				n++
			}
		}
		return n
	}
	for i := range 30 {
		id := fmt.Sprint("q", i)
		if g := l.request("/once/x", id, 5*time.Second); !g.validFor(id) || l.runCount(id) != 1 {
			t.Errorf("%s got %+v, ran %d times", id, g, l.runCount(id))
		}
	}
	if n := asked(); n > 1 {
		t.Errorf("the replaced endpoint got %d requests", n)
	}
	s := l.node.allServices()
	for _, v := range s {
		v.mu.Lock()
		if e := v.endpoints["was"]; e != nil {
			e.replaced, e.replacedSeq = true, 1
		}
		v.mu.Unlock()
	}
	old.Seq = 2
	l.node.ApplyRuns([]target.Run{old})
	for _, v := range s {
		v.mu.Lock()
		if e := v.endpoints["was"]; e != nil && e.replaced {
			t.Error("an update of the target did not restore it")
		}
		v.mu.Unlock()
	}
}

// TestMute: in virtual time, a silent target holds a request that must run at most once until its
// deadline; a repeatable one is hedged to another endpoint.
func TestMute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mute := runThen(func(_ *harness, c net.Conn, _ *receivedRequest) bool {
			_, _ = io.Copy(io.Discard, c)
			return false
		})
		for kind, want := range map[string]int{"once": 504, "idem": 200, "down": 200} {
			l := newHarness(t, newPipes(), nil)
			l.routes(2)
			l.startTarget("one", nil, failFirst(mute))
			l.startTarget("two", nil, failFirst(mute))
			began := time.Now()
			g := l.request("/"+kind+"/x", "q1", 2*time.Second)
			took := time.Since(began)
			if g.status != want || want == 200 && !g.validFor("q1") {
				t.Errorf("%s got %+v", kind, g)
			}
			if kind == "once" {
				if l.runCount("q1") != 1 || took < 1900*time.Millisecond || took >= 2*time.Second {
					t.Errorf("ran %d times, answered after %v", l.runCount("q1"), took)
				}
			} else if took > time.Second {
				t.Errorf("%s: answered after %v", kind, took)
			}
			if n := l.node.Stats().Mute; n != 1 {
				t.Errorf("%s: %d counted as mute", kind, n)
			}
			l.close()
		}
	})
}

// TestHedgeLoses: when the first target answers before the hedged attempt does, its answer is
// used, and the other attempt is cancelled.
func TestHedgeLoses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(2)
		do := func(l *harness, c net.Conn, s *receivedRequest) bool {
			if s.index == 1 {
				return delayed(time.Second, serveOK)(l, c, s)
			}
			return delayed(1500*time.Millisecond, serveOK)(l, c, s)
		}
		l.startTarget("one", nil, do)
		l.startTarget("two", nil, do)
		began := time.Now()
		if g := l.request("/idem/x", "q1", 4*time.Second); !g.validFor("q1") || time.Since(began) != time.Second {
			t.Errorf("got %+v after %v", g, time.Since(began))
		}
		s := l.node.Stats()
		if s.Hedges != 1 || s.Answered != 1 {
			t.Errorf("%+v", s)
		}
		time.Sleep(3 * time.Second)
		if s := l.node.Stats(); s.Inside != 0 || s.MemoryUsed != 0 {
			t.Errorf("resources not released: %+v", s)
		}
		l.close()
	})
}

// TestSilentConnect: a connect without a reply is given up in time to use another endpoint.
func TestSilentConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		l := newHarness(t, p, nil)
		l.routes(1)
		dead := p.listen()
		for _, id := range []string{"cut1", "cut2"} {
			l.node.ApplyRuns([]target.Run{{ID: id, Service: "svc", Addr: dead.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: 1}})
		}
		l.startTarget("good", func(r *target.Run) { r.Slots = 1 }, serveOK)
		for i := range 4 {
			id := fmt.Sprint("q", i)
			began := time.Now()
			if g := l.request("/once/x", id, 3*time.Second); !g.validFor(id) || time.Since(began) > 2*time.Second {
				t.Errorf("got %+v after %v", g, time.Since(began))
			}
		}
		l.close()
	})
}

// TestCloseHonoured: no request is sent on a connection whose target announced that it will close
// it, even if it has not done so yet.
func TestCloseHonoured(t *testing.T) {
	for _, field := range []string{"close", "Close", "x, close"} {
		l := newHarness(t, loopback{}, nil)
		l.routes(1)
		l.startTarget("one", nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
			l.recordRun(s)
			return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nConnection: "+field+"\r\n", answerBody(s.id))
		})
		for i := range 3 {
			id := fmt.Sprint("q", i)
			if g := l.request("/idem/x", id, 5*time.Second); !g.validFor(id) {
				t.Errorf("got %+v", g)
			}
		}
		for _, s := range l.requests() {
			if s.connIndex != 1 {
				t.Errorf("%s: %s was sent on a connection that is closing", field, s.id)
			}
		}
	}
}

// TestDeadBeforeWrite: where an idle connection looked alive but not one byte could be written,
// the same endpoint is used over a new connection.
func TestDeadBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []string{"once", "idem"} {
			l := newHarness(t, lateErrorPipes{newPipes()}, func(s *Settings) { s.BudgetRatio = 0 })
			l.routes(1)
			s := l.startTarget("one", nil, serveOK)
			for i := range 5 {
				id := fmt.Sprint("q", i)
				if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) || l.runCount(id) != 1 {
					t.Errorf("%s got %+v, ran %d times", id, g, l.runCount(id))
				}
				s.closeConns()
				synctest.Wait()
			}
			if n := l.node.Stats().Dials; n != 5 {
				t.Errorf("%d connects", n)
			}
			l.close()
		}
	})
}

// TestDrainsWhileConnecting: an update that arrives while a connection is opened is respected.
func TestDrainsWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dialHook{pipes: newPipes()}
		l := newHarness(t, p, nil)
		l.routes(1)
		l.startTarget("one", nil, serveOK)
		l.startTarget("two", nil, serveOK)
		drained := ""
		p.beforeDial = func(addr string) {
			for id, s := range l.targets {
				if drained == "" && s.ln.Addr().String() == addr {
					drained = id
					l.node.ApplyRuns([]target.Run{{ID: id, Service: "svc", State: target.Draining, Seq: 2}})
				}
			}
		}
		if g := l.request("/once/x", "q1", time.Second); !g.validFor("q1") {
			t.Errorf("got %+v", g)
		}
		if a := l.requests(); drained == "" || len(a) != 1 || a[0].targetID == drained {
			t.Errorf("%q drained, %d arrived", drained, len(a))
		}
		l.close()
	})
}

// dialHook calls beforeDial before each connect.
type dialHook struct {
	*pipes
	beforeDial func(addr string)
}

func (p *dialHook) dial(ctx context.Context, addr string) (net.Conn, error) {
	p.beforeDial(addr)
	return p.pipes.dial(ctx, addr)
}

// lateErrorPipes makes connections whose end is noticed only by a write.
type lateErrorPipes struct{ *pipes }

type lateErrorConn struct{ net.Conn }

func (n lateErrorConn) SetDeadline(d time.Time) error { _ = n.Conn.SetDeadline(d); return nil }

func (p lateErrorPipes) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := p.pipes.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return lateErrorConn{c}, nil
}

// TestSurplusBefore: where a target answers an earlier request a second time, in the place of the
// next answer, the answer after it is used and the connection is not reused. For the first request
// of a connection there is no earlier one.
func TestSurplusBefore(t *testing.T) {
	for _, kind := range []string{"once", "idem"} {
		l := newHarness(t, loopback{}, nil)
		l.routes(1)
		last := ""
		l.startTarget("one", nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
			l.recordRun(s)
			if last != "" && s.connIndex == 2 {
				if !writeAnswer(c, "200 OK", last, "X-Seal: s\r\n", answerBody(last)) {
					return false
				}
			}
			last = s.id
			return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
		})
		for i := range 6 {
			id := fmt.Sprint("q", i)
			if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) || l.runCount(id) != 1 {
				t.Errorf("%s got %+v, ran %d times", id, g, l.runCount(id))
			}
		}
		for _, s := range l.requests() {
			if s.connIndex > 2 {
				t.Errorf("%s was sent on a connection that had a surplus answer", s.id)
			}
		}
		if n := l.node.Stats().Surplus; n != 3 {
			t.Errorf("%d surplus answers skipped, want 3", n)
		}
	}
}

// TestNewsWhileConnecting: an update of a target may arrive while a connect to it fails; the
// race detector checks the state that both access.
func TestNewsWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		l.routes(3)
		run := target.Run{ID: "none", Service: "svc", Addr: "pipe99", Zone: "a", Slots: 4, State: target.Ready, Seq: 1}
		l.node.dialContext = func(context.Context, string) (net.Conn, error) {
			time.Sleep(2500 * time.Microsecond)
			return nil, io.EOF
		}
		l.node.ApplyRuns([]target.Run{run})
		done := make(chan bool)
		go func() {
			defer close(done)
			for range 200 {
				run.Seq++
				l.node.ApplyRuns([]target.Run{run})
				time.Sleep(time.Millisecond)
			}
		}()
		for i := range 50 {
			if g := l.request("/idem/x", fmt.Sprint("q", i), 100*time.Millisecond); g.status != 503 {
				t.Errorf("%+v", g)
			}
			time.Sleep(3 * time.Millisecond)
		}
		<-done
		if s := l.node.Stats(); s.DialsFailed == 0 {
			t.Error("nothing was dialled")
		}
		l.close()
	})
}
