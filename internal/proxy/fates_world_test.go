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

var passiveSeeds = flag.Int("fates.seeds", 0, "how many times each world of ill targets is played for measurement")

// faultScenario is a way to be ill: what a target does with requests and probes while it is.
type faultScenario struct {
	name         string
	faulty       int // how many of the targets are ill; 0 is one in ten
	do           act
	health       act
	flapInterval time.Duration // ill and well by turns
}

func replyUnhealthy(_ *lab, c net.Conn, _ *seen) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 503 Unwell\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func closeConn(*lab, net.Conn, *seen) bool { return false }

// sometimes does bad in so many per cent.
func sometimes(percent int, bad act) act {
	return func(l *lab, c net.Conn, s *seen) bool {
		if rand.IntN(100) < percent {
			return bad(l, c, s)
		}
		return answerWithin(1)(l, c, s)
	}
}

// answerWithin answers after 120 ms in the median, times factor.
func answerWithin(factor float64) act {
	return func(l *lab, c net.Conn, s *seen) bool {
		d := 120 * math.Exp(0.3*rand.NormFloat64()) * factor
		return after(time.Duration(d*float64(time.Millisecond)), sealed)(l, c, s)
	}
}

func neverAnswer(_ *lab, c net.Conn, _ *seen) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

func replyError(l *lab, c net.Conn, s *seen) bool {
	l.run(s)
	return say(c, "500 Ill", s.id, "", "ill")
}

var faultScenarios = []faultScenario{
	{name: "none"},
	{name: "reset 45 %", do: sometimes(45, after(60*time.Millisecond, closeConn))},
	{name: "errors, health good", do: sometimes(45, after(60*time.Millisecond, replyError))},
	{name: "well, health bad", do: answerWithin(1), health: replyUnhealthy},
	{name: "slow x5", do: answerWithin(5)},
	{name: "down and up each 1.2 s", do: closeConn, health: closeConn, flapInterval: 1200 * time.Millisecond},
	{name: "mute", do: neverAnswer, health: neverAnswer},
	{name: "mute, health good", do: neverAnswer},
	{name: "8 of 20 reset 45 %", faulty: 8, do: sometimes(45, after(60*time.Millisecond, closeConn))},
	{name: "8 of 20 errors", faulty: 8, do: sometimes(45, after(60*time.Millisecond, replyError))},
	{name: "all reset 20 %", faulty: scenarioRuns, do: sometimes(20, after(60*time.Millisecond, closeConn))},
	{name: "all slow x2", faulty: scenarioRuns, do: answerWithin(2)},
}

// scenarioResult is what became of requests that came while targets were ill, or just after.
type scenarioResult struct{ sent, served, withinAim, once, lost, probes, saved, ejections, turned int }

func (t *scenarioResult) add(o scenarioResult) {
	t.sent, t.served, t.withinAim, t.once, t.lost = t.sent+o.sent, t.served+o.served, t.withinAim+o.withinAim, t.once+o.once, t.lost+o.lost
	t.probes, t.saved, t.ejections, t.turned = t.probes+o.probes, t.saved+o.saved, t.ejections+o.ejections, t.turned+o.turned
}

const (
	scenarioRuns  = 20
	scenarioSlots = 2
	faultStart    = 20 * time.Second
	faultEnd      = 26 * time.Second
	scenarioEnd   = 32 * time.Second
)

// runScenario plays 20 targets of which a tenth are ill from second 20 to 26, under a load of
// so many requests a second, a quarter of which may run once.
func runScenario(t *testing.T, w faultScenario, rate float64, noStandIn, noFates bool) (out scenarioResult) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t, newPipes(), func(s *Settings) { s.BudgetRatio, s.BudgetSlack = 0.2, 20 })
		l.node.noStandIn, l.node.noFates = noStandIn, noFates
		l.routes(2)
		began := time.Now()
		for i, nth := range rand.Perm(scenarioRuns) {
			is := func() bool {
				d := time.Since(began) - faultStart
				if d < 0 || d >= faultEnd-faultStart || w.do == nil || nth >= max(w.faulty, scenarioRuns/10) {
					return false
				}
				return w.flapInterval == 0 || d/w.flapInterval%2 == 0
			}
			places := make(chan bool, scenarioSlots)
			s := l.stand(fmt.Sprintf("r%02d", i), nil, func(l *lab, c net.Conn, s *seen) bool {
				select {
				case places <- true:
					defer func() { <-places }()
				case <-time.After(100 * time.Millisecond):
					return say(c, "503 Full", s.id, dialect.NotRun+": 1\r\n", "")
				}
				if is() {
					return w.do(l, c, s)
				}
				return answerWithin(1)(l, c, s)
			})
			s.mu.Lock()
			s.health = func(l *lab, c net.Conn, s *seen) bool {
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
		for no := 0; time.Since(began) < scenarioEnd; no++ {
			if !counting && time.Since(began) >= faultStart {
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
						out.withinAim++
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
		out.ejections, out.turned = int(st.PassedOver-before.PassedOver), int(st.TurnedAway-before.TurnedAway)
		for id, n := range l.ran {
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
	if *passiveSeeds == 0 {
		w := faultScenarios[2]
		with, without := runScenario(t, w, 160, false, false), runScenario(t, w, 160, true, true)
		if 2*with.lost >= without.lost {
			t.Errorf("of requests that may run once %d were lost, without fates %d", with.lost, without.lost)
		}
		if 4*with.probes >= without.probes {
			t.Errorf("%d probes; %d where answers don't stand in", with.probes, without.probes)
		}
		return
	}
	for _, rate := range []float64{12, 160, 240} {
		for _, w := range faultScenarios {
			t.Run(fmt.Sprint(w.name, " at ", rate), func(t *testing.T) {
				t.Parallel()
				for k, what := range []string{"neither", "answers as probes", "fates", "both"} {
					var sum scenarioResult
					for range *passiveSeeds {
						sum.add(runScenario(t, w, rate, k&1 == 0, k&2 == 0))
					}
					part := func(a, b int) float64 { return 100 * float64(a) / float64(max(1, b)) }
					t.Logf("| %s | %g | %s | %.2f | %.2f | %.2f | %d | %d", w.name, rate, what, part(sum.served, sum.sent),
						part(sum.withinAim, sum.sent), part(sum.lost, sum.once), sum.probes / *passiveSeeds, sum.ejections / *passiveSeeds)
				}
			})
		}
	}
}
