package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

var testHeaders = HeaderNames{RequestID: "X-Id", RemainingTime: "X-Left", Seal: "X-Seal", ExpectedRun: "X-Run",
	NotRun: "X-Not-Run", RetryAfter: "Retry-After", Instance: "X-Instance"}

// network is the transport of a test: loopback, or pipes in a synctest bubble with virtual time.
type network interface {
	listen() net.Listener
	dial(ctx context.Context, addr string) (net.Conn, error)
}

type loopback struct{}

func (loopback) listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

func (loopback) dial(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

type pipes struct {
	mu  sync.Mutex
	lns map[string]*pipeListener
}

// pipeEnd is one end of a pipe; it knows whether the other end is closed.
type pipeEnd struct {
	net.Conn
	closed, peer *atomic.Bool
}

func newPipe() (a, b *pipeEnd) {
	x, y := net.Pipe()
	var first, second atomic.Bool
	return &pipeEnd{x, &first, &second}, &pipeEnd{y, &second, &first}
}

func (p *pipeEnd) Close() error {
	p.closed.Store(true)
	return p.Conn.Close()
}

// Closed reports whether the other end is closed.
func (p *pipeEnd) Closed() bool { return p.peer.Load() }

func newPipes() *pipes { return &pipes{lns: map[string]*pipeListener{}} }

type pipeListener struct {
	name string
	c    chan net.Conn
	done chan struct{}
	once sync.Once
}

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.c:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.name) }

func (p *pipes) listen() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{name: fmt.Sprintf("pipe%d", len(p.lns)), c: make(chan net.Conn), done: make(chan struct{})}
	p.lns[l.name] = l
	return l
}

func (p *pipes) dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	l := p.lns[addr]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := newPipe()
	select {
	case l.c <- b:
		return a, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// receivedRequest is a request as read by a fake target, with a parser other than the proxy's.
type receivedRequest struct {
	method, uri, host, id string
	header                http.Header
	body                  []byte
	targetID              string
	index                 int // in the whole harness, from 1
	connIndex             int // on its connection, from 1
	connNumber            int // of the connection at its target, from 1
}

// harness runs fake targets and one node.
type harness struct {
	t    *testing.T
	net  network
	node *Node
	addr string

	mu        sync.Mutex
	received  []*receivedRequest
	runCounts map[string]int
	conns     map[string]int
	targets   map[string]*fakeTarget
	listener  net.Listener
	cancel    func()
	wg        sync.WaitGroup
}

// handler handles a request at a fake target; it returns whether the connection stays open.
type handler func(l *harness, c net.Conn, s *receivedRequest) bool

type fakeTarget struct {
	id string
	ln net.Listener
	// health handles probes; nil means healthy.
	health handler
	// early may answer a request before its body is read; it returns whether it did, and whether
	// the connection stays open.
	early func(l *harness, c net.Conn, s *receivedRequest) (answered, stays bool)
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newHarness(t *testing.T, nw network, configure func(*Settings)) *harness {
	l := &harness{t: t, net: nw, runCounts: map[string]int{}, conns: map[string]int{}, targets: map[string]*fakeTarget{}}
	s := Settings{ID: "gateway1", Zone: "a", Zones: map[string]string{"a": "r", "b": "r", "c": "far"}, Headers: testHeaders,
		BudgetRatio: 10, BudgetWindow: 10 * time.Second, BudgetSlack: 100, Grace: 6 * time.Second}
	if configure != nil {
		configure(&s)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	cfg := Config{Settings: s, Clock: clock.Wall{}}
	if _, ok := nw.(loopback); !ok {
		cfg.Dial = nw.dial
	}
	l.node = New(cfg)
	l.listener = nw.listen()
	l.addr = l.listener.Addr().String()
	l.wg.Go(func() {
		if err := l.node.Serve(l.listener); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Go(func() { l.node.Run(ctx) })
	t.Cleanup(l.close)
	l.node.SetGateways(1, 1)
	return l
}

func (l *harness) close() {
	l.cancel()
	l.node.listenersClosed.Store(true)
	_ = l.listener.Close()
	l.node.callersMu.Lock()
	for c := range l.node.callers {
		_ = c.nc.Close()
	}
	l.node.callersMu.Unlock()
	for _, s := range l.targets {
		s.stop()
	}
	for _, s := range l.node.allServices() {
		s.mu.Lock()
		for _, e := range s.endpoints {
			e.closeIdle()
		}
		s.mu.Unlock()
	}
	l.wg.Wait()
	l.node.callersWG.Wait()
}

// routes declares the standard routes: host "h", one prefix per kind.
func (l *harness) routes(attempts int) {
	items := []item.Item{route.Service{Name: "svc", Version: 1, Health: "/health", MaxConns: 100}.Item()}
	for p, k := range map[string]route.RetryPolicy{"/once/": route.AtMostOnce, "/idem/": route.Idempotent, "/down/": route.Download} {
		items = append(items, route.Route{Name: "r" + p, Version: 1, Host: "h", Prefix: p, Repeat: k, AimMS: 400,
			Attempts: attempts, Shares: []route.Share{{Service: "svc", Weight: 1}}}.Item())
	}
	l.node.ApplyItems(items)
	l.node.SetSynced(true)
}

// startTarget starts a fake target and announces it to the node.
func (l *harness) startTarget(id string, configure func(*target.Run), do handler) *fakeTarget {
	s := &fakeTarget{id: id, ln: l.net.listen(), conns: map[net.Conn]bool{}}
	l.targets[id] = s
	r := target.Run{ID: id, Service: "svc", Addr: s.ln.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: 1}
	if configure != nil {
		configure(&r)
	}
	l.wg.Go(func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			l.mu.Lock()
			l.conns[id]++
			number := l.conns[id]
			l.mu.Unlock()
			l.wg.Go(func() {
				l.serveConn(s, c, number, do)
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			})
		}
	})
	l.node.ApplyRuns([]target.Run{r})
	return s
}

func (s *fakeTarget) stop() {
	_ = s.ln.Close()
	s.closeConns()
}

// closeConns closes all connections.
func (s *fakeTarget) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (l *harness) serveConn(target *fakeTarget, c net.Conn, number int, do handler) {
	r := bufio.NewReader(c)
	for index := 1; ; index++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s := &receivedRequest{method: q.Method, uri: q.RequestURI, host: q.Host, id: q.Header.Get(testHeaders.RequestID), header: q.Header,
			targetID: target.id, connIndex: index, connNumber: number}
		if q.RequestURI == "/health" {
			s.id = ""
		}
		answered, stays := false, false
		if target.early != nil && s.id != "" && q.Header.Get(testHeaders.ExpectedRun) == target.id && q.ContentLength != 0 {
			answered, stays = target.early(l, c, s)
		}
		s.body, err = io.ReadAll(q.Body)
		if err != nil {
			return
		}
		l.mu.Lock()
		if s.id != "" {
			l.received = append(l.received, s)
			s.index = len(l.received)
		}
		l.mu.Unlock()
		if s.id == "" {
			h := healthy
			if target.health != nil {
				h = target.health
			}
			if !h(l, c, s) {
				return
			}
			continue
		}
		if answered {
			if !stays {
				return
			}
			continue
		}
		if got := q.Header.Get(testHeaders.ExpectedRun); got != target.id {
			if !answerMisdirected(l, c, s) {
				return
			}
			continue
		}
		if !do(l, c, s) {
			return
		}
	}
}

func healthy(_ *harness, c net.Conn, s *receivedRequest) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testHeaders.Instance, s.targetID)
	return err == nil
}

