package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const streamSize = 64 << 10

// answerInParts answers in the given number of parts, with a pause before each but the first. If
// truncated, it omits the last part. took is called with the duration of the write.
func answerInParts(parts int, each time.Duration, truncated bool, took func(time.Duration)) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		l.recordRun(s)
		began := time.Now()
		defer func() { took(time.Since(began)) }()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n", s.id, streamSize); err != nil {
			return false
		}
		for i := range parts {
			if i > 0 {
				time.Sleep(each)
			}
			if truncated && i == parts-1 {
				return false
			}
			if _, err := io.WriteString(c, strings.Repeat(string(rune('a'+i)), streamSize/parts)); err != nil {
				return false
			}
		}
		return true
	}
}

// newNarrowHarness returns a harness whose node is on a narrow link.
func newNarrowHarness(t *testing.T, mbps float64) *harness {
	l := newHarness(t, newPipes(), func(s *Settings) { s.LinkMbps, s.ProbeInterval = mbps, time.Hour })
	l.routes(2)
	return l
}

// timeAnswer reads an answer and returns after what time its first and its last byte arrived.
func (c *client) timeAnswer(began time.Time) (first, last time.Duration, size int, err error) {
	p, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, 0, 0, err
	}
	b := make([]byte, 1)
	if _, err = io.ReadFull(p.Body, b); err != nil {
		return 0, 0, 0, err
	}
	first = time.Since(began)
	rest, err := io.ReadAll(p.Body)
	return first, time.Since(began), 1 + len(rest), err
}

// TestPassing checks that a large answer is streamed on a narrow link; on a wide link it is
// buffered completely, so that another target can be asked if it is cut off.
func TestPassing(t *testing.T) {
	for mbps, passes := range map[float64]bool{16: true, 0: false} {
		synctest.Test(t, func(t *testing.T) {
			l := newNarrowHarness(t, mbps)
			l.startTarget("one", nil, answerInParts(4, time.Second, false, func(time.Duration) {}))
			c := l.client()
			defer c.c.Close()
			for i := range 2 {
				began := time.Now()
				if err := c.send("GET", "/down/x", fmt.Sprint("q", i), 10*time.Second, "", ""); err != nil {
					t.Fatal(err)
				}
				first, last, size, err := c.timeAnswer(began)
				if err != nil || size != streamSize || last < 3*time.Second || last > 3200*time.Millisecond || passes != (first < 100*time.Millisecond) {
					t.Errorf("%v Mbit/s: first after %v, last after %v, %d bytes, %v", mbps, first, last, size, err)
				}
			}
			synctest.Wait()
			if s := l.node.Stats(); s.MemoryUsed != 0 || s.Answered != 2 || (s.Passed == 2) != passes || s.Dials != 1 || l.node.downloads.activeCount() != 0 {
				t.Errorf("%v Mbit/s: %+v", mbps, s)
			}
			l.close()
		})
	}
}

// TestPassingBreaksOff checks that an answer that is cut off on the way in also ends early on the way out,
// according to its framing, counts as a failure of the run, and is not followed by another answer.
func TestPassingBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newNarrowHarness(t, 16)
		l.startTarget("one", nil, answerInParts(4, 100*time.Millisecond, true, func(time.Duration) {}))
		c := l.client()
		began := time.Now()
		if err := c.send("GET", "/down/x", "q", 10*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		_, last, size, err := c.timeAnswer(began)
		if err == nil || size >= streamSize || last > time.Second {
			t.Errorf("%d bytes after %v, %v", size, last, err)
		}
		synctest.Wait()
		if s := l.node.Stats(); s.MemoryUsed != 0 || s.Spoilt != 1 || s.Inside != 0 || s.Callers != 0 || len(l.requests()) != 1 || l.node.downloads.activeCount() != 0 {
			t.Errorf("%+v, %d arrivals", s, len(l.requests()))
		}
		if e := l.node.allServices()[0].endpoints["one"]; e.failures != 1 {
			t.Errorf("%d failures recorded", e.failures)
		}
		l.close()
	})
}

// TestPassingCallerGone checks that a caller that disconnects ends the reading, and that this does not
// count as a failure of the run.
func TestPassingCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newNarrowHarness(t, 16)
		l.startTarget("one", nil, answerInParts(64, 100*time.Millisecond, false, func(time.Duration) {}))
		c := l.client()
		if err := c.send("GET", "/down/x", "q", 10*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		if _, err := c.r.ReadByte(); err != nil {
			t.Fatal(err)
		}
		_ = c.c.Close()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		s := l.node.Stats()
		if s.MemoryUsed != 0 || s.Inside != 0 || s.Callers != 0 || s.Withheld != 1 || s.Spoilt+s.Mute+s.Reset+s.CutShort != 0 || l.node.downloads.activeCount() != 0 {
			t.Errorf("%+v", s)
		}
		if e := l.node.allServices()[0].endpoints["one"]; e.failures != 0 || len(e.inFlight) != 0 || e.conns != 0 {
			t.Errorf("%d failures, %d in flight, %d connections", e.failures, len(e.inFlight), e.conns)
		}
		l.close()
	})
}

// TestPassingSlowCaller checks that a caller that reads slowly holds up neither the target nor a
// download slot.
func TestPassingSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newNarrowHarness(t, 16)
		var took time.Duration
		l.startTarget("one", nil, answerInParts(16, 10*time.Millisecond, false, func(d time.Duration) { took = d }))
		c := l.client()
		defer c.c.Close()
		if err := c.send("GET", "/down/x", "q", 30*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if took == 0 || took > time.Second || l.node.downloads.activeCount() != 0 || len(l.node.allServices()[0].endpoints["one"].inFlight) != 0 {
			t.Errorf("the target was held up for %v, %d slots in use", took, l.node.downloads.activeCount())
		}
		if _, _, size, err := c.timeAnswer(time.Now()); err != nil || size != streamSize {
			t.Errorf("%d bytes, %v", size, err)
		}
		l.close()
	})
}

// TestPassingBesides checks that if the first run is silent, the hedged attempt may stream its
// answer, and the first attempt is aborted.
func TestPassingBesides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newNarrowHarness(t, 16)
		whole := answerInParts(4, 50*time.Millisecond, false, func(time.Duration) {})
		do := func(l *harness, c net.Conn, s *receivedRequest) bool {
			if s.index == 1 {
				return neverAnswer(l, c, s)
			}
			return whole(l, c, s)
		}
		l.startTarget("two", nil, do)
		l.startTarget("three", nil, do)
		c := l.client()
		defer c.c.Close()
		began := time.Now()
		if err := c.send("GET", "/down/x", "q", 10*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		if _, last, size, err := c.timeAnswer(began); err != nil || size != streamSize || last > 2*time.Second {
			t.Errorf("%d bytes after %v, %v", size, last, err)
		}
		synctest.Wait()
		if s := l.node.Stats(); s.Hedges != 1 || s.Passed != 1 || s.MemoryUsed != 0 || l.node.downloads.activeCount() != 0 {
			t.Errorf("%+v", s)
		}
		l.close()
	})
}
