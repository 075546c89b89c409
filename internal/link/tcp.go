package link

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/steperr"
)

const (
	defaultDialTimeout = 400 * time.Millisecond
	greetingTimeout    = 2 * time.Second
	writeTimeout       = 2 * time.Second
	// idleTimeout is how long a connection may be idle; lease renewals keep connections in use busy.
	idleTimeout = 30 * time.Second
	// maxRequestsPerConn limits the concurrent requests on one accepted connection.
	maxRequestsPerConn = 512
	// silentTimeout is how long a request must have waited, with no data at all read from its connection
	// in that time, for the connection to count as dead when the request times out.
	silentTimeout = 200 * time.Millisecond
	// maxAcceptedConns limits the number of accepted connections.
	maxAcceptedConns = 1024
)

// TCP is the Transport of a real process, and the server that dispatches to a Mux. It opens one connection for
// each address and multiplexes concurrent requests on it (design 3).
type TCP struct {
	Self Identity
	Log  *log.Logger
	// LocalIP is the source IP of outgoing connections; "" lets the system choose.
	LocalIP string
	// DialTimeout limits connecting; 0 selects defaultDialTimeout.
	DialTimeout time.Duration

	mu       sync.Mutex
	conns    map[string]*tcpConn
	closed   bool
	listener net.Listener
	accepted map[net.Conn]bool
}

// NewTCP returns a TCP that identifies itself as self and calls from the IP address of bind,
// if that is set.
func NewTCP(self Identity, bind string, logger *log.Logger) *TCP {
	ip, _, _ := net.SplitHostPort(bind)
	return &TCP{Self: self, Log: logger, LocalIP: ip, conns: map[string]*tcpConn{}, accepted: map[net.Conn]bool{}}
}

// Dialer returns a dialer that uses localIP as source address, so that peers can identify the caller; ""
// lets the system choose.
func Dialer(localIP string, timeout time.Duration) net.Dialer {
	dialer := net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(localIP); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

type tcpConn struct {
	addr      string
	conn      net.Conn
	writeMu   sync.Mutex
	framer    *framer
	bytesRead *atomic.Uint64 // total received from the peer
	mu        sync.Mutex
	lastID    uint64
	pending   map[uint64]chan envelope
	closed    bool
}

// countingReader counts the bytes read through it.
type countingReader struct {
	r     io.Reader
	count *atomic.Uint64
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.count.Add(uint64(n))
	return n, err
}

// Call sends one request and waits for its response until ctx ends. If ctx has no deadline, the
// peer gets 2 s to answer.
func (t *TCP) Call(ctx context.Context, addr string, request any) (any, error) {
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return nil, steperr.Wrap("link", addr, err)
	}
	response := make(chan envelope, 1)
	conn.mu.Lock()
	if conn.closed {
		conn.mu.Unlock()
		return nil, steperr.New("link", addr, "connection closed")
	}
	conn.lastID++
	id := conn.lastID
	conn.pending[id] = response
	conn.mu.Unlock()
	defer func() {
		conn.mu.Lock()
		delete(conn.pending, id)
		conn.mu.Unlock()
	}()
	e := envelope{ID: id, Body: request, Wait: int64(2 * time.Second)}
	if d, ok := ctx.Deadline(); ok {
		e.Wait = int64(time.Until(d))
	}
	sentAt, bytesBefore := time.Now(), conn.bytesRead.Load()
	if err := conn.send(&e); err != nil {
		t.closeConn(conn)
		return nil, steperr.Wrap("ask", addr, err)
	}
	select {
	case <-ctx.Done():
		// A silent peer may have been partitioned: once the partition heals, this connection would
		// still wait for retransmissions, at ever longer intervals. The next request opens a
		// new connection.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.bytesRead.Load() == bytesBefore && time.Since(sentAt) >= silentTimeout {
			t.closeConn(conn)
		}
		return nil, steperr.Wrap("ask", addr, ctx.Err())
	case e, ok := <-response:
		if !ok {
			return nil, steperr.New("ask", addr, "connection closed before the response")
		}
		if e.Err != "" {
			return nil, steperr.Wrap("answer", addr, errors.New(e.Err))
		}
		return e.Body, nil
	}
}

func (c *tcpConn) send(e *envelope) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.framer.write(e)
}

// connect returns the open connection to addr, or opens one.
func (t *TCP) connect(ctx context.Context, addr string) (*tcpConn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, net.ErrClosed
	}
	if conn, ok := t.conns[addr]; ok {
		t.mu.Unlock()
		return conn, nil
	}
	t.mu.Unlock()
	dialer := Dialer(t.LocalIP, cmp.Or(t.DialTimeout, defaultDialTimeout))
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	bytesRead := &atomic.Uint64{}
	frames := newFramer(bufio.NewReader(countingReader{netConn, bytesRead}), netConn)
	if err := t.exchangeGreetings(ctx, netConn, frames); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	conn := &tcpConn{addr: addr, conn: netConn, framer: frames, bytesRead: bytesRead, pending: map[uint64]chan envelope{}}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		_ = netConn.Close()
		return nil, net.ErrClosed
	}
	if existing, ok := t.conns[addr]; ok {
		t.mu.Unlock()
		_ = netConn.Close()
		return existing, nil
	}
	t.conns[addr] = conn
	t.mu.Unlock()
	go t.readResponses(conn)
	return conn, nil
}

