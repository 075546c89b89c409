package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/http1/http1test"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/liveness"
	"walkrudder/internal/passage"
	"walkrudder/internal/registry"
)

const sampleBody = "0123456789 body"

// newSampleTarget starts a target that answers each request with the sample and leaves the connection open, and a gateway
// in front of it. reused reports whether a request came over a connection that had been answered on before.
func newSampleTarget(t *testing.T, sample http1test.Sample) (s *testTarget, reused func() bool) {
	t.Helper()
	s = &testTarget{}
	var anyReused atomic.Bool
	addr := listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			s.requests.Add(1)
			if n > 0 {
				anyReused.Store(true)
			}
			if _, err := io.WriteString(c, sample.Response(stampLine(q.Header.Get(httpapi.RequestHeader), "a", 1, len(sampleBody)), sampleBody)); err != nil {
				return
			}
		}
	})
	s.startGateway(t, addr)
	return s, anyReused.Load
}

// strictCall makes a call over its own connection and reads the answer strictly; nothing may follow it.
func (s *testTarget) strictCall(t *testing.T, method, path string) http1test.Response {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	got, rest, err := http1test.ReadResponse(raw, false)
	if err != nil || len(rest) > 0 {
		t.Errorf("got %q: %v", raw, err)
	}
	return got
}

// A malformed answer never reaches a caller. A request that may not be repeated is sent once, and its outcome reported as
// unknown; the connection is not used again.
func TestDoorMalformedAnswers(t *testing.T) {
	for _, sample := range http1test.Malformed() {
		t.Run(sample.Name, func(t *testing.T) {
			t.Parallel()
			s, reused := newSampleTarget(t, sample)
			got := s.strictCall(t, "POST", "/once/x")
			if got.Status != 502 || !strings.Contains(got.Body, httpapi.OutcomeUnknown) || s.requests.Load() != 1 {
				t.Errorf("POST: %+v after %d sends", got, s.requests.Load())
			}
			if got := s.strictCall(t, "GET", "/again/x"); got.Status != 502 || !strings.Contains(got.Body, httpapi.BadAnswer) {
				t.Errorf("GET: %+v", got)
			}
			if reused() {
				t.Error("the connection of a malformed answer was used again")
			}
		})
	}
}

// Well-formed answers, also unusual ones, reach the caller with their status and body, and their connection is used again.
func TestDoorWellFormedAnswers(t *testing.T) {
	for _, sample := range http1test.WellFormed() {
		t.Run(sample.Name, func(t *testing.T) {
			t.Parallel()
			s, reused := newSampleTarget(t, sample)
			check := func(method, path string) {
				if got := s.strictCall(t, method, path); got.Status != sample.Status || got.Body != sampleBody {
					t.Errorf("%s: %+v, want %d", method, got, sample.Status)
				}
			}
			check("POST", "/once/x")
			// On a busy machine a connection may be idle for too long to be used again.
			for range 10 {
				check("GET", "/again/x")
			}
			if isHTTP10 := strings.HasPrefix(sample.Response("", ""), "HTTP/1.0"); !reused() && !isHTTP10 {
				t.Error("the connection was not used again")
			}
		})
	}
}

// A trailer is no part of the head: what stands in it neither reaches the caller nor changes what the head says.
func TestDoorTrailersStayApart(t *testing.T) {
	s := newRawTarget(t, func(c net.Conn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Odd\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Odd: 1\r\n%s: 1\r\n%s\r\n", stampLine(id, "a", 1, 2), httpapi.NotRunHeader, stampLine(id, "b", 1, 2))
	})
	r, b := s.call(t, "POST", "/once/x", strings.NewReader("order"))
	if r.StatusCode != 503 || b != "hi" || r.Header.Get("X-Odd") != "" || s.requests.Load() != 1 {
		t.Errorf("%d %q %v after %d sends", r.StatusCode, b, r.Header, s.requests.Load())
	}
	// Without a stamp in the head there is no proper answer.
	s = newRawTarget(t, func(c net.Conn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n%s\r\n", stampLine(id, "a", 1, 2))
	})
	if r, b := s.call(t, "POST", "/once/x", strings.NewReader("order")); r.StatusCode != 502 || !strings.Contains(b, httpapi.OutcomeUnknown) {
		t.Errorf("stamped in the trailer: %d %q", r.StatusCode, b)
	}
}

// probeOnce lets a gateway probe a target that replies with the sample, and reports whether the reply counted.
func probeOnce(t *testing.T, sample http1test.Sample) bool {
	t.Helper()
	addr := listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, sample.Response("", `{"id":"a","service":"svc","incarnation":1,"seq":1}`))
		_, _ = io.Copy(io.Discard, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	targets := &registry.GatewayTable{Clock: clock.Wall{}, Pauses: liveness.NewPauseMonitor(clock.Wall{}), ProbeInterval: time.Second}
	targets.Init()
	go targets.RunWithoutHomes(ctx)
	if err := targets.MergeEntries(ctx, "svc", []registry.Entry{{Beat: httpapi.Beat{ID: "a", Service: "svc", Addr: addr, Capacity: 4, Seq: 1, Inc: 1}}}); err != nil {
		t.Fatal(err)
	}
	target := targets.Targets("svc")[0]
	g := &Gateway{Config: Config{Clock: clock.Wall{}, TargetClient: passage.NewHTTPTransport("")}, Targets: targets}
	g.probe(ctx, target, 1)
	return targets.ProofAge(target, time.Now()) < passage.MaxProofAge
}

// A malformed reply to a probe proves nothing; a well-formed one counts by its status.
func TestProbeReplies(t *testing.T) {
	for _, sample := range slices.Concat(http1test.Malformed(), http1test.WellFormed()) {
		t.Run(sample.Name, func(t *testing.T) {
			t.Parallel()
			counts := sample.Status == http.StatusOK
			counted := probeOnce(t, sample)
			// On a busy machine a probe may be given up.
			for try := 0; counts && !counted && try < 5; try++ {
				counted = probeOnce(t, sample)
			}
			if counted != counts {
				t.Errorf("status %d: counted is %v", sample.Status, counted)
			}
		})
	}
}
