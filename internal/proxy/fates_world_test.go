package proxy

import (
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var fateSeeds = flag.Int("fates.seeds", 0, "how many times each world of ill targets is played for measurement")

// illTarget is a way to be ill: what a target does with requests and probes while it is.
type illTarget struct {
	name        string
	many        int // how many of the targets are ill; 0 is one in ten
	do          handler
	health      handler
	downBetween time.Duration // ill and well by turns
}

func unwell(_ *harness, c net.Conn, _ *receivedRequest) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 503 Unwell\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func breakOff(*harness, net.Conn, *receivedRequest) bool { return false }

// sometimes does bad in so many per cent.
func sometimes(percent int, bad handler) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		if rand.IntN(100) < percent {
			return bad(l, c, s)
		}
		return work(1)(l, c, s)
	}
}

// work answers after 120 ms in the median, times factor.
func work(factor float64) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		d := 120 * math.Exp(0.3*rand.NormFloat64()) * factor
		return delayed(time.Duration(d*float64(time.Millisecond)), serveOK)(l, c, s)
	}
}

func mutely(_ *harness, c net.Conn, _ *receivedRequest) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

func fails(l *harness, c net.Conn, s *receivedRequest) bool {
	l.recordRun(s)
	return writeAnswer(c, "500 Ill", s.id, "", "ill")
}

var illTargets = []illTarget{
	{name: "none"},
	{name: "reset 45 %", do: sometimes(45, delayed(60*time.Millisecond, breakOff))},
	{name: "errors, health good", do: sometimes(45, delayed(60*time.Millisecond, fails))},
	{name: "well, health bad", do: work(1), health: unwell},
	{name: "slow x5", do: work(5)},
	{name: "down and up each 1.2 s", do: breakOff, health: breakOff, downBetween: 1200 * time.Millisecond},
	{name: "mute", do: mutely, health: mutely},
	{name: "mute, health good", do: mutely},
	{name: "8 of 20 reset 45 %", many: 8, do: sometimes(45, delayed(60*time.Millisecond, breakOff))},
	{name: "8 of 20 errors", many: 8, do: sometimes(45, delayed(60*time.Millisecond, fails))},
	{name: "all reset 20 %", many: worldRuns, do: sometimes(20, delayed(60*time.Millisecond, breakOff))},
	{name: "all slow x2", many: worldRuns, do: work(2)},
}

// tally is what became of requests that came while targets were ill, or just after.
type tally struct{ sent, served, aim, once, lost, probes, saved, passed, turned int }

func (t *tally) add(o tally) {
	t.sent, t.served, t.aim, t.once, t.lost = t.sent+o.sent, t.served+o.served, t.aim+o.aim, t.once+o.once, t.lost+o.lost
	t.probes, t.saved, t.passed, t.turned = t.probes+o.probes, t.saved+o.saved, t.passed+o.passed, t.turned+o.turned
}

const (
	worldRuns  = 20
	worldSlots = 2
	illFrom    = 20 * time.Second
	illTill    = 26 * time.Second
	worldEnd   = 32 * time.Second
)

// world plays 20 targets of which a tenth are ill from second 20 to 26, under a load of
// so many requests a second, a quarter of which may run once.
func world(t *testing.T, w illTarget, rate float64, noStandIn, noFates bool) (out tally) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), func(s *Settings) { s.BudgetRatio, s.BudgetSlack = 0.2, 20 })
		l.node.noAnswerEvidence, l.node.noFates = noStandIn, noFates
		l.routes(2)
		began := time.Now()
		for i, nth := range rand.Perm(worldRuns) {
			is := func() bool {
				d := time.Since(began) - illFrom
				if d < 0 || d >= illTill-illFrom || w.do == nil || nth >= max(w.many, worldRuns/10) {
					return false
				}
				return w.downBetween == 0 || d/w.downBetween%2 == 0
			}
			places := make(chan bool, worldSlots)
			s := l.startTarget(fmt.Sprintf("r%02d", i), nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
				select {
				case places <- true:
					defer func() { <-places }()
				case <-time.After(100 * time.Millisecond):
					return writeAnswer(c, "503 Full", s.id, dialect.NotRun+": 1\r\n", "")
				}
				if is() {
					return w.do(l, c, s)
				}
				return work(1)(l, c, s)
			})
			s.mu.Lock()
			s.health = func(l *harness, c net.Conn, s *receivedRequest) bool {
				if is() && w.health != nil {
					return w.health(l, c, s)
				}
				return healthy(l, c, s)
			}
			s.mu.Unlock()
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var before Stats
		counting := false
		for no := 0; time.Since(began) < worldEnd; no++ {
			if !counting && time.Since(began) >= illFrom {
				before, counting = l.node.Stats(), true
			}
			kind := []string{"idem", "idem", "down", "once"}[rand.IntN(4)]
			id := fmt.Sprint(kind, no)
			wg.Go(func() {
				c := l.client()
				defer c.c.Close()
				at := time.Now()
				g, err := c.call("GET", "/"+kind+"/x", id, 2*time.Second)
				if !counting {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				out.sent++
				ok := err == nil && g.proper(id)
				if ok {
					out.served++
					if time.Since(at) <= 400*time.Millisecond {
						out.aim++
					}
				}
				if kind == "once" {
					out.once++
					// A refusal is no loss: the caller comes again.
					if !ok && g.status != 503 {
						out.lost++
					}
				}
			})
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		}
		wg.Wait()
		st := l.node.Stats()
		out.probes, out.saved = int(st.Probes-before.Probes), int(st.ProbesSaved-before.ProbesSaved)
		out.passed, out.turned = int(st.PassedOver-before.PassedOver), int(st.TurnedAway-before.TurnedAway)
		for id, n := range l.runCounts {
			if n > 1 && id[:4] == "once" {
				t.Errorf("%s ran %d times", id, n)
			}
		}
		l.close()
	})
	return out
}

// TestFatesWorlds measures each extension, with it and without: go test ./internal/proxy
// -run TestFatesWorlds -v -fates.seeds 10. Without the flag it looks at one world alone.
func TestFatesWorlds(t *testing.T) {
	if *fateSeeds == 0 {
		w := illTargets[2]
		with, without := world(t, w, 160, false, false), world(t, w, 160, true, true)
		if 2*with.lost >= without.lost {
			t.Errorf("of requests that may run once %d were lost, without fates %d", with.lost, without.lost)
		}
		if 4*with.probes >= without.probes {
			t.Errorf("%d probes; %d where answers don't stand in", with.probes, without.probes)
		}
		return
	}
	for _, rate := range []float64{12, 160, 240} {
		for _, w := range illTargets {
			t.Run(fmt.Sprint(w.name, " at ", rate), func(t *testing.T) {
				t.Parallel()
				for k, what := range []string{"neither", "answers as probes", "fates", "both"} {
					var sum tally
					for range *fateSeeds {
						sum.add(world(t, w, rate, k&1 == 0, k&2 == 0))
					}
					part := func(a, b int) float64 { return 100 * float64(a) / float64(max(1, b)) }
					t.Logf("| %s | %g | %s | %.2f | %.2f | %.2f | %d | %d", w.name, rate, what, part(sum.served, sum.sent),
						part(sum.aim, sum.sent), part(sum.lost, sum.once), sum.probes / *fateSeeds, sum.passed / *fateSeeds)
				}
			})
		}
	}
}
