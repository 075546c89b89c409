package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

// BenchmarkRequest measures one request over loopback with kept-alive connections on both sides.
// The figures include the fake target and the caller.
func BenchmarkRequest(b *testing.B) {
	n := New(Config{Settings: Settings{ID: "f", Zone: "a", Headers: testHeaders}, Clock: clock.Wall{}})
	n.ApplyItems([]item.Item{
		route.Service{Name: "svc", Version: 1}.Item(),
		route.Route{Name: "r", Version: 1, Host: "h", Prefix: "/a/", Repeat: route.Idempotent, Attempts: 2, AimMS: 400, Shares: []route.Share{{Service: "svc", Weight: 1}}}.Item(),
	})
	n.SetGateways(1, 1)
	n.SetSynced(true)
	targetListener := loopback{}.listen()
	defer targetListener.Close()
	go func() {
		for {
			c, err := targetListener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if line == "\r\n" {
						if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	n.ApplyRuns([]target.Run{{ID: "t", Service: "svc", Addr: targetListener.Addr().String(), Zone: "a", Slots: 4, State: target.Ready, Seq: 1}})
	ln := loopback{}.listen()
	go func() { _ = n.Serve(ln) }()
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := fmt.Fprint(c, "GET /a/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\nX-Left: 5000\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		p, err := http.ReadResponse(r, nil)
		if err != nil || p.StatusCode != 200 {
			b.Fatal(p, err)
		}
		if _, err := io.Copy(io.Discard, p.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingConn is a connection whose other side sends the same answer again and again.
type repeatingConn struct {
	net.Conn
	answer string
	at     int
}

func (c *repeatingConn) Read(p []byte) (int, error) {
	n := copy(p, c.answer[c.at:])
	c.at = (c.at + n) % len(c.answer)
	return n, nil
}

func (*repeatingConn) SetReadDeadline(time.Time) error { return nil }

// BenchmarkReadAnswer measures the reading of one small answer with the fields that targets usually send.
func BenchmarkReadAnswer(b *testing.B) {
	n := New(Config{Settings: Settings{ID: "f", Zone: "a", Headers: testHeaders}, Clock: clock.Wall{}})
	answer := "HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Seal: seal-0123456789abcdef\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 01:30:00 GMT\r\nServer: s\r\n" +
		"Cache-Control: no-store\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\nbody"
	c := newConn(&repeatingConn{answer: answer})
	b.ReportAllocs()
	for b.Loop() {
		a, _, err := n.readAnswer(c, []byte("q"), false, nil)
		if err != nil {
			b.Fatal(err)
		}
		n.releaseAnswer(a)
		a.free()
	}
}
