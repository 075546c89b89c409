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

// bundleOf is a stand-in's large answer of so many bytes.
func bundleOf(size int, work time.Duration) act {
	body := strings.Repeat("b", size)
	return after(work, func(l *lab, c net.Conn, s *seen) bool {
		l.run(s)
		return say(c, "200 OK", s.id, "X-Seal: s\r\n", body)
	})
}

// ending is how a caller's download ended.
type ending struct {
	id      string
	sent    time.Duration // after the stop began; negative before it
	turned  bool          // no connection was to be had, or the request was not read
	got     got
	err     error
	refused bool // with the promise that it did not run, and when to come back
}

func (e ending) proper(size int) bool {
	return e.turned || e.refused || e.err == nil && e.got.status == http.StatusOK && len(e.got.body) == size
}

// download sends one download over a connection of its own and reads its answer whole.
func (l *lab) download(path, id string, began time.Time, wait time.Duration) (e ending) {
	e.id, e.sent = id, time.Since(began)
	cx, end := context.WithTimeout(l.t.Context(), time.Second)
	defer end()
	nc, err := l.net.dial(cx, l.addr)
	if err != nil {
		e.turned = true
		return e
	}
	defer nc.Close()
	c := &client{nc, bufio.NewReader(nc)}
	if c.send("GET", path, id, wait, "", "") != nil {
		e.turned = true // the node did not read it
		return e
	}
	e.got, e.err = c.read()
	e.refused = e.err == nil && e.got.status == http.StatusServiceUnavailable && e.got.head.Get(dialect.RetryAfter) != ""
	return e
}

// TestStopFinishesDownloads: on a narrow link to which more downloads come than it can carry, a
// planned stop cuts none off, whenever it comes: each is answered whole, or refused with the word that
// it did not run. So it is with large answers to requests of other kinds.
func TestStopFinishesDownloads(t *testing.T) {
	const (
		size  = 120_000
		every = 250 * time.Millisecond // twice what the pace lets through
		wait  = 10 * time.Second
	)
	for _, path := range []string{"/down/x", "/idem/x", "/once/x"} {
		for _, before := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%s after %v", path, before), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t, newPipes(), func(s *Settings) { s.LinkMbps = 3.2 })
					l.routes(1)
					for _, id := range []string{"one", "two", "three"} {
						l.stand(id, nil, bundleOf(size, 160*time.Millisecond))
					}
					var mu sync.Mutex
					var ends []ending
					var wg sync.WaitGroup
					stop := time.Now().Add(before)
					for i := 0; time.Now().Before(stop.Add(3 * time.Second)); i++ {
						wg.Go(func() {
							e := l.download(path, fmt.Sprint("q", i), stop, wait)
							mu.Lock()
							defer mu.Unlock()
							ends = append(ends, e)
						})
						if time.Until(stop) == 0 {
							wg.Go(func() {
								if err := l.node.Stop(t.Context()); err != nil {
									t.Error(err)
								}
								l.cutCallers()
							})
						}
						time.Sleep(every)
					}
					wg.Wait()
					whole := 0
					for _, e := range ends {
						if !e.proper(size) {
							t.Errorf("%s, sent %v after the stop: %d, %d bytes, %v", e.id, e.sent, e.got.status, len(e.got.body), e.err)
						}
						if e.got.status == http.StatusOK {
							whole++
						}
					}
					t.Logf("%d of %d answered", whole, len(ends))
					if whole < 8 {
						t.Errorf("%d of %d answered", whole, len(ends))
					}
					l.close()
				})
			})
		}
	}
}

// cutCallers closes all callers' connections, as the end of the process does.
func (l *lab) cutCallers() {
	l.node.cm.Lock()
	defer l.node.cm.Unlock()
	for c := range l.node.callers {
		_ = c.nc.Close()
	}
}
