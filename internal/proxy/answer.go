package proxy

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/http1"
)

// answer is a complete answer to a caller.
type answer struct {
	status int
	head   []byte // field lines
	body   []byte
	// contentLength is the Content-Length sent if no body follows it; -1 for none.
	contentLength int
	// noBodyOrLength means that neither a body nor a length is sent.
	noBodyOrLength bool
	reservedBytes  int   // charged to the memory budget
	largeReserved  int64 // the part reserved from the memory for large answers
	// stream is the body of an answer that is still being received; nil if the body is complete.
	stream *bodyStream
	// pending is the delivery of a large body on a narrow link.
	pendingDelivery *delivery
}

func (a *answer) free() {
	if a.stream != nil {
		putBuffer(a.stream.body)
	}
	putBuffer(a.head)
	putBuffer(a.body)
	a.head, a.body = nil, nil
}

// bodySize is the length of the body that goes to the caller.
func (a *answer) bodySize() int {
	if a.stream != nil {
		return a.stream.size
	}
	return len(a.body)
}

// localAnswer builds an answer of the node itself. A retry of 0 adds no Retry-After field.
func (n *Node) localAnswer(id []byte, status int, retry time.Duration, reason string) *answer {
	a := &answer{status: status, contentLength: -1, head: getBuffer(), body: append(getBuffer(), reason...)}
	a.body = append(a.body, '\n')
	d := n.settings.Headers
	if len(id) > 0 {
		a.head = appendField(a.head, d.RequestID, id)
	}
	a.head = appendField(a.head, "Content-Type", "text/plain")
	if retry > 0 {
		a.head = appendField(a.head, d.RetryAfter, strconv.FormatFloat(math.Ceil(retry.Seconds()*100)/100, 'f', -1, 64))
	}
	return a
}

// Reasons for which an answer is rejected.
var (
	errRequestID    = errors.New("the answer does not name exactly one request")
	errOtherRequest = errors.New("the answer belongs to another request")
	errNoSeal       = errors.New("success without a seal")
	errEncoding     = errors.New("the answer has a content encoding that was not requested")
	errNoNotRun     = errors.New("the status implies that the request did not run, but the target does not state it")
	errNoFraming    = errors.New("the answer has neither a length nor chunked framing")
)

// answerControl is what a target's answer says about the request and the connection.
type answerControl struct {
	notRun      bool // the target states that the request did not run
	misdirected bool // another run has this address
	idleTimeout time.Duration
	close       bool
}

// maxSurplusAnswers bounds the answers to earlier requests that are skipped before the
// expected one.
const maxSurplusAnswers = 2

// readAnswer reads the answer to the request id and validates it: an answer that is returned
// is complete by its framing, names the request, and carries a seal if it is a success. Interim
// answers are skipped. On a reused connection, so are complete answers that name another request:
// an overloaded or faulty target may repeat the answer to an earlier request ahead of
// the expected one. Such a connection is not reused again.
//
// allowStream, which may be nil, decides whether a large body is streamed to the caller while it is
// received. A streamed answer is returned even if it was cut off, and belongs to the exchange that
// accepted it. noBody means that the answer has no body, as for HEAD.
func (n *Node) readAnswer(c *conn, id []byte, noBody bool, allowStream func(*answer) bool) (*answer, answerControl, error) {
	for surplus := 0; ; surplus++ {
		a, p, err := n.readNextAnswer(c, id, noBody, allowStream)
		if errors.Is(err, errOtherRequest) && c.uses > 1 && surplus < maxSurplusAnswers {
			n.stats.surplus.Add(1)
			continue
		}
		p.close = p.close || surplus > 0
		return a, p, err
	}
}

