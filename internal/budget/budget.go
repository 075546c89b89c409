// Package budget is a retry budget that many nodes share without exchanging messages for each
// request: it limits the additional sends of requests, whether retries or hedges (design 13.6).
package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/clock"
)

// Guarantee. In any window of length W, over all nodes, a service gets at most
//
//	ratio x R + slack
//
// extra sends, where R is the number of requests for it in that window or in the
// window before it, whichever is larger.
//
// Rule. Let E(a, b] be a node's extra sends and F(a, b] its requests, and let s be the
// safetyFactor. The node takes an extra send at t only if for every T in [t, t+W), that is
// for each window that will contain this send,
//
//	E(T-W, t] <= s x ratio x F(T-2W, t] / 2 + part.
//
// Proof. Take any window (T-W, T] and a node's last extra send t in it. The node's extra
// sends in the window are E(T-W, t], and F only grows after t, so the window contains at most
// s x ratio x (F(T-2W, T-W] + F(T-W, T]) / 2 + part of that node. The sums of the two F
// over all nodes are R of the previous window and R of this one, and half of their sum
// is at most the larger one. The proof does not assume that nodes live long, that
// load is steady or that their clocks agree. A bound by the window that ends at t alone
// is not sufficient: extra sends late in their own window, combined with requests that
// come in waves, reach up to twice the ratio.
//
// At a steady load the limit is all of s x ratio; half of it may be spent at once, and a
// node that just started has half of it for the requests that it received.
//
// Parts of the slack. A node's part of the slack is s x slack / n, where n is the number of
// nodes. It has a part only if n was reported to it at least once in each quarter of a window
// for one and a half windows: a process that just started has none, since its predecessor may
// have spent it, and a node that is cut off has none, since many nodes may have been added. It
// uses the largest n of several windows, at least one and a half. Take all nodes whose part
// counts in a window (T-W, T]. Each of them sent in it, later than T-W, so it lived from T-1.5W
// until after T-W, and n was reported to it in (T-1.25W, T-W]. If a reported n counts all nodes
// that lived at some moment of the preceding quarter of a window, that moment is in
// (T-1.5W, T-W], in which all of these nodes lived, so each n is at least their number, and
// their parts together are at most s x slack. This also holds when nodes are replaced, and when
// many are added at once. The maximum is kept for longer than that, since the reported number
// may fall while some nodes are only unreachable.
//
// Randomized rounding. Where there are more nodes than the shared slack has sends, a part is
// less than one, and with few requests at each node so is its whole limit: rounded down, no node
// would ever send. There a node has no part; the limit x that its own requests give it is
// rounded up with probability bias x (the fraction of x), else down, bias being roundingBias. The
// whole s x slack is the margin for that. Proof: with X the sum of all x, which is
// at most s x ratio x R, S the sum of all rounded limits, and any h > 0,
//
//	E exp(h S) <= product of exp(h floor(x)) (1 + bias frac(x) (exp(h)-1)) <= exp(h X),
//
// the last where bias = h / (exp(h)-1). So S exceeds s x (ratio x R + slack) with a
// probability below exp(-h x s x slack), which is exp(-overrunExponent) = exp(-50) for
// h = 50 / (s x slack), whatever the number of nodes and the distribution of the requests. With
// 700 nodes and 400 services checked in each slot of each node, a year has 4e13 windows, and one of
// them exceeds the limit with a probability below 1e-8, not counting what safetyFactor leaves besides.
//
// A random number is drawn for several windows. In the first of them the previous number counts
// too, so that each window is subject to one number per node, selected without regard to its
// value: of two that may fall into one window the later only admits sends that the earlier admits
// as well. Nodes to which n is not reported draw no number, as they have no part. While some nodes
// take n for larger than the slack and others do not, the bound is exact: if N nodes lived, none
// had a smaller n reported, so if s x slack / N is at least one, each node that takes n for larger
// gives up a part of at least one for a random number that adds less than one; and if it is less
// than one, no node was reported a number that gives it a part.
//
// Granularity. Time is divided into slots of W/40. A send counts as long as the window reaches
// into its slot or the one after, a request only while its slot and the one before are
// entirely in the window; so a send may reach the target, or a request be counted by the client,
// one slot away from when this node saw it. Larger differences are left to safetyFactor.
const (
	safetyFactor     = 0.8
	slotsPerWindow   = 40
	ringSlots        = 2*slotsPerWindow + 1
	memoryWindows    = 6                      // windows for which the largest number of nodes is kept
	minReportedSlots = 3 * slotsPerWindow / 2 // slots for which the number of nodes must have been reported
	maxReportAge     = slotsPerWindow / 4     // slots after which a reported number expires
	overrunExponent  = 50                     // negative logarithm of the probability that randomized rounding exceeds a window's limit
	drawSlots        = 8 * slotsPerWindow     // slots for which a random number is drawn
	// maxAccounts bounds the accounts; services beyond it get no extra sends.
	maxAccounts = 4096
)

