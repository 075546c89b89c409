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

var passiveSeeds = flag.Int("fates.seeds", 0, "how many times each scenario with faulty targets is run for measurement")

// faultScenario is what faulty targets do with requests and probes.
type faultScenario struct {
	name         string
	faulty       int // number of faulty targets; 0 means one in ten
	fault        handler
	health       handler
	flapInterval time.Duration // if set, targets alternate between faulty and healthy
}

func replyUnhealthy(_ *harness, c net.Conn, _ *receivedRequest) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 503 Unwell\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func closeConn(*harness, net.Conn, *receivedRequest) bool { return false }

// sometimes runs bad for a percentage of the requests.
func sometimes(percent int, bad handler) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		if rand.IntN(100) < percent {
			return bad(l, c, s)
		}
		return serveWithLatency(1)(l, c, s)
	}
}

// serveWithLatency answers after a median of 120 ms times factor.
func serveWithLatency(factor float64) handler {
	return func(l *harness, c net.Conn, s *receivedRequest) bool {
		d := 120 * math.Exp(0.3*rand.NormFloat64()) * factor
		return delayed(time.Duration(d*float64(time.Millisecond)), serveOK)(l, c, s)
	}
}

func neverAnswer(_ *harness, c net.Conn, _ *receivedRequest) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

func replyError(l *harness, c net.Conn, s *receivedRequest) bool {
	l.recordRun(s)
	return writeAnswer(c, "500 Ill", s.id, "", "ill")
}

var faultScenarios = []faultScenario{
	{name: "none"},
	{name: "reset 45 %", fault: sometimes(45, delayed(60*time.Millisecond, closeConn))},
	{name: "errors, health good", fault: sometimes(45, delayed(60*time.Millisecond, replyError))},
	{name: "well, health bad", fault: serveWithLatency(1), health: replyUnhealthy},
	{name: "slow x5", fault: serveWithLatency(5)},
	{name: "down and up each 1.2 s", fault: closeConn, health: closeConn, flapInterval: 1200 * time.Millisecond},
	{name: "mute", fault: neverAnswer, health: neverAnswer},
	{name: "mute, health good", fault: neverAnswer},
	{name: "8 of 20 reset 45 %", faulty: 8, fault: sometimes(45, delayed(60*time.Millisecond, closeConn))},
	{name: "8 of 20 errors", faulty: 8, fault: sometimes(45, delayed(60*time.Millisecond, replyError))},
	{name: "all reset 20 %", faulty: scenarioRuns, fault: sometimes(20, delayed(60*time.Millisecond, closeConn))},
	{name: "all slow x2", faulty: scenarioRuns, fault: serveWithLatency(2)},
}

// scenarioResult counts the requests that came during the fault or just after it.
type scenarioResult struct{ requests, served, withinTarget, once, lost, probes, probesSaved, ejections, turnedAway int }

func (t *scenarioResult) add(o scenarioResult) {
	t.requests, t.served, t.withinTarget, t.once, t.lost = t.requests+o.requests, t.served+o.served, t.withinTarget+o.withinTarget, t.once+o.once, t.lost+o.lost
	t.probes, t.probesSaved, t.ejections, t.turnedAway = t.probes+o.probes, t.probesSaved+o.probesSaved, t.ejections+o.ejections, t.turnedAway+o.turnedAway
}

const (
	scenarioRuns  = 20
	scenarioSlots = 2
	faultStart    = 20 * time.Second
	faultEnd      = 26 * time.Second
	scenarioEnd   = 32 * time.Second
)

