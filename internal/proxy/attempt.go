package proxy

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"
)

// outcome is how an attempt at one run ended.
type outcome uint8

const (
	answered    outcome = iota + 1 // with a proper answer, success or not
	turnedAway                     // the target says that it did not run the request
	misdirected                    // another run has the address
	unreachable                    // no connection, so no byte left
	reset                          // the connection ended after the request left
	stale                          // so did a kept connection, before any byte came back
	spoilt                         // what came back is no answer to the request
	mute                           // silence for longer than its answers make plausible
	cutShort                       // given up, or out of time, before that
	withheld                       // not sent, for no fault of the run
	erred                          // with a proper answer that tells of the run's own failure
	outcomes
)

// whole tells whether there is an answer for the caller.
func (o outcome) whole() bool { return o == answered || o == erred }

// attempt sends the request to one run and reads its answer.
func (n *Node) attempt(x *exchange, g grant) (o outcome) {
	x.try(g.e)
	began := n.clock.Now()
	paused := n.pauses.TotalAt(began)
	o = n.send(x, g.e, began)
	now := n.clock.Now()
	// Time in which this node itself stood still tells nothing of the run.
	still := n.pauses.TotalAt(now) - paused
	took := max(0, now.Sub(began)-still)
	if o == cutShort && still == 0 {
		g.e.svc.mu.Lock()
		if took >= g.e.plausible(x.aim, x.deadline.Sub(began)) {
			o = mute
		}
		g.e.svc.mu.Unlock()
	}
	g.e.svc.release(g, o, took, x.aim)
	g.e.svc.tally(x.entry.Name, g.e, o, took)
	n.stats.note(o)
	return o
}

func (n *Node) send(x *exchange, e *endpoint, began time.Time) outcome {
	for fresh := false; ; fresh = true {
		c, reused, err := e.connect(began, x.deadline, x.once, fresh)
		if err != nil {
			return unreachable
		}
		o, again := n.use(x, e, c, reused)
		if !again {
			return o
		}
		// No byte left on a kept connection: the same run is asked over a new one.
	}
}

// use sends the request over one connection. again tells that nothing left, for the
// connection was dead.
func (n *Node) use(x *exchange, e *endpoint, c *conn, reused bool) (o outcome, again bool) {
	now := n.clock.Now()
	left := x.deadline.Sub(now)
	e.svc.mu.Lock()
	ok, run := e.takes(), e.run.ID
	after := e.plausible(x.aim, left)
	e.svc.mu.Unlock()
	// News may have come while the connection was made, or grown old.
	if !ok || left < minLeft || n.outdated() || !x.enter(c) {
		e.keepUnused(c, now)
		return withheld, false
	}
	c.buf = x.appendHead(c.buf[:0], n.set.Dialect, run, left)
	sent, err := c.write(c.buf, x.body)
	if err != nil && sent == 0 {
		x.leave(c, true, false)
		e.discard(c, true)
		if o = classify(c, err, reused); o == stale {
			return o, true
		}
		return o, false
	}
	if err == nil {
		if !x.once && x.attempts > 1 {
			paused := n.pauses.TotalAt(now)
			c.soft, c.slow = now.Add(after), func() time.Time {
				now := n.clock.Now()
				next := now.Add(max(after/2, 50*time.Millisecond))
				if p := n.pauses.TotalAt(now); p != paused {
					paused = p
					return next
				}
				n.elsewhere(x)
				return next
			}
		}
		var a *answer
		var p reply
		if a, p, err = n.readAnswer(c, x.id, x.noBody, n.passer(x, e, c)); err == nil {
			return n.take(x, e, c, a, p), false
		}
		if a != nil && c.stop.Load() {
			// The caller went away while its answer came, for no fault of the run.
			e.discard(c, true)
			return withheld, false
		}
	}
	x.leave(c, false, false)
	e.discard(c, true)
	o = classify(c, err, reused)
	if o == spoilt {
		n.warn("an answer was thrown away", "step", "answer", "peer", run, "err", err)
	}
	return o, false
}

// take deals with a whole answer.
func (n *Node) take(x *exchange, e *endpoint, c *conn, a *answer, p reply) (o outcome) {
	x.leave(c, false, p.notRun)
	status := a.status
	if p.close || c.r.Buffered() > 0 || c.stop.Load() {
		// Bytes behind a whole answer belong to no request.
		e.discard(c, true)
	} else {
		e.keep(c, p.keep)
	}
	if a.passing == nil && (p.notRun || !x.win(a)) {
		n.release(a)
		a.free()
	}
	switch {
	case p.moved:
		return misdirected
	case p.notRun:
		return turnedAway
	case status >= 500:
		return erred
	}
	return answered
}

// classify tells what a failed use of a connection shows.
func classify(c *conn, err error, reused bool) outcome {
	var ne net.Error
	switch {
	case c.stop.Load(), errors.Is(err, errGivenUp), errors.Is(err, errMute), errors.As(err, &ne) && ne.Timeout():
		return cutShort
	case c.got:
		return spoilt
	case reused:
		return stale
	case errors.As(err, new(*net.OpError)), errors.Is(err, io.ErrUnexpectedEOF):
		return reset
	}
	return spoilt
}

// appendHead writes the head of the request for one attempt: what came, the run that
// is meant, and what is left of the time.
func (x *exchange) appendHead(b []byte, d Dialect, run string, left time.Duration) []byte {
	b = append(b, x.head...)
	b = appendField(b, d.Expect, run)
	b = append(b, d.Remaining...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\n"...)
	if x.framed {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(x.body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// together is up to which size a body is copied behind its head, to leave in one piece.
const together = 8 << 10

// write sends head and body; n counts what the system took.
func (c *conn) write(head, body []byte) (n int64, err error) {
	if len(body) <= together {
		c.buf = append(head, body...)
		k, err := c.nc.Write(c.buf)
		return int64(k), err
	}
	bs := net.Buffers{head, body}
	return bs.WriteTo(c.nc)
}

// elsewhere is called while a repeatable request waits for longer than is plausible:
// it asks another run besides (design 13.14), unless one is being asked.
func (n *Node) elsewhere(x *exchange) {
	if x.besides() != nil || !x.more() {
		return
	}
	g := x.svc.take(x)
	if g.e == nil {
		return
	}
	done := make(chan struct{})
	x.mu.Lock()
	x.hedge = done
	x.mu.Unlock()
	x.shared = true
	n.stats.hedges.Add(1)
	go func() {
		n.attempt(x, g)
		n.leavePassed(x, g)
		x.mu.Lock()
		x.hedge = nil
		x.mu.Unlock()
		close(done)
	}()
}
