package day

import (
	"fmt"
	"os"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
)

// together is how many days are played at once: each takes memory, five times as much
// under the race detector.
var together = make(chan struct{}, lo.Ternary(raced, 1, 2))

func TestMain(m *testing.M) {
	debug.SetGCPercent(50) // a day makes much garbage and keeps little
	os.Exit(m.Run())
}

// play runs a day in a bubble and has it judged. served is the least share of what callers
// want, with their further tries, that is to be served.
func play(t *testing.T, seed uint64, s Shape, length time.Duration, served float64, troubles ...Trouble) {
	t.Helper()
	together <- struct{}{}
	defer func() { <-together }()
	var r *Record
	synctest.Test(t, func(t *testing.T) { r = Play(t, seed, s, length, troubles...) })
	calls := map[string]bool{}
	for _, q := range r.Requests {
		if !q.Probe {
			calls[q.Path] = calls[q.Path] || q.Status >= 200 && q.Status < 300
		}
	}
	ok := 0
	for _, done := range calls {
		if done {
			ok++
		}
	}
	t.Logf("%d tries, %d of %d calls served, %d arrivals, %d orders, %d leavings", len(r.Requests), ok, len(calls), len(r.Arrivals), len(r.Orders), len(r.Leavings))
	if ok == 0 || float64(ok) < served*float64(len(calls)) {
		t.Errorf("%d of %d calls were served", ok, len(calls))
	}
	bs := Judge(r)
	for i, b := range bs {
		if i == 20 {
			t.Errorf("and %d more", len(bs)-i)
			break
		}
		t.Errorf("%v %s: %s", b.At, b.Rule, b.What)
	}
	if t.Failed() {
		for _, s := range r.Spans {
			t.Logf("trouble of %s, kind %d, from %v to %v", s.Machine, s.Kind, s.From, s.To)
		}
	}
}

func TestCalmDay(t *testing.T) {
	t.Parallel()
	play(t, 1, Small(), 20*time.Second, 0.99)
}

// On narrow links downloads go on while they come in, whatever befalls targets and machines.
func TestNarrowDay(t *testing.T) {
	t.Parallel()
	play(t, 2, Narrow(), 25*time.Second, 0.95,
		At(2*time.Second, Faulty("archive", .5, Fault{Garbles: .2, Garble: Short}, 4*time.Second)),
		At(7*time.Second, Faulty("archive", .5, Fault{Resets: .2}, 4*time.Second)),
		At(12*time.Second, Killed(1, Gateway, time.Second)),
		At(16*time.Second, NodeCut(1, true, 3*time.Second)),
		At(20*time.Second, Rolled(500*time.Millisecond)))
}

// Planned stops cut no download off, though the links carry all that they can.
func TestStopsUnderHeavyDownloads(t *testing.T) {
	t.Parallel()
	for seed := range lo.Ternary(raced, uint64(1), 3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, 51+seed, Heavy(), 40*time.Second, 0.6, At(6*time.Second, Rolled(200*time.Millisecond)))
		})
	}
}