// runScenario simulates 20 targets, of which by default a tenth are faulty from second 20 to 26, at
// a given rate of requests per second, a quarter of which must run at most once. It can turn off
// the substitution of answers for probes (noAnswerEvidence) and passive health.
func runScenario(t *testing.T, scenario faultScenario, rate float64, noAnswerEvidence, noPassiveHealth bool) (result scenarioResult) {
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), func(s *Settings) { s.BudgetRatio, s.BudgetSlack = 0.2, 20 })
		l.node.noAnswerEvidence, l.node.noPassiveHealth = noAnswerEvidence, noPassiveHealth
		l.routes(2)
		began := time.Now()
		for i, nth := range rand.Perm(scenarioRuns) {
			faultActive := func() bool {
				d := time.Since(began) - faultStart
				if d < 0 || d >= faultEnd-faultStart || scenario.fault == nil || nth >= max(scenario.faulty, scenarioRuns/10) {
					return false
				}
				return scenario.flapInterval == 0 || d/scenario.flapInterval%2 == 0
			}
			slots := make(chan bool, scenarioSlots)
			s := l.startTarget(fmt.Sprintf("r%02d", i), nil, func(l *harness, c net.Conn, s *receivedRequest) bool {
				select {
				case slots <- true:
					defer func() { <-slots }()
				case <-time.After(100 * time.Millisecond):
					return writeAnswer(c, "503 Full", s.id, testHeaders.NotRun+": 1\r\n", "")
				}
				if faultActive() {
					return scenario.fault(l, c, s)
				}
				return serveWithLatency(1)(l, c, s)
			})
			s.mu.Lock()
			s.health = func(l *harness, c net.Conn, s *receivedRequest) bool {
				if faultActive() && scenario.health != nil {
					return scenario.health(l, c, s)
				}
				return healthy(l, c, s)
			}
			s.mu.Unlock()
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var baseline Stats
		counting := false
		for seq := 0; time.Since(began) < scenarioEnd; seq++ {
			if !counting && time.Since(began) >= faultStart {
				baseline, counting = l.node.Stats(), true
			}
			kind := []string{"idem", "idem", "down", "once"}[rand.IntN(4)]
			id := fmt.Sprint(kind, seq)
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
				result.requests++
				ok := err == nil && g.validFor(id)
				if ok {
					result.served++
					if time.Since(at) <= 400*time.Millisecond {
						result.withinTarget++
					}
				}
				if kind == "once" {
					result.once++
					// A refusal is no loss: the caller retries.
					if !ok && g.status != 503 {
						result.lost++
					}
				}
			})
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		}
		wg.Wait()
		stats := l.node.Stats()
		result.probes, result.probesSaved = int(stats.Probes-baseline.Probes), int(stats.ProbesSaved-baseline.ProbesSaved)
		result.ejections, result.turnedAway = int(stats.PassedOver-baseline.PassedOver), int(stats.TurnedAway-baseline.TurnedAway)
		for id, n := range l.runCounts {
			if n > 1 && id[:4] == "once" {
				t.Errorf("%s ran %d times", id, n)
			}
		}
		l.close()
	})
	return result
}

// TestFatesWorlds measures passive health and the substitution of answers for probes, each on and
// off: go test ./internal/proxy -run TestFatesWorlds -v -fates.seeds 10. Without the flag it checks
// one scenario only.
func TestFatesWorlds(t *testing.T) {
	if *passiveSeeds == 0 {
		scenario := faultScenarios[2]
		with, without := runScenario(t, scenario, 160, false, false), runScenario(t, scenario, 160, true, true)
		if 2*with.lost >= without.lost {
			t.Errorf("%d requests that must run at most once were lost, without passive health %d", with.lost, without.lost)
		}
		if 4*with.probes >= without.probes {
			t.Errorf("%d probes; %d where answers do not substitute for probes", with.probes, without.probes)
		}
		return
	}
	for _, rate := range []float64{12, 160, 240} {
		for _, scenario := range faultScenarios {
			t.Run(fmt.Sprint(scenario.name, " at ", rate), func(t *testing.T) {
				t.Parallel()
				for k, what := range []string{"neither", "answers as probes", "fates", "both"} {
					var sum scenarioResult
					for range *passiveSeeds {
						sum.add(runScenario(t, scenario, rate, k&1 == 0, k&2 == 0))
					}
					part := func(a, b int) float64 { return 100 * float64(a) / float64(max(1, b)) }
					t.Logf("| %s | %g | %s | %.2f | %.2f | %.2f | %d | %d", scenario.name, rate, what, part(sum.served, sum.requests),
						part(sum.withinTarget, sum.requests), part(sum.lost, sum.once), sum.probes / *passiveSeeds, sum.ejections / *passiveSeeds)
				}
			})
		}
	}
}
