package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/http1/http1test"
)

// answerSample runs the request and answers with a sample, then leaves the connection open.
func answerSample(sample http1test.Sample) handler {
	return runThen(func(_ *harness, c net.Conn, s *receivedRequest) bool {
		return write(c, sample.Response(fmt.Sprintf("X-Id: %s\r\nX-Seal: s\r\n", s.id), answerBody(s.id)))
	})
}

// strictCall makes a call over its own connection and reads the answer strictly; nothing may follow it.
func (l *harness) strictCall(path, id string) http1test.Response {
	l.t.Helper()
	c := l.client()
	defer c.c.Close()
	if err := c.send("GET", path, id, 5*time.Second, "Connection: close\r\n", ""); err != nil {
		l.t.Fatal(err)
	}
	raw, err := io.ReadAll(c.c)
	if err != nil {
		l.t.Fatal(err)
	}
	got, rest, err := http1test.ReadResponse(raw, false)
	if err != nil || len(rest) > 0 {
		l.t.Errorf("%s got %q: %v", id, raw, err)
	}
	return got
}

// TestMalformedAnswers lets the first target that gets a request answer it with each malformed sample: the caller gets
// no part of it, a request that must run at most once does so and is not said not to have run, the connection is not
// used again, and the answer counts against the target.
func TestMalformedAnswers(t *testing.T) {
	for _, sample := range http1test.Malformed() {
		for kind, want := range map[string]int{"once": 502, "idem": 200, "down": 200} {
			t.Run(sample.Name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkMalformedAnswer(t, sample, kind, want) })
			})
		}
	}
}

func checkMalformedAnswer(t *testing.T, sample http1test.Sample, kind string, want int) {
	l := newHarness(t, newPipes(), nil)
	l.routes(2)
	for _, id := range []string{"one", "two"} {
		l.startTarget(id, nil, failFirst(answerSample(sample)))
	}
	got := l.strictCall("/"+kind+"/x", "q1")
	if got.Status != want || want == 200 && got.Body != answerBody("q1") {
		t.Errorf("caller got %+v, want %d", got, want)
	}
	if n := l.runCount("q1"); kind == "once" && n != 1 {
		t.Errorf("ran %d times", n)
	}
	if n := l.node.Stats().Spoilt; n != 1 {
		t.Errorf("%d answers count as invalid", n)
	}
	for i := range 3 {
		id := fmt.Sprint("later", i)
		if g := l.request("/"+kind+"/x", id, 5*time.Second); !g.validFor(id) {
			t.Errorf("%s got %+v", id, g)
		}
	}
	first := l.requests()[0]
	for _, s := range l.requests()[1:] {
		if s.targetID == first.targetID && s.connNumber == first.connNumber {
			t.Errorf("%s was sent on the connection of the malformed answer", s.id)
		}
	}
}

// TestMalformedAnswersOverLoopback is TestMalformedAnswers over real connections, for the incident's own samples.
func TestMalformedAnswersOverLoopback(t *testing.T) {
	for _, sample := range http1test.Malformed() {
		if !strings.Contains(sample.Name, "000 OK") && !strings.HasPrefix(sample.Name, "last field line") {
			continue
		}
		t.Run(sample.Name, func(t *testing.T) {
			l := newHarness(t, loopback{}, nil)
			l.routes(2)
			l.startTarget("one", nil, failFirst(answerSample(sample)))
			if got := l.strictCall("/once/x", "q1"); got.Status != 502 || l.runCount("q1") != 1 {
				t.Errorf("caller got %+v, ran %d times", got, l.runCount("q1"))
			}
		})
	}
}

// TestWellFormedAnswers checks that well-formed answers, also unusual ones, reach the caller with their status and body.
func TestWellFormedAnswers(t *testing.T) {
	for _, sample := range http1test.WellFormed() {
		for _, kind := range []string{"once", "idem"} {
			t.Run(sample.Name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				l := newHarness(t, loopback{}, nil)
				l.routes(2)
				l.startTarget("one", nil, answerSample(sample))
				for i := range 2 {
					id := fmt.Sprint("q", i)
					if got := l.strictCall("/"+kind+"/x", id); got.Status != sample.Status || got.Body != answerBody(id) {
						t.Errorf("caller got %+v, want %d", got, sample.Status)
					}
				}
			})
		}
	}
}

// probeSample answers probes with a sample for some time and returns how many were sent and how many counted.
func probeSample(t *testing.T, sample http1test.Sample) (sent, counted uint64) {
	l := newHarness(t, newPipes(), func(s *Settings) { s.ProbeInterval = time.Second })
	l.routes(2)
	// The target answers requests with a failure, which does not stand in for the reply to a probe.
	target := l.startTarget("one", nil, func(_ *harness, c net.Conn, s *receivedRequest) bool {
		return writeAnswer(c, "500 Failed", s.id, "", "failed")
	})
	var mu sync.Mutex
	replied := map[int]bool{} // the connections with a reply
	target.health = func(_ *harness, c net.Conn, s *receivedRequest) bool {
		mu.Lock()
		if sample.Status == 0 && replied[s.connNumber] {
			t.Errorf("a probe was sent on the connection of a malformed reply")
		}
		replied[s.connNumber] = true
		mu.Unlock()
		return write(c, sample.Response(fmt.Sprintf("%s: %s\r\n", testHeaders.Instance, s.targetID), "healthy"))
	}
	l.request("/idem/x", "q1", time.Second)
	time.Sleep(6 * time.Second)
	stats := l.node.Stats()
	return stats.Probes, stats.ProbesAnswered
}

// TestMalformedProbeReplies checks that a malformed reply does not count as healthy.
func TestMalformedProbeReplies(t *testing.T) {
	for _, sample := range http1test.Malformed() {
		t.Run(sample.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if sent, counted := probeSample(t, sample); sent < 3 || counted > 0 {
					t.Errorf("of %d replies %d count", sent, counted)
				}
			})
		})
	}
}

// TestWellFormedProbeReplies checks that a well-formed reply counts as healthy by its status alone.
func TestWellFormedProbeReplies(t *testing.T) {
	for _, sample := range http1test.WellFormed() {
		t.Run(sample.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, counted := probeSample(t, sample)
				if sent < 3 || sample.Status == 200 && counted < sent-1 || sample.Status != 200 && counted > 0 {
					t.Errorf("status %d: of %d replies %d count", sample.Status, sent, counted)
				}
			})
		})
	}
}