func answerMisdirected(_ *harness, c net.Conn, s *receivedRequest) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	return err == nil
}

// recordRun counts that the request ran.
func (l *harness) recordRun(s *receivedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runCounts[s.id]++
}

func (l *harness) runCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runCounts[id]
}

func (l *harness) requests() []*receivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*receivedRequest(nil), l.received...)
}

// answerBody is the unique body of the answer to a request.
func answerBody(id string) string { return "body of " + id + " " + strings.Repeat("x", 100) }

// serveOK runs the request and writes a valid answer.
func serveOK(l *harness, c net.Conn, s *receivedRequest) bool {
	l.recordRun(s)
	return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
}

func writeAnswer(c net.Conn, status, id, extraFields, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extraFields, len(body), body)
	return err == nil
}

// failFirst calls bad for the first request and answers the others properly.
func failFirst(bad handler) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		if s.index == 1 {
			return bad(l, c, s)
		}
		return serveOK(l, c, s)
	}
}

// delayed waits before it calls do.
func delayed(d time.Duration, do handler) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		time.Sleep(d)
		return do(l, c, s)
	}
}

// client is a caller's connection.
type client struct {
	c net.Conn
	r *bufio.Reader
}

type response struct {
	status int
	header http.Header
	body   string
	close  bool
}

func (l *harness) client() *client {
	c, err := l.net.dial(context.Background(), l.addr)
	if err != nil {
		l.t.Fatal(err)
	}
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(method, path, id string, left time.Duration, extraFields, body string) error {
	return c.sendRaw(method, path, id, left, extraFields, body, false)
}

// sendRaw sends a request; framed says that the body includes its framing.
func (c *client) sendRaw(method, path, id string, left time.Duration, extraFields, body string, framed bool) error {
	b := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: %d\r\n%s", method, path, id, left.Milliseconds(), extraFields)
	if body != "" && !framed {
		b += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_, err := io.WriteString(c.c, b+"\r\n"+body)
	return err
}

func (c *client) read() (response, error) {
	p, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return response{}, err
	}
	b, err := io.ReadAll(p.Body)
	return response{p.StatusCode, p.Header, string(b), p.Close}, err
}

func (c *client) call(method, path, id string, left time.Duration) (response, error) {
	if err := c.send(method, path, id, left, "", ""); err != nil {
		return response{}, err
	}
	return c.read()
}

// request sends one request over its own connection.
func (l *harness) request(path, id string, left time.Duration) response {
	l.t.Helper()
	c := l.client()
	defer c.c.Close()
	g, err := c.call("GET", path, id, left)
	if err != nil {
		l.t.Fatalf("%s: %v", id, err)
	}
	return g
}

// validFor reports whether the response is the complete answer to the request.
func (g response) validFor(id string) bool {
	return g.status == 200 && g.body == answerBody(id) && g.header.Get(testHeaders.Seal) != "" && g.header.Get(testHeaders.RequestID) == id
}

func sendRawText(t *testing.T, l *harness, text string) (int, string) {
	t.Helper()
	c := l.client()
	defer c.c.Close()
	if _, err := io.WriteString(c.c, text); err != nil {
		t.Fatal(err)
	}
	g, err := c.read()
	if err != nil {
		t.Fatal(err)
	}
	return g.status, g.body
}
