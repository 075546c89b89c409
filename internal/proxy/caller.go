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

	"walkrudder/internal/http1"
	"walkrudder/internal/route"
)

const (
	// initialBufferSize is the first read buffer of a caller's connection; a larger request
	// head gets a larger buffer, up to the limit.
	initialBufferSize = 4 << 10
	// requestOverhead is the memory charged for a request in addition to its body.
	requestOverhead = 8 << 10
	// defaultCallerTimeout is used for callers that do not send their remaining time.
	defaultCallerTimeout = 30 * time.Second
)

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, initialBufferSize) }}

// callerConn is the connection of a caller. Its goroutine reads a request, forwards it to a
// target and writes the answer.
type callerConn struct {
	n      *Node
	nc     net.Conn
	r      *bufio.Reader
	h      fasthttp.RequestHeader
	writer answerWriter // of the answer being written
	// awaiting is the request that waits for its answer, or nil.
	awaiting atomic.Pointer[exchange]
	// current is the request that was read and is not answered yet, or nil.
	current atomic.Pointer[exchange]

	mu          sync.Mutex
	idle        bool // waiting for the first byte of a request
	firstByteAt time.Time
	// expectContinue is set if the caller waits for 100 Continue before it sends the body.
	expectContinue bool
}

// rejection is an answer that the node itself gives to a request that it does not forward.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
	requestID  []byte
	keepOpen   bool // the request was read completely, so the connection can be reused
}

func (c *callerConn) serve() {
	c.r = readerPool.Get().(*bufio.Reader)
	c.r.Reset(c.nc)
	defer func() {
		_ = c.nc.Close()
		if c.r.Size() == initialBufferSize {
			c.r.Reset(nil)
			readerPool.Put(c.r)
		}
	}()
	for c.waitForRequest() && c.serveOne() {
	}
}

// limits returns the configured limits, with defaults until they are known.
func (n *Node) limits() route.Limits {
	l := n.view.Load().limits
	setDefault(&l.HeaderBytes, 32<<10)
	setDefault(&l.BodyBytes, 64<<20)
	setDefault(&l.HeaderMS, 5000)
	setDefault(&l.IdleMS, 60000)
	return l
}

// waitForRequest waits for the first byte of a request. A planned stop ends the wait by setting the
// deadline and does not touch connections that are past it, so no request is lost.
func (c *callerConn) waitForRequest() bool {
	c.mu.Lock()
	c.idle = true
	d := c.n.clock.Now().Add(time.Duration(c.n.limits().IdleMS) * time.Millisecond)
	if c.n.closingIdle.Load() {
		d = pastDeadline
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
	c.firstByteAt = c.n.clock.Now()
	return c.nc.SetReadDeadline(c.firstByteAt.Add(time.Duration(c.n.limits().HeaderMS)*time.Millisecond)) == nil
}

// interruptIdle ends the wait for a request if the connection is idle.
func (c *callerConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
}

// serveOne serves one request and reports whether the connection stays open.
func (c *callerConn) serveOne() bool {
	n := c.n
	n.stats.inside.Add(1)
	defer n.stats.inside.Add(-1)
	limits := n.limits()
	if rejected := c.readHead(limits); rejected != nil {
		return rejected.status != 0 && c.refuse(rejected)
	}
	n.stats.requests.Add(1)
	x, rejected := c.readRequest(limits)
	if rejected == nil {
		rejected = n.matchRoute(x)
	}
	if !c.h.IsHTTP11() {
		c.h.SetConnectionClose()
	}
	if rejected != nil {
		if x != nil {
			x.free()
		}
		return c.refuse(rejected)
	}
	c.current.Store(x)
	defer c.current.Store(nil)
	c.awaiting.Store(x)
	a := n.forward(x)
	c.awaiting.Store(nil)
	x.progress.setStage(stageAnswering)
	keep := c.write(a, x.noBody, !c.h.ConnectionClose())
	if a.stream != nil {
		a.stream.abort()
	}
	n.downloads.endDelivery(a)
	n.releaseAnswer(a)
	a.free()
	x.free()
	return keep
}

// readHead reads the request line and the header fields. A rejection without a status means that
// the connection ended before a request began.
func (c *callerConn) readHead(limits route.Limits) *rejection {
	for {
		c.h.DisableNormalizing()
		c.h.SetNoDefaultContentType(true)
		err := c.h.Read(c.r)
		if err == nil {
			if len(c.h.RawHeaders())+len(c.h.RequestURI()) > limits.HeaderBytes {
				return &rejection{status: 431, reason: "the head is too large"}
			}
			return nil
		}
		var small *fasthttp.ErrSmallBuffer
		var ne net.Error
		switch {
		case errors.As(err, &small):
			if c.r.Size() >= limits.HeaderBytes+len("\r\n\r\n") {
				return &rejection{status: 431, reason: "the head is too large"}
			}
			b, _ := c.r.Peek(c.r.Buffered())
			in := io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.nc)
			c.r = bufio.NewReaderSize(in, limits.HeaderBytes+len("\r\n\r\n"))
		case errors.Is(err, io.EOF):
			return &rejection{}
		case errors.As(err, &ne) && ne.Timeout():
			return &rejection{status: 408, reason: "the head did not come in time"}
		case errors.As(err, new(*net.OpError)), errors.As(err, new(fasthttp.ErrNothingRead)):
			return &rejection{}
		default:
			c.n.stats.malformed.Add(1)
			return &rejection{status: 400, reason: "the head can't be read"}
		}
	}
}

