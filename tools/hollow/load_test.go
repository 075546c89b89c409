package main

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A caller keeps its connection for as many calls as it is told, and gives one up that
// failed.
func TestACallerKeepsItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
			go (&StandsArgs{}).serve(t.Context(), c, "i-0", "body")
		}
	}()
	c := &caller{l: &loop{a: &LoadArgs{Routes: 5, Fresh: 3}}, to: ln.Addr().String(), rnd: rand.New(rand.NewPCG(1, 1))}
	defer c.hangUp()
	for range 7 {
		if err := c.call(); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(conns); n != 3 {
		t.Errorf("%d connections for 7 calls, 3 on each", n)
	}
	for range 3 {
		_ = (<-conns).Close()
	}
	if err := c.call(); err == nil || c.c != nil {
		t.Errorf("a call on a closed connection: %v, kept %v", err, c.c != nil)
	}
	if err := c.call(); err != nil {
		t.Errorf("the next one: %v", err)
	}
}

// What was due before the measurement does not count, and what failed has no time.
func TestOnlyWhatIsMeasuredCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := &loop{h: histogram(), from: now.Add(time.Second)}
		time.Sleep(3 * time.Second)
		l.note(now, nil)
		l.note(now.Add(2*time.Second), nil)
		l.note(now.Add(2*time.Second), context.DeadlineExceeded)
		if x := times(l.h); l.done != 1 || l.failed != 1 || x.N != 1 || x.Worst < 999 || x.Worst > 1001 {
			t.Errorf("%d done, %d failed, %+v", l.done, l.failed, x)
		}
	})
}
