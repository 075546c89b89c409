package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/route"
)

const (
	// smallHead is the first buffer of a caller's connection; a larger head gets a
	// larger one, up to the limit.
	smallHead = 4 << 10
	// base is what a request is taken to hold besides its body.
	base = 8 << 10
	// unknownWait is how long a caller is taken to wait that does not say.
	unknownWait = 30 * time.Second
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, smallHead) }}

// caller is one connection of a caller. Its goroutine reads a request, leads it to a
// target and writes the answer.
type caller struct {
	n      *Node
	nc     net.Conn
	r      *bufio.Reader
	h      fasthttp.RequestHeader
	writer answerWriter // of the answer that is written now
	// leads is the request that waits for its answer; nil is none.
	leads atomic.Pointer[exchange]
	// serves is the request that was read and is not answered yet; nil is none.
	serves atomic.Pointer[exchange]

	mu    sync.Mutex
	idle  bool // waits for the first byte of a request
	first time.Time
	// expects says that the caller waits for a word before it sends the body.
	expects bool
}

// refused is an answer of this node's own to a request that it does not lead.
type refused struct {
	status int
	why    string
	retry  time.Duration
	id     []byte
	keep   bool // the request was read whole, so the connection may stay
}

func (c *caller) serve() {
	c.r = readers.Get().(*bufio.Reader)
	c.r.Reset(c.nc)
	defer func() {
		_ = c.nc.Close()
		if c.r.Size() == smallHead {
			c.r.Reset(nil)
			readers.Put(c.r)
		}
	}()
	for c.rest() && c.one() {
	}
}

// limits are the bounds that stand, with defaults until some are known.
func (n *Node) limits() route.Limits {
	l := n.view.Load().limits
	def(&l.HeaderBytes, 32<<10)
	def(&l.BodyBytes, 64<<20)
	def(&l.HeaderMS, 5000)
	def(&l.IdleMS, 60000)
	return l
}

// rest waits for the first byte of a request. Whoever stops the node ends the wait by
// the deadline and touches no connection that is past it, so no request is lost.
func (c *caller) rest() bool {
	c.mu.Lock()
	c.idle = true
	d := c.n.clock.Now().Add(time.Duration(c.n.limits().IdleMS) * time.Millisecond)
	if c.n.leaving.Load() {
		d = past
	}
	err := c.nc.SetReadDeadline(d)
	c.mu.Unlock()
	if err != nil {
		return false
	}
	_, err = c.r.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if err != nil {
		return false
	}
	c.first = c.n.clock.Now()
	return c.nc.SetReadDeadline(c.first.Add(time.Duration(c.n.limits().HeaderMS)*time.Millisecond)) == nil
}

// release ends the wait for a request, if the caller is in it.
func (c *caller) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.nc.SetReadDeadline(past)
	}
}

// one serves one request and tells whether the connection stays.
func (c *caller) one() bool {
	n := c.n
	n.stats.inside.Add(1)
	defer n.stats.inside.Add(-1)
	l := n.limits()
	if why := c.readHead(l); why != nil {
		return why.status != 0 && c.refuse(why)
	}
	n.stats.requests.Add(1)
	x, why := c.request(l)
	if why == nil {
		why = n.place(x)
	}
	if !c.h.IsHTTP11() {
		c.h.SetConnectionClose()
	}
	if why != nil {
		if x != nil {
			x.free()
		}
		return c.refuse(why)
	}
	c.serves.Store(x)
	defer c.serves.Store(nil)
	c.leads.Store(x)
	a := n.forward(x)
	c.leads.Store(nil)
	x.progress.enter(answering)
	keep := c.write(a, x.noBody, !c.h.ConnectionClose())
	if a.passing != nil {
		a.passing.stop()
	}
	n.downs.over(a)
	n.release(a)
	a.free()
	x.free()
	return keep
}

// readHead reads request line and fields. A refusal without status is a connection
// that ended before a request began.
func (c *caller) readHead(l route.Limits) *refused {
	for {
		c.h.DisableNormalizing()
		c.h.SetNoDefaultContentType(true)
		err := c.h.Read(c.r)
		if err == nil {
			if len(c.h.RawHeaders())+len(c.h.RequestURI()) > l.HeaderBytes {
				return &refused{status: 431, why: "the head is too large"}
			}
			return nil
		}
		var small *fasthttp.ErrSmallBuffer
		var ne net.Error
		switch {
		case errors.As(err, &small):
			if c.r.Size() >= l.HeaderBytes+len("\r\n\r\n") {
				return &refused{status: 431, why: "the head is too large"}
			}
			b, _ := c.r.Peek(c.r.Buffered())
			in := io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.nc)
			c.r = bufio.NewReaderSize(in, l.HeaderBytes+len("\r\n\r\n"))
		case errors.Is(err, io.EOF):
			return &refused{}
		case errors.As(err, &ne) && ne.Timeout():
			return &refused{status: 408, why: "the head did not come in time"}
		case errors.As(err, new(*net.OpError)), errors.As(err, new(fasthttp.ErrNothingRead)):
			return &refused{}
		default:
			c.n.stats.malformed.Add(1)
			return &refused{status: 400, why: "the head can't be read"}
		}
	}
}

