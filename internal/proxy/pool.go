package proxy

import (
	"context"
	"net"
	"time"

	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

// onceIdle is how long a connection may have lain idle to carry a request that may run
// once: if it dies under the request, nobody knows whether that ran.
const onceIdle = 1500 * time.Millisecond

// connect finds or makes a connection to the run for a use that ends by hard; reused
// tells which. once asks for one that is surely alive, fresh for a new one.
func (e *endpoint) connect(now, hard time.Time, once, fresh bool) (c *conn, reused bool, err error) {
	s := e.svc
	for !fresh {
		if c = e.idleConn(now, once); c == nil {
			break
		}
		if c.begin(hard) == nil && c.alive() {
			return c, true, nil
		}
		e.discard(c, false)
	}
	s.mu.Lock()
	for e.open >= s.maxOpen() && len(e.idle) > 0 {
		e.closeOldest()
	}
	e.open++
	run := e.run // news may change it meanwhile
	s.mu.Unlock()
	c, err = s.n.dial(run, e.far, now, hard)
	if err != nil {
		s.mu.Lock()
		e.open--
		s.mu.Unlock()
		return nil, false, err
	}
	return c, false, nil
}

// forgets tells whether a kept connection of the service died under a request of late.
func (s *service) forgets(now time.Time) bool {
	return !s.staleAt.IsZero() && now.Sub(s.staleAt) < freshFor
}

// warm tells whether there is an idle connection for such a use.
func (e *endpoint) warm(now time.Time, once bool) bool {
	if len(e.idle) == 0 || once && e.svc.forgets(now) {
		return false
	}
	c := e.idle[len(e.idle)-1]
	idle := now.Sub(c.idleAt)
	return idle < c.life && (!once || idle < onceIdle)
}

// idleConn takes an idle connection out, the last used first.
func (e *endpoint) idleConn(now time.Time, once bool) *conn {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if once && s.forgets(now) {
		return nil
	}
	for len(e.idle) > 0 {
		n := len(e.idle) - 1
		c := e.idle[n]
		idle := now.Sub(c.idleAt)
		if once && idle >= min(onceIdle, c.life) {
			// The others have lain idle for longer.
			return nil
		}
		e.idle[n] = nil
		e.idle = e.idle[:n]
		if idle < c.life {
			return c
		}
		e.open--
		_ = c.nc.Close()
	}
	return nil
}

// keep puts a connection back for d.
func (e *endpoint) keep(c *conn, d time.Duration) { e.putBack(c, e.svc.n.clock.Now(), d) }

// keepUnused puts a connection back over which nothing went.
func (e *endpoint) keepUnused(c *conn, now time.Time) {
	if c.idleAt.IsZero() {
		e.putBack(c, now, idleTime)
	} else {
		e.putBack(c, c.idleAt, c.life)
	}
}

func (e *endpoint) putBack(c *conn, since time.Time, d time.Duration) {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if d <= 0 || !e.takes() || e.open > s.maxOpen() {
		e.open--
		_ = c.nc.Close()
		return
	}
	c.idleAt, c.life = since, d
	e.idle = append(e.idle, c)
}

// discard ends a connection; cut throws away what has not left.
func (e *endpoint) discard(c *conn, cut bool) {
	e.svc.mu.Lock()
	e.open--
	e.svc.mu.Unlock()
	if cut {
		c.drop()
	} else {
		_ = c.nc.Close()
	}
}

// closeIdle and closeOldest are called under the service's lock.
func (e *endpoint) closeIdle() {
	for len(e.idle) > 0 {
		e.closeOldest()
	}
}

func (e *endpoint) closeOldest() {
	c := e.idle[0]
	e.idle = append(e.idle[:0], e.idle[1:]...)
	e.open--
	_ = c.nc.Close()
}

// sweep closes what has lain idle for too long.
func (e *endpoint) sweep(now time.Time) {
	for len(e.idle) > 0 && now.Sub(e.idle[0].idleAt) >= e.idle[0].life {
		e.closeOldest()
	}
}

// dial connects within the time that a connect may take.
func (n *Node) dial(run target.Run, far float64, now, hard time.Time) (*conn, error) {
	limit := n.set.DialTime
	if far > farZone {
		limit *= 2
	}
	// A try elsewhere needs time, too.
	limit = min(limit, max(50*time.Millisecond, hard.Sub(now)/4))
	n.stats.dials.Add(1)
	begun := n.clock.Now()
	nc, err := n.connectTo(run.Addr, limit)
	if err != nil {
		n.stats.dialsFailed.Add(1)
		return nil, steperr.Wrap("connect", run.ID, err)
	}
	n.noteConnect(n.clock.Now().Sub(begun))
	c := newConn(nc)
	if err := c.begin(hard); err != nil {
		c.drop()
		return nil, steperr.Wrap("connect", run.ID, err)
	}
	return c, nil
}

func (n *Node) connectTo(addr string, limit time.Duration) (net.Conn, error) {
	if n.call != nil {
		cx, end := context.WithTimeout(context.Background(), limit)
		defer end()
		return n.call(cx, addr)
	}
	d := net.Dialer{Timeout: limit, KeepAlive: -1}
	if ip := net.ParseIP(n.set.Bind); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.Dial("tcp", addr)
}
