package budget

// maxRemaining bounds the result of Remaining.
const maxRemaining = 1 << 16

// Remaining is how many extra sends the service could have at this moment, for display. It
// takes none: it evaluates the limit on a copy of the account, so that no send waits for it.
func (a *Account) Remaining() int {
	now := a.budget.currentSlot()
	part, randomized := a.budget.slackPart(now)
	a.mu.Lock()
	copied := &Account{budget: a.budget, disabled: a.disabled, ring: a.ring, drawPeriod: a.drawPeriod, lastDraw: a.lastDraw, previousDraw: a.previousDraw}
	a.mu.Unlock()
	if copied.disabled {
		return 0
	}
	counts := copied.countsOf(now)
	spent := counts.extraSends
	fits := func(n int) bool {
		counts.extraSends = spent + int32(n) - 1
		return copied.fits(now, part, randomized)
	}
	low, high := 0, maxRemaining
	for low < high {
		if mid := (low + high + 1) / 2; fits(mid) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}
