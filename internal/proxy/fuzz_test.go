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

// targetBehaviors are the ways in which a target may handle a request; ran says whether the
// request ran.
var targetBehaviors = []struct {
	name string
	ran  bool
	do   func(c net.Conn, s *receivedRequest) bool
}{
	{"proper", true, func(c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}},
	{"ran, closed without an answer", true, func(net.Conn, *receivedRequest) bool { return false }},
	{"closed without having run it", false, func(net.Conn, *receivedRequest) bool { return false }},
	{"broke off in the body", true, func(c net.Conn, s *receivedRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(answerBody(s.id)), answerBody(s.id)[:20])
		return false
	}},
	{"broke off in the head", true, func(c net.Conn, s *receivedRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Se", s.id)
		return false
	}},
	{"no protocol", true, func(c net.Conn, _ *receivedRequest) bool { _, err := fmt.Fprint(c, "zonk\r\n\r\n"); return err == nil }},
	{"answered twice", true, func(c net.Conn, s *receivedRequest) bool {
		for range 2 {
			if !writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id)) {
				return false
			}
		}
		return true
	}},
	{"another's answer first", true, func(c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "200 OK", "other", "X-Seal: s\r\n", answerBody("other")) && writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}},
	{"another's answer alone", true, func(c net.Conn, _ *receivedRequest) bool {
		return writeAnswer(c, "200 OK", "other", "X-Seal: s\r\n", answerBody("other"))
	}},
	{"interim answers first", true, func(c net.Conn, s *receivedRequest) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
		return err == nil && writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}},
	{"no length, ends with the connection", true, func(c net.Conn, s *receivedRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", s.id, answerBody(s.id)[:30])
		return false
	}},
	{"chunked, broken off", true, func(c net.Conn, s *receivedRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n", s.id, answerBody(s.id)[:5])
		return false
	}},
	{"chunked, whole", true, func(c net.Conn, s *receivedRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%X\r\n%s\r\n0\r\n\r\n", s.id, len(answerBody(s.id)), answerBody(s.id))
		return err == nil
	}},
	{"silent, then closed", true, func(net.Conn, *receivedRequest) bool { time.Sleep(700 * time.Millisecond); return false }},
	{"late", true, func(c net.Conn, s *receivedRequest) bool {
		time.Sleep(600 * time.Millisecond)
		return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}},
	{"not run", false, func(c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "503 Full", s.id, "X-Not-Run: 1\r\n", "")
	}},
	{"a false promise", true, func(c net.Conn, s *receivedRequest) bool { return writeAnswer(c, "503 Full", s.id, "", "") }},
	{"failed", true, func(c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "500 Failed", s.id, "X-Seal: s\r\n", "failed")
	}},
	{"no seal", true, func(c net.Conn, s *receivedRequest) bool { return writeAnswer(c, "200 OK", s.id, "", answerBody(s.id)) }},
	{"two ids", true, func(c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nX-Id: other\r\n", answerBody(s.id))
	}},
	{"bytes behind the answer", true, func(c net.Conn, s *receivedRequest) bool {
		ok := writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
		_, _ = fmt.Fprint(c, "behind")
		return ok
	}},
	{"closes after it", true, func(c net.Conn, s *receivedRequest) bool {
		writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nConnection: close\r\n", answerBody(s.id))
		return false
	}},
}

// earlyAnswers are the answers that a target may give before it has read the body; unless it closes
// the connection, it reads the body later.
var earlyAnswers = []struct {
	ran     bool
	stays   bool
	respond func(c net.Conn, s *receivedRequest)
}{
	{false, true, func(c net.Conn, s *receivedRequest) { writeAnswer(c, "503 Full", s.id, "X-Not-Run: 1\r\n", "") }},
	{true, true, func(c net.Conn, s *receivedRequest) {
		writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", answerBody(s.id))
	}},
	{true, true, func(c net.Conn, s *receivedRequest) { writeAnswer(c, "500 Failed", s.id, "X-Seal: s\r\n", "failed") }},
	{false, false, func(c net.Conn, s *receivedRequest) {
		writeAnswer(c, "503 Full", s.id, "X-Not-Run: 1\r\nConnection: close\r\n", "")
	}},
	{true, false, func(c net.Conn, s *receivedRequest) {
		writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\nConnection: close\r\n", answerBody(s.id))
	}},
}

// requestBody returns the unique body of a request: empty, short, or longer than what the
// target's parser reads at once.
func requestBody(id string, size int) string {
	if size == 0 {
		return ""
	}
	piece := "sent by " + id + ";"
	return strings.Repeat(piece, size/len(piece)+1)
}

