package proxy

import (
	"errors"
	"net"
	"time"
)

const (
	// writeTime is the stretch in which a caller must take what the least rate asks for.
	writeTime = 10 * time.Second
	// writeTick is how often a write that waits is tried anew: a system tells that there is room only once much of
	// its buffer is free, and takes bytes earlier.
	writeTick = time.Second
)

// errSlow says that a caller took next to nothing of its answer.
var errSlow = errors.New("the caller took less than the least rate")

// answerWriter writes one answer to a caller, who may read slowly: the time for writing begins anew as long as it takes
// bytes at the least rate and its own deadline is not over.
type answerWriter struct {
	c     *callerConn
	until time.Time // no stretch begins later
	began time.Time // of the present stretch
	taken int       // in it
}

// writerFor begins the writing of the answer to the request under way.
func (c *callerConn) writerFor() *answerWriter {
	now := c.n.clock.Now()
	w := &c.writer
	*w = answerWriter{c: c, until: now.Add(writeTime), began: now}
	if x := c.current.Load(); x != nil && x.deadline.After(w.until) {
		w.until = x.deadline
	}
	return w
}

// write writes all of b, and tells how much was taken.
func (w *answerWriter) write(b []byte) (taken int, err error) {
	for {
		if err := w.c.nc.SetWriteDeadline(w.bound()); err != nil {
			return taken, err
		}
		k, err := w.c.nc.Write(b[taken:])
		w.taken += k
		taken += k
		if err == nil {
			return taken, nil
		}
		if err := w.goOn(err); err != nil {
			return taken, err
		}
	}
}

// writeBoth writes head and body in one call, as far as the system takes them.
func (w *answerWriter) writeBoth(head, body []byte) error {
	left := net.Buffers{head, body}
	for {
		if err := w.c.nc.SetWriteDeadline(w.bound()); err != nil {
			return err
		}
		k, err := left.WriteTo(w.c.nc)
		w.taken += int(k)
		if err == nil {
			return nil
		}
		if err := w.goOn(err); err != nil {
			return err
		}
	}
}

// bound is by when the next try is to end.
func (w *answerWriter) bound() time.Time {
	end, tick := w.began.Add(writeTime), w.c.n.clock.Now().Add(writeTick)
	if tick.Before(end) {
		return tick
	}
	return end
}

// goOn tells whether a write that ended with err is tried anew: one that ran into its bound, while the caller takes enough.
func (w *answerWriter) goOn(err error) error {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return err
	}
	now := w.c.n.clock.Now()
	stretch := now.Sub(w.began)
	switch {
	case stretch < writeTime:
		return nil
	case float64(w.taken) < float64(w.c.n.settings.MinReadRate)*stretch.Seconds():
		w.c.n.stats.tooSlow.Add(1)
		w.c.n.warnLimited("an answer was cut off: its caller took less than the least rate", "step", "answer", "peer", w.c.nc.RemoteAddr().String(), "bytes", w.taken, "in", stretch.String())
		return errSlow
	case !now.Before(w.until):
		return err
	}
	w.began, w.taken = now, 0
	return nil
}

// pause leaves time out of the stretch in which the caller was not offered anything.
func (w *answerWriter) pause(d time.Duration) { w.began = w.began.Add(d) }