// Budget is one node's part of the budgets of all services.
type Budget struct {
	clock                 clock.Clock
	created               time.Time
	slotDuration          time.Duration
	halfRatio, totalSlack float64 // half of the ratio and the whole slack, both times safetyFactor
	roundingBias          float64 // factor on the probability of rounding a limit up
	random                func() float64

	mu            sync.Mutex
	accounts      map[string]*Account
	lastReport    int64                        // the slot in which the number of nodes was last reported
	reportedSince int64                        // the slot since which it was reported without a gap
	maxNodes      [memoryWindows + 1]windowMax // the largest number of nodes in each window
}

type windowMax struct {
	window int64
	n      int
}

// New returns the budget of a process that starts now. It assumes that the process
// replaces one that has spent its whole budget.
func New(ratio float64, window time.Duration, slack int, clock clock.Clock) *Budget {
	return NewWithRandom(ratio, window, slack, clock, rand.Float64)
}

// NewWithRandom is New with a source of random numbers from 0 to 1. The source must be safe for
// concurrent use if the budget is used concurrently.
func NewWithRandom(ratio float64, window time.Duration, slack int, clock clock.Clock, random func() float64) *Budget {
	return &Budget{
		clock: clock, created: clock.Now(), slotDuration: max(1, window/slotsPerWindow),
		halfRatio: safetyFactor * ratio / 2, totalSlack: safetyFactor * float64(slack), roundingBias: roundingBias(safetyFactor * float64(slack)), random: random,
		accounts: map[string]*Account{}, lastReport: -maxReportAge,
	}
}

// roundingBias is the factor on the probability of rounding a node's limit up by which all nodes
// together stay within a margin.
func roundingBias(margin float64) float64 {
	if margin <= 0 {
		return 0
	}
	h := overrunExponent / margin
	return h / math.Expm1(h)
}

// currentSlot is the number of the current slot.
func (b *Budget) currentSlot() int64 { return int64(b.clock.Now().Sub(b.created) / b.slotDuration) }

// SetNodes reports how many nodes share the budget: all that may be alive, including those that are
// unreachable. It must be called more often than four times per window, also if the number is
// unchanged: a number that is not repeated expires.
func (b *Budget) SetNodes(n int) {
	if n < 1 {
		return
	}
	now := b.currentSlot()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now-b.lastReport >= maxReportAge {
		b.reportedSince = now
	}
	b.lastReport = now
	window := now / slotsPerWindow
	m := &b.maxNodes[window%int64(len(b.maxNodes))]
	if m.window != window {
		*m = windowMax{window: window}
	}
	m.n = max(m.n, n)
}

// slackPart returns the node's part of the slack, or that limits are rounded randomly instead.
func (b *Budget) slackPart(now int64) (part float64, randomized bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now-b.lastReport >= maxReportAge || now-b.reportedSince <= minReportedSlots {
		return 0, false
	}
	n := 1
	for _, m := range b.maxNodes {
		if now/slotsPerWindow-m.window < int64(len(b.maxNodes)) {
			n = max(n, m.n)
		}
	}
	if part = b.totalSlack / float64(n); part < 1 {
		return 0, true
	}
	return part, false
}

