package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// hostility is what a target may do with a request: the first of each pair says whether the
// request ran.
var hostility = []struct {
	name string
	ran  bool
	do   func(c net.Conn, s *seen) bool
}{
	{"proper", true, func(c net.Conn, s *seen) bool { return say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id)) }},
	{"ran, closed without an answer", true, func(net.Conn, *seen) bool { return false }},
	{"closed without having run it", false, func(net.Conn, *seen) bool { return false }},
	{"broke off in the body", true, func(c net.Conn, s *seen) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(bodyOf(s.id)), bodyOf(s.id)[:20])
		return false
	}},
	{"broke off in the head", true, func(c net.Conn, s *seen) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Se", s.id)
		return false
	}},
	{"no protocol", true, func(c net.Conn, _ *seen) bool { _, err := fmt.Fprint(c, "zonk\r\n\r\n"); return err == nil }},
	{"answered twice", true, func(c net.Conn, s *seen) bool {
		for range 2 {
			if !say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id)) {
				return false
			}
		}
		return true
	}},
	{"another's answer first", true, func(c net.Conn, s *seen) bool {
		return say(c, "200 OK", "other", "X-Seal: s\r\n", bodyOf("other")) && say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id))
	}},
	{"another's answer alone", true, func(c net.Conn, _ *seen) bool { return say(c, "200 OK", "other", "X-Seal: s\r\n", bodyOf("other")) }},
	{"interim answers first", true, func(c net.Conn, s *seen) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
		return err == nil && say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id))
	}},
	{"no length, ends with the connection", true, func(c net.Conn, s *seen) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", s.id, bodyOf(s.id)[:30])
		return false
	}},
	{"chunked, broken off", true, func(c net.Conn, s *seen) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n", s.id, bodyOf(s.id)[:5])
		return false
	}},
	{"chunked, whole", true, func(c net.Conn, s *seen) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%X\r\n%s\r\n0\r\n\r\n", s.id, len(bodyOf(s.id)), bodyOf(s.id))
		return err == nil
	}},
	{"silent, then closed", true, func(net.Conn, *seen) bool { time.Sleep(700 * time.Millisecond); return false }},
	{"late", true, func(c net.Conn, s *seen) bool {
		time.Sleep(600 * time.Millisecond)
		return say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id))
	}},
	{"not run", false, func(c net.Conn, s *seen) bool { return say(c, "503 Full", s.id, "X-Not-Run: 1\r\n", "") }},
	{"a false promise", true, func(c net.Conn, s *seen) bool { return say(c, "503 Full", s.id, "", "") }},
	{"failed", true, func(c net.Conn, s *seen) bool { return say(c, "500 Failed", s.id, "X-Seal: s\r\n", "failed") }},
	{"no seal", true, func(c net.Conn, s *seen) bool { return say(c, "200 OK", s.id, "", bodyOf(s.id)) }},
	{"two ids", true, func(c net.Conn, s *seen) bool {
		return say(c, "200 OK", s.id, "X-Seal: s\r\nX-Id: other\r\n", bodyOf(s.id))
	}},
	{"bytes behind the answer", true, func(c net.Conn, s *seen) bool {
		ok := say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id))
		_, _ = fmt.Fprint(c, "behind")
		return ok
	}},
	{"closes after it", true, func(c net.Conn, s *seen) bool {
		say(c, "200 OK", s.id, "X-Seal: s\r\nConnection: close\r\n", bodyOf(s.id))
		return false
	}},
}

// FuzzExchange plays callers on kept connections against targets that do whatever a script says.
// Whatever they do: a success is the whole answer to the very request, bears a seal, and nothing
// comes that nobody asked for; what may run once runs once at most, and not at all where the
// caller is told so.
func FuzzExchange(f *testing.F) {
	for i := range hostility {
		f.Add([]byte{byte(i), 0, byte(i), 1}, []byte{0, 1, 2, 3, 4, 5})
	}
	f.Add([]byte{13, 7, 6, 20, 10, 3}, []byte{0, 9, 3, 12, 6, 1, 15, 4})
	f.Fuzz(func(t *testing.T, script, calls []byte) {
		if len(script) == 0 || len(calls) > 24 {
			return
		}
		synctest.Test(t, func(t *testing.T) { playExchange(t, script, calls) })
	})
}

// The same exchange with sound targets is served whole: the fuzzing is not of refusals alone.
func TestExchangeWithSoundTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := playExchange(t, []byte{0}, []byte{0, 1, 2, 3, 4, 5, 6, 7, 8})
		for _, x := range done {
			if x.status != 200 {
				t.Errorf("%s: status %d", x.id, x.status)
			}
		}
	})
}

// asked is one call of a caller, with what became of it.
type asked struct {
	id     string
	once   bool
	status int // 0 is no whole answer
}

func playExchange(t *testing.T, script, calls []byte) (done []asked) {
	l := newLab(t, newPipes(), nil)
	l.routes(2)
	act := func(l *lab, c net.Conn, s *seen) bool {
		h := hostility[int(script[(s.nth-1)%len(script)])%len(hostility)]
		if h.ran {
			l.run(s)
		}
		return h.do(c, s)
	}
	for _, id := range []string{"one", "two"} {
		l.stand(id, nil, act)
	}
	kinds := []string{"/once/", "/idem/", "/down/"}
	clients := make([]*client, 2)
	for i, b := range calls {
		k := int(b/3) % len(clients)
		if clients[k] == nil {
			clients[k] = l.client()
		}
		c, x := clients[k], asked{id: fmt.Sprint("q", i), once: b%3 == 0}
		left := time.Second + time.Duration(b)*10*time.Millisecond
		_ = c.c.SetReadDeadline(time.Now().Add(left + 3*time.Second))
		if b >= 200 {
			// It gives up while it waits.
			_ = c.c.SetReadDeadline(time.Now().Add(time.Duration(b) * time.Millisecond))
		}
		g, err := c.call("GET", kinds[b%3]+x.id, x.id, left)
		if err == nil {
			x.status = g.status
			checkAnswer(t, x.id, g)
		}
		if err != nil || g.close {
			_ = c.c.Close()
			clients[k] = nil
		}
		done = append(done, x)
	}
	for _, c := range clients {
		if c == nil {
			continue
		}
		// Nothing comes that nobody asked for.
		_ = c.c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if b, err := c.r.ReadByte(); err == nil {
			t.Errorf("a byte %q that no request was waiting for", b)
		}
		_ = c.c.Close()
	}
	time.Sleep(6 * time.Second)
	for _, x := range done {
		checkRuns(t, l, x)
	}
	return done
}

// checkAnswer wants a success to be the request's own, whole and sealed.
func checkAnswer(t *testing.T, id string, g got) {
	t.Helper()
	if g.status < 300 && !g.proper(id) {
		t.Errorf("%s: a success that is not its own: %+v", id, g)
	}
	if got := g.head.Get(dialect.RequestID); got != "" && got != id {
		t.Errorf("%s: the answer of %s", id, got)
	}
	if strings.Contains(g.body, "body of other") {
		t.Errorf("%s: another's body", id)
	}
}

// checkRuns wants what may run once to have run once at most, and not at all where its caller
// was told so.
func checkRuns(t *testing.T, l *lab, x asked) {
	t.Helper()
	n := l.runs(x.id)
	if x.once && n > 1 {
		t.Errorf("%s ran %d times", x.id, n)
	}
	promised := x.status == 429 || x.status == 503 || x.status == 408 || x.status == 421
	if x.once && promised && n > 0 {
		t.Errorf("%s ran, and its caller was told %d", x.id, x.status)
	}
}
