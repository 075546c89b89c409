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
	dialTime  = 400 * time.Millisecond
	greetTime = 2 * time.Second
	writeTime = 2 * time.Second
	// idleTime is how long a link may stay silent; leases keep live links busy.
	idleTime = 30 * time.Second
	// maxOpen bounds questions under way on one accepted link.
	maxOpen = 512
	// muteTime is how long an ask must have waited in vain, with nothing at all read
	// from its link meanwhile, for the link to count as dead.
	muteTime = 200 * time.Millisecond
	// maxLinks bounds accepted links.
	maxLinks = 1024
)

// TCP is the line of a real process: one link per address, many questions at
// once on each (design 3).
type TCP struct {
	Me  Who
	Log *log.Logger
	// From is the IP to call from, "" for whatever the system takes.
	From string
	// DialTime bounds a connect; 0 is usual.
	DialTime time.Duration

	mu    sync.Mutex
	links map[string]*tcpLink
	shut  bool
	bound net.Listener
	open  map[net.Conn]bool
}

// NewTCP makes a line that introduces itself as me and calls from the IP of bind,
// where that is given.
func NewTCP(me Who, bind string, lg *log.Logger) *TCP {
	ip, _, _ := net.SplitHostPort(bind)
	return &TCP{Me: me, Log: lg, From: ip, links: map[string]*tcpLink{}, open: map[net.Conn]bool{}}
}

// Dialer dials from an IP of this machine, so that others know who calls; "" leaves
// it to the system.
func Dialer(from string, limit time.Duration) net.Dialer {
	d := net.Dialer{Timeout: limit}
	if ip := net.ParseIP(from); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

type tcpLink struct {
	addr string
	c    net.Conn
	wmu  sync.Mutex
	f    *framer
	read *atomic.Uint64 // bytes that came from the peer
	mu   sync.Mutex
	seq  uint64
	wait map[uint64]chan envelope
	dead bool
}

// counter counts what is read through it.
type counter struct {
	r io.Reader
	n *atomic.Uint64
}

func (c counter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(uint64(n))
	return n, err
}

// Call asks one question; ctx bounds the wait.
func (t *TCP) Call(ctx context.Context, addr string, ask any) (any, error) {
	l, err := t.link(ctx, addr)
	if err != nil {
		return nil, steperr.Wrap("link", addr, err)
	}
	ch := make(chan envelope, 1)
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return nil, steperr.New("link", addr, "closed")
	}
	l.seq++
	id := l.seq
	l.wait[id] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.wait, id)
		l.mu.Unlock()
	}()
	e := envelope{ID: id, Body: ask, Wait: int64(2 * time.Second)}
	if d, ok := ctx.Deadline(); ok {
		e.Wait = int64(time.Until(d))
	}
	begun, read := time.Now(), l.read.Load()
	if err := l.write(&e); err != nil {
		t.drop(l)
		return nil, steperr.Wrap("ask", addr, err)
	}
	select {
	case <-ctx.Done():
		// A peer that fell silent may have been cut off: once the cut heals, the link
		// would still be stuck in ever longer pauses between retransmissions. The next
		// ask dials anew.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.read.Load() == read && time.Since(begun) >= muteTime {
			t.drop(l)
		}
		return nil, steperr.Wrap("ask", addr, ctx.Err())
	case e, ok := <-ch:
		if !ok {
			return nil, steperr.New("ask", addr, "link closed before the answer")
		}
		if e.Err != "" {
			return nil, steperr.Wrap("answer", addr, errors.New(e.Err))
		}
		return e.Body, nil
	}
}

func (l *tcpLink) write(e *envelope) error {
	l.wmu.Lock()
	defer l.wmu.Unlock()
	if err := l.c.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	return l.f.write(e)
}

// link finds or opens the link to addr.
func (t *TCP) link(ctx context.Context, addr string) (*tcpLink, error) {
	t.mu.Lock()
	if t.shut {
		t.mu.Unlock()
		return nil, net.ErrClosed
	}
	if l, ok := t.links[addr]; ok {
		t.mu.Unlock()
		return l, nil
	}
	t.mu.Unlock()
	d := Dialer(t.From, cmp.Or(t.DialTime, dialTime))
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	read := &atomic.Uint64{}
	f := newFramer(bufio.NewReader(counter{c, read}), c)
	if err := t.greet(ctx, c, f); err != nil {
		_ = c.Close()
		return nil, err
	}
	l := &tcpLink{addr: addr, c: c, f: f, read: read, wait: map[uint64]chan envelope{}}
	t.mu.Lock()
	if t.shut {
		t.mu.Unlock()
		_ = c.Close()
		return nil, net.ErrClosed
	}
	if o, ok := t.links[addr]; ok {
		t.mu.Unlock()
		_ = c.Close()
		return o, nil
	}
	t.links[addr] = l
	t.mu.Unlock()
	go t.listen(l)
	return l, nil
}

