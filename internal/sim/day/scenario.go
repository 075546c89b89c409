package day

import (
	"sync"
	"time"
)

// Scenario is a sequence of events, such as a fault or a change. It returns when it is over.
type Scenario func(w *World)

// StartAt runs a scenario at a time after the first callers.
func StartAt(at time.Duration, x Scenario) Scenario {
	return func(w *World) {
		w.sleepUntil(warmUp + at)
		x(w)
	}
}

// Parallel runs several scenarios concurrently.
func Parallel(scenarios ...Scenario) Scenario {
	return func(w *World) {
		inParallel(scenarios, func(x Scenario) { x(w) })
	}
}

// Repeat runs a scenario n times with random pauses of the given mean between.
func Repeat(n int, pause time.Duration, x Scenario) Scenario {
	return func(w *World) {
		for range n {
			x(w)
			time.Sleep(pause/2 + w.randDuration(pause))
		}
	}
}

// During calls begin and, after a time, the function that it returned.
func During(d time.Duration, begin func(*World) (over func())) Scenario {
	return func(w *World) {
		over := begin(w)
		time.Sleep(d)
		over()
	}
}

// pickShare returns a random share of a list, at least one element.
func pickShare[T any](w *World, of []T, share float64) []T {
	return pickN(w, of, max(1, int(share*float64(len(of))+0.5)))
}

func inParallel[T any](of []T, f func(T)) {
	var wg sync.WaitGroup
	for _, x := range of {
		wg.Go(func() { f(x) })
	}
	wg.Wait()
}

// TrafficBurst multiplies the rate of calls.
func TrafficBurst(times float64, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		w.mu.Lock()
		w.loadFactor *= times
		w.mu.Unlock()
		return func() {
			w.mu.Lock()
			w.loadFactor /= times
			w.mu.Unlock()
		}
	})
}

// AggressiveRetries makes callers retry immediately and often after a refusal.
func AggressiveRetries(d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		w.mu.Lock()
		w.aggressiveRetries = true
		w.mu.Unlock()
		return func() {
			w.mu.Lock()
			w.aggressiveRetries = false
			w.mu.Unlock()
		}
	})
}

// UntilFinalRead begins a fault that lasts until the final read at the end of the day.
func UntilFinalRead(begin func(*World) (over func())) Scenario {
	return func(w *World) {
		over := begin(w)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finalCleanups = append(w.finalCleanups, over)
	}
}
