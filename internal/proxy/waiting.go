package proxy

import (
	"container/heap"
	"time"
)

// turn is every which place goes to who has waited longest, whatever its priority: the
// last rank is slow under a crowd of the first, but none starves.
const turn = 8

// waiter is a request that waits for room at a target.
type waiter struct {
	x     *exchange
	rank  int // 0 goes first
	came  time.Time
	got   chan grant // one place; none for who must make room
	index int
}

// before orders waiters by priority and arrival.
func (w *waiter) before(v *waiter) bool {
	if w.rank != v.rank {
		return w.rank < v.rank
	}
	return w.came.Before(v.came)
}

// waiting is the bounded queue before a service's targets.
type waiting struct {
	list  []*waiter
	most  int
	given int // places, to count turns
}

// next is who gets the next place.
func (q *waiting) next() *waiter {
	first := q.list[0]
	if (q.given+1)%turn == 0 {
		for _, w := range q.list {
			if w.came.Before(first.came) {
				first = w
			}
		}
	}
	return first
}

// ahead tells how many go before w, and how many of its rank or a later one wait.
func (q *waiting) ahead(w *waiter) (before, peers int) {
	for _, v := range q.list {
		if v.before(w) {
			before++
		}
		if v.rank >= w.rank {
			peers++
		}
	}
	return before, peers
}

// push queues w. It returns who had to make room for it, which may be w itself.
func (q *waiting) push(w *waiter) (out *waiter) {
	if len(q.list) >= q.most {
		last := q.list[0]
		for _, v := range q.list {
			if last.before(v) {
				last = v
			}
		}
		if !w.before(last) {
			return w
		}
		heap.Remove(q, last.index)
		out = last
	}
	heap.Push(q, w)
	return out
}

// remove takes w out, or tells that it was not in.
func (q *waiting) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// Len, Less, Swap, Push and Pop serve container/heap.
func (q *waiting) Len() int           { return len(q.list) }
func (q *waiting) Less(i, j int) bool { return q.list[i].before(q.list[j]) }
func (q *waiting) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.list[i].index, q.list[j].index = i, j
}
func (q *waiting) Push(v any) {
	w := v.(*waiter)
	w.index = len(q.list)
	q.list = append(q.list, w)
}
func (q *waiting) Pop() any {
	n := len(q.list) - 1
	w := q.list[n]
	q.list[n] = nil
	q.list, w.index = q.list[:n], -1
	return w
}