// bodyShapes are the request bodies used: the size, and whether the body is chunked.
var bodyShapes = []struct {
	size    int
	chunked bool
}{{0, false}, {40, false}, {9000, false}, {300, true}}

// script describes one run of the fuzz test.
type script struct {
	behaviors []byte // of the targets, in order of the requests
	calls     []byte // kind, connection and body of each call
	early     byte   // how many of 256 requests with a body are answered before it is read
	stopAt    byte   // the index of the call at which the node is stopped; no stop if beyond the last
}

// FuzzExchange runs callers on persistent connections against targets that follow a script, while
// the node may be stopped. In every case a success is the complete answer to the same
// request and carries a seal, and no unsolicited bytes are sent; no target reads a body other than the one
// sent; at-most-once requests run at most once, and not at all if the caller's answer says that they did
// not run.
func FuzzExchange(f *testing.F) {
	for i := range targetBehaviors {
		f.Add([]byte{byte(i), 0, byte(i), 1}, []byte{0, 1, 2, 3, 4, 5, 21, 22, 12}, byte(0), byte(255))
	}
	for i := range earlyAnswers {
		f.Add([]byte{byte(i), 0}, []byte{6, 7, 12, 13, 18, 19, 24, 6, 12}, byte(100+40*i), byte(255))
	}
	f.Add([]byte{13, 7, 6, 20, 10, 3}, []byte{0, 9, 3, 12, 6, 1, 15, 4}, byte(120), byte(3))
	f.Add([]byte{0, 14, 13}, []byte{6, 12, 18, 0, 3, 9, 12, 6}, byte(0), byte(2))
	f.Fuzz(func(t *testing.T, behaviors, calls []byte, early, stopAt byte) {
		if len(behaviors) == 0 || len(calls) > 24 {
			return
		}
		synctest.Test(t, func(t *testing.T) { runScript(t, script{behaviors, calls, early, stopAt}) })
	})
}

// With well-behaved targets every request of the same script, including its body, is served: the
// fuzz test does not only exercise refusals.
func TestExchangeWithSoundTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := runScript(t, script{[]byte{0}, []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 12, 13, 14, 18, 19, 20}, 0, 255})
		for _, x := range done {
			if x.status != 200 {
				t.Errorf("%s: status %d", x.id, x.status)
			}
		}
	})
}

// Targets that answer before they read the body are covered by the script: some of their
// refusals reach the callers, and their valid answers are served.
func TestExchangeWithEarlyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := make([]byte, 24)
		for i := range calls {
			calls[i] = byte(6 + 6*(i%3))
		}
		statuses := map[int]int{}
		for _, x := range runScript(t, script{[]byte{0}, calls, 255, 255}) {
			statuses[x.status]++
		}
		if statuses[200] == 0 || statuses[500] == 0 {
			t.Errorf("statuses: %v", statuses)
		}
	})
}

// A node that is stopped answers the requests it has read; later ones are refused or get
// no connection.
func TestExchangeWhileTheNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := runScript(t, script{[]byte{14, 0}, []byte{0, 1, 6, 7, 12, 13}, 0, 2})
		if n := len(done); n < 3 {
			t.Errorf("%d calls were made", n)
		}
	})
}

// scriptedCall is one call of a caller and its result.
type scriptedCall struct {
	id      string
	once    bool
	body    string
	timeout time.Duration // how long the caller waits
	status  int           // 0 if there was no complete answer
}

// newScriptedHarness starts targets that follow a script.
func newScriptedHarness(t *testing.T, s script) *harness {
	l := newHarness(t, newPipes(), nil)
	l.routes(2)
	handle := func(l *harness, c net.Conn, q *receivedRequest) bool {
		h := targetBehaviors[int(s.behaviors[(q.index-1)%len(s.behaviors)])%len(targetBehaviors)]
		if h.ran {
			l.recordRun(q)
		}
		return h.do(c, q)
	}
	early := func(l *harness, c net.Conn, q *receivedRequest) (answered, stays bool) {
		drawn := fnv.New32a()
		_, _ = drawn.Write([]byte(q.id))
		n := drawn.Sum32()
		if byte(n>>8) >= s.early {
			return false, false
		}
		e := earlyAnswers[int(n)%len(earlyAnswers)]
		if e.ran {
			l.recordRun(q)
		}
		go e.respond(c, q)
		time.Sleep(time.Duration(n%400) * time.Millisecond)
		return true, e.stays
	}
	for _, id := range []string{"one", "two"} {
		l.startTarget(id, nil, handle).early = early
	}
	return l
}