// exchangeGreetings sends a greeting on a new connection and waits for the peer's, no longer than the
// caller's deadline: a frozen process accepts connections but sends nothing.
func (t *TCP) exchangeGreetings(ctx context.Context, conn net.Conn, frames *framer) error {
	deadline := time.Now().Add(greetingTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := frames.write(greeting{protocolMagic, protocolVersion, t.Self.ID, t.Self.Kind}); err != nil {
		return err
	}
	var peer greeting
	if err := frames.read(&peer); err != nil {
		return err
	}
	if err := peer.validate(); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func (g greeting) validate() error {
	if g.Magic != protocolMagic || g.Version != protocolVersion {
		return fmt.Errorf("greeting %q version %d, want %q version %d", g.Magic, g.Version, protocolMagic, protocolVersion)
	}
	if g.ID == "" || len(g.ID) > 64 || len(g.Kind) > 16 {
		return errors.New("greeting without an ID, or with an ID or kind that is too long")
	}
	return nil
}

// readResponses passes responses to the waiting calls until the connection ends, or sends what is no response.
func (t *TCP) readResponses(conn *tcpConn) {
	defer t.closeConn(conn)
	for {
		if err := conn.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		var e envelope
		if err := conn.framer.read(&e); err != nil || !e.Reply {
			return
		}
		conn.mu.Lock()
		response, ok := conn.pending[e.ID]
		delete(conn.pending, e.ID)
		conn.mu.Unlock()
		if ok {
			response <- e
		}
	}
}

// closeConn closes an outgoing connection and fails the calls that wait for its responses.
func (t *TCP) closeConn(conn *tcpConn) {
	t.mu.Lock()
	if t.conns[conn.addr] == conn {
		delete(t.conns, conn.addr)
	}
	t.mu.Unlock()
	_ = conn.conn.Close()
	conn.mu.Lock()
	if !conn.closed {
		conn.closed = true
		for _, ch := range conn.pending {
			close(ch)
		}
		conn.pending = map[uint64]chan envelope{}
	}
	conn.mu.Unlock()
}

// Serve accepts connections on ln and answers requests with mux until Close is called.
func (t *TCP) Serve(ln net.Listener, mux *Mux) {
	t.mu.Lock()
	t.listener = ln
	t.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if err != nil {
			t.mu.Lock()
			closed := t.closed
			t.mu.Unlock()
			if closed || errors.Is(err, net.ErrClosed) {
				return
			}
			t.Log.Warn("accepting a connection failed", "step", "accept", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		t.mu.Lock()
		full := t.closed || len(t.accepted) >= maxAcceptedConns
		if !full {
			t.accepted[conn] = true
		}
		t.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() {
				_ = conn.Close()
				t.mu.Lock()
				delete(t.accepted, conn)
				t.mu.Unlock()
			}()
			if err := t.serveConn(conn, mux); err != nil {
				t.Log.Warn("connection closed after an invalid message", "step", "attend", "peer", conn.RemoteAddr().String(), "err", err)
			}
		}()
	}
}

// serveConn serves one accepted connection; an invalid frame ends that connection only.
func (t *TCP) serveConn(conn net.Conn, mux *Mux) error {
	frames := newFramer(bufio.NewReader(conn), conn)
	if err := conn.SetDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return err
	}
	var peer greeting
	if err := frames.read(&peer); err != nil {
		return err
	}
	if err := peer.validate(); err != nil {
		return err
	}
	if err := frames.write(greeting{protocolMagic, protocolVersion, t.Self.ID, t.Self.Kind}); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	from := Identity{ID: peer.ID, Kind: peer.Kind}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := &tcpConn{conn: conn, framer: frames}
	slots := make(chan struct{}, maxRequestsPerConn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return nil
		}
		var e envelope
		if err := frames.read(&e); err != nil {
			var netErr net.Error
			if errors.Is(err, net.ErrClosed) || errors.As(err, &netErr) || err.Error() == "EOF" {
				return nil
			}
			return err
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			r := handleRequest(ctx, mux, from, &e, t.Log)
			if err := writer.send(r); err != nil {
				_ = conn.Close()
			}
		}()
	}
}

// handleRequest runs the handler for one request. A panic in a handler is logged and answered
// with an error, so that no peer can crash this process.
func handleRequest(ctx context.Context, mux *Mux, from Identity, request *envelope, logger *log.Logger) (response *envelope) {
	response = &envelope{ID: request.ID, Reply: true}
	defer func() {
		if value := recover(); value != nil {
			logger.Error("panic in request handler", "step", "answer", "peer", from.ID, "panic", value, "stack", string(debug.Stack()))
			response.Body, response.Err = nil, "internal defect"
		}
	}()
	if request.Body == nil {
		response.Err = "empty question"
		return response
	}
	timeout := time.Duration(request.Wait)
	if timeout <= 0 || timeout > time.Minute {
		timeout = time.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := mux.Dispatch(ctx, from, request.Body)
	if err != nil {
		response.Err = err.Error()
		return response
	}
	response.Body = result
	return response
}

// Close closes the listener and all connections.
func (t *TCP) Close() {
	t.mu.Lock()
	t.closed = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for c := range t.accepted {
		_ = c.Close()
	}
	conns := make([]*tcpConn, 0, len(t.conns))
	for _, conn := range t.conns {
		conns = append(conns, conn)
	}
	t.mu.Unlock()
	for _, conn := range conns {
		t.closeConn(conn)
	}
}
