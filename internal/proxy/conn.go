package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/peer"
)

const (
	// idleTime is how long a connection to a target may lie idle and be used again
	// where the target said nothing.
	idleTime = 5 * time.Second
	// readSize is the buffer of a connection; an answer's fields must fit into it.
	readSize = 8 << 10
)

var (
	errGivenUp = errors.New("given up, for another answer came first")
	errMute    = errors.New("no answer before the deadline")
	past       = time.Unix(1, 0)
)

// conn is one connection to a target, used by one request at a time.
type conn struct {
	nc  net.Conn
	raw syscall.RawConn // nil where there is none
	r   *bufio.Reader
	h   fasthttp.ResponseHeader
	buf []byte // the head of a request

	idleAt time.Time     // since when it lies idle
	life   time.Duration // how long it may
	uses   int

	// hard ends the reading. At soft, where set, slow is called, and says when next;
	// the reading goes on.
	hard, soft, set time.Time
	slow            func() time.Time
	stop            atomic.Bool
	got             bool // a byte came back in this use
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc}
	if s, ok := nc.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.r = bufio.NewReaderSize(c, readSize)
	return c
}

// begin readies the connection for a use that ends by hard.
func (c *conn) begin(hard time.Time) error {
	c.hard, c.set, c.soft, c.slow, c.got = hard, hard, time.Time{}, nil, false
	c.uses++
	return c.nc.SetDeadline(hard)
}

// alive looks, without waiting, whether the other side has closed the connection or
// sent something that nobody asked for. begin must have been called: a deadline that
// has passed would hide what there is.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, e := peer.Peek(fd)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// Read reads for the buffer. It waits past soft deadlines, so that whoever parses an
// answer needs to know nothing of them.
func (c *conn) Read(p []byte) (int, error) {
	for {
		d := c.hard
		if c.slow != nil && !c.soft.IsZero() && c.soft.Before(d) {
			d = c.soft
		}
		if d != c.set {
			c.set = d
			if err := c.nc.SetReadDeadline(d); err != nil {
				return 0, err
			}
		}
		// Whoever stops this reading sets the mark before the deadline, so one of the
		// two is seen.
		if c.stop.Load() {
			return 0, errGivenUp
		}
		n, err := c.nc.Read(p)
		if n > 0 {
			c.got = true
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch {
		case c.stop.Load():
			return n, errGivenUp
		case n > 0:
			return n, nil
		case d.Equal(c.hard):
			return 0, errMute
		}
		c.soft = c.slow()
	}
}

// giveUp ends a reading or writing of another goroutine.
func (c *conn) giveUp() {
	c.stop.Store(true)
	_ = c.nc.SetDeadline(past)
}

// drop closes the connection and throws away what has not left: the system would go
// on sending it, and the target run what was given up long ago.
func (c *conn) drop() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.nc.Close()
}
