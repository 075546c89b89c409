package proxy

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"
)

// outcome is the result of an attempt at one run.
type outcome uint8

const (
	outcomeAnswered    outcome = iota + 1 // a valid answer, successful or not
	outcomeRejected                       // the target states that it did not run the request
	outcomeMisdirected                    // another run has the address
	outcomeUnreachable                    // no connection, so no byte was sent
	outcomeReset                          // the connection ended after the request was sent
	outcomeStaleConn                      // a reused connection ended before any byte was received
	outcomeInvalid                        // the answer received is not a valid answer to the request
	outcomeSilent                         // silence for longer than earlier answers make plausible
	outcomeCanceled                       // aborted or out of time before the silence became implausible
	outcomeNotSent                        // not sent, for reasons other than the run
	outcomeServerError                    // a valid answer that reports a failure of the run itself
	outcomeCount
)

// hasAnswer reports whether there is an answer for the caller.
func (o outcome) hasAnswer() bool { return o == outcomeAnswered || o == outcomeServerError }

// attempt sends the request to one run and reads the answer.
func (n *Node) attempt(x *exchange, g grant) (o outcome) {
	x.markTried(g.e)
	began := n.clock.Now()
	paused := n.pauses.TotalAt(began)
	o = n.send(x, g.e, began)
	now := n.clock.Now()
	// Time during which this process was paused does not count against the run.
	pausedFor := n.pauses.TotalAt(now) - paused
	took := max(0, now.Sub(began)-pausedFor)
	if o == outcomeCanceled && pausedFor == 0 {
		g.e.svc.mu.Lock()
		if took >= g.e.silenceLimit(x.latencyTarget, x.deadline.Sub(began)) {
			o = outcomeSilent
		}
		g.e.svc.mu.Unlock()
	}
	g.e.svc.release(g, o, took, x.latencyTarget)
	g.e.svc.recordForUpgrade(x.entry.Name, g.e, o, took)
	n.stats.record(o)
	return o
}

func (n *Node) send(x *exchange, e *endpoint, began time.Time) outcome {
	for fresh := false; ; fresh = true {
		c, reused, err := e.getConn(began, x.deadline, x.atMostOnce, fresh)
		if err != nil {
			return outcomeUnreachable
		}
		o, again := n.sendOn(x, e, c, reused)
		if !again {
			return o
		}
		// No byte was sent on the reused connection: the same run is tried over a new one.
	}
}

// sendOn sends the request over one connection. again reports that the connection was dead
// and nothing was sent.
func (n *Node) sendOn(x *exchange, e *endpoint, c *conn, reused bool) (o outcome, again bool) {
	now := n.clock.Now()
	left := x.deadline.Sub(now)
	e.svc.mu.Lock()
	ok, run := e.available(), e.run.ID
	after := e.silenceLimit(x.latencyTarget, left)
	e.svc.mu.Unlock()
	// The state may have changed, or become outdated, while the connection was made.
	if !ok || left < minSendTime || n.configStaleOnArrival() || !x.beginSend(c) {
		e.putUnused(c, now)
		return outcomeNotSent, false
	}
	c.buf = x.appendHead(c.buf[:0], n.settings.Headers, run, left)
	sent, err := c.write(c.buf, x.body)
	if err != nil && sent == 0 {
		x.endSend(c, true, false)
		e.discard(c, true)
		if o = classifyError(c, err, reused); o == outcomeStaleConn {
			return o, true
		}
		return o, false
	}
	if err == nil {
		if !x.atMostOnce && x.maxAttempts > 1 {
			paused := n.pauses.TotalAt(now)
			c.softDeadline, c.onSoftDeadline = now.Add(after), func() time.Time {
				now := n.clock.Now()
				next := now.Add(max(after/2, 50*time.Millisecond))
				if p := n.pauses.TotalAt(now); p != paused {
					paused = p
					return next
				}
				n.hedge(x)
				return next
			}
		}
		var a *answer
		var p answerControl
		if a, p, err = n.readAnswer(c, x.id, x.noBody, n.streamAnswer(x, e, c)); err == nil {
			return n.acceptAnswer(x, e, c, a, p), false
		}
		if a != nil && c.aborted.Load() {
			// The caller disconnected during the answer; this is no fault of the run.
			e.discard(c, true)
			return outcomeNotSent, false
		}
	}
	x.endSend(c, false, false)
	e.discard(c, true)
	o = classifyError(c, err, reused)
	if o == outcomeInvalid {
		n.warnLimited("an answer was thrown away", "step", "answer", "peer", run, "err", err)
	}
	return o, false
}

// acceptAnswer handles a complete answer.
func (n *Node) acceptAnswer(x *exchange, e *endpoint, c *conn, a *answer, p answerControl) (o outcome) {
	x.endSend(c, false, p.notRun)
	status := a.status
	if p.close || c.r.Buffered() > 0 || c.aborted.Load() {
		// Bytes after a complete answer belong to no request.
		e.discard(c, true)
	} else {
		e.putIdle(c, p.idleTimeout)
	}
	if a.stream == nil && (p.notRun || !x.offerResult(a)) {
		n.releaseAnswer(a)
		a.free()
	}
	switch {
	case p.misdirected:
		return outcomeMisdirected
	case p.notRun:
		return outcomeRejected
	case status >= 500:
		return outcomeServerError
	}
	return outcomeAnswered
}

// classifyError returns the outcome for a failed use of a connection.
func classifyError(c *conn, err error, reused bool) outcome {
	var ne net.Error
	switch {
	case c.aborted.Load(), errors.Is(err, errAborted), errors.Is(err, errNoAnswer), errors.As(err, &ne) && ne.Timeout():
		return outcomeCanceled
	case c.receivedByte:
		return outcomeInvalid
	case reused:
		return outcomeStaleConn
	case errors.As(err, new(*net.OpError)), errors.Is(err, io.ErrUnexpectedEOF):
		return outcomeReset
	}
	return outcomeInvalid
}

// appendHead appends the request head for one attempt: the forwarded fields, the run that
// is addressed, the remaining time and the length of the body.
func (x *exchange) appendHead(b []byte, d HeaderNames, run string, left time.Duration) []byte {
	b = append(b, x.head...)
	b = appendField(b, d.ExpectedRun, run)
	b = append(b, d.RemainingTime...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\n"...)
	if x.hasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(x.body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// maxJoinedBody is the largest body that is copied behind its head to be sent in one write.
const maxJoinedBody = 8 << 10

// write sends head and body; n is the number of bytes that the kernel accepted.
func (c *conn) write(head, body []byte) (n int64, err error) {
	if len(body) <= maxJoinedBody {
		c.buf = append(head, body...)
		k, err := c.nc.Write(c.buf)
		return int64(k), err
	}
	bs := net.Buffers{head, body}
	return bs.WriteTo(c.nc)
}

// hedge sends a repeatable request to a second run in parallel (design 13.14), unless a hedged
// attempt is in progress. It is called when the request has waited longer than is plausible.
func (n *Node) hedge(x *exchange) {
	if x.hedgeInProgress() != nil || !x.canSend() {
		return
	}
	g := x.svc.tryAcquire(x)
	if g.e == nil {
		return
	}
	done := make(chan struct{})
	x.mu.Lock()
	x.hedgeDone = done
	x.mu.Unlock()
	x.buffersShared = true
	n.stats.hedges.Add(1)
	go func() {
		n.attempt(x, g)
		n.endStreamedDownload(x, g)
		x.mu.Lock()
		x.hedgeDone = nil
		x.mu.Unlock()
		close(done)
	}()
}
