package passage

import (
	"sync"
	"time"
)

const (
	// span is the length over which extra sends are counted.
	span = 10 * time.Second
	// slot is the grain of the count.
	slot  = 250 * time.Millisecond
	slots = int(span/slot) + 1
	// ratio is the share of first sends that extra sends may reach, below the
	// promised fifth.
	ratio = 0.15
	// common is what all gateways share besides, below the promised seventy.
	common = 56.0
)

// Budget bounds the extra sends of one service at one gateway. The promise is for
// all gateways together: each has its ratio of its own requests, and an equal part
// of the common allowance. A fresh budget begins with no part of it for one
// span: the run before it may have spent this gateway's part (design 13.6).
type Budget struct {
	mu       sync.Mutex
	born     time.Time
	slot     [slots]struct{ at, first, extra int64 }
	gateways func() int
}

// NewBudget makes a budget; gateways tells how many gateways share.
func NewBudget(born time.Time, gateways func() int) *Budget {
	return &Budget{born: born, gateways: gateways}
}

func (b *Budget) cell(now time.Time) int {
	n := int64(now.Sub(b.born) / slot)
	i := int(n % int64(slots))
	if b.slot[i].at != n {
		b.slot[i] = struct{ at, first, extra int64 }{at: n}
	}
	return i
}

func (b *Budget) sums(now time.Time) (first, extra int64) {
	n := int64(now.Sub(b.born) / slot)
	for _, s := range b.slot {
		if n-s.at < int64(slots) {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

// First notes a request's first send.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot[b.cell(now)].first++
}

// Extra takes one extra send from the budget, or tells that there is none.
func (b *Budget) Extra(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, x := b.sums(now)
	can := ratio * float64(f)
	if now.Sub(b.born) > span {
		can += common / float64(max(1, b.gateways()))
	}
	if float64(x)+1 > can {
		return false
	}
	b.slot[b.cell(now)].extra++
	return true
}
