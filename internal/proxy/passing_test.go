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

const bundle = 64 << 10

// inParts answers in so many parts, each a while after the one before; it leaves out the
// last where it breaks off. took is told how long the writing took.
func inParts(parts int, each time.Duration, breaks bool, took func(time.Duration)) act {
	return func(l *lab, c net.Conn, s *seen) bool {
		l.run(s)
		began := time.Now()
		defer func() { took(time.Since(began)) }()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n", s.id, bundle); err != nil {
			return false
		}
		for i := range parts {
			if i > 0 {
				time.Sleep(each)
			}
			if breaks && i == parts-1 {
				return false
			}
			if _, err := io.WriteString(c, strings.Repeat(string(rune('a'+i)), bundle/parts)); err != nil {
				return false
			}
		}
		return true
	}
}

// narrowLab has one node on a narrow link.
func narrowLab(t *testing.T, mbps float64) *lab {
	l := newLab(t, newPipes(), func(s *Settings) { s.LinkMbps, s.ProbeEvery = mbps, time.Hour })
	l.routes(2)
	return l
}

// arrivalOf reads an answer and tells after what time its first and its last byte came.
func (c *client) arrivalOf(began time.Time) (first, last time.Duration, size int, err error) {
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

// TestPassing: on a narrow link a large answer goes on while it comes in; on a wide one it
// is held whole, so that another target can be asked where it breaks off.
func TestPassing(t *testing.T) {
	for mbps, passes := range map[float64]bool{16: true, 0: false} {
		synctest.Test(t, func(t *testing.T) {
			l := narrowLab(t, mbps)
			l.stand("one", nil, inParts(4, time.Second, false, func(time.Duration) {}))
			c := l.client()
			defer c.c.Close()
			for i := range 2 {
				began := time.Now()
				if err := c.send("GET", "/down/x", fmt.Sprint("q", i), 10*time.Second, "", ""); err != nil {
					t.Fatal(err)
				}
				first, last, size, err := c.arrivalOf(began)
				if err != nil || size != bundle || last < 3*time.Second || last > 3200*time.Millisecond || passes != (first < 100*time.Millisecond) {
					t.Errorf("%v Mbit/s: first after %v, last after %v, %d bytes, %v", mbps, first, last, size, err)
				}
			}
			synctest.Wait()
			if s := l.node.Stats(); s.MemoryUsed != 0 || s.Answered != 2 || (s.Passed == 2) != passes || s.Dials != 1 || l.node.downs.taken() != 0 {
				t.Errorf("%v Mbit/s: %+v", mbps, s)
			}
			l.close()
		})
	}
}

// TestPassingBreaksOff: what breaks off on the way in ends early on the way out, by its own
// framing, and is held against the run; nobody else's answer is put behind it.
func TestPassingBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := narrowLab(t, 16)
		l.stand("one", nil, inParts(4, 100*time.Millisecond, true, func(time.Duration) {}))
		c := l.client()
		began := time.Now()
		if err := c.send("GET", "/down/x", "q", 10*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		_, last, size, err := c.arrivalOf(began)
		if err == nil || size >= bundle || last > time.Second {
			t.Errorf("%d bytes after %v, %v", size, last, err)
		}
		synctest.Wait()
		if s := l.node.Stats(); s.MemoryUsed != 0 || s.Spoilt != 1 || s.Inside != 0 || s.Callers != 0 || len(l.arrivals()) != 1 || l.node.downs.taken() != 0 {
			t.Errorf("%+v, %d arrivals", s, len(l.arrivals()))
		}
		if e := l.node.all()[0].endpoints["one"]; e.failures != 1 {
			t.Errorf("%d failures noted", e.failures)
		}
		l.close()
	})
}

// TestPassingCallerGone: a caller that goes away ends the reading, and nothing is held
// against the run.
func TestPassingCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := narrowLab(t, 16)
		l.stand("one", nil, inParts(64, 100*time.Millisecond, false, func(time.Duration) {}))
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
		if s.MemoryUsed != 0 || s.Inside != 0 || s.Callers != 0 || s.Withheld != 1 || s.Spoilt+s.Mute+s.Reset+s.CutShort != 0 || l.node.downs.taken() != 0 {
			t.Errorf("%+v", s)
		}
		if e := l.node.all()[0].endpoints["one"]; e.failures != 0 || len(e.inFlight) != 0 || e.conns != 0 {
			t.Errorf("%d failures, %d under way, %d connections", e.failures, len(e.inFlight), e.conns)
		}
		l.close()
	})
}

// TestPassingSlowCaller: a caller that reads slowly holds no target up, and no place for
// downloads.
func TestPassingSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := narrowLab(t, 16)
		var took time.Duration
		l.stand("one", nil, inParts(16, 10*time.Millisecond, false, func(d time.Duration) { took = d }))
		c := l.client()
		defer c.c.Close()
		if err := c.send("GET", "/down/x", "q", 30*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if took == 0 || took > time.Second || l.node.downs.taken() != 0 || len(l.node.all()[0].endpoints["one"].inFlight) != 0 {
			t.Errorf("the target was held for %v, %d places taken", took, l.node.downs.taken())
		}
		if _, _, size, err := c.arrivalOf(time.Now()); err != nil || size != bundle {
			t.Errorf("%d bytes, %v", size, err)
		}
		l.close()
	})
}

// TestPassingBesides: where the first run is silent, the one asked besides may pass its
// answer on, and the first is given up.
func TestPassingBesides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := narrowLab(t, 16)
		whole := inParts(4, 50*time.Millisecond, false, func(time.Duration) {})
		do := func(l *lab, c net.Conn, s *seen) bool {
			if s.nth == 1 {
				return neverAnswer(l, c, s)
			}
			return whole(l, c, s)
		}
		l.stand("two", nil, do)
		l.stand("three", nil, do)
		c := l.client()
		defer c.c.Close()
		began := time.Now()
		if err := c.send("GET", "/down/x", "q", 10*time.Second, "", ""); err != nil {
			t.Fatal(err)
		}
		if _, last, size, err := c.arrivalOf(began); err != nil || size != bundle || last > 2*time.Second {
			t.Errorf("%d bytes after %v, %v", size, last, err)
		}
		synctest.Wait()
		if s := l.node.Stats(); s.Hedges != 1 || s.Passed != 1 || s.MemoryUsed != 0 || l.node.downs.taken() != 0 {
			t.Errorf("%+v", s)
		}
		l.close()
	})
}
