package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
)

// TestBytesUnchanged checks that method, path, query and body reach the target unchanged, even
// if they look like something else.
func TestBytesUnchanged(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.startTarget("one", nil, serveOK)
	c := l.client()
	defer c.c.Close()
	paths := []string{"/once/a%2F..//b/./../c;x=1?q=%00&&a=//../&b=%zz", "/once/%2e%2e/x", "/once/ü\"<>|?a=b?c#d", "/once/?", "/once/x?\\"}
	body := "POST /once/hidden HTTP/1.1\r\nHost: h\r\nX-Id: hidden\r\n\r\n"
	for i, p := range paths {
		for j, m := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "PURGE"} {
			id := fmt.Sprint("q", i, "-", j)
			var err error
			if j%2 == 0 {
				err = c.send(m, p, id, 5*time.Second, "", body)
			} else {
				err = c.send(m, p, id, 5*time.Second, "Transfer-Encoding: chunked\r\n", "")
				if err == nil {
					_, err = fmt.Fprintf(c.c, "5;ext=1\r\n%s\r\n%X\r\n%s\r\n0\r\nX-Id: trailer\r\n\r\n", body[:5], len(body)-5, body[5:])
				}
			}
			if err != nil {
				t.Fatal(err)
			}
			g, err := c.read()
			if err != nil || !g.validFor(id) {
				t.Fatalf("%s %s: %+v, %v", m, p, g, err)
			}
			all := l.requests()
			if s := all[len(all)-1]; s.method != m || s.uri != p || string(s.body) != body || s.id != id || s.host != "h" {
				t.Errorf("sent %s %s, arrived %+v", m, p, s)
			}
		}
	}
	if n := len(l.requests()); n != 6*len(paths) {
		t.Errorf("%d arrived", n)
	}
}

// TestFields checks that hop-by-hop fields are removed and others forwarded, that a caller can't
// select the run, and that the target gets the remaining time.
func TestFields(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.startTarget("one", nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nX-Own: 1\r\nX-Own: 2\r\nSet-Cookie: a=b\r\nSet-Cookie: c=d\r\nKeep-Alive: timeout=9\r\nUpgrade: x\r\n", answerBody(s.id))
	})
	c := l.client()
	defer c.c.Close()
	extraFields := "x-lower: 1\r\nX-Twice: a\r\nX-Twice: b\r\nCookie: k=v\r\nConnection: x-hop, X-Id\r\nX-Hop: 1\r\nTE: trailers\r\nUpgrade: y\r\nx-run: other\r\nUser-Agent: u\r\n"
	if err := c.send("GET", "/once/x", "q1", 5*time.Second, extraFields, ""); err != nil {
		t.Fatal(err)
	}
	g, err := c.read()
	if err != nil || !g.validFor("q1") {
		t.Fatalf("%+v, %v", g, err)
	}
	if len(g.header["X-Own"]) != 2 || len(g.header["Set-Cookie"]) != 2 || g.header.Get("Upgrade") != "" || strings.Contains(g.header.Get("Keep-Alive"), "9") && g.header.Get("Keep-Alive") == "timeout=9" {
		t.Errorf("answer %v", g.header)
	}
	s := l.requests()[0].header
	if s.Get("X-Lower") != "1" || len(s["X-Twice"]) != 2 || s.Get("Cookie") != "k=v" || s.Get("User-Agent") != "u" {
		t.Errorf("fields are missing: %v", s)
	}
	if s.Get("X-Hop") != "" || s.Get("Te") != "" || s.Get("Upgrade") != "" || s.Get("Connection") != "" || len(s["X-Run"]) != 1 || s.Get("X-Run") != "one" {
		t.Errorf("fields were not removed or replaced: %v", s)
	}
	if left, ok := parseDigits([]byte(s.Get("X-Left"))); !ok || left <= 0 || left >= 5000 || len(s["X-Left"]) != 1 {
		t.Errorf("remaining time %v", s["X-Left"])
	}
}

