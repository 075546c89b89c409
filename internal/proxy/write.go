package proxy

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// drainTime and drainMost bound the reading of what a refused caller still sends,
	// so that the answer is not lost with the connection.
	drainTime = 500 * time.Millisecond
	drainMost = 256 << 10
)

// refuse writes an answer of this node's own, and tells whether the connection stays.
func (c *caller) refuse(w *refused) bool {
	if w.status == 0 {
		return false
	}
	a := c.n.own(w.id, w.status, w.retry, w.why)
	defer a.free()
	if c.write(a, c.h.IsHead(), w.keep && !c.h.ConnectionClose()) {
		return true
	}
	if !w.keep {
		c.drain()
	}
	return false
}

// drain takes in what is still on its way: closing with bytes unread would reset the
// connection, and the answer with it.
func (c *caller) drain() {
	if t, ok := c.nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(c.n.clock.Now().Add(drainTime))
		_, _ = io.CopyN(io.Discard, c.nc, drainMost)
	}
}

// write sends an answer whole, and tells whether the connection stays.
func (c *caller) write(a *answer, noBody, keep bool) bool {
	keep = keep && !c.n.stopping.Load()
	b := getBuffer()
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(a.status)...)
	b = append(b, "\r\n"...)
	b = append(b, a.head...)
	c.n.downs.deliver(a)
	length := len(a.body)
	if x := c.serves.Load(); x != nil {
		x.progress.size.Store(int64(a.bodySize()))
	}
	switch {
	case a.passing != nil:
		length = a.passing.size
	case a.bare:
		length = a.length
	}
	if length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	} else if s := c.n.limits().IdleMS/1000 - 1; s > 0 {
		// Callers that heed it send nothing on a connection that is about to close.
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, int64(s), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	w := c.startAnswer()
	var err error
	switch {
	case a.passing != nil:
		err = w.passing(b, a)
	case noBody || a.bare || len(a.body) == 0:
		_, err = w.write(b)
	case len(a.body) <= together:
		b = append(b, a.body...)
		_, err = w.write(b)
	default:
		err = w.large(b, a)
	}
	putBuffer(b)
	return err == nil && keep
}

// large writes a large body, on a narrow link piece by piece, so that others get their turn.
func (w *answerWriter) large(head []byte, a *answer) error {
	if a.owed == nil {
		return w.writeBoth(head, a.body)
	}
	if _, err := w.write(head); err != nil {
		return err
	}
	for rest := a.body; len(rest) > 0; {
		k, err := w.step(rest, len(a.body), a.owed)
		if err != nil {
			return err
		}
		rest = rest[k:]
	}
	return nil
}

// step writes the next piece of a large body.
func (w *answerWriter) step(rest []byte, size int, d *delivery) (int, error) {
	n := w.c.n
	k := min(len(rest), bulkStep)
	began := n.clock.Now()
	n.out.wait(size, k, began.Add(rateWindow))
	now := n.clock.Now()
	w.excludePause(now.Sub(began))
	n.downs.write(d, now)
	k, err := w.write(rest[:k])
	n.downs.wrote(d, k)
	if x := w.c.serves.Load(); x != nil {
		x.progress.paced.Add(int64(now.Sub(began)))
		x.progress.written.Add(int64(k))
	}
	return k, err
}

// passing writes a body while it comes in.
func (w *answerWriter) passing(head []byte, a *answer) error {
	p := a.passing
	if _, err := w.write(head); err != nil {
		return err
	}
	for at := 0; at < p.size; {
		waits := w.c.n.clock.Now()
		b, err := p.from(at)
		if len(b) == 0 {
			return err
		}
		w.excludePause(w.c.n.clock.Now().Sub(waits))
		k, err := w.step(b, p.size, a.owed)
		if err != nil {
			return err
		}
		at += k
	}
	return nil
}