// readRequest validates the head and reads the body.
func (c *callerConn) readRequest(limits route.Limits) (*exchange, *rejection) {
	n, h, d := c.n, &c.h, &c.n.settings.Headers
	x := &exchange{n: n, receivedAt: c.firstByteAt, noBody: h.IsHead(), host: h.Host()}
	badRequest := func(why string) (*exchange, *rejection) {
		n.stats.malformed.Add(1)
		return x, &rejection{status: 400, reason: why, requestID: x.id}
	}
	timeout, hosts, lengths, codings, ids := defaultCallerTimeout, 0, 0, 0, 0
	var connectionFields [][]byte
	c.expectContinue = false
	for k, v := range h.AllInOrder() {
		switch {
		case bytes.IndexByte(k, ' ') >= 0:
			// Some parsers read this as another field, which allows request smuggling.
			return badRequest("a blank in a field's name")
		case http1.EqualName(k, "Host"):
			hosts++
		case http1.EqualName(k, "Content-Length"):
			lengths++
		case http1.EqualName(k, "Transfer-Encoding"):
			codings++
		case http1.EqualName(k, "Connection"):
			for t := range listTokens(v) {
				connectionFields = append(connectionFields, t)
			}
		case http1.EqualName(k, "Expect"):
			c.expectContinue = h.IsHTTP11() && listContains(v, "100-continue")
		case http1.EqualName(k, d.RequestID):
			ids++
			x.id = bytes.Clone(v)
		case http1.EqualName(k, d.RemainingTime):
			if ms, ok := parseDigits(v); ok {
				timeout = time.Duration(ms) * time.Millisecond
			}
		}
	}
	uri := h.RequestURI()
	switch {
	case ids != 1 || len(x.id) == 0:
		return badRequest("one " + d.RequestID + " is wanted")
	case hosts != 1 || lengths > 1 || codings > 1 || lengths > 0 && codings > 0:
		return badRequest("the head says two things")
	case uri[0] != '/' || bytes.IndexByte(uri, 0) >= 0:
		return badRequest("a path is wanted")
	}
	x.path, _, _ = bytes.Cut(uri, []byte{'?'})
	x.timeout = timeout
	x.deadline = x.receivedAt.Add(timeout)
	x.head = n.appendRequest(getBuffer(), h, connectionFields)
	if rejected := c.readBody(x, limits); rejected != nil {
		return x, rejected
	}
	return x, nil
}

// appendRequest appends the part of the head that is forwarded unchanged: the bytes of method
// and URI, and all fields except hop-by-hop fields and those that each attempt writes
// itself.
func (n *Node) appendRequest(b []byte, h *fasthttp.RequestHeader, drop [][]byte) []byte {
	d := &n.settings.Headers
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	for k, v := range h.AllInOrder() {
		switch {
		case isHopByHop(k), http1.EqualName(k, "Content-Length"), http1.EqualName(k, "Expect"), http1.EqualName(k, d.RemainingTime), http1.EqualName(k, d.ExpectedRun):
			continue
		case http1.EqualName(k, d.RequestID), http1.EqualName(k, "Host"):
		case containsFold(drop, k):
			continue
		}
		b = appendField(b, k, v)
	}
	return b
}

func containsFold(list [][]byte, k []byte) bool {
	for _, t := range list {
		if bytes.EqualFold(t, k) {
			return true
		}
	}
	return false
}

func (c *callerConn) readBody(x *exchange, limits route.Limits) *rejection {
	n, size := c.n, c.h.ContentLength()
	overloaded := func() *rejection {
		n.stats.overfull.Add(1)
		return &rejection{status: 503, reason: "this node holds too much", retryAfter: n.jitter(3 * minRetryAfter), requestID: x.id}
	}
	if size > limits.BodyBytes {
		return &rejection{status: 413, reason: "the body is too large", requestID: x.id}
	}
	if !n.memory.tryReserve(requestOverhead) {
		return overloaded()
	}
	x.reservedBytes = requestOverhead
	if size < http1.Chunked {
		return nil
	}
	x.hasBody = true
	if size == 0 {
		return nil
	}
	if c.expectContinue {
		if _, err := c.startAnswer().write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return &rejection{}
		}
	}
	if err := c.nc.SetReadDeadline(x.deadline); err != nil {
		return &rejection{}
	}
	var err error
	x.body, err = http1.ReadRequestBody(c.r, size, limits.BodyBytes, getBuffer(), func(k int) bool {
		if !n.memory.tryReserve(k) {
			return false
		}
		x.reservedBytes += k
		return true
	})
	var ne net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, http1.ErrTooLarge):
		return &rejection{status: 413, reason: "the body is too large", requestID: x.id}
	case errors.Is(err, http1.ErrMemory):
		return overloaded()
	case errors.Is(err, http1.ErrFraming):
		n.stats.malformed.Add(1)
		return &rejection{status: 400, reason: "the body can't be read", requestID: x.id}
	case errors.As(err, &ne) && ne.Timeout():
		return &rejection{status: 408, reason: "the body did not come in time", requestID: x.id}
	}
	return &rejection{}
}