// TestRefusedHeads checks that ambiguous request heads are refused and that nothing of them
// reaches a target.
func TestRefusedHeads(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.node.ApplyItems([]item.Item{route.Limits{Version: 1, HeaderBytes: 6000, BodyBytes: 100, HeaderMS: 5000, IdleMS: 5000}.Item()})
	l.startTarget("one", nil, serveOK)
	base := "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n"
	for text, want := range map[string]int{
		base + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab":                 400,
		base + "Content-Length: 1\r\ncontent-length: 1\r\n\r\na":                  400,
		base + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
		base + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n": 400,
		base + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                400,
		base + "Content-Length : 4\r\n\r\nabcd":                                   400,
		base + "Content-Length: +4\r\n\r\nabcd":                                   400,
		base + "Content-Length: 4, 4\r\n\r\nabcd":                                 400,
		base + "X-Id: q2\r\nContent-Length: 0\r\n\r\n":                            400,
		base + "Host: other\r\nContent-Length: 0\r\n\r\n":                         400,
		base + "Transfer-Encoding: chunked\r\n\r\n4\nabcd\n0\n\n":                 400,
		base + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n":                     400,
		base + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n":                  413,
		base + "Content-Length: 101\r\n\r\n":                                      413,
		base + "X-Big: " + strings.Repeat("b", 7000) + "\r\n\r\n":                 431,
		"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n":           400,
		"GET http://h/once/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n\r\n":              400,
		"GET once/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n\r\n":                       400,
		"GET /once/x y HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n\r\n":                    400,
		"garble\r\n\r\n": 400,
	} {
		if got, body := sendRawText(t, l, text); got != want {
			t.Errorf("%.120q: %d (%s), want %d", text, got, body, want)
		}
	}
	if n := l.requests(); len(n) != 0 {
		t.Errorf("%d reached a target", len(n))
	}
	// A large head within the limit is accepted.
	if got, _ := sendRawText(t, l, base+"X-Big: "+strings.Repeat("b", 5000)+"\r\nContent-Length: 2\r\n\r\nab"); got != 200 {
		t.Errorf("a head of 5000 bytes: %d", got)
	}
}

// TestPipelined checks that bytes after a request are read as the next request.
func TestPipelined(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.startTarget("one", nil, serveOK)
	c := l.client()
	defer c.c.Close()
	if _, err := io.WriteString(c.c, "GET /once/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\n\r\nPOST /once/2 HTTP/1.1\r\nHost: h\r\nX-Id: q2\r\nContent-Length: 3\r\n\r\nabcHEAD /once/3 HTTP/1.1\r\nHost: h\r\nX-Id: q3\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"q1", "q2"} {
		if g, err := c.read(); err != nil || !g.validFor(id) {
			t.Errorf("%+v, %v", g, err)
		}
	}
	for i, s := range l.requests() {
		if s.uri != fmt.Sprint("/once/", i+1) {
			t.Errorf("%+v", s)
		}
	}
}

// TestContinue checks that a caller that expects 100 Continue gets it before sending the body.
func TestContinue(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	l.startTarget("one", nil, serveOK)
	c := l.client()
	defer c.c.Close()
	if err := c.send("POST", "/once/x", "q1", 5*time.Second, "Expect: 100-continue\r\nContent-Length: 3\r\n", ""); err != nil {
		t.Fatal(err)
	}
	if line, err := c.r.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatal(line, err)
	}
	if _, err := c.r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c.c, "abc"); err != nil {
		t.Fatal(err)
	}
	if g, err := c.read(); err != nil || !g.validFor("q1") || string(l.requests()[0].body) != "abc" {
		t.Errorf("%+v, %v", g, err)
	}
}

// TestLargeBodies checks that large bodies pass in both directions completely and that all memory is released.
func TestLargeBodies(t *testing.T) {
	l := newHarness(t, loopback{}, nil)
	l.routes(1)
	big := strings.Repeat("0123456789abcdef", 1<<16)
	l.startTarget("one", nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
		return string(s.body) == big && writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", big)
	})
	for i := range 3 {
		c := l.client()
		if err := c.send("POST", "/down/x", fmt.Sprint("q", i), 20*time.Second, "", big); err != nil {
			t.Fatal(err)
		}
		if g, err := c.read(); err != nil || g.status != 200 || g.body != big {
			t.Errorf("%d, %d bytes, %v", g.status, len(g.body), err)
		}
		_ = c.c.Close()
	}
	waitFor(t, func() bool { return l.node.Stats().Callers == 0 })
	if s := l.node.Stats(); s.MemoryUsed != 0 {
		t.Errorf("%+v", s)
	}
}

// TestOverfull checks that a node at its memory limit refuses bodies at once, and that a slow
// caller does not block others.
func TestOverfull(t *testing.T) {
	l := newHarness(t, loopback{}, func(s *Settings) { s.MemoryMB = 1 })
	l.routes(1)
	l.startTarget("one", nil, serveOK)
	slowCaller := l.client()
	defer slowCaller.c.Close()
	if err := slowCaller.send("POST", "/once/x", "slow", 10*time.Second, "Content-Length: 1000000\r\n", ""); err != nil {
		t.Fatal(err)
	}
	if g := l.request("/once/x", "q1", 5*time.Second); !g.validFor("q1") {
		t.Errorf("beside a slow caller: %+v", g)
	}
	status, _ := sendRawText(t, l, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: q2\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 300000))
	if status != 503 || l.runCount("q2") != 0 {
		t.Errorf("%d, ran %d times", status, l.runCount("q2"))
	}
}
