package proxy

import (
	"container/heap"
	"time"
)

// oldestEvery is the number of grants after which one goes to the longest waiting request whatever
// its priority: under a flood of high-priority requests the lowest priority is slow, but never starved.
const oldestEvery = 8

// waiter is a request that waits for capacity at a target.
type waiter struct {
	x        *exchange
	priority int // 0 goes first
	arrived  time.Time
	granted  chan grant // buffered; an evicted waiter gets the zero grant
	index    int
}

// before orders waiters by priority, then by arrival.
func (w *waiter) before(v *waiter) bool {
	if w.priority != v.priority {
		return w.priority < v.priority
	}
	return w.arrived.Before(v.arrived)
}

// waitQueue is the bounded queue of a service's requests that wait for a target.
type waitQueue struct {
	waiters  []*waiter
	capacity int
	grants   int // grants so far, for oldestEvery
}

// next returns the waiter that gets the next grant.
func (q *waitQueue) next() *waiter {
	first := q.waiters[0]
	if (q.grants+1)%oldestEvery == 0 {
		for _, w := range q.waiters {
			if w.arrived.Before(first.arrived) {
				first = w
			}
		}
	}
	return first
}

// position returns how many waiters go before w, and how many of its priority or a lower one wait.
func (q *waitQueue) position(w *waiter) (before, peers int) {
	for _, v := range q.waiters {
		if v.before(w) {
			before++
		}
		if v.priority >= w.priority {
			peers++
		}
	}
	return before, peers
}

// push queues w. It returns the waiter that is evicted for it, which may be w itself, or nil.
func (q *waitQueue) push(w *waiter) (evicted *waiter) {
	if len(q.waiters) >= q.capacity {
		last := q.waiters[0]
		for _, v := range q.waiters {
			if last.before(v) {
				last = v
			}
		}
		if !w.before(last) {
			return w
		}
		heap.Remove(q, last.index)
		evicted = last
	}
	heap.Push(q, w)
	return evicted
}

// remove removes w, and reports whether it was queued.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *waitQueue) Len() int           { return len(q.waiters) }
func (q *waitQueue) Less(i, j int) bool { return q.waiters[i].before(q.waiters[j]) }
func (q *waitQueue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}
func (q *waitQueue) Push(v any) {
	w := v.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}
func (q *waitQueue) Pop() any {
	n := len(q.waiters) - 1
	w := q.waiters[n]
	q.waiters[n] = nil
	q.waiters, w.index = q.waiters[:n], -1
	return w
}
