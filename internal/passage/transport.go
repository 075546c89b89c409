package passage

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/http1"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
)

// SendRequest describes one send of a request to one target run.
type SendRequest struct {
	Addr   string
	Target string // httpapi.TargetName of the intended run
	SendID string // ID of this send; the stamp of the response must repeat it
	Req    *Request
	Expiry time.Time
	// NewConn requests a new connection: an idle one may be dead, and the outcome of a
	// request written to a dead connection is unknown.
	NewConn bool
	// BeforeWrite runs right before the first byte is written; false cancels the send.
	BeforeWrite func() bool
}

// Request is a caller's request, copied out of the server's buffers.
type Request struct {
	Method string
	URI    string // path and query as received
	Host   string
	Header [][2]string
	Body   []byte
}

// Response is a target's response, copied out of the client's buffers.
type Response struct {
	Status   int
	Header   [][2]string
	Body     []byte
	Complete bool   // framed by length or chunks, and complete
	Stamp    string // value of httpapi.StampHeader
	NotRun   bool   // the target reports that it did not and will not run the request
}

// Transport sends one request to one target. written reports whether any byte of the request
// may have been written; if not, the target cannot have run it.
type Transport interface {
	Send(ctx context.Context, s *SendRequest) (response *Response, written bool, err error)
}

// ErrSendCancelled reports that BeforeWrite cancelled the send.
var ErrSendCancelled = errors.New("stopped before the first byte")

const (
	// DialTimeout bounds connecting; no byte of the request has been written at that point.
	DialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long a connection may be idle and still be reused.
	maxIdleTime = 800 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
	// MaxResponse bounds the size of a target's response.
	MaxResponse = 32 << 20
)

// HTTPTransport is the transport over HTTP/1.1. It uses fasthttp's requests and responses
// but not its client, which retries by itself and reuses connections that may be dead
// (design 13.4).
type HTTPTransport struct {
	localIP string
	mu      sync.Mutex
	idle    map[string][]*targetConn
}

// targetConn is one connection to a target.
type targetConn struct {
	conn     *countingConn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
}

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write: a failed write may have sent part of the data.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// abort closes the connection and discards unsent data. Otherwise the kernel would keep
// sending it, and once the network recovers a target might run a request whose caller was
// answered long ago.
func (tc *targetConn) abort() {
	if t, ok := tc.conn.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = tc.conn.Close()
}

// NewHTTPTransport creates a transport that connects from the IP address of bind, if
// given. It does not fall back to the inner address, since targets may be on another network.
func NewHTTPTransport(bind string) *HTTPTransport {
	ip, _, _ := net.SplitHostPort(bind)
	return &HTTPTransport{localIP: ip, idle: map[string][]*targetConn{}}
}

func (h *HTTPTransport) getConn(ctx context.Context, target, addr string, newConn bool) (*targetConn, error) {
	if !newConn {
		h.mu.Lock()
		idle := h.idle[target]
		for len(idle) > 0 {
			tc := idle[len(idle)-1]
			idle = idle[:len(idle)-1]
			h.idle[target] = idle
			if time.Since(tc.lastUsed) < maxIdleTime {
				h.mu.Unlock()
				return tc, nil
			}
			_ = tc.conn.Close()
		}
		h.mu.Unlock()
	}
	d := link.Dialer(h.localIP, DialTimeout)
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: c}
	return &targetConn{conn: counting, reader: bufio.NewReader(counting), writer: bufio.NewWriter(counting)}, nil
}

func (h *HTTPTransport) putIdle(target string, tc *targetConn) {
	tc.lastUsed = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle[target]) >= maxIdlePerTarget {
		_ = tc.conn.Close()
		return
	}
	h.idle[target] = append(h.idle[target], tc)
}

