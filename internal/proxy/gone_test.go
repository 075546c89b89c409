package proxy

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// atWork is a target that works until its connection ends or it is told to answer.
type atWork struct {
	began  chan string
	ended  chan string // ids whose connection was closed meanwhile
	answer chan struct{}
}

func newAtWork() *atWork {
	return &atWork{make(chan string, 8), make(chan string, 8), make(chan struct{})}
}

func (a *atWork) do(l *lab, c net.Conn, s *seen) bool {
	l.run(s)
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
		say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id))
	}
	return false
}

// sawLeft tells whether the node knows that a caller of a request under way has left.
func (l *lab) sawLeft() bool {
	l.node.endForGone()
	l.node.cm.Lock()
	defer l.node.cm.Unlock()
	for c := range l.node.callers {
		x := c.leads.Load()
		if x == nil {
			continue
		}
		x.mu.Lock()
		left := x.left
		x.mu.Unlock()
		if left {
			return true
		}
	}
	return false
}

// A caller that closes or resets its connection ends what may be repeated at its target.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"closes": func(c net.Conn) { _ = c.Close() },
		"resets": func(c net.Conn) { resetConn(c) },
	} {
		for _, kind := range []string{"/idem/", "/down/"} {
			work := newAtWork()
			l := newLab(t, loopback{}, nil)
			l.routes(2)
			l.stand("one", nil, work.do)
			c := l.client()
			if err := c.send("GET", kind+"q", "q", time.Minute, "", ""); err != nil {
				t.Fatal(err)
			}
			<-work.began
			leave(c.c)
			<-work.ended
			waitFor(t, func() bool { return l.node.Stats().CallersGone == 1 && l.node.Stats().Inside == 0 })
			if n := l.runs("q"); n != 1 {
				t.Errorf("%s, %s: the request ran %d times", name, kind, n)
			}
		}
	}
}

// What may run once is left to its target, for nobody could tell what became of it.
func TestCallerThatLeavesDoesNotEndWhatRunsOnce(t *testing.T) {
	work := newAtWork()
	l := newLab(t, loopback{}, nil)
	l.routes(2)
	l.stand("one", nil, work.do)
	c := l.client()
	if err := c.send("POST", "/once/q", "q", time.Minute, "", "order"); err != nil {
		t.Fatal(err)
	}
	<-work.began
	_ = c.c.Close()
	waitFor(t, l.sawLeft)
	close(work.answer)
	waitFor(t, func() bool { return l.node.Stats().Inside == 0 })
	select {
	case id := <-work.ended:
		t.Errorf("the work on %s was broken off", id)
	default:
	}
	if s := l.node.Stats(); s.Answered != 1 || s.CallersGone != 0 {
		t.Errorf("%d answered, %d ended", s.Answered, s.CallersGone)
	}
}

// Nothing is sent for a caller that has left, whatever the kind of its request.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	l := newLab(t, newPipes(), nil)
	for _, once := range []bool{true, false} {
		c, _ := pair(t)
		x := &exchange{n: l.node, once: once, attempts: 2}
		if !x.callerLeft() || x.more() || x.enter(c) || x.sent() {
			t.Errorf("once %t: it may still be sent", once)
		}
		if a := x.answer(); a == nil || a.status != 502 {
			t.Errorf("once %t: it is not over: %+v", once, a)
		}
	}
	// What was turned away is not sent anew either.
	c, _ := pair(t)
	x := &exchange{n: l.node, once: true, attempts: 2, svc: l.node.service("svc")}
	if !x.enter(c) {
		t.Fatal("the first attempt is refused")
	}
	if x.callerLeft() {
		t.Error("what may run once is broken off while a target has it")
	}
	x.leave(c, false, true)
	if x.more() {
		t.Error("it is sent once more after its caller left")
	}
}

// The node looks by itself, soon enough for the users' half a second.
func TestCallersAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := newAtWork()
		l := newLab(t, newPipes(), nil)
		l.routes(2)
		l.stand("one", nil, work.do)
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
			t.Errorf("the target works on for %s", d)
		}
		close(work.answer)
	})
}
