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
	walks = flag.Int("model.walks", usual(60, 8), "random schedules of each scenario")
	first = flag.Uint64("model.first", 1, "the seed of the first random schedule")
	depth = flag.Int("model.depth", usual(1, 0), "every schedule with up to so many deviations from the usual one is played")
	parts = flag.Int("model.parts", 8, "explorations that share the schedules of a scenario")
	only  = flag.String("model.only", "", "the scenario to explore; all where it is empty")
)

// usual is how much CI plays, and how much of it under the race detector.
func usual(plain, underRace int) int {
	if raced {
		return underRace
	}
	return plain
}

// bubble runs each schedule in a bubble of its own.
func bubble(t *testing.T) Bubble {
	return func(f func(context.Context)) {
		synctest.Test(t, func(t *testing.T) { f(t.Context()) })
	}
}

// explored adds up what the explorations of a scenario saw.
type explored struct {
	mu  sync.Mutex
	all Result
}

func (e *explored) add(t *testing.T, r Result) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all.Schedules += r.Schedules
	e.all.Steps += r.Steps
	if r.Found != nil {
		t.Errorf("%s", r.Found)
	}
}

// explore plays a scenario's schedules in parts side by side.
func explore(t *testing.T, s Scenario, f func(t *testing.T, part int) Result) {
	t.Helper()
	t.Run(s.Name, func(t *testing.T) {
		began := time.Now()
		var e explored
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

// Every schedule with few deviations keeps the invariants.
func TestEverySchedule(t *testing.T) {
	for _, s := range Scenarios() {
		if *only == "" || *only == s.Name {
			explore(t, s, func(t *testing.T, part int) Result { return Exhaust(bubble(t), s, *depth, part, *parts) })
		}
	}
}

// Random schedules keep them, too.
func TestRandomSchedules(t *testing.T) {
	for _, s := range Scenarios() {
		if *only == "" || *only == s.Name {
			each := (*walks + *parts - 1) / *parts
			explore(t, s, func(t *testing.T, part int) Result {
				return Walks(bubble(t), s, *first+uint64(part*each), each)
			})
		}
	}
}