// greet trades greetings on a fresh link, within the asker's patience: a frozen process
// accepts connections and says nothing.
func (t *TCP) greet(ctx context.Context, c net.Conn, f *framer) error {
	end := time.Now().Add(greetTime)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	if err := c.SetDeadline(end); err != nil {
		return err
	}
	if err := f.write(greeting{magic, version, t.Me.ID, t.Me.Kind}); err != nil {
		return err
	}
	var g greeting
	if err := f.read(&g); err != nil {
		return err
	}
	if err := g.check(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (g greeting) check() error {
	if g.Magic != magic || g.Version != version {
		return fmt.Errorf("greeting %q version %d, want %q version %d", g.Magic, g.Version, magic, version)
	}
	if g.ID == "" || len(g.ID) > 64 || len(g.Kind) > 16 {
		return errors.New("greeting without a proper name")
	}
	return nil
}

// listen hands answers to their askers until the link ends.
func (t *TCP) listen(l *tcpLink) {
	defer t.drop(l)
	for {
		if err := l.c.SetReadDeadline(time.Now().Add(idleTime)); err != nil {
			return
		}
		var e envelope
		if err := l.f.read(&e); err != nil {
			return
		}
		l.mu.Lock()
		ch, ok := l.wait[e.ID]
		delete(l.wait, e.ID)
		l.mu.Unlock()
		if ok {
			ch <- e
		}
	}
}

func (t *TCP) drop(l *tcpLink) {
	t.mu.Lock()
	if t.links[l.addr] == l {
		delete(t.links, l.addr)
	}
	t.mu.Unlock()
	_ = l.c.Close()
	l.mu.Lock()
	if !l.dead {
		l.dead = true
		for _, ch := range l.wait {
			close(ch)
		}
		l.wait = map[uint64]chan envelope{}
	}
	l.mu.Unlock()
}

// Serve answers questions on ln by d until Close.
func (t *TCP) Serve(ln net.Listener, d *Desk) {
	t.mu.Lock()
	t.bound = ln
	t.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			t.mu.Lock()
			shut := t.shut
			t.mu.Unlock()
			if shut || errors.Is(err, net.ErrClosed) {
				return
			}
			t.Log.Warn("link not accepted", "step", "accept", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		t.mu.Lock()
		full := t.shut || len(t.open) >= maxLinks
		if !full {
			t.open[c] = true
		}
		t.mu.Unlock()
		if full {
			_ = c.Close()
			continue
		}
		go func() {
			defer func() {
				_ = c.Close()
				t.mu.Lock()
				delete(t.open, c)
				t.mu.Unlock()
			}()
			if err := t.attend(c, d); err != nil {
				t.Log.Warn("link closed", "step", "attend", "peer", c.RemoteAddr().String(), "err", err)
			}
		}()
	}
}

// attend answers one accepted link; a broken frame ends it and nothing else.
func (t *TCP) attend(c net.Conn, d *Desk) error {
	f := newFramer(bufio.NewReader(c), c)
	if err := c.SetDeadline(time.Now().Add(greetTime)); err != nil {
		return err
	}
	var g greeting
	if err := f.read(&g); err != nil {
		return err
	}
	if err := g.check(); err != nil {
		return err
	}
	if err := f.write(greeting{magic, version, t.Me.ID, t.Me.Kind}); err != nil {
		return err
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return err
	}
	who := Who{ID: g.ID, Kind: g.Kind}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	l := &tcpLink{c: c, f: f}
	open := make(chan struct{}, maxOpen)
	for {
		if err := c.SetReadDeadline(time.Now().Add(idleTime)); err != nil {
			return nil
		}
		var e envelope
		if err := f.read(&e); err != nil {
			var ne net.Error
			if errors.Is(err, net.ErrClosed) || errors.As(err, &ne) || err.Error() == "EOF" {
				return nil
			}
			return err
		}
		open <- struct{}{}
		go func() {
			defer func() { <-open }()
			r := answer(ctx, d, who, &e, t.Log)
			if err := l.write(r); err != nil {
				_ = c.Close()
			}
		}()
	}
}

// answer turns one question into its answer; a panic in a handler is logged and
// answered as an error, so that no peer can bring this process down.
func answer(ctx context.Context, d *Desk, w Who, e *envelope, lg *log.Logger) (r *envelope) {
	r = &envelope{ID: e.ID, Reply: true}
	defer func() {
		if p := recover(); p != nil {
			lg.Error("panic while answering", "step", "answer", "peer", w.ID, "panic", p, "stack", string(debug.Stack()))
			r.Body, r.Err = nil, "internal defect"
		}
	}()
	if e.Body == nil {
		r.Err = "empty question"
		return r
	}
	p := time.Duration(e.Wait)
	if p <= 0 || p > time.Minute {
		p = time.Minute
	}
	ctx, end := context.WithTimeout(ctx, p)
	defer end()
	v, err := d.Answer(ctx, w, e.Body)
	if err != nil {
		r.Err = err.Error()
		return r
	}
	r.Body = v
	return r
}

// Close ends every link.
func (t *TCP) Close() {
	t.mu.Lock()
	t.shut = true
	if t.bound != nil {
		_ = t.bound.Close()
	}
	for c := range t.open {
		_ = c.Close()
	}
	ls := make([]*tcpLink, 0, len(t.links))
	for _, l := range t.links {
		ls = append(ls, l)
	}
	t.mu.Unlock()
	for _, l := range ls {
		t.drop(l)
	}
}
