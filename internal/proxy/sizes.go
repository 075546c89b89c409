package proxy

import (
	"sync/atomic"

	"walkrudder/internal/route"
)

// meanSizes are moving averages of answer body sizes in bytes, by kind of request. Concurrent updates
// may be counted as one.
type meanSizes map[route.RetryPolicy]*atomic.Int64

func newMeanSizes() meanSizes {
	return meanSizes{route.AtMostOnce: {}, route.Idempotent: {}, route.Download: {}}
}

// hasLargeAnswers reports whether answers to requests of a kind are paced on narrow links, judging by recent ones.
func (s *service) hasLargeAnswers(kind route.RetryPolicy) bool {
	mean := s.sizes[kind]
	return mean != nil && mean.Load() >= largeBodySize
}

// recordSize adds the size of a successful answer to the average.
func (s *service) recordSize(kind route.RetryPolicy, a *answer) {
	mean := s.sizes[kind]
	if mean == nil || a.status >= 300 {
		return
	}
	old := mean.Load()
	mean.Store(old + (int64(a.bodySize())-old)/meanSizeWindow)
}