func runScript(t *testing.T, s script) (done []scriptedCall) {
	l := newScriptedHarness(t, s)
	kinds := []string{"/once/", "/idem/", "/down/"}
	clients := make([]*client, 2)
	for i, b := range s.calls {
		if i == int(s.stopAt) {
			l.wg.Go(func() { _ = l.node.Stop(context.Background()) })
		}
		slot := int(b/3) % len(clients)
		if clients[slot] == nil {
			c, err := l.net.dial(context.Background(), l.addr)
			if err != nil {
				break // the node has stopped
			}
			clients[slot] = &client{c, bufio.NewReader(c)}
		}
		c, shape := clients[slot], bodyShapes[int(b/6)%len(bodyShapes)]
		x := scriptedCall{id: fmt.Sprint("q", i), once: b%3 == 0}
		x.body = requestBody(x.id, shape.size)
		x.timeout = time.Second + time.Duration(b)*10*time.Millisecond
		_ = c.c.SetDeadline(time.Now().Add(x.timeout + 3*time.Second))
		if b >= 200 {
			// The caller gives up while it waits.
			_ = c.c.SetDeadline(time.Now().Add(time.Duration(b) * time.Millisecond))
		}
		g, err := c.exchange(kinds[b%3]+x.id, x, shape.chunked)
		if err == nil {
			x.status = g.status
			checkAnswer(t, x.id, g)
		}
		if err != nil || g.close {
			_ = c.c.Close()
			clients[slot] = nil
		}
		done = append(done, x)
	}
	for _, c := range clients {
		if c == nil {
			continue
		}
		// No unsolicited bytes may arrive.
		_ = c.c.SetDeadline(time.Now().Add(2 * time.Second))
		if b, err := c.r.ReadByte(); err == nil {
			t.Errorf("a byte %q that no request was waiting for", b)
		}
		_ = c.c.Close()
	}
	time.Sleep(6 * time.Second)
	calls := map[string]scriptedCall{}
	for _, x := range done {
		calls[x.id] = x
		checkRuns(t, l, x)
	}
	for _, q := range l.requests() {
		checkArrival(t, calls, q)
	}
	return done
}

// exchange sends a call with its body and reads the answer.
func (c *client) exchange(path string, x scriptedCall, chunked bool) (response, error) {
	extraFields, body := "", x.body
	if chunked {
		extraFields = "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(x.body), x.body)
	}
	method := "GET"
	if body != "" {
		method = "POST"
	}
	sent := make(chan error, 1)
	go func() { sent <- c.sendRaw(method, path, x.id, x.timeout, extraFields, body, chunked) }()
	g, err := c.read()
	if err != nil {
		return g, err
	}
	// An answer may come before the request was sent completely; the connection can't be reused then.
	select {
	case err := <-sent:
		return g, err
	default:
		g.close = true
		return g, nil
	}
}

// checkAnswer checks that a success belongs to the request, is complete and sealed.
func checkAnswer(t *testing.T, id string, g response) {
	t.Helper()
	if g.status < 300 && !g.validFor(id) {
		t.Errorf("%s: a success that is not the complete answer to it: %+v", id, g)
	}
	if got := g.header.Get(testHeaders.RequestID); got != "" && got != id {
		t.Errorf("%s: got the answer to %s", id, got)
	}
	if strings.Contains(g.body, "body of other") {
		t.Errorf("%s: the body of another request", id)
	}
}

// checkArrival checks that a request received by a target was made, with the same body and no more
// remaining time than its caller has.
func checkArrival(t *testing.T, calls map[string]scriptedCall, q *receivedRequest) {
	t.Helper()
	x, called := calls[q.id]
	if !called || x.body != string(q.body) {
		t.Errorf("a target read %q as the body of %s", q.body, q.id)
	}
	left, err := strconv.ParseFloat(q.header.Get(testHeaders.RemainingTime), 64)
	if err != nil || left > float64(x.timeout.Milliseconds()) {
		t.Errorf("%s reached a target with %q ms left, its caller waits %s", q.id, q.header.Get(testHeaders.RemainingTime), x.timeout)
	}
}

// checkRuns checks that an at-most-once request ran at most once, and not at all if its caller
// got an answer that says that it did not run.
func checkRuns(t *testing.T, l *harness, x scriptedCall) {
	t.Helper()
	n := l.runCount(x.id)
	if x.once && n > 1 {
		t.Errorf("%s ran %d times", x.id, n)
	}
	promised := x.status == 429 || x.status == 503 || x.status == 408 || x.status == 421
	if x.once && promised && n > 0 {
		t.Errorf("%s ran, and its caller got status %d", x.id, x.status)
	}
}
