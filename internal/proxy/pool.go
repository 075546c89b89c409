package proxy

import (
	"context"
	"net"
	"time"

	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

// maxIdleAtMostOnce is how long a connection may have been idle to carry an at-most-once
// request: if it fails during the request, nobody knows whether the request ran.
const maxIdleAtMostOnce = 1500 * time.Millisecond

// getConn returns a reused or new connection to the run, for a use that ends by deadline; reused
// reports which. atMostOnce requires a recently used connection, forceNew a new one.
func (e *endpoint) getConn(now, deadline time.Time, atMostOnce, forceNew bool) (c *conn, reused bool, err error) {
	s := e.svc
	for !forceNew {
		if c = e.takeIdle(now, atMostOnce); c == nil {
			break
		}
		if c.startUse(deadline) == nil && c.alive() {
			return c, true, nil
		}
		e.discard(c, false)
	}
	s.mu.Lock()
	for e.conns >= s.maxConns() && len(e.idle) > 0 {
		e.closeOldest()
	}
	e.conns++
	run := e.run // an update may change it meanwhile
	s.mu.Unlock()
	c, err = s.node.dial(run, e.zoneFactor, now, deadline)
	if err != nil {
		s.mu.Lock()
		e.conns--
		s.mu.Unlock()
		return nil, false, err
	}
	return c, false, nil
}

// recentlyStale reports whether a reused connection of the service recently failed during a request.
func (s *service) recentlyStale(now time.Time) bool {
	return !s.lastStaleConn.IsZero() && now.Sub(s.lastStaleConn) < distrustIdleFor
}

// hasIdleConn reports whether the most recently used idle connection is usable for such a request.
func (e *endpoint) hasIdleConn(now time.Time, atMostOnce bool) bool {
	if len(e.idle) == 0 || atMostOnce && e.svc.recentlyStale(now) {
		return false
	}
	c := e.idle[len(e.idle)-1]
	idle := now.Sub(c.idleSince)
	return idle < c.idleTimeout && (!atMostOnce || idle < maxIdleAtMostOnce)
}

// takeIdle removes and returns an idle connection, the most recently used first.
func (e *endpoint) takeIdle(now time.Time, atMostOnce bool) *conn {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if atMostOnce && s.recentlyStale(now) {
		return nil
	}
	for len(e.idle) > 0 {
		n := len(e.idle) - 1
		c := e.idle[n]
		idle := now.Sub(c.idleSince)
		if atMostOnce && idle >= min(maxIdleAtMostOnce, c.idleTimeout) {
			// The others have been idle for longer.
			return nil
		}
		e.idle[n] = nil
		e.idle = e.idle[:n]
		if idle < c.idleTimeout {
			return c
		}
		e.conns--
		_ = c.nc.Close()
	}
	return nil
}

// putIdle puts a connection into the pool, to be reused within d.
func (e *endpoint) putIdle(c *conn, d time.Duration) { e.putConn(c, e.svc.node.clock.Now(), d) }

// putUnused puts a connection over which nothing was sent into the pool. A reused one keeps its
// idle time.
func (e *endpoint) putUnused(c *conn, now time.Time) {
	if c.idleSince.IsZero() {
		e.putConn(c, now, defaultIdleTimeout)
	} else {
		e.putConn(c, c.idleSince, c.idleTimeout)
	}
}

func (e *endpoint) putConn(c *conn, since time.Time, d time.Duration) {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if d <= 0 || !e.available() || e.conns > s.maxConns() {
		e.conns--
		_ = c.nc.Close()
		return
	}
	c.idleSince, c.idleTimeout = since, d
	e.idle = append(e.idle, c)
}

// discard closes a connection; withReset also discards unsent data.
func (e *endpoint) discard(c *conn, withReset bool) {
	e.svc.mu.Lock()
	e.conns--
	e.svc.mu.Unlock()
	if withReset {
		c.closeWithReset()
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
	e.conns--
	_ = c.nc.Close()
}

// closeExpired closes connections that have been idle for too long.
func (e *endpoint) closeExpired(now time.Time) {
	for len(e.idle) > 0 && now.Sub(e.idle[0].idleSince) >= e.idle[0].idleTimeout {
		e.closeOldest()
	}
}

// dial connects to the run within the dial timeout.
func (n *Node) dial(run target.Run, distance float64, now, deadline time.Time) (*conn, error) {
	limit := n.settings.DialTimeout
	if distance > sameRegionDistance {
		limit *= 2
	}
	// An attempt at another run needs time, too.
	limit = min(limit, max(50*time.Millisecond, deadline.Sub(now)/4))
	n.stats.dials.Add(1)
	began := n.clock.Now()
	nc, err := n.dialAddr(run.Addr, limit)
	if err != nil {
		n.stats.dialsFailed.Add(1)
		return nil, steperr.Wrap("connect", run.ID, err)
	}
	n.recordRoundTrip(n.clock.Now().Sub(began))
	c := newConn(nc)
	if err := c.startUse(deadline); err != nil {
		c.closeWithReset()
		return nil, steperr.Wrap("connect", run.ID, err)
	}
	return c, nil
}

func (n *Node) dialAddr(addr string, limit time.Duration) (net.Conn, error) {
	if n.dialContext != nil {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return n.dialContext(ctx, addr)
	}
	d := net.Dialer{Timeout: limit, KeepAlive: -1}
	if ip := net.ParseIP(n.settings.Bind); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.Dial("tcp", addr)
}
