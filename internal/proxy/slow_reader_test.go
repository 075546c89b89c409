package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// readSlowly reads an answer in pieces with pauses between, and returns the bytes read and the time taken.
func (l *harness) readSlowly(id string, wait time.Duration, step int, pause time.Duration) (got int, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(l.t.Context(), time.Second)
	defer cancel()
	nc, err := l.net.dial(ctx, l.addr)
	if err != nil {
		return 0, 0, err
	}
	defer nc.Close()
	c := &client{nc, bufio.NewReaderSize(nc, 16)}
	if err := c.send("GET", "/down/a", id, wait, "", ""); err != nil {
		return 0, 0, err
	}
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	for b := make([]byte, step); ; time.Sleep(pause) {
		k, err := io.ReadFull(r.Body, b)
		got += k
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && int64(got) == r.ContentLength {
			return got, time.Since(began), nil
		}
		if err != nil {
			return got, time.Since(began), err
		}
	}
}

// Guards against cutting off callers that read slowly but steadily: on a wide link the whole answer had one timeout of 10 s.
// Callers below the minimum rate are cut off and counted, and those still reading past their own deadline are cut off.
func TestSlowReadersGetTheirAnswers(t *testing.T) {
	const size = 300_000
	for name, x := range map[string]struct {
		wait        time.Duration
		step        int
		pause       time.Duration
		complete    bool
		least, most time.Duration // until it is cut off
		slow        uint64
	}{
		"steadily for 20 s":             {time.Minute, 1500, 100 * time.Millisecond, true, 0, 0, 0},
		"in gulps with 8 s between":     {time.Minute, 50_000, 8 * time.Second, true, 0, 0, 0},
		"a byte a second":               {time.Minute, 1, time.Second, false, 9 * time.Second, 21 * time.Second, 1},
		"not at all":                    {time.Minute, 100, time.Hour, false, 9 * time.Second, 2 * time.Hour, 1},
		"longer than it said it would":  {12 * time.Second, 500, 100 * time.Millisecond, false, 12 * time.Second, 21 * time.Second, 0},
		"long, and in time by a little": {22 * time.Second, 1500, 100 * time.Millisecond, true, 0, 0, 0},
	} {
		for _, mbps := range []float64{0, 20} {
			t.Run(fmt.Sprintf("%s, %v Mbit/s", name, mbps), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newHarness(t, newPipes(), func(s *Settings) { s.LinkMbps = mbps })
					defer l.close()
					l.routes(2)
					l.startTarget("t1", nil, answerWithSize(size, 10*time.Millisecond))
					got, took, err := l.readSlowly("id-1", x.wait, x.step, x.pause)
					if complete := err == nil && got == size; complete != x.complete {
						t.Errorf("%d of %d bytes after %v: %v", got, size, took, err)
					}
					if !x.complete && (took < x.least || took > x.most) {
						t.Errorf("cut off after %v, want %v to %v", took, x.least, x.most)
					}
					if s := l.node.Stats().TooSlow; s != x.slow {
						t.Errorf("%d counted as too slow, want %d", s, x.slow)
					}
				})
			})
		}
	}
}

// Guards against writing `100 Continue` under the write deadline of the previous answer: on a connection that had been idle
// for longer it could not be written.
func TestAWordToContinueAfterARest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), nil)
		defer l.close()
		l.routes(2)
		l.startTarget("t1", nil, answerWithSize(10, 0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		nc, err := l.net.dial(ctx, l.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		c := &client{nc, bufio.NewReader(nc)}
		if err := c.send("GET", "/down/a", "id-1", time.Minute, "", ""); err != nil {
			t.Fatal(err)
		}
		if _, err := c.read(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(25 * time.Second)
		_, _ = fmt.Fprintf(nc, "POST /idem/a HTTP/1.1\r\nHost: h\r\nX-Id: id-2\r\nX-Left: 5000\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := c.r.ReadString('\n')
		if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("%q %v", line, err)
		}
		_, _ = c.r.ReadString('\n')
		_, _ = io.WriteString(nc, "ab")
		if got, err := c.read(); err != nil || got.status != http.StatusOK {
			t.Errorf("%d %v", got.status, err)
		}
	})
}
