package proxy

import (
	"net"
	"testing"
	"time"
)

func connPair(t *testing.T) (*conn, net.Conn) {
	ln := loopback{}.listen()
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return newConn(a), b
}

// TestAlive checks that alive detects a close, a reset and unsolicited bytes without consuming
// anything or blocking.
func TestAlive(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed":  func(b net.Conn) { _ = b.Close() },
		"half":    func(b net.Conn) { _ = b.(*net.TCPConn).CloseWrite() },
		"reset":   func(b net.Conn) { resetConn(b) },
		"surplus": func(b net.Conn) { _, _ = b.Write([]byte("x")) },
	} {
		c, b := connPair(t)
		if err := c.startUse(time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if !c.alive() {
				t.Errorf("%s: not alive before", name)
			}
		}
		end(b)
		waitFor(t, func() bool { return !c.alive() })
	}
}

// TestGiveUp checks that abort ends a read in another goroutine, whenever it is called.
func TestGiveUp(t *testing.T) {
	for i := range 200 {
		c, _ := connPair(t)
		if err := c.startUse(time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			c.softDeadline, c.onSoftDeadline = time.Now(), func() time.Time { return time.Now().Add(time.Microsecond) }
		}
		done := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			done <- err
		}()
		c.abort()
		if err := <-done; err != errAborted {
			t.Errorf("%v", err)
		}
	}
}
