package day

import (
	"sync"
	"time"
)

// Trouble is what befalls a world. It returns when it is over.
type Trouble func(w *World)

// At begins a trouble at a moment after the callers have come.
func At(at time.Duration, x Trouble) Trouble {
	return func(w *World) {
		w.sleepUntil(warmUp + at)
		x(w)
	}
}

// Together has several troubles begin at once.
func Together(xs ...Trouble) Trouble {
	return func(w *World) {
		each(xs, func(x Trouble) { x(w) })
	}
}

// Again repeats a trouble, with a pause of mean pause between.
func Again(n int, pause time.Duration, x Trouble) Trouble {
	return func(w *World) {
		for range n {
			x(w)
			time.Sleep(pause/2 + w.within(pause))
		}
	}
}

// For ends what begin began after a time.
func For(d time.Duration, begin func(*World) (over func())) Trouble {
	return func(w *World) {
		over := begin(w)
		time.Sleep(d)
		over()
	}
}

// share is a part of a list, one at least.
func share[T any](w *World, of []T, part float64) []T {
	return some(w, of, max(1, int(part*float64(len(of))+0.5)))
}

func each[T any](of []T, f func(T)) {
	var wg sync.WaitGroup
	for _, x := range of {
		wg.Go(func() { f(x) })
	}
	wg.Wait()
}

// Burst has many more callers come.
func Burst(times float64, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		w.mu.Lock()
		w.press *= times
		w.mu.Unlock()
		return func() {
			w.mu.Lock()
			w.press /= times
			w.mu.Unlock()
		}
	})
}

// Abuse has refused callers try again at once and often.
func Abuse(d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		w.mu.Lock()
		w.abuse = true
		w.mu.Unlock()
		return func() {
			w.mu.Lock()
			w.abuse = false
			w.mu.Unlock()
		}
	})
}

// Lasting begins what lasts until all was read back at the end of the day.
func Lasting(begin func(*World) (over func())) Trouble {
	return func(w *World) {
		over := begin(w)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lasting = append(w.lasting, over)
	}
}
