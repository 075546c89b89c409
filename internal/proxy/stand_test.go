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

var dialect = Dialect{RequestID: "X-Id", Remaining: "X-Left", Seal: "X-Seal", Expect: "X-Run",
	NotRun: "X-Not-Run", RetryAfter: "Retry-After", Instance: "X-Instance"}

// network is what a test runs over: loopback, or pipes in a bubble with virtual time.
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

// pipeEnd is an end of a pipe that knows whether the other one is closed.
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

// Gone tells whether the other end is closed.
func (p *pipeEnd) Gone() bool { return p.peer.Load() }

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

// seen is a request as a stand-in target read it, by another parser than the proxy's.
type seen struct {
	method, uri, host, id string
	head                  http.Header
	body                  []byte
	run                   string
	nth                   int // at the whole lab, from 1
	onConn                int // on its connection, from 1
	conn                  int // of its target, from 1
}

// lab has stand-in targets and one node.
type lab struct {
	t    *testing.T
	net  network
	node *Node
	addr string

	mu       sync.Mutex
	arrived  []*seen
	ran      map[string]int
	conns    map[string]int
	stands   map[string]*stand
	listener net.Listener
	end      func()
	wg       sync.WaitGroup
}

// act is what a stand-in does with a request; it returns whether the connection stays.
type act func(l *lab, c net.Conn, s *seen) bool

type stand struct {
	id string
	ln net.Listener
	// health answers its probes; nil is healthy.
	health act
	// early may answer a request before its body is read; it tells whether it did, and whether
	// the connection stays.
	early func(l *lab, c net.Conn, s *seen) (answered, stays bool)
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLab(t *testing.T, nw network, tune func(*Settings)) *lab {
	l := &lab{t: t, net: nw, ran: map[string]int{}, conns: map[string]int{}, stands: map[string]*stand{}}
	s := Settings{ID: "gateway1", Zone: "a", Zones: map[string]string{"a": "r", "b": "r", "c": "far"}, Dialect: dialect,
		BudgetRatio: 10, BudgetWindow: 10 * time.Second, BudgetSlack: 100, Grace: 6 * time.Second}
	if tune != nil {
		tune(&s)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	p := Parts{Settings: s, Clock: clock.Wall{}}
	if _, ok := nw.(loopback); !ok {
		p.Dial = nw.dial
	}
	l.node = New(p)
	l.listener = nw.listen()
	l.addr = l.listener.Addr().String()
	l.wg.Go(func() {
		if err := l.node.Serve(l.listener); err != nil {
			t.Error(err)
		}
	})
	cx, end := context.WithCancel(context.Background())
	l.end = end
	l.wg.Go(func() { l.node.Run(cx) })
	t.Cleanup(l.close)
	l.node.SetGateways(1, 1)
	return l
}

func (l *lab) close() {
	l.end()
	l.node.ended.Store(true)
	_ = l.listener.Close()
	l.node.cm.Lock()
	for c := range l.node.callers {
		_ = c.nc.Close()
	}
	l.node.cm.Unlock()
	for _, s := range l.stands {
		s.stop()
	}
	for _, s := range l.node.all() {
		s.mu.Lock()
		for _, e := range s.all {
			e.closeIdle()
		}
		s.mu.Unlock()
	}
	l.wg.Wait()
	l.node.wg.Wait()
}

// routes declares the usual routes: host "h", each kind under its prefix.
func (l *lab) routes(attempts int) {
	items := []item.Item{route.Service{Name: "svc", Version: 1, Health: "/health", MaxConns: 100}.Item()}
	for p, k := range map[string]route.RetryPolicy{"/once/": route.AtMostOnce, "/idem/": route.Idempotent, "/down/": route.Download} {
		items = append(items, route.Route{Name: "r" + p, Version: 1, Host: "h", Prefix: p, Repeat: k, AimMS: 400,
			Attempts: attempts, Shares: []route.Share{{Service: "svc", Weight: 1}}}.Item())
	}
	l.node.TakeItems(items)
	l.node.SetSynced(true)
}

// stand starts a stand-in target and tells the node of it.
func (l *lab) stand(id string, tune func(*target.Run), do act) *stand {
	s := &stand{id: id, ln: l.net.listen(), conns: map[net.Conn]bool{}}
	l.stands[id] = s
	r := target.Run{ID: id, Service: "svc", Addr: s.ln.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: 1}
	if tune != nil {
		tune(&r)
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
			no := l.conns[id]
			l.mu.Unlock()
			l.wg.Go(func() {
				l.attend(s, c, no, do)
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			})
		}
	})
	l.node.TakeRuns([]target.Run{r})
	return s
}

