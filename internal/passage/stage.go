package passage

import (
	"context"
	"sync"
)

// Stage is one step of the pipeline: a bounded queue and its workers.
type Stage[T any] struct {
	Name    string
	queue   chan T
	workers int
	work    func(T)
	// finished reports whether an item ended while queued. Such items are not worked on;
	// discard, if set, is called for them.
	finished func(T) bool
	discard  func(T)
}

// NewStage creates a stage with a queue of the given size and n workers that run work.
func NewStage[T any](name string, size, n int, work func(T), finished func(T) bool) *Stage[T] {
	return &Stage[T]{Name: name, queue: make(chan T, size), workers: n, work: work, finished: finished}
}

// Put queues x and reports whether there was room.
func (s *Stage[T]) Put(x T) bool {
	select {
	case s.queue <- x:
		return true
	default:
		return false
	}
}

// Run runs the workers until ctx ends.
func (s *Stage[T]) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range s.workers {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case x := <-s.queue:
					if !s.finished(x) {
						s.work(x)
					} else if s.discard != nil {
						s.discard(x)
					}
				}
			}
		})
	}
	wg.Wait()
}