// request checks the head, and reads the body.
func (c *caller) request(l route.Limits) (*exchange, *refused) {
	n, h, d := c.n, &c.h, &c.n.set.Dialect
	x := &exchange{n: n, came: c.first, noBody: h.IsHead(), host: h.Host()}
	bad := func(why string) (*exchange, *refused) {
		n.stats.malformed.Add(1)
		return x, &refused{status: 400, why: why, id: x.id}
	}
	wait, hosts, lengths, codings, ids := unknownWait, 0, 0, 0, 0
	var drop [][]byte
	c.expects = false
	for k, v := range h.AllInOrder() {
		switch {
		case bytes.IndexByte(k, ' ') >= 0:
			// Read as another field by some: a request could hide behind it.
			return bad("a blank in a field's name")
		case same(k, "Host"):
			hosts++
		case same(k, "Content-Length"):
			lengths++
		case same(k, "Transfer-Encoding"):
			codings++
		case same(k, "Connection"):
			for t := range tokens(v) {
				drop = append(drop, t)
			}
		case same(k, "Expect"):
			c.expects = h.IsHTTP11() && lists(v, "100-continue")
		case same(k, d.RequestID):
			ids++
			x.id = bytes.Clone(v)
		case same(k, d.Remaining):
			if ms, ok := number(v); ok {
				wait = time.Duration(ms) * time.Millisecond
			}
		}
	}
	uri := h.RequestURI()
	switch {
	case ids != 1 || len(x.id) == 0:
		return bad("one " + d.RequestID + " is wanted")
	case hosts != 1 || lengths > 1 || codings > 1 || lengths > 0 && codings > 0:
		return bad("the head says two things")
	case uri[0] != '/' || bytes.IndexByte(uri, 0) >= 0:
		return bad("a path is wanted")
	}
	x.path, _, _ = bytes.Cut(uri, []byte{'?'})
	x.wait = wait
	x.deadline = x.came.Add(wait)
	x.head = n.appendRequest(getBuffer(), h, drop)
	if why := c.readBody(x, l); why != nil {
		return x, why
	}
	return x, nil
}

// appendRequest writes what of the request goes on as it came: method and path as
// their bytes are, and all fields but those of this connection and those that each
// attempt writes itself.
func (n *Node) appendRequest(b []byte, h *fasthttp.RequestHeader, drop [][]byte) []byte {
	d := &n.set.Dialect
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	for k, v := range h.AllInOrder() {
		switch {
		case hop(k), same(k, "Content-Length"), same(k, "Expect"), same(k, d.Remaining), same(k, d.Expect):
			continue
		case same(k, d.RequestID), same(k, "Host"):
		case named(drop, k):
			continue
		}
		b = appendField(b, k, v)
	}
	return b
}

func named(list [][]byte, k []byte) bool {
	for _, t := range list {
		if bytes.EqualFold(t, k) {
			return true
		}
	}
	return false
}

func (c *caller) readBody(x *exchange, l route.Limits) *refused {
	n, size := c.n, c.h.ContentLength()
	overfull := func() *refused {
		n.stats.overfull.Add(1)
		return &refused{status: 503, why: "this node holds too much", retry: n.spreadOut(3 * minRetry), id: x.id}
	}
	if size > l.BodyBytes {
		return &refused{status: 413, why: "the body is too large", id: x.id}
	}
	if !n.mem.take(base) {
		return overfull()
	}
	x.held = base
	if size < chunked {
		return nil
	}
	x.framed = true
	if size == 0 {
		return nil
	}
	if c.expects {
		if _, err := c.startAnswer().write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return &refused{}
		}
	}
	if err := c.nc.SetReadDeadline(x.deadline); err != nil {
		return &refused{}
	}
	var err error
	x.body, err = readBody(c.r, size, l.BodyBytes, getBuffer(), func(k int) bool {
		if !n.mem.take(k) {
			return false
		}
		x.held += k
		return true
	})
	var ne net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errTooLarge):
		return &refused{status: 413, why: "the body is too large", id: x.id}
	case errors.Is(err, errMemory):
		return overfull()
	case errors.Is(err, errFraming):
		n.stats.malformed.Add(1)
		return &refused{status: 400, why: "the body can't be read", id: x.id}
	case errors.As(err, &ne) && ne.Timeout():
		return &refused{status: 408, why: "the body did not come in time", id: x.id}
	}
	return &refused{}
}
