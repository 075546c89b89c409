package proxy

import (
	"sync/atomic"

	"walkrudder/internal/route"
)

// sizes are the mean lengths of answers' bodies, in bytes, by kind of request. Two answers at once
// may count as one.
type sizes map[route.RetryPolicy]*atomic.Int64

func newSizes() sizes {
	return sizes{route.AtMostOnce: {}, route.Idempotent: {}, route.Download: {}}
}

// large tells whether answers to requests of a kind are paced on narrow links, by those of late.
func (s *service) large(kind route.RetryPolicy) bool {
	mean := s.sizes[kind]
	return mean != nil && mean.Load() >= bulkFrom
}

// noteSize notes the length of an answer, if it is a success.
func (s *service) noteSize(kind route.RetryPolicy, a *answer) {
	mean := s.sizes[kind]
	if mean == nil || a.status >= 300 {
		return
	}
	old := mean.Load()
	mean.Store(old + (int64(a.bodySize())-old)/sizeOver)
}