func (s *stand) stop() {
	_ = s.ln.Close()
	s.cut()
}

// cut closes all connections.
func (s *stand) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (l *lab) attend(st *stand, c net.Conn, no int, do act) {
	r := bufio.NewReader(c)
	for on := 1; ; on++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s := &seen{method: q.Method, uri: q.RequestURI, host: q.Host, id: q.Header.Get(dialect.RequestID), head: q.Header,
			run: st.id, onConn: on, conn: no}
		if q.RequestURI == "/health" {
			s.id = ""
		}
		answered, stays := false, false
		if st.early != nil && s.id != "" && q.Header.Get(dialect.Expect) == st.id && q.ContentLength != 0 {
			answered, stays = st.early(l, c, s)
		}
		s.body, err = io.ReadAll(q.Body)
		if err != nil {
			return
		}
		l.mu.Lock()
		if s.id != "" {
			l.arrived = append(l.arrived, s)
			s.nth = len(l.arrived)
		}
		l.mu.Unlock()
		if s.id == "" {
			h := healthy
			if st.health != nil {
				h = st.health
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
		if got := q.Header.Get(dialect.Expect); got != st.id {
			if !misdirect(l, c, s) {
				return
			}
			continue
		}
		if !do(l, c, s) {
			return
		}
	}
}

func healthy(_ *lab, c net.Conn, s *seen) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", dialect.Instance, s.run)
	return err == nil
}

func misdirect(_ *lab, c net.Conn, s *seen) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	return err == nil
}

// run counts that the request ran.
func (l *lab) run(s *seen) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[s.id]++
}

func (l *lab) runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

func (l *lab) arrivals() []*seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*seen(nil), l.arrived...)
}

// bodyOf is the one body that an answer to a request has.
func bodyOf(id string) string { return "body of " + id + " " + strings.Repeat("x", 100) }

// sealed writes a proper answer.
func sealed(l *lab, c net.Conn, s *seen) bool {
	l.run(s)
	return say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id))
}

func say(c net.Conn, status, id, more, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, more, len(body), body)
	return err == nil
}

// first does once what bad does, and is proper else.
func first(bad act) act {
	return func(l *lab, c net.Conn, s *seen) bool {
		if s.nth == 1 {
			return bad(l, c, s)
		}
		return sealed(l, c, s)
	}
}

// after waits before it goes on.
func after(d time.Duration, do act) act {
	return func(l *lab, c net.Conn, s *seen) bool {
		time.Sleep(d)
		return do(l, c, s)
	}
}

// client is a caller's connection.
type client struct {
	c net.Conn
	r *bufio.Reader
}

type got struct {
	status int
	head   http.Header
	body   string
	close  bool
}

func (l *lab) client() *client {
	c, err := l.net.dial(context.Background(), l.addr)
	if err != nil {
		l.t.Fatal(err)
	}
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(method, path, id string, left time.Duration, more, body string) error {
	return c.sendRaw(method, path, id, left, more, body, false)
}

// sendRaw sends a request; framed says that the body brings its own framing.
func (c *client) sendRaw(method, path, id string, left time.Duration, more, body string, framed bool) error {
	b := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: %d\r\n%s", method, path, id, left.Milliseconds(), more)
	if body != "" && !framed {
		b += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_, err := io.WriteString(c.c, b+"\r\n"+body)
	return err
}

func (c *client) read() (got, error) {
	p, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return got{}, err
	}
	b, err := io.ReadAll(p.Body)
	return got{p.StatusCode, p.Header, string(b), p.Close}, err
}

func (c *client) call(method, path, id string, left time.Duration) (got, error) {
	if err := c.send(method, path, id, left, "", ""); err != nil {
		return got{}, err
	}
	return c.read()
}

// call sends one request over a connection of its own.
func (l *lab) call(path, id string, left time.Duration) got {
	l.t.Helper()
	c := l.client()
	defer c.c.Close()
	g, err := c.call("GET", path, id, left)
	if err != nil {
		l.t.Fatalf("%s: %v", id, err)
	}
	return g
}

// proper tells whether a success is the whole answer to the request.
func (g got) proper(id string) bool {
	return g.status == 200 && g.body == bodyOf(id) && g.head.Get(dialect.Seal) != "" && g.head.Get(dialect.RequestID) == id
}

func raw(t *testing.T, l *lab, text string) (int, string) {
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