// readNextAnswer reads one answer. errOtherRequest means a complete answer to another request.
func (n *Node) readNextAnswer(c *conn, id []byte, noBody bool, allowStream func(*answer) bool) (*answer, answerControl, error) {
	head, err := c.readHead()
	if err != nil {
		return nil, answerControl{}, err
	}
	a := &answer{status: head.Status, contentLength: -1, head: getBuffer()}
	p, err := n.readFields(&c.h, a, id)
	otherRequest := errors.Is(err, errOtherRequest)
	if size := head.Length; err == nil && allowStream != nil && !noBody && a.status < 300 && size >= largeBodySize && size <= n.settings.MaxAnswerBytes {
		a.stream = newBodyStream(c, size)
		if allowStream(a) {
			reserve := func(k int) {
				n.memory.reserve(k)
				a.reservedBytes += k
			}
			err := a.stream.fill(c.r, reserve, func(k int) { n.inbound.wait(size, k, c.deadline) })
			a.stream.finish(err)
			return a, p, err
		}
		a.stream = nil
	}
	if err == nil || otherRequest {
		// The body of an answer to another request is only consumed.
		if e := n.readAnswerBody(c, a, head.Length, noBody && !otherRequest); e != nil {
			err = e
		}
	}
	if err != nil {
		n.releaseAnswer(a)
		a.free()
		return nil, p, err
	}
	return a, p, nil
}

// readFields validates the header fields of an answer and appends those that are forwarded to a.head.
func (n *Node) readFields(h *fasthttp.ResponseHeader, a *answer, id []byte) (answerControl, error) {
	d := &n.settings.Headers
	p := answerControl{idleTimeout: defaultIdleTimeout, close: h.ConnectionClose()}
	sealed, encoded := false, false
	idFields, matches := 0, false
	for k, v := range h.All() {
		switch {
		case http1.EqualName(k, d.RequestID):
			idFields++
			matches = bytes.Equal(v, id)
		case http1.EqualName(k, d.Seal):
			sealed = sealed || len(v) > 0
		case http1.EqualName(k, d.NotRun):
			p.notRun = true
		case http1.EqualName(k, "Content-Encoding"):
			encoded = true
		case http1.EqualName(k, "Connection"):
			p.close = p.close || listContains(v, "close")
			continue
		case http1.EqualName(k, "Keep-Alive"):
			p.idleTimeout = keepAliveTimeout(v)
			continue
		case http1.EqualName(k, "Content-Length"):
			continue
		}
		if !isHopByHop(k) {
			a.head = appendField(a.head, k, v)
		}
	}
	switch {
	case idFields != 1:
		return p, errRequestID
	case !matches:
		return p, errOtherRequest
	case encoded:
		return p, errEncoding
	case a.status < 300 && !sealed:
		return p, errNoSeal
	}
	if a.status == 421 {
		p.notRun, p.misdirected = true, true
	}
	if a.status < 300 {
		// A success means that the request ran, whatever the other fields say.
		p.notRun = false
	}
	if !p.notRun && impliesNotRun(a.status) {
		return p, errNoNotRun
	}
	return p, nil
}

// impliesNotRun reports whether a status means that the request did not run and never will.
func impliesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// readAnswerBody reads the complete body of an answer, whose head gives its size, into a.body.
func (n *Node) readAnswerBody(c *conn, a *answer, size int, noBody bool) error {
	switch {
	case a.status == 204 || a.status == 304:
		a.noBodyOrLength = true
		return nil
	case noBody:
		a.contentLength, a.noBodyOrLength = max(size, -1), true
		return nil
	case size == http1.Unframed:
		// The body ends where the connection does, and a truncated one would look the same.
		return errNoFraming
	}
	if size > n.settings.MaxAnswerBytes {
		return http1.ErrTooLarge
	}
	var err error
	if a.largeReserved, err = n.largeAnswers.reserve(size, c.deadline, n.clock); err != nil {
		return err
	}
	body := getBuffer()
	if a.largeReserved > 0 {
		// Memory for all of it is reserved. Growing the slice would leave garbage behind.
		body = slices.Grow(body, size)
	}
	a.body, err = http1.ReadBody(c.r, size, n.settings.MaxAnswerBytes, body, func(k int) bool {
		n.inbound.wait(size, k, c.deadline)
		n.memory.reserve(k)
		a.reservedBytes += k
		return true
	})
	return err
}

// keepAliveTimeout is how long a target keeps an idle connection according to its Keep-Alive field, less the
// time a request needs to get there. Without a number it is the default.
func keepAliveTimeout(v []byte) time.Duration {
	for t := range listTokens(v) {
		if k, s, ok := bytes.Cut(t, []byte{'='}); ok && http1.EqualName(bytes.Trim(k, " "), "timeout") {
			if s, ok := parseDigits(bytes.Trim(s, " \"")); ok {
				d := time.Duration(s) * time.Second
				return max(0, min(d-max(300*time.Millisecond, d/10), time.Minute))
			}
		}
	}
	return defaultIdleTimeout
}
