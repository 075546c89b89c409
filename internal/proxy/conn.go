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

	"walkrudder/internal/http1"
	"walkrudder/internal/peer"
)

const (
	// defaultIdleTimeout is how long an idle connection to a target may be reused if the
	// target does not say.
	defaultIdleTimeout = 5 * time.Second
	// readBufferSize is the buffer of a connection; the header fields of an answer must fit into it.
	readBufferSize = 8 << 10
)

var (
	errAborted   = errors.New("aborted: the answer is no longer needed")
	errNoAnswer  = errors.New("no answer before the deadline")
	pastDeadline = time.Unix(1, 0)
)

// conn is a connection to a target, used by one request at a time.
type conn struct {
	nc  net.Conn
	raw syscall.RawConn // nil if not available
	r   *bufio.Reader
	h   fasthttp.ResponseHeader
	buf []byte // the request head being sent

	idleSince   time.Time
	idleTimeout time.Duration
	uses        int

	// deadline ends reading. At softDeadline, if set, onSoftDeadline is called and returns
	// the next soft deadline; reading continues.
	deadline, softDeadline, appliedDeadline time.Time
	onSoftDeadline                          func() time.Time
	aborted                                 atomic.Bool
	receivedByte                            bool // at least one byte was received during this use
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc}
	if s, ok := nc.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.r = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// startUse prepares the connection for one use; hard is the deadline of all its reads and writes.
func (c *conn) startUse(hard time.Time) error {
	c.deadline, c.appliedDeadline, c.softDeadline, c.onSoftDeadline, c.receivedByte = hard, hard, time.Time{}, nil, false
	c.uses++
	return c.nc.SetDeadline(hard)
}

// alive checks, without blocking, that the other side has neither closed the connection nor
// sent unsolicited bytes. startUse must have been called: an expired deadline would hide
// pending data.
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

// Read implements io.Reader for the buffer. It continues past soft deadlines, so the
// answer parser does not need to handle them.
func (c *conn) Read(p []byte) (int, error) {
	for {
		d := c.deadline
		if c.onSoftDeadline != nil && !c.softDeadline.IsZero() && c.softDeadline.Before(d) {
			d = c.softDeadline
		}
		if d != c.appliedDeadline {
			c.appliedDeadline = d
			if err := c.nc.SetReadDeadline(d); err != nil {
				return 0, err
			}
		}
		// abort sets the flag before the deadline, so one of the two is
		// always seen.
		if c.aborted.Load() {
			return 0, errAborted
		}
		n, err := c.nc.Read(p)
		if n > 0 {
			c.receivedByte = true
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch {
		case c.aborted.Load():
			return n, errAborted
		case n > 0:
			return n, nil
		case d.Equal(c.deadline):
			return 0, errNoAnswer
		}
		c.softDeadline = c.onSoftDeadline()
	}
}

// readHead reads the head of the next final response into c.h, with the names of its fields as they came.
func (c *conn) readHead() (http1.Head, error) {
	c.h.Reset()
	c.h.DisableNormalizing()
	c.h.SetNoDefaultContentType(true)
	return http1.ReadHead(c.r, &c.h)
}

// abort interrupts a read or write in another goroutine.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.nc.SetDeadline(pastDeadline)
}

// closeWithReset closes the connection and discards unsent data: the kernel would otherwise
// continue to send it, and the target would run a request that was abandoned long ago.
func (c *conn) closeWithReset() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.nc.Close()
}