// ForService returns a service's account; callers may keep it.
func (b *Budget) ForService(service string) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[service]
	if a == nil {
		a = &Account{budget: b}
		if len(b.accounts) >= maxAccounts {
			a.disabled = true
			return a
		}
		b.accounts[service] = a
	}
	return a
}

// Account is one service's part of the budget.
type Account struct {
	budget   *Budget
	disabled bool // beyond maxAccounts: it gets no extra sends
	mu       sync.Mutex
	ring     [ringSlots]slotCounts
	// drawPeriod is the number of the period for which lastDraw, from 0 to 1, was drawn; previousDraw is
	// that of the period before.
	drawPeriod             int64
	lastDraw, previousDraw float64
}

type slotCounts struct {
	slot                 int64
	requests, extraSends int32
}

func (a *Account) countsOf(slot int64) *slotCounts {
	c := &a.ring[slot%ringSlots]
	if c.slot != slot {
		*c = slotCounts{slot: slot}
	}
	return c
}

// RecordRequest counts a request for the service on arrival, whether or not it is sent on.
func (a *Account) RecordRequest() {
	now := a.budget.currentSlot()
	a.mu.Lock()
	a.countsOf(now).requests++
	a.mu.Unlock()
}

// TryExtraSend takes one extra send from the budget, and returns false if none is available.
func (a *Account) TryExtraSend() bool {
	now := a.budget.currentSlot()
	part, randomized := a.budget.slackPart(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disabled || !a.fits(now, part, randomized) {
		return false
	}
	a.countsOf(now).extraSends++
	return true
}

// drawAt returns the random number in effect. It is drawn on the first call in a period, however late.
func (a *Account) drawAt(now int64) float64 {
	switch period := now/drawSlots + 1; {
	case a.drawPeriod == period:
	case a.drawPeriod == period-1:
		a.drawPeriod, a.previousDraw, a.lastDraw = period, a.lastDraw, a.budget.random()
	default: // all sends under the previous number have left the window
		a.drawPeriod, a.previousDraw, a.lastDraw = period, 1, a.budget.random()
	}
	if now%drawSlots < slotsPerWindow+2 {
		return min(a.lastDraw, a.previousDraw)
	}
	return a.lastDraw
}

// allowance is the number of extra sends that a limit of x admits.
func (a *Account) allowance(x float64, randomized bool, draw float64) float64 {
	whole, rest := math.Modf(x)
	if randomized && a.budget.roundingBias*rest+draw >= 1 {
		whole++
	}
	return whole
}

// fits reports whether the budget admits one more extra send. It checks every slot in which a
// window that contains a send at now may end, the latest first: that window contains the fewest
// sends and requests.
func (a *Account) fits(now int64, part float64, randomized bool) bool {
	draw := 0.0
	if randomized {
		draw = a.drawAt(now)
	}
	countsAt := func(slot int64) (c slotCounts) {
		if slot >= 0 {
			if c = a.ring[slot%ringSlots]; c.slot != slot {
				c = slotCounts{}
			}
		}
		return c
	}
	extraSends, requests := int32(1), int32(0)
	for s := now; s > now-slotsPerWindow+2; s-- {
		requests += countsAt(s).requests
	}
	extraSends += countsAt(now).extraSends
	for end := now + slotsPerWindow; end >= now; end-- {
		// The window that ends in this slot begins in slot end-slotsPerWindow.
		if s := end - slotsPerWindow - 1; s < now {
			extraSends += countsAt(s).extraSends
		}
		requests += countsAt(end - 2*slotsPerWindow + 2).requests
		if float64(extraSends) > a.allowance(a.budget.halfRatio*float64(requests)+part, randomized, draw) {
			return false
		}
	}
	return true
}
