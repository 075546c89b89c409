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

// recvWindow is how many bytes a connection buffers, in flight and unread, before writes block.
const recvWindow = 256 << 10

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// segment is data or a control flag in flight to the other end.
type segment struct {
	due      time.Time
	data     []byte
	fin, rst bool
}

// Conn is one end of a byte stream that behaves like TCP: the kernel side keeps working
// while the process is frozen, segments that a cut stops are retransmitted until they
// arrive, a write succeeds before its data has arrived, and data that arrives at a closed
// end is answered by a reset.
type Conn struct {
	proc           *Proc
	peer           *Conn
	mu             *sync.Mutex // shared by both ends
	discardOnClose bool        // Close discards data that a cut has held back

	recvBuf                     []byte
	fin                         bool  // the other end has closed its stream
	err                         error // set once the connection was reset
	closed                      bool
	readDeadline, writeDeadline time.Time
	wake                        chan struct{} // closed and replaced at each change
	inFlight                    []segment
	lastDue                     time.Time // due time of the newest segment
}

func connect(p, q *Proc, addr string) (*Conn, *Conn) {
	mu := &sync.Mutex{}
	a := &Conn{proc: p, mu: mu, wake: make(chan struct{}), discardOnClose: true}
	b := &Conn{proc: q, mu: mu, wake: make(chan struct{}), peer: a}
	a.peer = b
	for _, c := range []*Conn{a, b} {
		c.proc.mu.Lock()
		c.proc.conns[c] = struct{}{}
		c.proc.mu.Unlock()
	}
	return a, b
}

// Dial connects a process to an address. A host that is cut off or without power does not
// answer, so that the dial ends by its context.
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
	p.WaitThawed()
	for {
		_, h := n.lookup(addr)
		if h == nil {
			if err := wait(time.Hour); err != nil {
				return nil, err
			}
		}
		if err := wait(n.delay(p.Host, h)); err != nil {
			return nil, err
		}
		if !n.delivers(p.Host, h) || !n.delivers(h, p.Host) || !h.powered() {
			if err := wait(retransmit); err != nil {
				return nil, err
			}
			continue
		}
		if err := wait(n.delay(h, p.Host)); err != nil {
			return nil, err
		}
		q, _ := n.lookup(addr)
		if q == nil {
			return nil, errRefused
		}
		q.mu.Lock()
		ln := q.ln
		q.mu.Unlock()
		if ln == nil || p.Ended() {
			return nil, errRefused
		}
		a, b := connect(p, q, addr)
		if !ln.enqueue(b) {
			a.unregister()
			b.unregister()
			return nil, errRefused
		}
		p.WaitThawed()
		return a, nil
	}
}

func (c *Conn) unregister() {
	c.proc.mu.Lock()
	delete(c.proc.conns, c)
	c.proc.mu.Unlock()
}

// notify wakes all goroutines that wait at this end. c.mu must be held.
func (c *Conn) notify() {
	close(c.wake)
	c.wake = make(chan struct{})
}

func (c *Conn) opError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// waitForChange blocks until wake is closed or the deadline d has passed; a zero d means no
// deadline. The caller must not hold the connection's mutex.
func waitForChange(wake chan struct{}, d time.Time) {
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

// Read returns buffered data, and blocks until there is some.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		c.proc.WaitThawed()
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return 0, c.opError("read", net.ErrClosed)
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			c.mu.Unlock()
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(c.recvBuf) > 0:
			k := copy(b, c.recvBuf)
			c.recvBuf = c.recvBuf[k:]
			c.peer.notify()
			c.mu.Unlock()
			return k, nil
		case c.err != nil:
			err := c.err
			c.mu.Unlock()
			return 0, c.opError("read", err)
		case c.fin:
			c.mu.Unlock()
			return 0, io.EOF
		}
		wake, d := c.wake, c.readDeadline
		c.mu.Unlock()
		waitForChange(wake, d)
	}
}

