package proxy

import (
	"errors"
	"net"
	"time"
)

const (
	// rateWindow is the time over which a caller must read at the minimum rate.
	rateWindow = 10 * time.Second
	// writeRetryInterval is how often a blocked write is retried: the operating system reports that a socket is writable
	// only once much of its buffer is free, but accepts bytes earlier.
	writeRetryInterval = time.Second
)

// errSlowReader ends the writing of an answer.
var errSlowReader = errors.New("the caller read its answer below the minimum rate")

// answerWriter writes one answer to a caller that may read slowly: the write timeout is extended as long as the caller reads
// at the minimum rate and its own deadline has not passed.
type answerWriter struct {
	c             *callerConn
	noWindowAfter time.Time // no rate window starts after this time
	windowStart   time.Time // of the current rate window
	windowBytes   int       // accepted in the current rate window
}

// startAnswer prepares the writer for the answer to the present request.
func (c *callerConn) startAnswer() *answerWriter {
	now := c.n.clock.Now()
	w := &c.writer
	*w = answerWriter{c: c, noWindowAfter: now.Add(rateWindow), windowStart: now}
	if x := c.current.Load(); x != nil && x.deadline.After(w.noWindowAfter) {
		w.noWindowAfter = x.deadline
	}
	return w
}

// write writes all of b, and returns how many bytes were accepted.
func (w *answerWriter) write(b []byte) (written int, err error) {
	for {
		if err := w.c.nc.SetWriteDeadline(w.tryDeadline()); err != nil {
			return written, err
		}
		k, err := w.c.nc.Write(b[written:])
		w.windowBytes += k
		written += k
		if err == nil {
			return written, nil
		}
		if err := w.retry(err); err != nil {
			return written, err
		}
	}
}

// writeBoth writes head and body in one call, as far as the operating system accepts them.
func (w *answerWriter) writeBoth(head, body []byte) error {
	left := net.Buffers{head, body}
	for {
		if err := w.c.nc.SetWriteDeadline(w.tryDeadline()); err != nil {
			return err
		}
		k, err := left.WriteTo(w.c.nc)
		w.windowBytes += int(k)
		if err == nil {
			return nil
		}
		if err := w.retry(err); err != nil {
			return err
		}
	}
}

// tryDeadline is the write deadline of the next try.
func (w *answerWriter) tryDeadline() time.Time {
	end, tick := w.windowStart.Add(rateWindow), w.c.n.clock.Now().Add(writeRetryInterval)
	if tick.Before(end) {
		return tick
	}
	return end
}

// retry returns nil if a write that ended with err is to be retried: it timed out, and the caller reads fast enough.
func (w *answerWriter) retry(err error) error {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return err
	}
	now := w.c.n.clock.Now()
	elapsed := now.Sub(w.windowStart)
	switch {
	case elapsed < rateWindow:
		return nil
	case float64(w.windowBytes) < float64(w.c.n.settings.MinReadRate)*elapsed.Seconds():
		w.c.n.stats.tooSlow.Add(1)
		w.c.n.warnLimited("an answer was cut off: its caller took less than the least rate", "step", "answer", "peer", w.c.nc.RemoteAddr().String(), "bytes", w.windowBytes, "in", elapsed.String())
		return errSlowReader
	case !now.Before(w.noWindowAfter):
		return err
	}
	w.windowStart, w.windowBytes = now, 0
	return nil
}

// excludePause excludes a time from the rate window in which nothing was offered to the caller.
func (w *answerWriter) excludePause(d time.Duration) { w.windowStart = w.windowStart.Add(d) }
