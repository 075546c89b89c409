package proxy

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
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

// earliness is what a target may do with a request whose body it has not read yet; in each case it
// reads on later, unless it closes.
var earliness = []struct {
	ran   bool
	stays bool
	say   func(c net.Conn, s *seen)
}{
	{false, true, func(c net.Conn, s *seen) { say(c, "503 Full", s.id, "X-Not-Run: 1\r\n", "") }},
	{true, true, func(c net.Conn, s *seen) { say(c, "200 OK", s.id, "X-Seal: s\r\n", bodyOf(s.id)) }},
	{true, true, func(c net.Conn, s *seen) { say(c, "500 Failed", s.id, "X-Seal: s\r\n", "failed") }},
	{false, false, func(c net.Conn, s *seen) {
		say(c, "503 Full", s.id, "X-Not-Run: 1\r\nConnection: close\r\n", "")
	}},
	{true, false, func(c net.Conn, s *seen) { say(c, "200 OK", s.id, "X-Seal: s\r\nConnection: close\r\n", bodyOf(s.id)) }},
}

// bodySent is the one body that a request is sent with; none, short, or longer than what a
// target's parser reads at once.
func bodySent(id string, size int) string {
	if size == 0 {
		return ""
	}
	piece := "sent by " + id + ";"
	return strings.Repeat(piece, size/len(piece)+1)
}

// sendsOf are the bodies of the calls: the size, and whether it goes in chunks.
var sendsOf = []struct {
	size    int
	chunked bool
}{{0, false}, {40, false}, {9000, false}, {300, true}}

// script is one play of the exchange.
type script struct {
	hostilities []byte // of the answers, in turn
	calls       []byte // kind, connection and body of each call
	early       byte   // how many of the requests with a body are answered before it is read, of 256
	stopAt      byte   // the call at which the node is told to stop; beyond the last one it is not
}

// FuzzExchange plays callers on kept connections against targets that do whatever a script says,
// while the node may be told to stop. Whatever they do: a success is the whole answer to the very
// request, bears a seal, and nothing comes that nobody asked for; no target reads another body than
// was sent; what may run once runs once at most, and not at all where the caller is told so.
func FuzzExchange(f *testing.F) {
	for i := range hostility {
		f.Add([]byte{byte(i), 0, byte(i), 1}, []byte{0, 1, 2, 3, 4, 5, 21, 22, 12}, byte(0), byte(255))
	}
	for i := range earliness {
		f.Add([]byte{byte(i), 0}, []byte{6, 7, 12, 13, 18, 19, 24, 6, 12}, byte(100+40*i), byte(255))
	}
	f.Add([]byte{13, 7, 6, 20, 10, 3}, []byte{0, 9, 3, 12, 6, 1, 15, 4}, byte(120), byte(3))
	f.Add([]byte{0, 14, 13}, []byte{6, 12, 18, 0, 3, 9, 12, 6}, byte(0), byte(2))
	f.Fuzz(func(t *testing.T, hostilities, calls []byte, early, stopAt byte) {
		if len(hostilities) == 0 || len(calls) > 24 {
			return
		}
		synctest.Test(t, func(t *testing.T) { playExchange(t, script{hostilities, calls, early, stopAt}) })
	})
}

// The same exchange with sound targets is served whole, bodies and all: the fuzzing is not of
// refusals alone.
func TestExchangeWithSoundTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := playExchange(t, script{[]byte{0}, []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 12, 13, 14, 18, 19, 20}, 0, 255})
		for _, x := range done {
			if x.status != 200 {
				t.Errorf("%s: status %d", x.id, x.status)
			}
		}
	})
}

// Targets that answer before they read the body do so in the exchange, too: some of their
// refusals reach the callers, and what they answer well is served.
func TestExchangeWithEarlyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := make([]byte, 24)
		for i := range calls {
			calls[i] = byte(6 + 6*(i%3))
		}
		statuses := map[int]int{}
		for _, x := range playExchange(t, script{[]byte{0}, calls, 255, 255}) {
			statuses[x.status]++
		}
		if statuses[200] == 0 || statuses[500] == 0 {
			t.Errorf("statuses: %v", statuses)
		}
	})
}

// A node that is told to stop answers what is inside, and what still comes is refused or finds
// no connection.
func TestExchangeWhileTheNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := playExchange(t, script{[]byte{14, 0}, []byte{0, 1, 6, 7, 12, 13}, 0, 2})
		if n := len(done); n < 3 {
			t.Errorf("%d calls were made", n)
		}
	})
}