// Write sends b. It returns once all of b is in the send buffer.
func (c *Conn) Write(b []byte) (int, error) {
	sent := 0
	for {
		c.proc.WaitThawed()
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return sent, c.opError("write", net.ErrClosed)
		case c.err != nil:
			err := c.err
			c.mu.Unlock()
			return sent, c.opError("write", err)
		case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
			c.mu.Unlock()
			return sent, c.opError("write", os.ErrDeadlineExceeded)
		}
		room := recvWindow - len(c.peer.recvBuf)
		for _, s := range c.inFlight {
			room -= len(s.data)
		}
		if room > 0 {
			k := min(room, len(b))
			c.enqueue(segment{data: append([]byte(nil), b[:k]...)})
			sent += k
			if b = b[k:]; len(b) == 0 {
				c.mu.Unlock()
				return sent, nil
			}
			c.mu.Unlock()
			continue
		}
		wake, d := c.wake, c.writeDeadline
		c.mu.Unlock()
		waitForChange(wake, d)
	}
}

// enqueue puts a segment in flight, in order behind earlier ones. c.mu must be held.
func (c *Conn) enqueue(s segment) {
	now := time.Now()
	s.due = now.Add(c.proc.Host.net.delay(c.proc.Host, c.peer.proc.Host))
	if s.due.Before(c.lastDue) {
		s.due = c.lastDue
	}
	c.lastDue = s.due
	c.inFlight = append(c.inFlight, s)
	if len(c.inFlight) == 1 {
		time.AfterFunc(s.due.Sub(now), c.deliverDue)
	}
}

// deliverDue delivers the segments that are due, or schedules a retransmission when they
// are stopped by a cut or loss.
func (c *Conn) deliverDue() {
	n, from, to := c.proc.Host.net, c.proc.Host, c.peer.proc.Host
	pathOpen := n.delivers(from, to) && from.powered() && to.powered()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.inFlight) > 0 && !c.inFlight[0].due.After(now) {
		if !pathOpen {
			if c.peer.closed && c.closed {
				c.inFlight = nil // both ends are closed, so the delivery would have no effect
				return
			}
			c.inFlight[0].due = now.Add(retransmit)
			break
		}
		s := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.peer.receive(s)
		c.notify()
	}
	if len(c.inFlight) > 0 {
		time.AfterFunc(c.inFlight[0].due.Sub(now), c.deliverDue)
	}
}

// receive handles a segment that arrives at this end. c.mu must be held.
func (c *Conn) receive(s segment) {
	if c.closed {
		if len(s.data) > 0 && c.peer.err == nil && !c.peer.closed {
			c.enqueue(segment{rst: true})
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
		c.recvBuf = append(c.recvBuf, s.data...)
	}
	c.notify()
}

// Close closes the connection. Data written at the accepting end still arrives. Data that
// the dialing end wrote and that a cut has held back is discarded, since a client that closes
// its connection gives up the requests that were not answered.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.discardOnClose {
		c.abort()
	} else {
		c.closeLocal()
		c.enqueue(segment{fin: true})
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
	c.closeLocal()
	if len(c.inFlight) > 0 && !c.proc.Host.net.Connected(c.proc.Host.ID, c.peer.proc.Host.ID) {
		for i := range c.inFlight {
			c.inFlight[i].data = nil
		}
	}
	if c.err == nil {
		c.enqueue(segment{rst: true})
	}
}

// closeLocal marks this end closed. c.mu must be held.
func (c *Conn) closeLocal() {
	c.closed = true
	c.notify()
	c.unregister()
}

// LocalAddr and RemoteAddr return the addresses of the two processes.
func (c *Conn) LocalAddr() net.Addr  { return address(c.proc.Addr) }
func (c *Conn) RemoteAddr() net.Addr { return address(c.peer.proc.Addr) }

// SetDeadline sets the read and the write deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.setDeadlines(&c.readDeadline, &c.writeDeadline, t)
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadlines(&c.readDeadline, nil, t) }

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(nil, &c.writeDeadline, t) }

func (c *Conn) setDeadlines(r, w *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	if r != nil {
		*r = t
	}
	if w != nil {
		*w = t
	}
	c.notify()
	return nil
}

// Peer returns the process at the other end.
func (c *Conn) Peer() *Proc { return c.peer.proc }

// Closed reports whether the connection has ended, as far as this end knows: closed here, or
// closed or reset by the other end.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.fin || c.err != nil
}

// Changed returns a channel that is closed at the next state change of this end.
func (c *Conn) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wake
}
