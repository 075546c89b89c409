package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/liveness"
	"walkrudder/internal/passage"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
)

// openGate is a gate that is always open.
type openGate struct{ table *spec.Table }

func (o openGate) Gate() (*spec.Table, bool)                { return o.table, true }
func (o openGate) Wait(context.Context) (*spec.Table, bool) { return o.table, true }

// testTarget is a target behind a gateway. addr is the address of the gateway, and requests
// counts the requests that reached the target.
type testTarget struct {
	addr     string
	requests atomic.Int64
}

// setStamp sets the stamp header that a target must send with its answer to r.
func setStamp(w http.ResponseWriter, r *http.Request, length int) {
	w.Header().Set(httpapi.StampHeader, httpapi.Stamp{ID: "a", Service: "svc", Inc: 1, Request: r.Header.Get(httpapi.RequestHeader), Length: length}.String())
}

// newTarget starts a target that answers with serve, and a gateway in front of it.
func newTarget(t *testing.T, serve http.HandlerFunc) *testTarget {
	t.Helper()
	s := &testTarget{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		serve(w, r)
	}))
	t.Cleanup(srv.Close)
	s.startGateway(t, srv.Listener.Addr().String())
	return s
}

// startGateway starts a gateway whose only target is at addr.
func (s *testTarget) startGateway(t *testing.T, addr string) {
	t.Helper()
	table := spec.NewTable(1, spec.Sheet{Services: []spec.Service{{Name: "svc"}}, Bindings: []spec.Binding{
		{Name: "once", Service: "svc", Methods: []string{"POST"}, Path: "/once/*", ExpiryMS: 1500, MaxBody: 6 << 20},
		{Name: "again", Service: "svc", Methods: []string{"GET", "HEAD", "PUT"}, Path: "/again/*", ExpiryMS: 1500, Repeatable: true},
	}}.Sorted())
	ctx, cancel := context.WithCancel(context.Background())
	r := &registry.GatewayTable{Clock: clock.Wall{}, Pauses: liveness.NewPauseMonitor(clock.Wall{}), Controllers: nil, ProbeInterval: time.Second}
	r.Init()
	go r.RunWithoutHomes(ctx)
	if err := r.MergeEntries(ctx, "svc", []registry.Entry{{Beat: httpapi.Beat{ID: "a", Service: "svc", Addr: addr, Capacity: 4, Seq: 1, Inc: 1}}}); err != nil {
		t.Fatal(err)
	}
	// The test takes longer than the result of a probe is valid.
	r.RecordProof(r.Targets("svc")[0], time.Now().Add(time.Hour))
	p := &passage.Pipeline{Clock: clock.Wall{}, Sheets: openGate{table}, Targets: r, Transport: passage.NewHTTPTransport(""), ID: "f", Inc: 1, Gateways: func() int { return 1 }}
	p.Init()
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	f := &Gateway{Proxy: p}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := f.HTTPServer(nil)
	go func() { _ = app.Listener(ln) }()
	t.Cleanup(func() { _ = app.Shutdown(); cancel(); <-done })
	s.addr = ln.Addr().String()
}

func (s *testTarget) call(t *testing.T, method, path string, body io.Reader, head ...string) (*http.Response, string) {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+s.addr+path, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(head); i += 2 {
		q.Header.Set(head[i], head[i+1])
	}
	r, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r, string(b)
}

