package budget

// mostLeft bounds what Left counts up to.
const mostLeft = 1 << 16

// Left is how many further sends the service could have at this moment, for people. It
// takes none: it asks the rule itself how far it would go, of a copy, so that no send
// waits for it.
func (a *Account) Left() int {
	now := a.of.now()
	part, lots := a.of.part(now)
	a.mu.Lock()
	c := &Account{of: a.of, shut: a.shut, ring: a.ring, drawn: a.drawn, lot: a.lot, before: a.before}
	a.mu.Unlock()
	if c.shut {
		return 0
	}
	cell := c.cell(now)
	spent := cell.extra
	fits := func(n int) bool {
		cell.extra = spent + int32(n) - 1
		return c.fits(now, part, lots)
	}
	low, high := 0, mostLeft
	for low < high {
		if m := (low + high + 1) / 2; fits(m) {
			low = m
		} else {
			high = m - 1
		}
	}
	return low
}
