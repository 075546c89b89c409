package day

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// Target is one run.
type Target struct {
	w       *World
	ID      string
	Service string
	Zone    string
	Version string // of its software
	flaw    Flaw   // of that version
	host    *simnet.Host
	p       *simnet.Proc
	started time.Duration
	warm    time.Duration // how long it is slow after its start
	speed   float64
	keep    int // seconds for which an idle connection stays

	mu      sync.Mutex
	fault   Fault
	state   target.State
	active  int
	queue   []chan struct{}
	conns   int
	seq     uint64
	home    string
	unsaid  bool          // it says that it is gone, and serves on
	by      string        // the machine that acknowledged the last call
	leaving chan struct{} // closed when it begins to leave
	drained chan struct{} // closed when that was acknowledged
	gone    chan struct{}
}

// kill ends the run at once.
func (t *Target) kill() {
	t.mu.Lock()
	dead := t.state == target.Ended
	t.state = target.Ended
	t.mu.Unlock()
	t.p.Kill()
	if dead {
		return
	}
	close(t.gone)
	h := t.w.herd
	h.mu.Lock()
	h.list = slices.DeleteFunc(h.list, func(x *Target) bool { return x == t })
	h.mu.Unlock()
}

// leave ends the run in order: it says that it drains, serves on for a while after that
// is acknowledged, says that it has ended, and ends.
func (t *Target) leave() {
	t.mu.Lock()
	if t.state != target.Ready {
		t.mu.Unlock()
		return
	}
	t.state = target.Draining
	close(t.leaving)
	t.mu.Unlock()
	pause := time.NewTimer(8 * time.Second)
	defer pause.Stop()
	select {
	case <-t.drained:
	case <-pause.C:
	case <-t.gone:
		return
	}
	time.Sleep(t.w.Shape.Bounds.Drain + 1500*time.Millisecond)
	for range 3 {
		if t.tell(true) {
			break
		}
	}
	t.kill()
}

// leaveUnsaid ends the run without a word before the end: it says that it is gone, serves on
// for as long as one that drains, and ends.
func (t *Target) leaveUnsaid() {
	t.mu.Lock()
	if t.state != target.Ready || t.unsaid {
		t.mu.Unlock()
		return
	}
	t.unsaid = true
	t.mu.Unlock()
	for range 6 {
		if t.p.Ended() || t.tell(true) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(t.w.Shape.Bounds.Drain + 4*time.Second)
	t.kill()
}

// hushed tells whether it has said that it is gone.
func (t *Target) hushed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsaid
}

// beat tells the control plane of the run each second, and at once when it begins to
// leave.
func (t *Target) beat() {
	wait := t.w.within(beatEvery)
	for {
		leaving := t.now() == target.Draining
		var hurry <-chan struct{}
		if !leaving {
			hurry = t.leaving
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-hurry:
		case <-t.p.Context().Done():
		}
		timer.Stop()
		if t.p.Ended() {
			return
		}
		if t.hushed() {
			return
		}
		leaving = t.now() == target.Draining
		ok := t.tell(false)
		wait = beatEvery*95/100 + t.w.within(beatEvery/10)
		switch {
		case leaving && ok:
			t.acknowledged()
		case leaving:
			wait = 50 * time.Millisecond
		}
	}
}

func (t *Target) acknowledged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.drained:
	default:
		close(t.drained)
	}
}

// tell makes one call, to the controller that was named or to others in turn, and tells whether
// it was acknowledged.
func (t *Target) tell(end bool) bool {
	w := t.w
	t.mu.Lock()
	t.seq++
	b := target.Beat{ID: t.ID, Service: t.Service, Addr: t.p.Addr, Zone: t.Zone, Version: t.Version, Slots: w.Shape.Slots, Draining: t.state == target.Draining, Seq: t.seq,
		Cold: max(0, t.warm-(w.now()-t.started))}
	home := t.home
	t.mu.Unlock()
	var said *Leaving
	if end || b.Draining {
		said = &Leaving{Run: t.ID, State: target.Draining, Said: w.now()}
		if end {
			said.State = target.Ended
		}
	}
	controllers := some(w, w.controllers(), 3)
	if home != "" {
		if m := w.machine(home); m != nil {
			controllers = append([]*Machine{m}, controllers...)
		}
	}
	for _, m := range controllers {
		cx, stop := context.WithTimeout(t.p.Context(), time.Second)
		next, err := simnet.RemoteCall(cx, t.p, m.innerAddr(), func(cx context.Context, _ *simnet.Proc) (string, error) {
			n := m.node()
			if n == nil {
				return "", net.ErrClosed
			}
			cx, stop := context.WithTimeout(cx, 900*time.Millisecond)
			defer stop()
			if end {
				return "", n.Leave(cx, t.ID)
			}
			if err := n.Beat(cx, b); err != nil {
				return "", err
			}
			x, _ := n.HomeMember(b.Service, b.Zone)
			return x.ID, nil
		})
		stop()
		if t.p.Ended() {
			return false
		}
		if err != nil {
			continue
		}
		t.mu.Lock()
		t.home, t.by = next, m.ID
		t.mu.Unlock()
		if said != nil {
			w.note(func(r *Record) {
				said.Acknowledged, said.Acked, said.By = true, w.now(), m.ID
				r.Leavings = append(r.Leavings, said)
			})
		}
		return true
	}
	t.mu.Lock()
	t.home = ""
	t.mu.Unlock()
	return false
}

// faulty changes what is wrong with the target, and the function that it returns ends it.
func (t *Target) faulty(f Fault) (over func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.fault = Fault{}
	}
}

func (t *Target) wrong() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

func (t *Target) accept(ln *simnet.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := nc.(*simnet.Conn)
		t.mu.Lock()
		t.conns++
		full := t.conns > t.w.Shape.MaxConns
		t.mu.Unlock()
		t.w.herd.wg.Go(func() {
			defer func() {
				t.mu.Lock()
				t.conns--
				t.mu.Unlock()
			}()
			if full {
				c.Abort()
				return
			}
			t.serve(c)
			_ = c.Close()
		})
	}
}

// serve answers the requests of one connection, one after the other.
func (t *Target) serve(c *simnet.Conn) {
	r := bufio.NewReader(c)
	before := ""
	for {
		idle := time.Duration(t.keep) * time.Second
		if t.wrong().Forgets {
			idle = t.w.within(time.Second)
		}
		if c.SetReadDeadline(time.Now().Add(idle)) != nil {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		if c.SetReadDeadline(time.Now().Add(10*time.Second)) != nil {
			return
		}
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x := &visit{t: t, c: c, q: q, body: string(b), before: before}
		if !x.serve() {
			return
		}
		before = x.sent
	}
}
