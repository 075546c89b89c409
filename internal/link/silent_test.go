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
	proxy := &silencingProxy{ln: ln, accepted: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			proxy.accepted <- struct{}{}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				return
			}
			go func() {
				_, _ = io.Copy(server, client)
				_ = server.Close()
			}()
			go func() {
				defer client.Close()
				if !silent(n) {
					_, _ = io.Copy(client, server)
					return
				}
				// Forward the greeting, then nothing more.
				b := make([]byte, 4096)
				if k, err := server.Read(b); err == nil {
					_, _ = client.Write(b[:k])
				}
				_, _ = io.Copy(io.Discard, server)
			}()
		}
	}()
	return proxy
}

func TestAMuteLinkIsDialledAnew(t *testing.T) {
	_, addr := startServer(t)
	proxy := newSilencingProxy(t, addr, func(n int) bool { return n == 0 })
	client := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer client.Close()
	call := func(d time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		_, err := Call[echoTold](ctx, client, proxy.ln.Addr().String(), echoAsk{"hi"})
		return err
	}
	if err := call(silentTimeout + 100*time.Millisecond); err == nil {
		t.Fatal("a silent connection returned a response")
	}
	if err := call(10 * time.Second); err != nil {
		t.Fatalf("the next request did not open a new connection: %v", err)
	}
	if n := len(proxy.accepted); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
	// A connection that answers is kept, even if one request is canceled.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = client.Call(ctx, proxy.ln.Addr().String(), echoAsk{"hi"})
	if err := call(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if n := len(proxy.accepted); n != 2 {
		t.Errorf("%d connections after a request was canceled, want 2", n)
	}
}

// A connection that carries other responses is alive, however long one of them takes.
func TestALinkThatStillCarriesAnswersIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	Handle(mux, func(ctx context.Context, _ Identity, a echoAsk) (echoTold, error) {
		if a.Text == "slow" {
			<-ctx.Done()
		}
		return echoTold(a), nil
	})
	server := NewTCP(Identity{ID: "srv", Kind: "controller"}, "", log.New(io.Discard))
	go server.Serve(ln, mux)
	t.Cleanup(server.Close)
	client := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer client.Close()
	addr := ln.Addr().String()
	if _, err := Call[echoTold](context.Background(), client, addr, echoAsk{"first"}); err != nil {
		t.Fatal(err)
	}
	client.mu.Lock()
	conn := client.conns[addr]
	client.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), silentTimeout+100*time.Millisecond)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Call(ctx, addr, echoAsk{"slow"})
	}()
	for ctx.Err() == nil {
		if _, err := Call[echoTold](context.Background(), client, addr, echoAsk{"quick"}); err != nil {
			t.Fatal(err)
		}
	}
	<-done
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conns[addr] != conn {
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
		client := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		if err := client.exchangeGreetings(ctx, a, newFramer(a, a)); err == nil {
			t.Error("the exchange succeeded without a greeting from the peer")
		}
		if d := time.Since(start); d != 50*time.Millisecond {
			t.Errorf("waited for %v", d)
		}
	})
}
