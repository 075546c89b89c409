package proxy

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// writeTime bounds the writing of an answer to a caller that reads slowly.
	writeTime = 10 * time.Second
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
	var err error
	if err = c.nc.SetWriteDeadline(c.n.clock.Now().Add(writeTime)); err == nil {
		switch {
		case a.passing != nil:
			err = c.writePassing(b, a)
		case noBody || a.bare || len(a.body) == 0:
			_, err = c.nc.Write(b)
		case len(a.body) <= together:
			b = append(b, a.body...)
			_, err = c.nc.Write(b)
		default:
			err = c.writeLarge(b, a)
		}
	}
	putBuffer(b)
	return err == nil && keep
}

// writeLarge writes a large body piece by piece, so that others get their turn on a
// narrow link. The time for writing begins anew with each piece that was taken.
func (c *caller) writeLarge(head []byte, a *answer) error {
	body := a.body
	if a.owed == nil {
		bs := net.Buffers{head, body}
		_, err := bs.WriteTo(c.nc)
		return err
	}
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	for rest := body; len(rest) > 0; {
		k, err := c.writeStep(rest, len(body), a.owed)
		if err != nil {
			return err
		}
		rest = rest[k:]
	}
	return nil
}

// writeStep writes the next piece of a large body.
func (c *caller) writeStep(rest []byte, size int, d *delivery) (int, error) {
	k := min(len(rest), bulkStep)
	began := c.n.clock.Now()
	c.n.out.wait(size, k, began.Add(writeTime))
	now := c.n.clock.Now()
	if err := c.nc.SetWriteDeadline(now.Add(writeTime)); err != nil {
		return 0, err
	}
	c.n.downs.write(d, now)
	k, err := c.nc.Write(rest[:k])
	c.n.downs.wrote(d, k)
	if x := c.serves.Load(); x != nil {
		x.progress.paced.Add(int64(now.Sub(began)))
		x.progress.written.Add(int64(k))
	}
	return k, err
}

// writePassing writes a body while it comes in.
func (c *caller) writePassing(head []byte, a *answer) error {
	p := a.passing
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	for at := 0; at < p.size; {
		b, err := p.from(at)
		if len(b) == 0 {
			return err
		}
		k, err := c.writeStep(b, p.size, a.owed)
		if err != nil {
			return err
		}
		at += k
	}
	return nil
}
