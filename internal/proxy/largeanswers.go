package proxy

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"walkrudder/internal/http1"
)

const (
	// largeAnswerSize is the size from which an answer needs a reservation before it is read.
	largeAnswerSize = 256 << 10
	// largeAnswerShare is the part of the machine's memory that large answers may use.
	largeAnswerShare = 0.4
)

// largeAnswerMemory bounds the bytes of large answers that are buffered completely; waiters are served in order of arrival.
// An answer that waits stays at its target, which is held back by TCP flow control.
type largeAnswerMemory struct {
	limit int64
	sem   *semaphore.Weighted
}

func newLargeAnswerMemory(megabytes int) largeAnswerMemory {
	most := int64(largeAnswerShare * float64(int64(megabytes)<<20))
	return largeAnswerMemory{most, semaphore.NewWeighted(most)}
}

// reserve waits until the given time for memory for an answer, and returns how much must be released later. It reserves the
// full size at once: answers that each hold a part and wait for more could deadlock.
func (r largeAnswerMemory) reserve(size int, until time.Time, c timeSource) (int64, error) {
	if size < largeAnswerSize {
		return 0, nil
	}
	n := min(int64(size), r.limit)
	if r.sem.TryAcquire(n) {
		return n, nil
	}
	ctx, end := context.WithTimeout(context.Background(), until.Sub(c.Now()))
	defer end()
	if err := r.sem.Acquire(ctx, n); err != nil {
		return 0, http1.ErrMemory
	}
	return n, nil
}

// timeSource returns the current time.
type timeSource interface{ Now() time.Time }

// releaseAnswer releases the memory of an answer.
func (n *Node) releaseAnswer(a *answer) {
	n.memory.release(a.reservedBytes)
	if a.largeReserved > 0 {
		n.largeAnswers.sem.Release(a.largeReserved)
		a.largeReserved = 0
	}
}
