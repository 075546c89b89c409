package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// answerWithSize returns a handler that answers with a body of the given size after some work.
func answerWithSize(size int, work time.Duration) handler {
	body := strings.Repeat("b", size)
	return delayed(work, func(l *harness, c net.Conn, s *receivedRequest) bool {
		l.recordRun(s)
		return writeAnswer(c, "200 OK", s.id, "X-Seal: s\r\n", body)
	})
}

// downloadResult is the result of a caller's download.
type downloadResult struct {
	id       string
	sent     time.Duration // after the stop began; negative before it
	notRead  bool          // the connection failed, or the request was not read
	response response
	err      error
	refused  bool // with Retry-After, so the request did not run
}

// acceptable reports whether the download was answered completely, refused or not read.
func (e downloadResult) acceptable(size int) bool {
	return e.notRead || e.refused || e.err == nil && e.response.status == http.StatusOK && len(e.response.body) == size
}

// download sends one download over its own connection and reads the complete answer.
func (l *harness) download(path, id string, began time.Time, wait time.Duration) (e downloadResult) {
	e.id, e.sent = id, time.Since(began)
	ctx, cancel := context.WithTimeout(l.t.Context(), time.Second)
	defer cancel()
	nc, err := l.net.dial(ctx, l.addr)
	if err != nil {
		e.notRead = true
		return e
	}
	defer nc.Close()
	c := &client{nc, bufio.NewReader(nc)}
	if c.send("GET", path, id, wait, "", "") != nil {
		e.notRead = true // the node did not read it
		return e
	}
	e.response, e.err = c.read()
	e.refused = e.err == nil && e.response.status == http.StatusServiceUnavailable && e.response.header.Get(testHeaders.RetryAfter) != ""
	return e
}

// TestStopFinishesDownloads: on a narrow link with more downloads than it can carry, a planned stop
// cuts none off, whenever it comes: each is answered completely or refused without having run.
// The same holds for large answers to requests of other kinds.
func TestStopFinishesDownloads(t *testing.T) {
	const (
		size  = 120_000
		every = 250 * time.Millisecond // twice the paced rate
		wait  = 10 * time.Second
	)
	for _, path := range []string{"/down/x", "/idem/x", "/once/x"} {
		for _, before := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%s after %v", path, before), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newHarness(t, newPipes(), func(s *Settings) { s.LinkMbps = 3.2 })
					l.routes(1)
					for _, id := range []string{"one", "two", "three"} {
						l.startTarget(id, nil, answerWithSize(size, 160*time.Millisecond))
					}
					var mu sync.Mutex
					var results []downloadResult
					var wg sync.WaitGroup
					stop := time.Now().Add(before)
					for i := 0; time.Now().Before(stop.Add(3 * time.Second)); i++ {
						wg.Go(func() {
							e := l.download(path, fmt.Sprint("q", i), stop, wait)
							mu.Lock()
							defer mu.Unlock()
							results = append(results, e)
						})
						if time.Until(stop) == 0 {
							wg.Go(func() {
								if err := l.node.Stop(t.Context()); err != nil {
									t.Error(err)
								}
								l.closeCallers()
							})
						}
						time.Sleep(every)
					}
					wg.Wait()
					answered := 0
					for _, e := range results {
						if !e.acceptable(size) {
							t.Errorf("%s, sent %v after the stop: %d, %d bytes, %v", e.id, e.sent, e.response.status, len(e.response.body), e.err)
						}
						if e.response.status == http.StatusOK {
							answered++
						}
					}
					t.Logf("%d of %d answered", answered, len(results))
					if answered < 8 {
						t.Errorf("%d of %d answered", answered, len(results))
					}
					l.close()
				})
			})
		}
	}
}

// closeCallers closes all caller connections, as the exit of the process does.
func (l *harness) closeCallers() {
	l.node.callersMu.Lock()
	defer l.node.callersMu.Unlock()
	for c := range l.node.callers {
		_ = c.nc.Close()
	}
}
