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

// parallelDays limits how many days run at the same time: each needs memory, five times as much
// under the race detector.
var parallelDays = make(chan struct{}, lo.Ternary(raceEnabled, 1, 2))

func TestMain(m *testing.M) {
	debug.SetGCPercent(50) // a day produces much garbage and little live data
	os.Exit(m.Run())
}

// runAndCheck runs a day in a synctest bubble and checks its record. served is the minimum share of calls, each
// with its retries, that must be served.
func runAndCheck(t *testing.T, seed uint64, s Deployment, length time.Duration, served float64, scenarios ...Scenario) {
	t.Helper()
	parallelDays <- struct{}{}
	defer func() { <-parallelDays }()
	var r *Record
	synctest.Test(t, func(t *testing.T) { r = RunDay(t, seed, s, length, scenarios...) })
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
	t.Logf("%d attempts, %d of %d calls served, %d arrivals, %d changes, %d departures", len(r.Requests), ok, len(calls), len(r.Arrivals), len(r.Changes), len(r.Departures))
	if ok == 0 || float64(ok) < served*float64(len(calls)) {
		t.Errorf("only %d of %d calls were served", ok, len(calls))
	}
	violations := CheckAll(r)
	for i, b := range violations {
		if i == 20 {
			t.Errorf("%d more violations", len(violations)-i)
			break
		}
		t.Errorf("%v %s: %s", b.At, b.Rule, b.Detail)
	}
	if t.Failed() {
		for _, s := range r.Faults {
			t.Logf("fault of %s, kind %d, from %v to %v", s.Machine, s.Kind, s.From, s.To)
		}
	}
}

func TestCalmDay(t *testing.T) {
	t.Parallel()
	runAndCheck(t, 1, SmallDeployment(), 20*time.Second, 0.99)
}

// Checks that on narrow links downloads are forwarded while they are received, during faults of targets and machines.
func TestNarrowDay(t *testing.T) {
	t.Parallel()
	runAndCheck(t, 2, NarrowLinkDeployment(), 25*time.Second, 0.95,
		StartAt(2*time.Second, FaultyTargets("archive", .5, TargetFault{Corrupt: .2, Corruption: TruncatedBody}, 4*time.Second)),
		StartAt(7*time.Second, FaultyTargets("archive", .5, TargetFault{ResetAfterRun: .2}, 4*time.Second)),
		StartAt(12*time.Second, KillProcesses(1, Gateway, time.Second)),
		StartAt(16*time.Second, IsolateMachines(1, true, 3*time.Second)),
		StartAt(20*time.Second, RollingRestart(500*time.Millisecond)))
}

// Checks that orderly shutdowns cut no download short while the links are saturated.
func TestStopsUnderHeavyDownloads(t *testing.T) {
	t.Parallel()
	for seed := range lo.Ternary(raceEnabled, uint64(1), 3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runAndCheck(t, 51+seed, OverloadedLinkDeployment(), 40*time.Second, 0.6, StartAt(6*time.Second, RollingRestart(200*time.Millisecond)))
		})
	}
}
