package simnet

import (
	"net"
	"sync"
)

// Listener accepts the connections of one process.
type Listener struct {
	proc    *Proc
	mu      sync.Mutex
	pending []*Conn
	closed  bool
	wake    chan struct{}
}

// Listen opens the process's listener.
func (p *Proc) Listen() *Listener {
	l := &Listener{proc: p, wake: make(chan struct{})}
	p.mu.Lock()
	p.ln = l
	p.mu.Unlock()
	return l
}

func (l *Listener) enqueue(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.pending = append(l.pending, c)
	close(l.wake)
	l.wake = make(chan struct{})
	return true
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.proc.WaitThawed()
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
		}
		if len(l.pending) > 0 {
			c := l.pending[0]
			l.pending = l.pending[1:]
			l.mu.Unlock()
			return c, nil
		}
		wake := l.wake
		l.mu.Unlock()
		<-wake
	}
}

// Close closes the listener and resets connections that were not accepted yet.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.wake)
		for _, c := range l.pending {
			c.Abort()
		}
		l.pending = nil
	}
	return nil
}

// Addr returns the address of the process.
func (l *Listener) Addr() net.Addr { return address(l.proc.Addr) }