func TestDoorPassesOnWhatItShould(t *testing.T) {
	var got *http.Request
	var requestBody string
	s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, requestBody = r.Clone(context.Background()), string(b)
		setStamp(w, r, 5)
		w.Header().Set("X-Mine", "yes")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		w.Header().Set("Content-Type", "text/x-thing")
		w.WriteHeader(201)
		_, _ = w.Write([]byte("hello"))
	})
	r, b := s.call(t, "POST", "/once/a%2Fb?x=1&y=%20z", strings.NewReader("body"), "X-Theirs", "1", "Connection", "X-Local", "X-Local", "2", "Te", "trailers", "Cookie", "c=3")
	if r.StatusCode != 201 || b != "hello" || r.Header.Get("X-Mine") != "yes" || len(r.Header.Values("Set-Cookie")) != 2 || r.Header.Get("Content-Type") != "text/x-thing" {
		t.Errorf("answer: %d %q %v", r.StatusCode, b, r.Header)
	}
	if got.RequestURI != "/once/a%2Fb?x=1&y=%20z" || requestBody != "body" || got.Header.Get("X-Theirs") != "1" || got.Header.Get("Cookie") != "c=3" || got.Host != s.addr {
		t.Errorf("request: %s %q %v %s", got.RequestURI, requestBody, got.Header, got.Host)
	}
	if got.Header.Get("X-Local") != "" || got.Header.Get("Te") != "" || got.Header.Get(httpapi.TargetHeader) != "a;svc;1" {
		t.Errorf("hop-by-hop fields were forwarded, or the target is not named: %v", got.Header)
	}
	if r, _ := s.call(t, "GET", "/nowhere", nil); r.StatusCode != 404 {
		t.Errorf("unknown path: %d", r.StatusCode)
	}
	if r, _ := s.call(t, "DELETE", "/again/x", nil); r.StatusCode != 405 || r.Header.Get("Allow") != "GET, HEAD, PUT" {
		t.Errorf("wrong method: %d %v", r.StatusCode, r.Header)
	}
	if r, _ := s.call(t, "PUT", "/again/x", bytes.NewReader(make([]byte, 1<<20+1))); r.StatusCode != 413 {
		t.Errorf("body over the limit: %d", r.StatusCode)
	}
	if s.requests.Load() != 1 {
		t.Errorf("%d requests reached the target, want 1", s.requests.Load())
	}
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write([]byte("NO SUCH\r\n\r\n"))
	if l, _ := bufio.NewReader(c).ReadString('\n'); !strings.Contains(l, "400") {
		t.Errorf("malformed request: %q", l)
	}
}

func TestDoorBodiesOfEveryKind(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789abcdef"), 5<<16)
	s := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/once/echo":
			setStamp(w, r, len(b))
			_, _ = w.Write(b)
		case "/again/none":
			setStamp(w, r, 0)
			w.WriteHeader(204)
		case "/again/chunks":
			setStamp(w, r, -1)
			for range 3 {
				_, _ = w.Write([]byte("part"))
				w.(http.Flusher).Flush()
			}
		default:
			setStamp(w, r, 7)
			w.Header().Set("Content-Length", "7")
			if r.Method != "HEAD" {
				_, _ = w.Write([]byte("seven__"))
			}
		}
	})
	if r, b := s.call(t, "POST", "/once/echo", bytes.NewReader(big)); r.StatusCode != 200 || b != string(big) {
		t.Errorf("large body: %d, %d bytes of %d", r.StatusCode, len(b), len(big))
	}
	if r, b := s.call(t, "GET", "/again/none", nil); r.StatusCode != 204 || b != "" {
		t.Errorf("204: %d %q", r.StatusCode, b)
	}
	if r, b := s.call(t, "GET", "/again/chunks", nil); r.StatusCode != 200 || b != "partpartpart" {
		t.Errorf("chunks: %d %q", r.StatusCode, b)
	}
	if r, b := s.call(t, "HEAD", "/again/x", nil); r.StatusCode != 200 || b != "" || r.ContentLength != 7 {
		t.Errorf("HEAD: %d %q %d", r.StatusCode, b, r.ContentLength)
	}
}

