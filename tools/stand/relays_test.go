package stand

import (
	"bufio"
	"fmt"
	"net"
	"testing"
)

// A cut path holds back data in its direction only, and delivers it when the path is restored.
func TestWiresHoldBackInOneDirection(t *testing.T) {
	back, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	received := make(chan string, 8)
	go func() {
		c, err := back.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			s, err := r.ReadString('\n')
			if err != nil {
				return
			}
			received <- s
			_, _ = fmt.Fprintf(c, "re %s", s)
		}
	}()
	w := NewRelays()
	defer w.Close()
	w.SetName("127.0.0.1", "a")
	at, err := w.Listen("127.0.0.1:0", "b", func() string { return back.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	send := func(s string) { _, _ = fmt.Fprintln(c, s) }
	receive := func() string { s, _ := r.ReadString('\n'); return s }
	send("one")
	if <-received; receive() != "re one\n" {
		t.Fatal("an uncut relay does not carry data")
	}
	// The path from b to a is cut: b receives, a does not.
	w.SetCut(func(from, to string) bool { return from == "b" && to == "a" })
	send("two")
	if s := <-received; s != "two\n" {
		t.Fatalf("the open direction carried %q", s)
	}
	got := make(chan string, 1)
	go func() { got <- receive() }()
	if !w.IsCut("b", "a") || w.IsCut("a", "b") {
		t.Error("the wrong direction is cut")
	}
	// Held-back data comes before data sent after the path is restored.
	w.SetCut(nil)
	if s := <-got; s != "re two\n" {
		t.Errorf("after the path is restored: %q", s)
	}
}
