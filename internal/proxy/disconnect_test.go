package proxy

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// blockingTarget is a target that works until its connection ends or it is told to answer.
type blockingTarget struct {
	began  chan string
	ended  chan string // ids of requests whose connection was closed during the work
	answer chan struct{}
}

func newBlockingTarget() *blockingTarget {
	return &blockingTarget{make(chan string, 8), make(chan string, 8), make(chan struct{})}
}

func (a *blockingTarget) do(l *harness, c net.Conn, s *receivedRequest) bool {
	l.recordRun(s)
	a.began <- s.id
	closed := make(chan struct{})
	go func() {
		_, err := c.Read(make([]byte, 1))
		if err == io.EOF || err != nil {
			close(closed)
		}
	}()
	select {
	case <-closed:
		a.ended <- s.id
	case <-a.answer:
		writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}
	return false
}

// sawDisconnect reports whether the node has noticed that the caller of a request in flight disconnected.
func (l *harness) sawDisconnect() bool {
	l.node.cancelDisconnected()
	l.node.callersMu.Lock()
	defer l.node.callersMu.Unlock()
	for c := range l.node.callers {
		x := c.awaiting.Load()
		if x == nil {
			continue
		}
		x.mu.Lock()
		left := x.callerGone
		x.mu.Unlock()
		if left {
			return true
		}
	}
	return false
}

// A caller that closes or resets its connection cancels a repeatable request at its target.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"closes": func(c net.Conn) { _ = c.Close() },
		"resets": func(c net.Conn) { resetConn(c) },
	} {
		for _, kind := range []string{"/idem/", "/down/"} {
			work := newBlockingTarget()
			l := newHarness(t, loopback{}, nil)
			l.routes(2)
			l.startTarget("one", nil, work.do)
			c := l.client()
			if err := c.send("GET", kind+"q", "q", time.Minute, "", ""); err != nil {
				t.Fatal(err)
			}
			<-work.began
			leave(c.c)
			<-work.ended
			waitFor(t, func() bool { return l.node.Stats().CallersGone == 1 && l.node.Stats().Inside == 0 })
			if n := l.runCount("q"); n != 1 {
				t.Errorf("%s, %s: the request ran %d times", name, kind, n)
			}
		}
	}
}

// An at-most-once request continues at its target, because otherwise its outcome would be unknown.
func TestCallerThatLeavesDoesNotEndWhatRunsOnce(t *testing.T) {
	work := newBlockingTarget()
	l := newHarness(t, loopback{}, nil)
	l.routes(2)
	l.startTarget("one", nil, work.do)
	c := l.client()
	if err := c.send("POST", "/once/q", "q", time.Minute, "", "order"); err != nil {
		t.Fatal(err)
	}
	<-work.began
	_ = c.c.Close()
	waitFor(t, l.sawDisconnect)
	close(work.answer)
	waitFor(t, func() bool { return l.node.Stats().Inside == 0 })
	select {
	case id := <-work.ended:
		t.Errorf("the work on %s was interrupted", id)
	default:
	}
	if s := l.node.Stats(); s.Answered != 1 || s.CallersGone != 0 {
		t.Errorf("%d answered, %d canceled", s.Answered, s.CallersGone)
	}
}

// Nothing is sent for a caller that has disconnected, whatever the kind of its request.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	l := newHarness(t, newPipes(), nil)
	for _, once := range []bool{true, false} {
		c, _ := connPair(t)
		x := &exchange{n: l.node, atMostOnce: once, maxAttempts: 2}
		if !x.callerDisconnected() || x.canSend() || x.beginSend(c) || x.anySent() {
			t.Errorf("once %t: the request may still be sent", once)
		}
		if a := x.answer(); a == nil || a.status != 502 {
			t.Errorf("once %t: the request is not finished: %+v", once, a)
		}
	}
	// A request that was rejected by a target is not sent again either.
	c, _ := connPair(t)
	x := &exchange{n: l.node, atMostOnce: true, maxAttempts: 2, svc: l.node.service("svc")}
	if !x.beginSend(c) {
		t.Fatal("the first attempt is refused")
	}
	if x.callerDisconnected() {
		t.Error("an at-most-once request was aborted while a target has it")
	}
	x.endSend(c, false, true)
	if x.canSend() {
		t.Error("the request is sent again after its caller disconnected")
	}
}

// The node checks by itself, well within the half second that the users ask for.
func TestCallersAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := newBlockingTarget()
		l := newHarness(t, newPipes(), nil)
		l.routes(2)
		l.startTarget("one", nil, work.do)
		c := l.client()
		if err := c.send("GET", "/idem/q", "q", time.Minute, "", ""); err != nil {
			t.Fatal(err)
		}
		<-work.began
		time.Sleep(time.Second)
		_ = c.c.Close()
		began := time.Now()
		<-work.ended
		if d := time.Since(began); d > 300*time.Millisecond {
			t.Errorf("the target works for another %s", d)
		}
		close(work.answer)
	})
}
