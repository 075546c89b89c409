package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
)

// tapped keeps what is read from its connections.
type tapped struct {
	net.Listener
	raw *tape
}

type tappedConn struct {
	net.Conn
	raw *tape
}

type tape struct {
	mu sync.Mutex
	b  []byte
}

func (r *tape) add(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b = append(r.b, p...)
}

func (r *tape) read() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.b)
}

func (l tapped) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tappedConn{c, l.raw}, nil
}

func (c tappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.raw.add(p[:n])
	return n, err
}

func TestMessagesAreCountedByName(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var raw tape
	m := &Meter{Role: func(string) string { return "x" }}
	d := link.NewMux()
	link.Handle(d, func(_ context.Context, _ link.Identity, a quorum.MergeAsk) (quorum.MergeTold, error) {
		return quorum.MergeTold{Over: make([]int, len(a.Items))}, nil
	})
	s := link.NewTCP(link.Identity{ID: "s", Kind: "controller"}, "", quiet())
	done := make(chan struct{})
	go func() { s.Serve(metered{tapped{ln, &raw}, m, true}, d); close(done) }()
	c := link.NewTCP(link.Identity{ID: "c", Kind: "tool"}, "", quiet())
	for i := range 3 {
		// Some are larger than what is looked at for a name.
		a := quorum.MergeAsk{Items: make([]item.Item, 1+500*i)}
		for k := range a.Items {
			a.Items[k] = item.Item{Key: item.Key{Kind: item.Route, Name: fmt.Sprint(k)}, Version: 1, Body: []byte("a.Service")}
		}
		if _, err := link.Call[quorum.MergeTold](t.Context(), c, ln.Addr().String(), a); err != nil {
			t.Fatal(err)
		}
	}
	got, all := m.Read(), raw.read()
	c.Close()
	s.Close()
	<-done
	if got["x in quorum.MergeAsk"].N != 3 || got["x out quorum.MergeTold"].N != 3 || got["x in other"].N != 1 || got["x out other"].N != 1 {
		t.Fatalf("%v", got)
	}
	if n := got["x in quorum.MergeAsk"].Bytes + got["x in other"].Bytes; n != int64(len(all)) {
		t.Errorf("%d bytes counted of %d", n, len(all))
	}
	// However the stream is cut up, the counts are the same.
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		again := &Meter{}
		f := &frames{m: again, key: "x in "}
		for b := all; len(b) > 0; {
			k := min(1+rnd.IntN(1<<rnd.IntN(14)), len(b))
			f.feed(b[:k])
			b = b[k:]
		}
		for _, k := range []string{"x in quorum.MergeAsk", "x in other"} {
			if again.Read()[k] != got[k] {
				t.Errorf("seed %d: %s %v, want %v", seed, k, again.Read()[k], got[k])
			}
		}
	}
}

func TestDifferencesOfCounts(t *testing.T) {
	a := map[string]Count{"p": {1, 10}, "q": {2, 20}}
	b := map[string]Count{"p": {1, 10}, "q": {5, 60}, "r": {1, 7}}
	if d := diff(a, b); len(d) != 2 || d["q"] != (Count{3, 40}) || d["r"] != (Count{1, 7}) {
		t.Errorf("%v", d)
	}
}
