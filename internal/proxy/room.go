package proxy

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// roomFrom is the size from which an answer waits for room before it is taken in.
	roomFrom = 256 << 10
	// roomPart is the part of a machine's memory that large answers may take.
	roomPart = 0.4
)

// answerRoom bounds the bytes of large answers that are held whole, in the order in which they came. An answer that
// waits stays at its target, which the connection's window holds up.
type answerRoom struct {
	most int64
	free *semaphore.Weighted
}

func newAnswerRoom(megabytes int) answerRoom {
	most := int64(roomPart * float64(int64(megabytes)<<20))
	return answerRoom{most, semaphore.NewWeighted(most)}
}

// reserve waits for room for an answer of so many bytes until a moment, and tells how much is to be given back. All of it is
// had at once: answers that each hold a part and wait for more would wait for each other.
func (r answerRoom) reserve(size int, until time.Time, c clocked) (int64, error) {
	if size < roomFrom {
		return 0, nil
	}
	n := min(int64(size), r.most)
	if r.free.TryAcquire(n) {
		return n, nil
	}
	ctx, end := context.WithTimeout(context.Background(), until.Sub(c.Now()))
	defer end()
	if err := r.free.Acquire(ctx, n); err != nil {
		return 0, errMemory
	}
	return n, nil
}

// clocked tells the time.
type clocked interface{ Now() time.Time }

// release gives back what an answer held.
func (n *Node) release(a *answer) {
	n.mem.give(a.held)
	if a.room > 0 {
		n.room.free.Release(a.room)
		a.room = 0
	}
}
