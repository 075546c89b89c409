package passage

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
)

// Sending is one sending of a request to one target run.
type Sending struct {
	Addr   string
	Target string // httpapi.TargetName of the run meant
	Number string // of this sending; the stamp must repeat it
	Req    *Request
	Expiry time.Time
	// Fresh asks for a link of its own: an idle one may be dead, and a request
	// written to a dead link is one whose outcome is unknown.
	Fresh bool
	// Last runs right before the first byte is written; false stops the sending.
	Last func() bool
}

// Request is a caller's request, copied out of the server's buffers.
type Request struct {
	Method string
	URI    string // path and query as they came
	Host   string
	Header [][2]string
	Body   []byte
}

// Answer is a target's answer, copied out of the client's buffers.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
	Whole  bool // framed by length or chunks, and complete
	Stamp  string
	NotRun bool
}

// Courier carries one sending. Left tells whether any byte of the request may
// have left; without that the target cannot have run it.
type Courier interface {
	Carry(ctx context.Context, s *Sending) (a *Answer, left bool, err error)
}

// ErrStopped says that Last forbade the sending.
var ErrStopped = errors.New("stopped before the first byte")

const (
	// DialTime bounds the making of a link: no byte of the request has left yet.
	DialTime = 500 * time.Millisecond
	// idleTime is how long a link may lie idle and be used again.
	idleTime = 800 * time.Millisecond
	// maxIdle bounds the idle links to one target.
	maxIdle = 8
	// MaxAnswer bounds a target's answer.
	MaxAnswer = 32 << 20
)

// HTTP is the courier over HTTP/1.1. It uses fasthttp's requests and answers but
// not its client, which sends again by itself and keeps links that may be dead
// (design 13.4).
type HTTP struct {
	from string
	mu   sync.Mutex
	idle map[string][]*wire
}

// wire is one connection to a target.
type wire struct {
	c    *countConn
	r    *bufio.Reader
	w    *bufio.Writer
	used time.Time
}

// countConn counts what left.
type countConn struct {
	net.Conn
	out atomic.Int64
}

func (c *countConn) Write(b []byte) (int, error) {
	// Counted before: a failed write may have left in part.
	c.out.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// drop closes the link and throws away what has not arrived: the system would go on
// sending it, and a target might run, when the network is back, what its caller was
// told about long ago.
func (w *wire) drop() {
	if t, ok := w.c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = w.c.Close()
}

// NewHTTP makes a courier that calls from the IP of bind, where that is given: not
// from the inner one else, for targets may be reached over another network.
func NewHTTP(bind string) *HTTP {
	ip, _, _ := net.SplitHostPort(bind)
	return &HTTP{from: ip, idle: map[string][]*wire{}}
}

func (h *HTTP) wire(ctx context.Context, target, addr string, fresh bool) (*wire, error) {
	if !fresh {
		h.mu.Lock()
		ws := h.idle[target]
		for len(ws) > 0 {
			w := ws[len(ws)-1]
			ws = ws[:len(ws)-1]
			h.idle[target] = ws
			if time.Since(w.used) < idleTime {
				h.mu.Unlock()
				return w, nil
			}
			_ = w.c.Close()
		}
		h.mu.Unlock()
	}
	d := link.Dialer(h.from, DialTime)
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	cc := &countConn{Conn: c}
	return &wire{c: cc, r: bufio.NewReader(cc), w: bufio.NewWriter(cc)}, nil
}

func (h *HTTP) keep(target string, w *wire) {
	w.used = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle[target]) >= maxIdle {
		_ = w.c.Close()
		return
	}
	h.idle[target] = append(h.idle[target], w)
}

// Sweep closes links that lie idle; the gateway calls it now and then.
func (h *HTTP) Sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for t, ws := range h.idle {
		var live []*wire
		for _, w := range ws {
			if time.Since(w.used) < idleTime {
				live = append(live, w)
			} else {
				_ = w.c.Close()
			}
		}
		if len(live) == 0 {
			delete(h.idle, t)
		} else {
			h.idle[t] = live
		}
	}
}

// Carry sends s and reads the answer.
func (h *HTTP) Carry(ctx context.Context, s *Sending) (*Answer, bool, error) {
	w, err := h.wire(ctx, s.Target, s.Addr, s.Fresh)
	if err != nil {
		return nil, false, err
	}
	ok := false
	defer func() {
		if ok {
			h.keep(s.Target, w)
		} else {
			w.drop()
		}
	}()
	// The caller may go, or this node be stopping: the link is cut, not the wait.
	stop := context.AfterFunc(ctx, func() { _ = w.c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := w.c.SetDeadline(s.Expiry); err != nil {
		return nil, false, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	s.fill(req)
	if s.Last != nil && !s.Last() {
		ok = true
		return nil, false, ErrStopped
	}
	was := w.c.out.Load()
	if err = req.Write(w.w); err == nil {
		err = w.w.Flush()
	}
	if err != nil {
		return nil, w.c.out.Load() > was, err
	}
	a, again, err := read(w.r, resp, s.Req.Method)
	if err != nil {
		return nil, true, err
	}
	ok = again && w.r.Buffered() == 0
	return a, true, nil
}

// fill turns the caller's request into the one for the target.
func (s *Sending) fill(req *fasthttp.Request) {
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
	req.Header.Set(httpapi.RequestHeader, s.Number)
	req.Header.Set(httpapi.TargetHeader, s.Target)
	req.SetBodyRaw(s.Req.Body)
}

// read takes one answer; again tells whether the link may carry another.
func read(r *bufio.Reader, resp *fasthttp.Response, method string) (*Answer, bool, error) {
	h := &resp.Header
	for {
		if err := h.Read(r); err != nil {
			return nil, false, err
		}
		if s := h.StatusCode(); s >= 200 || s == 101 {
			break
		}
	}
	a := &Answer{Status: h.StatusCode()}
	n := h.ContentLength()
	none := method == fasthttp.MethodHead || a.Status == 204 || a.Status == 304
	a.Whole = none || n >= 0 || n == -1
	if !none {
		if err := resp.ReadBody(r, MaxAnswer); err != nil {
			return nil, false, err
		}
		if n == -1 {
			if err := h.ReadTrailer(r); err != nil && !errors.Is(err, io.EOF) {
				return nil, false, err
			}
		}
		a.Body = append([]byte(nil), resp.Body()...)
	}
	for k, v := range h.All() {
		f := string(k)
		switch f {
		case httpapi.StampHeader:
			a.Stamp = string(v)
		case httpapi.NotRunHeader:
			a.NotRun = string(v) == "1"
		case "Content-Length":
			// Written anew by the server, but for HEAD, where it tells of a body
			// that is not there.
			if method != fasthttp.MethodHead {
				continue
			}
		}
		if !httpapi.IsHopByHop(f) {
			a.Header = append(a.Header, [2]string{f, string(v)})
		}
	}
	return a, a.Whole && !h.ConnectionClose(), nil
}
