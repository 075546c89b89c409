package passage

import (
	"sync"
	"time"
)

const (
	// budgetWindow is the period over which sends are counted.
	budgetWindow = 10 * time.Second
	// slotWidth is the resolution of the count, and slotCount the number of slots that cover
	// budgetWindow.
	slotWidth = 250 * time.Millisecond
	slotCount = int(budgetWindow/slotWidth) + 1
	// extraRatio is the ratio of extra sends to first sends that is allowed. It is below the
	// guaranteed limit of a fifth.
	extraRatio = 0.15
	// sharedExtra is a further allowance shared by all gateways, below the guaranteed
	// limit of seventy.
	sharedExtra = 56.0
)

// Budget bounds the extra sends of one service at one gateway. The guarantee holds for all
// gateways together: each has extraRatio of its own requests and an equal share of
// sharedExtra. A new budget gets no part of sharedExtra for one budgetWindow, because the run
// before it may have spent this gateway's share (design 13.6).
type Budget struct {
	mu        sync.Mutex
	createdAt time.Time
	slots     [slotCount]struct{ at, first, extra int64 }
	gateways  func() int
}

// NewBudget creates a budget; gateways returns the number of gateways that divide sharedExtra.
func NewBudget(createdAt time.Time, gateways func() int) *Budget {
	return &Budget{createdAt: createdAt, gateways: gateways}
}

// slotIndex returns the index of the slot for now, cleared if it held an older period.
func (b *Budget) slotIndex(now time.Time) int {
	number := int64(now.Sub(b.createdAt) / slotWidth)
	i := int(number % int64(slotCount))
	if b.slots[i].at != number {
		b.slots[i] = struct{ at, first, extra int64 }{at: number}
	}
	return i
}

// sums returns the first and extra sends within the last budgetWindow.
func (b *Budget) sums(now time.Time) (first, extra int64) {
	n := int64(now.Sub(b.createdAt) / slotWidth)
	for _, s := range b.slots {
		if n-s.at < int64(slotCount) {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

// RecordFirst counts the first send of a request.
func (b *Budget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots[b.slotIndex(now)].first++
}

// TakeExtra takes one extra send from the budget and reports whether it was available.
func (b *Budget) TakeExtra(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, extra := b.sums(now)
	allowed := extraRatio * float64(first)
	if now.Sub(b.createdAt) > budgetWindow {
		allowed += sharedExtra / float64(max(1, b.gateways()))
	}
	if float64(extra)+1 > allowed {
		return false
	}
	b.slots[b.slotIndex(now)].extra++
	return true
}
