package simnet

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var errReset = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// window is how much a connection takes in before its reader has read.
const window = 256 << 10

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// segment is what is on its way to the other end.
type segment struct {
	due      time.Time
	data     []byte
	fin, rst bool
}

// Conn is one end of a byte stream. As with TCP, the system below carries on for a
// process that is frozen, what is cut is sent again until it gets through, a write
// succeeds before it has arrived, and data that comes for an end that is closed is
// answered by a reset.
type Conn struct {
	p      *Proc
	peer   *Conn
	mu     *sync.Mutex // of both ends
	cutOff bool        // Close throws away what has not left

	in     []byte
	fin    bool  // the other end has ended its stream
	err    error // it was reset
	closed bool
	rd, wd time.Time
	wake   chan struct{} // closed at each change
	out    []segment
	last   time.Time // when the newest segment is due
}

func connect(p, q *Proc, addr string) (*Conn, *Conn) {
	mu := &sync.Mutex{}
	a := &Conn{p: p, mu: mu, wake: make(chan struct{}), cutOff: true}
	b := &Conn{p: q, mu: mu, wake: make(chan struct{}), peer: a}
	a.peer = b
	for _, c := range []*Conn{a, b} {
		c.p.mu.Lock()
		c.p.conns[c] = struct{}{}
		c.p.mu.Unlock()
	}
	return a, b
}

// Dial connects a process to an address. A machine that is cut off or without power is
// silent.
func (p *Proc) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n := p.Host.net
	wait := func(d time.Duration) error {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return nil
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		case <-p.ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
		}
	}
	p.Awake()
	for {
		_, h := n.proc(addr)
		if h == nil {
			if err := wait(time.Hour); err != nil {
				return nil, err
			}
		}
		if err := wait(n.delay(p.Host, h)); err != nil {
			return nil, err
		}
		if !n.passes(p.Host, h) || !n.passes(h, p.Host) || !h.powered() {
			if err := wait(retransmit); err != nil {
				return nil, err
			}
			continue
		}
		if err := wait(n.delay(h, p.Host)); err != nil {
			return nil, err
		}
		q, _ := n.proc(addr)
		if q == nil {
			return nil, errRefused
		}
		q.mu.Lock()
		ln := q.ln
		q.mu.Unlock()
		if ln == nil || p.Dead() {
			return nil, errRefused
		}
		a, b := connect(p, q, addr)
		if !ln.push(b) {
			a.forget()
			b.forget()
			return nil, errRefused
		}
		p.Awake()
		return a, nil
	}
}

func (c *Conn) forget() {
	c.p.mu.Lock()
	delete(c.p.conns, c)
	c.p.mu.Unlock()
}

// tell wakes whoever waits at this end. Under mu.
func (c *Conn) tell() {
	close(c.wake)
	c.wake = make(chan struct{})
}

func (c *Conn) fault(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// hold waits, without mu, for a change or until d.
func hold(wake chan struct{}, d time.Time) {
	if d.IsZero() {
		<-wake
		return
	}
	t := time.NewTimer(time.Until(d))
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	}
}

// Read reads what has come.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		c.p.Awake()
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return 0, c.fault("read", net.ErrClosed)
		case !c.rd.IsZero() && !time.Now().Before(c.rd):
			c.mu.Unlock()
			return 0, c.fault("read", os.ErrDeadlineExceeded)
		case len(c.in) > 0:
			k := copy(b, c.in)
			c.in = c.in[k:]
			c.peer.tell()
			c.mu.Unlock()
			return k, nil
		case c.err != nil:
			err := c.err
			c.mu.Unlock()
			return 0, c.fault("read", err)
		case c.fin:
			c.mu.Unlock()
			return 0, io.EOF
		}
		wake, d := c.wake, c.rd
		c.mu.Unlock()
		hold(wake, d)
	}
}

