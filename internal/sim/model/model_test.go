package model

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	walks = flag.Int("model.walks", defaultCount(60, 8), "random schedules of each scenario")
	first = flag.Uint64("model.first", 1, "the seed of the first random schedule")
	depth = flag.Int("model.depth", defaultCount(1, 0), "run every schedule with up to this many deviations from the default")
	parts = flag.Int("model.parts", 8, "number of explorations that share the schedules of a scenario")
	only  = flag.String("model.only", "", "the scenario to explore; all if empty")
)

// defaultCount returns the CI default of a count, which is smaller under the race detector.
func defaultCount(plain, underRace int) int {
	if raceEnabled {
		return underRace
	}
	return plain
}

// bubble runs each schedule in its own synctest bubble.
func bubble(t *testing.T) Bubble {
	return func(f func(context.Context)) {
		synctest.Test(t, func(t *testing.T) { f(t.Context()) })
	}
}

// totals sums up the parallel explorations of a scenario.
type totals struct {
	mu  sync.Mutex
	all Result
}

func (e *totals) add(t *testing.T, r Result) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all.Schedules += r.Schedules
	e.all.Steps += r.Steps
	if r.Found != nil {
		t.Errorf("%s", r.Found)
	}
}

// explore runs the parts of a scenario's exploration in parallel.
func explore(t *testing.T, s Scenario, f func(t *testing.T, part int) Result) {
	t.Helper()
	t.Run(s.Name, func(t *testing.T) {
		began := time.Now()
		var e totals
		t.Run("parts", func(t *testing.T) {
			for part := range *parts {
				t.Run("", func(t *testing.T) {
					t.Parallel()
					e.add(t, f(t, part))
				})
			}
		})
		spent := time.Since(began)
		t.Logf("%d schedules, %d steps, %.0f schedules a second", e.all.Schedules, e.all.Steps, float64(e.all.Schedules)/spent.Seconds())
	})
}

// Every schedule with up to depth deviations keeps the invariants.
func TestEverySchedule(t *testing.T) {
	for _, s := range Scenarios() {
		if *only == "" || *only == s.Name {
			explore(t, s, func(t *testing.T, part int) Result { return Exhaust(bubble(t), s, *depth, part, *parts) })
		}
	}
}

// Random schedules keep the invariants.
func TestRandomSchedules(t *testing.T) {
	for _, s := range Scenarios() {
		if *only == "" || *only == s.Name {
			each := (*walks + *parts - 1) / *parts
			explore(t, s, func(t *testing.T, part int) Result {
				return RandomWalks(bubble(t), s, *first+uint64(part*each), each)
			})
		}
	}
}
