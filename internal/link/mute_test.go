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

// mutable stands between a line and its peer and can hold back whatever comes from
// the peer, as a cut does.
type mutable struct {
	ln    net.Listener
	dials chan struct{} // one for each
}

// newMutable passes each connection on; the n-th is mute after its greeting where mute
// says so.
func newMutable(t *testing.T, to string, mute func(n int) bool) *mutable {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &mutable{ln: ln, dials: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			m.dials <- struct{}{}
			p, err := net.Dial("tcp", to)
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
				if !mute(n) {
					_, _ = io.Copy(c, p)
					return
				}
				// The greeting comes through, then nothing more.
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
	_, addr := serve(t)
	m := newMutable(t, addr, func(n int) bool { return n == 0 })
	c := NewTCP(Who{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer c.Close()
	ask := func(d time.Duration) error {
		ctx, end := context.WithTimeout(context.Background(), d)
		defer end()
		_, err := Ask[echoTold](ctx, c, m.ln.Addr().String(), echoAsk{"hi"})
		return err
	}
	if err := ask(muteTime + 100*time.Millisecond); err == nil {
		t.Fatal("a mute link answered")
	}
	if err := ask(10 * time.Second); err != nil {
		t.Fatalf("the next ask did not dial anew: %v", err)
	}
	if n := len(m.dials); n != 2 {
		t.Errorf("%d dials, want 2", n)
	}
	// A link that answers is kept, also where one ask is given up.
	ctx, end := context.WithCancel(context.Background())
	end()
	_, _ = c.Call(ctx, m.ln.Addr().String(), echoAsk{"hi"})
	if err := ask(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if n := len(m.dials); n != 2 {
		t.Errorf("%d dials after an ask was given up, want 2", n)
	}
}

// A link that carries other answers is alive, however long one of them takes.
func TestALinkThatStillCarriesAnswersIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := NewDesk()
	On(d, func(ctx context.Context, _ Who, a echoAsk) (echoTold, error) {
		if a.Text == "slow" {
			<-ctx.Done()
		}
		return echoTold(a), nil
	})
	s := NewTCP(Who{ID: "srv", Kind: "controller"}, "", log.New(io.Discard))
	go s.Serve(ln, d)
	t.Cleanup(s.Close)
	c := NewTCP(Who{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer c.Close()
	addr := ln.Addr().String()
	if _, err := Ask[echoTold](context.Background(), c, addr, echoAsk{"first"}); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	l := c.links[addr]
	c.mu.Unlock()
	ctx, end := context.WithTimeout(context.Background(), muteTime+100*time.Millisecond)
	defer end()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Call(ctx, addr, echoAsk{"slow"})
	}()
	for ctx.Err() == nil {
		if _, err := Ask[echoTold](context.Background(), c, addr, echoAsk{"quick"}); err != nil {
			t.Fatal(err)
		}
	}
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[addr] != l {
		t.Error("a link that answered was dropped")
	}
}

// A process that accepts and says nothing costs no more than the asker's patience.
func TestAGreetingIsNotWaitedForBeyondPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		c := NewTCP(Who{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
		ctx, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer end()
		begun := time.Now()
		if err := c.greet(ctx, a, newFramer(a, a)); err == nil {
			t.Error("a greeting that never came was taken")
		}
		if d := time.Since(begun); d != 50*time.Millisecond {
			t.Errorf("waited for %v", d)
		}
	})
}