// Write sends b. It returns when the system has taken it.
func (c *Conn) Write(b []byte) (int, error) {
	sent := 0
	for {
		c.p.Awake()
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return sent, c.fault("write", net.ErrClosed)
		case c.err != nil:
			err := c.err
			c.mu.Unlock()
			return sent, c.fault("write", err)
		case !c.wd.IsZero() && !time.Now().Before(c.wd):
			c.mu.Unlock()
			return sent, c.fault("write", os.ErrDeadlineExceeded)
		}
		room := window - len(c.peer.in)
		for _, s := range c.out {
			room -= len(s.data)
		}
		if room > 0 {
			k := min(room, len(b))
			c.send(segment{data: append([]byte(nil), b[:k]...)})
			sent += k
			if b = b[k:]; len(b) == 0 {
				c.mu.Unlock()
				return sent, nil
			}
			c.mu.Unlock()
			continue
		}
		wake, d := c.wake, c.wd
		c.mu.Unlock()
		hold(wake, d)
	}
}

// send puts a segment on its way, behind those before it. Under mu.
func (c *Conn) send(s segment) {
	now := time.Now()
	s.due = now.Add(c.p.Host.net.delay(c.p.Host, c.peer.p.Host))
	if s.due.Before(c.last) {
		s.due = c.last
	}
	c.last = s.due
	c.out = append(c.out, s)
	if len(c.out) == 1 {
		time.AfterFunc(s.due.Sub(now), c.pump)
	}
}

// pump delivers what is due.
func (c *Conn) pump() {
	n, from, to := c.p.Host.net, c.p.Host, c.peer.p.Host
	pass := n.passes(from, to) && from.powered() && to.powered()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.out) > 0 && !c.out[0].due.After(now) {
		if !pass {
			if c.peer.closed && c.closed {
				c.out = nil // nobody is left to hear of it
				return
			}
			c.out[0].due = now.Add(retransmit)
			break
		}
		s := c.out[0]
		c.out = c.out[1:]
		c.peer.deliver(s)
		c.tell()
	}
	if len(c.out) > 0 {
		time.AfterFunc(c.out[0].due.Sub(now), c.pump)
	}
}

// deliver takes a segment in at this end. Under mu.
func (c *Conn) deliver(s segment) {
	if c.closed {
		if len(s.data) > 0 && c.peer.err == nil && !c.peer.closed {
			c.send(segment{rst: true})
		}
		return
	}
	switch {
	case s.rst:
		if c.err == nil {
			c.err = syscall.ECONNRESET
		}
	case s.fin:
		c.fin = true
	case c.err == nil:
		c.in = append(c.in, s.data...)
	}
	c.tell()
}

// Close ends the connection. What was written at an end that took the call still gets
// there; what the end that made it wrote and a cut has held back does not, for whoever
// calls here drops what was not answered.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.cutOff {
		c.abort()
	} else {
		c.end()
		c.send(segment{fin: true})
	}
	return nil
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.abort()
	}
}

func (c *Conn) abort() {
	c.end()
	if len(c.out) > 0 && !c.p.Host.net.Open(c.p.Host.ID, c.peer.p.Host.ID) {
		for i := range c.out {
			c.out[i].data = nil
		}
	}
	if c.err == nil {
		c.send(segment{rst: true})
	}
}

// end closes this end. Under mu.
func (c *Conn) end() {
	c.closed = true
	c.tell()
	c.forget()
}

// LocalAddr and RemoteAddr name the processes.
func (c *Conn) LocalAddr() net.Addr  { return address(c.p.Addr) }
func (c *Conn) RemoteAddr() net.Addr { return address(c.peer.p.Addr) }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error { return c.set(&c.rd, &c.wd, t) }

// SetReadDeadline sets that of reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.set(&c.rd, nil, t) }

// SetWriteDeadline sets that of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.set(nil, &c.wd, t) }

func (c *Conn) set(r, w *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.fault("set", net.ErrClosed)
	}
	if r != nil {
		*r = t
	}
	if w != nil {
		*w = t
	}
	c.tell()
	return nil
}

// Peer is the process at the other end.
func (c *Conn) Peer() *Proc { return c.peer.p }

// Gone tells whether the other end has gone, as far as this one has heard.
func (c *Conn) Gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.fin || c.err != nil
}

// Change is closed at the next change of this end.
func (c *Conn) Change() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wake
}
