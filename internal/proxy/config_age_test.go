package proxy

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// dialDelay is a network on which each connect takes delay longer.
type dialDelay struct {
	*pipes
	delay time.Duration
}

func (s dialDelay) dial(ctx context.Context, addr string) (net.Conn, error) {
	time.Sleep(s.delay)
	return s.pipes.dial(ctx, addr)
}

// Guards against incident 40: a gateway whose own congested link delayed all messages considered itself cut off after 3 s
// without updates, and kept serving by a configuration that had long been replaced.
func TestNewsThatIsLateOnACrowdedLinkIsNotACut(t *testing.T) {
	for name, x := range map[string]struct {
		connect time.Duration
		age     time.Duration
		status  int
	}{
		"fresh":                              {time.Millisecond, 500 * time.Millisecond, 200},
		"late":                               {time.Millisecond, 2500 * time.Millisecond, 503},
		"cut off":                            {time.Millisecond, 3200 * time.Millisecond, 200},
		"late on a crowded link":             {300 * time.Millisecond, 3200 * time.Millisecond, 503},
		"cut off on a link that was crowded": {300 * time.Millisecond, 6200 * time.Millisecond, 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newHarness(t, dialDelay{newPipes(), x.connect}, func(s *Settings) { s.NewsWithin, s.NewsLost = 2*time.Second, 3*time.Second })
				l.routes(2)
				l.startTarget("t1", nil, serveOK)
				l.node.SetAsOf(time.Now())
				if g := l.request("/idem/1", "q1", 2*time.Second); g.status != 200 {
					t.Fatalf("with a fresh configuration: %d", g.status)
				}
				l.node.SetAsOf(time.Now().Add(-x.age))
				if g := l.request("/idem/2", "q2", 2*time.Second); g.status != x.status || g.status == 503 && (l.runCount("q2") > 0 || g.header.Get(testHeaders.RetryAfter) == "") {
					t.Errorf("%d, ran %d times, want %d", g.status, l.runCount("q2"), x.status)
				}
			})
		})
	}
}

// Guards against incident 40: a request was sent by a configuration that was fresh then, but arrived when it was stale: the
// target had announced meanwhile that it was leaving.
func TestNoRequestLeavesThatWouldArriveByOutdatedNews(t *testing.T) {
	for name, x := range map[string]struct {
		roundTrip, age time.Duration
		status         int
	}{
		"a short way":               {10 * time.Millisecond, 1500 * time.Millisecond, 200},
		"a long way, younger news":  {700 * time.Millisecond, 1200 * time.Millisecond, 200},
		"a long way":                {700 * time.Millisecond, 1500 * time.Millisecond, 503},
		"a way that nobody expects": {time.Hour, 1200 * time.Millisecond, 503},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newHarness(t, newPipes(), func(s *Settings) { s.NewsWithin, s.NewsLost = 2*time.Second, 3*time.Second })
				l.routes(2)
				l.startTarget("t1", nil, serveOK)
				l.node.SetAsOf(time.Now().Add(-x.age))
				l.node.SetControlRoundTrip(x.roundTrip)
				if g := l.request("/once/1", "q1", 2*time.Second); g.status != x.status || g.status == 503 && (l.runCount("q1") > 0 || g.header.Get(testHeaders.RetryAfter) == "") {
					t.Errorf("%d, ran %d times, want %d", g.status, l.runCount("q1"), x.status)
				}
			})
		})
	}
}

// No request is sent on a connection that took so long to open that the configuration has become stale.
func TestNewsThatGrowsOldDuringAConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, dialDelay{newPipes(), 350 * time.Millisecond}, func(s *Settings) { s.NewsWithin, s.NewsLost = 2*time.Second, 3*time.Second })
		l.routes(2)
		l.startTarget("t1", nil, serveOK)
		l.node.SetAsOf(time.Now().Add(-1900 * time.Millisecond))
		if g := l.request("/once/1", "q1", 2*time.Second); g.status != 503 || l.runCount("q1") > 0 {
			t.Errorf("%d, ran %d times", g.status, l.runCount("q1"))
		}
	})
}
