package simnet

import (
	"net"
	"sync"
)

// Listener takes connections of one process.
type Listener struct {
	p    *Proc
	mu   sync.Mutex
	list []*Conn
	shut bool
	wake chan struct{}
}

// Listen opens the process's listener.
func (p *Proc) Listen() *Listener {
	l := &Listener{p: p, wake: make(chan struct{})}
	p.mu.Lock()
	p.ln = l
	p.mu.Unlock()
	return l
}

func (l *Listener) push(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut {
		return false
	}
	l.list = append(l.list, c)
	close(l.wake)
	l.wake = make(chan struct{})
	return true
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.p.Awake()
		l.mu.Lock()
		if l.shut {
			l.mu.Unlock()
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
		}
		if len(l.list) > 0 {
			c := l.list[0]
			l.list = l.list[1:]
			l.mu.Unlock()
			return c, nil
		}
		wake := l.wake
		l.mu.Unlock()
		<-wake
	}
}

// Close ends the listening; who was not accepted is reset.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.shut {
		l.shut = true
		close(l.wake)
		for _, c := range l.list {
			c.Abort()
		}
		l.list = nil
	}
	return nil
}

// Addr is the address of the process.
func (l *Listener) Addr() net.Addr { return address(l.p.Addr) }
