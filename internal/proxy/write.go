package proxy

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// drainTimeout and maxDrainBytes bound the reading of what a refused caller still sends,
	// so that the answer is not lost with the connection.
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// refuse writes an answer of the node itself and reports whether the connection stays open.
func (c *callerConn) refuse(rejected *rejection) bool {
	if rejected.status == 0 {
		return false
	}
	a := c.n.localAnswer(rejected.requestID, rejected.status, rejected.retryAfter, rejected.reason)
	defer a.free()
	if c.write(a, c.h.IsHead(), rejected.keepOpen && !c.h.ConnectionClose()) {
		return true
	}
	if !rejected.keepOpen {
		c.drain()
	}
	return false
}

// drain reads what is still in transit: closing with unread bytes would reset the
// connection, and the caller could lose the answer.
func (c *callerConn) drain() {
	if t, ok := c.nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(c.n.clock.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, c.nc, maxDrainBytes)
	}
}

// write sends a complete answer and reports whether the connection stays open.
func (c *callerConn) write(a *answer, noBody, keep bool) bool {
	keep = keep && !c.n.stopping.Load()
	b := getBuffer()
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(a.status)...)
	b = append(b, "\r\n"...)
	b = append(b, a.head...)
	c.n.downloads.startDelivery(a)
	length := len(a.body)
	if x := c.current.Load(); x != nil {
		x.progress.size.Store(int64(a.bodySize()))
	}
	switch {
	case a.stream != nil:
		length = a.stream.size
	case a.noBodyOrLength:
		length = a.contentLength
	}
	if length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	} else if s := c.n.limits().IdleMS/1000 - 1; s > 0 {
		// Callers that honor Keep-Alive do not send on a connection that is about to close.
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, int64(s), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	w := c.startAnswer()
	var err error
	switch {
	case a.stream != nil:
		err = w.writeStream(b, a)
	case noBody || a.noBodyOrLength || len(a.body) == 0:
		_, err = w.write(b)
	case len(a.body) <= maxJoinedBody:
		b = append(b, a.body...)
		_, err = w.write(b)
	default:
		err = w.writeLarge(b, a)
	}
	putBuffer(b)
	return err == nil && keep
}

// writeLarge writes a large body; on a narrow link in small steps, so that other answers are interleaved.
func (w *answerWriter) writeLarge(head []byte, a *answer) error {
	if a.pendingDelivery == nil {
		return w.writeBoth(head, a.body)
	}
	if _, err := w.write(head); err != nil {
		return err
	}
	for remaining := a.body; len(remaining) > 0; {
		k, err := w.writeStep(remaining, len(a.body), a.pendingDelivery)
		if err != nil {
			return err
		}
		remaining = remaining[k:]
	}
	return nil
}

// writeStep writes the next part of a large body.
func (w *answerWriter) writeStep(rest []byte, size int, d *delivery) (int, error) {
	n := w.c.n
	k := min(len(rest), largeBodyStep)
	began := n.clock.Now()
	n.outbound.wait(size, k, began.Add(rateWindow))
	now := n.clock.Now()
	w.excludePause(now.Sub(began))
	n.downloads.writeBegins(d, now)
	k, err := w.write(rest[:k])
	n.downloads.writeDone(d, k)
	if x := w.c.current.Load(); x != nil {
		x.progress.paced.Add(int64(now.Sub(began)))
		x.progress.written.Add(int64(k))
	}
	return k, err
}

// writeStream writes a body while it is being received.
func (w *answerWriter) writeStream(head []byte, a *answer) error {
	p := a.stream
	if _, err := w.write(head); err != nil {
		return err
	}
	for at := 0; at < p.size; {
		waitStart := w.c.n.clock.Now()
		b, err := p.readFrom(at)
		if len(b) == 0 {
			return err
		}
		w.excludePause(w.c.n.clock.Now().Sub(waitStart))
		k, err := w.writeStep(b, p.size, a.pendingDelivery)
		if err != nil {
			return err
		}
		at += k
	}
	return nil
}
