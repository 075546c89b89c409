package link

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// silencingProxy forwards connections to a server and can drop everything that the server
// sends, as a network partition does.
type silencingProxy struct {
	ln       net.Listener
	accepted chan struct{} // one value for each connection
}

// newSilencingProxy starts a proxy that forwards each connection; the n-th connection goes silent after
// its greeting if silent(n) is true.
func newSilencingProxy(t *testing.T, target string, silent func(n int) bool) *silencingProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &silencingProxy{ln: ln, accepted: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			m.accepted <- struct{}{}
			p, err := net.Dial("tcp", target)
			if err != nil {
				_ = c.Close()
				return
			}
			go func() {
				_, _ = io.Copy(p, c)
				_ = p.Close()
			}()
			go func() {
				defer c.Close()
				if !silent(n) {
					_, _ = io.Copy(c, p)
					return
				}
				// Forward the greeting, then nothing more.
				b := make([]byte, 4096)
				if k, err := p.Read(b); err == nil {
					_, _ = c.Write(b[:k])
				}
				_, _ = io.Copy(io.Discard, p)
			}()
		}
	}()
	return m
}

func TestAMuteLinkIsDialledAnew(t *testing.T) {
	_, addr := startServer(t)
	m := newSilencingProxy(t, addr, func(n int) bool { return n == 0 })
	c := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer c.Close()
	ask := func(d time.Duration) error {
		ctx, end := context.WithTimeout(context.Background(), d)
		defer end()
		_, err := Call[echoTold](ctx, c, m.ln.Addr().String(), echoAsk{"hi"})
		return err
	}
	if err := ask(silentTimeout + 100*time.Millisecond); err == nil {
		t.Fatal("a silent connection returned a response")
	}
	if err := ask(10 * time.Second); err != nil {
		t.Fatalf("the next request did not open a new connection: %v", err)
	}
	if n := len(m.accepted); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
	// A connection that answers is kept, even if one request is canceled.
	ctx, end := context.WithCancel(context.Background())
	end()
	_, _ = c.Call(ctx, m.ln.Addr().String(), echoAsk{"hi"})
	if err := ask(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if n := len(m.accepted); n != 2 {
		t.Errorf("%d connections after a request was canceled, want 2", n)
	}
}

// A connection that carries other responses is alive, however long one of them takes.
func TestALinkThatStillCarriesAnswersIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := NewMux()
	Handle(d, func(ctx context.Context, _ Identity, a echoAsk) (echoTold, error) {
		if a.Text == "slow" {
			<-ctx.Done()
		}
		return echoTold(a), nil
	})
	s := NewTCP(Identity{ID: "srv", Kind: "controller"}, "", log.New(io.Discard))
	go s.Serve(ln, d)
	t.Cleanup(s.Close)
	c := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer c.Close()
	addr := ln.Addr().String()
	if _, err := Call[echoTold](context.Background(), c, addr, echoAsk{"first"}); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	l := c.conns[addr]
	c.mu.Unlock()
	ctx, end := context.WithTimeout(context.Background(), silentTimeout+100*time.Millisecond)
	defer end()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Call(ctx, addr, echoAsk{"slow"})
	}()
	for ctx.Err() == nil {
		if _, err := Call[echoTold](context.Background(), c, addr, echoAsk{"quick"}); err != nil {
			t.Fatal(err)
		}
	}
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] != l {
		t.Error("a connection that carried responses was closed")
	}
}

// A peer that accepts and sends nothing delays the caller no longer than its own deadline.
func TestAGreetingIsNotWaitedForBeyondPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		c := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
		ctx, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer end()
		begun := time.Now()
		if err := c.exchangeGreetings(ctx, a, newFramer(a, a)); err == nil {
			t.Error("the exchange succeeded without a greeting from the peer")
		}
		if d := time.Since(begun); d != 50*time.Millisecond {
			t.Errorf("waited for %v", d)
		}
	})
}