// listen accepts connections until the test ends, serves each and closes it. It returns the address.
func listen(t *testing.T, serve func(c net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// newRawTarget starts a target whose answers are written as raw bytes, and a gateway in front of it.
func newRawTarget(t *testing.T, answer func(c net.Conn, requestID string)) *testTarget {
	t.Helper()
	s := &testTarget{}
	addr := listen(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.requests.Add(1)
		answer(c, q.Header.Get(httpapi.RequestHeader))
	})
	s.startGateway(t, addr)
	return s
}

// stampLine returns the stamp header line of an answer.
func stampLine(requestID, id string, inc, length int) string {
	return httpapi.StampHeader + ": " + id + ";svc;" + strconv.Itoa(inc) + ";" + requestID + ";" + strconv.Itoa(length) + "\r\n"
}

// An improper answer must never be reported as a success. A request that may not be repeated
// must be sent once, and its outcome reported as unknown.
func TestDoorImproperAnswers(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, string){
		"closed":   func(net.Conn, string) {},
		"garbage":  func(c net.Conn, _ string) { _, _ = c.Write([]byte("zonk zonk\r\n\r\n")) },
		"no stamp": func(c net.Conn, _ string) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")) },
		"cut short": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 9\r\n\r\nhi", stampLine(n, "a", 1, 9))
		},
		"cut in chunks": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", stampLine(n, "a", 1, -1))
		},
		"no end known": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nhi", stampLine(n, "a", 1, 2))
		},
		"other length": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", stampLine(n, "a", 1, 3))
		},
		"other target": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", stampLine(n, "b", 1, 2))
		},
		"other run": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", stampLine(n, "a", 2, 2))
		},
		"other request": func(c net.Conn, n string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", stampLine(n+"1", "a", 1, 2))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRawTarget(t, answer)
			r, b := s.call(t, "POST", "/once/x", strings.NewReader("order"))
			if r.StatusCode != 502 || !strings.Contains(b, httpapi.OutcomeUnknown) || s.requests.Load() != 1 {
				t.Errorf("POST: %d %s after %d sends", r.StatusCode, b, s.requests.Load())
			}
			if r, b := s.call(t, "GET", "/again/x", nil); r.StatusCode != 502 || strings.Contains(b, httpapi.BusyNotRun) {
				t.Errorf("GET: %d %s", r.StatusCode, b)
			}
		})
	}
}

func TestDoorSaysNotRunOnlyWhenTrue(t *testing.T) {
	busy := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		setStamp(w, r, 0)
		w.Header().Set(httpapi.NotRunHeader, "1")
		w.WriteHeader(503)
	})
	unreachable := &testTarget{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	unreachable.startGateway(t, addr)
	for name, s := range map[string]*testTarget{"target says not run": busy, "nobody listens": unreachable} {
		r, b := s.call(t, "POST", "/once/x", strings.NewReader("order"))
		if r.StatusCode != 503 || !strings.Contains(b, httpapi.BusyNotRun) || r.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %d %s %v", name, r.StatusCode, b, r.Header)
		}
	}
	// If a target takes the request and does not answer, the outcome is unknown.
	release := make(chan struct{})
	defer close(release)
	silent := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-release })
	r, b := silent.call(t, "POST", "/once/x", strings.NewReader("order"))
	if r.StatusCode != 502 || !strings.Contains(b, httpapi.OutcomeUnknown) || silent.requests.Load() != 1 {
		t.Errorf("silent target: %d %s after %d sends", r.StatusCode, b, silent.requests.Load())
	}
}

func TestDoorLimitsOnlyTheClientThatHammers(t *testing.T) {
	s := newTarget(t, func(w http.ResponseWriter, r *http.Request) { setStamp(w, r, 0) })
	var wg sync.WaitGroup
	var limited, served atomic.Int64
	for range 10 {
		wg.Go(func() {
			for range 80 {
				r, _ := s.call(t, "GET", "/again/x", nil, httpapi.ClientHeader, "hammer")
				switch {
				case r.StatusCode == 429 && r.Header.Get("Retry-After") != "":
					limited.Add(1)
				case r.StatusCode == 200:
					served.Add(1)
				default:
					t.Errorf("status %d", r.StatusCode)
				}
			}
		})
	}
	wg.Wait()
	for range 20 {
		if r, _ := s.call(t, "GET", "/again/x", nil, httpapi.ClientHeader, "proper"); r.StatusCode != 200 {
			t.Fatalf("a client within its limits got status %d while another one exceeded its own", r.StatusCode)
		}
	}
	if limited.Load() == 0 || served.Load() < 100 {
		t.Errorf("of 800 calls by one client %d were limited, %d served", limited.Load(), served.Load())
	}
}