// asked is one call of a caller, with what became of it.
type asked struct {
	id     string
	once   bool
	body   string
	left   time.Duration // for which the caller waits
	status int           // 0 is no whole answer
}

// exchangeLab starts targets that follow a script.
func exchangeLab(t *testing.T, s script) *lab {
	l := newLab(t, newPipes(), nil)
	l.routes(2)
	act := func(l *lab, c net.Conn, q *seen) bool {
		h := hostility[int(s.hostilities[(q.nth-1)%len(s.hostilities)])%len(hostility)]
		if h.ran {
			l.run(q)
		}
		return h.do(c, q)
	}
	early := func(l *lab, c net.Conn, q *seen) (answered, stays bool) {
		drawn := fnv.New32a()
		_, _ = drawn.Write([]byte(q.id))
		n := drawn.Sum32()
		if byte(n>>8) >= s.early {
			return false, false
		}
		e := earliness[int(n)%len(earliness)]
		if e.ran {
			l.run(q)
		}
		go e.say(c, q)
		time.Sleep(time.Duration(n%400) * time.Millisecond)
		return true, e.stays
	}
	for _, id := range []string{"one", "two"} {
		l.stand(id, nil, act).early = early
	}
	return l
}

func playExchange(t *testing.T, s script) (done []asked) {
	l := exchangeLab(t, s)
	kinds := []string{"/once/", "/idem/", "/down/"}
	clients := make([]*client, 2)
	for i, b := range s.calls {
		if i == int(s.stopAt) {
			l.wg.Go(func() { _ = l.node.Stop(context.Background()) })
		}
		k := int(b/3) % len(clients)
		if clients[k] == nil {
			c, err := l.net.dial(context.Background(), l.addr)
			if err != nil {
				break // it has stopped
			}
			clients[k] = &client{c, bufio.NewReader(c)}
		}
		c, send := clients[k], sendsOf[int(b/6)%len(sendsOf)]
		x := asked{id: fmt.Sprint("q", i), once: b%3 == 0}
		x.body = bodySent(x.id, send.size)
		x.left = time.Second + time.Duration(b)*10*time.Millisecond
		_ = c.c.SetDeadline(time.Now().Add(x.left + 3*time.Second))
		if b >= 200 {
			// It gives up while it waits.
			_ = c.c.SetDeadline(time.Now().Add(time.Duration(b) * time.Millisecond))
		}
		g, err := c.exchange(kinds[b%3]+x.id, x, send.chunked)
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
		_ = c.c.SetDeadline(time.Now().Add(2 * time.Second))
		if b, err := c.r.ReadByte(); err == nil {
			t.Errorf("a byte %q that no request was waiting for", b)
		}
		_ = c.c.Close()
	}
	time.Sleep(6 * time.Second)
	calls := map[string]asked{}
	for _, x := range done {
		calls[x.id] = x
		checkRuns(t, l, x)
	}
	for _, q := range l.arrivals() {
		checkArrival(t, calls, q)
	}
	return done
}

// exchange sends a call with its body, and reads the answer.
func (c *client) exchange(path string, x asked, chunked bool) (got, error) {
	more, body := "", x.body
	if chunked {
		more = "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(x.body), x.body)
	}
	method := "GET"
	if body != "" {
		method = "POST"
	}
	sent := make(chan error, 1)
	go func() { sent <- c.sendRaw(method, path, x.id, x.left, more, body, chunked) }()
	g, err := c.read()
	if err != nil {
		return g, err
	}
	// An answer may come before the request is sent whole; the connection is of no use then.
	select {
	case err := <-sent:
		return g, err
	default:
		g.close = true
		return g, nil
	}
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

// checkArrival wants a request at a target to be one that was called, with its own body and no more
// time than its caller has.
func checkArrival(t *testing.T, calls map[string]asked, q *seen) {
	t.Helper()
	x, called := calls[q.id]
	if !called || x.body != string(q.body) {
		t.Errorf("a target read %q as the body of %s", q.body, q.id)
	}
	left, err := strconv.ParseFloat(q.head.Get(dialect.Remaining), 64)
	if err != nil || left > float64(x.left.Milliseconds()) {
		t.Errorf("%s is handed %q ms, its caller waits %s", q.id, q.head.Get(dialect.Remaining), x.left)
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