// CloseIdle closes connections that were idle too long; the gateway calls it periodically.
func (h *HTTPTransport) CloseIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for target, idle := range h.idle {
		var live []*targetConn
		for _, tc := range idle {
			if time.Since(tc.lastUsed) < maxIdleTime {
				live = append(live, tc)
			} else {
				_ = tc.conn.Close()
			}
		}
		if len(live) == 0 {
			delete(h.idle, target)
		} else {
			h.idle[target] = live
		}
	}
}

// Send sends s and reads the response.
func (h *HTTPTransport) Send(ctx context.Context, s *SendRequest) (*Response, bool, error) {
	tc, err := h.getConn(ctx, s.Target, s.Addr, s.NewConn)
	if err != nil {
		return nil, false, err
	}
	keepConn := false
	defer func() {
		if keepConn {
			h.putIdle(s.Target, tc)
		} else {
			tc.abort()
		}
	}()
	// When the caller leaves or this node stops, an expired deadline breaks the connection.
	stop := context.AfterFunc(ctx, func() { _ = tc.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := tc.conn.SetDeadline(s.Expiry); err != nil {
		return nil, false, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.fillRequest(req)
	if s.BeforeWrite != nil && !s.BeforeWrite() {
		keepConn = true
		return nil, false, ErrSendCancelled
	}
	before := tc.conn.written.Load()
	if err = req.Write(tc.writer); err == nil {
		err = tc.writer.Flush()
	}
	if err != nil {
		return nil, tc.conn.written.Load() > before, err
	}
	response, reusable, err := ReadResponse(tc.reader, s.Req.Method)
	if err != nil {
		return nil, true, err
	}
	keepConn = reusable && tc.reader.Buffered() == 0
	return response, true, nil
}

// fillRequest converts the caller's request into the request to the target.
func (s *SendRequest) fillRequest(req *fasthttp.Request) {
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(s.Req.Method)
	req.SetRequestURI(s.Req.URI)
	req.Header.SetHost(s.Req.Host)
	req.URI().DisablePathNormalizing = true
	req.UseHostHeader = true
	req.Header.SetRequestURI(s.Req.URI)
	for _, f := range s.Req.Header {
		req.Header.Add(f[0], f[1])
	}
	req.Header.Set(httpapi.RequestHeader, s.SendID)
	req.Header.Set(httpapi.TargetHeader, s.Target)
	req.SetBodyRaw(s.Req.Body)
}

// ReadResponse reads the response to a request of the method; the second result reports whether the connection can be
// reused. A response whose end is not known is incomplete, and its body is not read.
func ReadResponse(reader *bufio.Reader, method string) (*Response, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	header := &resp.Header
	head, err := http1.ReadHead(reader, header)
	if err != nil {
		return nil, false, err
	}
	response := &Response{Status: head.Status}
	noBody := method == fasthttp.MethodHead || head.Status == fasthttp.StatusNoContent || head.Status == fasthttp.StatusNotModified
	response.Complete = noBody || head.Length != http1.Unframed
	if response.Complete && !noBody {
		response.Body, err = http1.ReadBody(reader, head.Length, MaxResponse, nil, func(int) bool { return true })
		if err != nil {
			return nil, false, err
		}
	}
	response.readFields(header, method)
	return response, response.Complete && !header.ConnectionClose(), nil
}

// readFields reads the header fields: those about the request, and those that are forwarded.
func (r *Response) readFields(header *fasthttp.ResponseHeader, method string) {
	for k, v := range header.All() {
		field := string(k)
		switch field {
		case httpapi.StampHeader:
			r.Stamp = string(v)
		case httpapi.NotRunHeader:
			r.NotRun = string(v) == "1"
		case "Content-Length":
			// The server writes its own, except for HEAD, where it gives the length of a
			// body that is not sent.
			if method != fasthttp.MethodHead {
				continue
			}
		}
		if !httpapi.IsHopByHop(field) {
			r.Header = append(r.Header, [2]string{field, string(v)})
		}
	}
}
