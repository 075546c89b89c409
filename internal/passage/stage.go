package passage

import (
	"context"
	"sync"
)

// Stage is one step of the way: a bounded queue and the workers behind it.
type Stage struct {
	Name string
	q    chan *Trip
	n    int
	work func(*Trip)
	// drop, where set, is told of trips that ended while they were queued.
	drop func(*Trip)
}

// NewStage makes a stage with a queue of size and n workers.
func NewStage(name string, size, n int, work func(*Trip)) *Stage {
	return &Stage{Name: name, q: make(chan *Trip, size), n: n, work: work}
}

// Put queues t, or tells that the queue is full.
func (s *Stage) Put(t *Trip) bool {
	select {
	case s.q <- t:
		return true
	default:
		return false
	}
}

// Len is the number of trips in the queue.
func (s *Stage) Len() int { return len(s.q) }

// Run works until ctx ends.
func (s *Stage) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range s.n {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case t := <-s.q:
					if !t.over.Load() {
						s.work(t)
					} else if s.drop != nil {
						s.drop(t)
					}
				}
			}
		})
	}
	wg.Wait()
}
