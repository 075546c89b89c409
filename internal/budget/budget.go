// Package budget is a retry budget that many nodes share without a message a request:
// it bounds the further sends of a request, be they retries or hedges (design 13.6).
package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/clock"
)

// The promise. In any window of the length W, over all nodes, a service gets at most
//
//	ratio x R + slack
//
// further sends, where R is the number of requests for it in that window or in the
// window before it, whichever is more.
//
// How it is kept. Be E(a, b] a node's further sends and F(a, b] its requests. It takes a
// further send at t only if for every T in [t, t+W), that is for each window that will
// hold this send,
//
//	E(T-W, t] <= share x ratio x F(T-2W, t] / 2 + part.
//
// Take any window (T-W, T] and a node's last further send t in it. What the node sent
// in the window is E(T-W, t], and F only grows after t, so the window holds at most
// share x ratio x (F(T-2W, T-W] + F(T-W, T]) / 2 + part of that node. The sums over all
// nodes of the two F are R of the window before and R of this one, and half of both
// together is at most the larger one. It is nowhere needed that nodes live long, that
// load is steady or that their clocks agree. A bound by the window that ends at t alone,
// which looks enough, is not: further sends late in their own window and requests that
// ebb and gateway make up to twice the ratio.
//
// At a steady load the bound is all of share x ratio; half of it may be spent in one
// instant, and a node that just came has half of it for what it saw.
//
// The parts. A node's part of the slack is share x slack / n. It has one only when it
// was told n at least once in each quarter of a window for one and a half windows: a
// process that just started has none, for the one before it may have spent it, and who
// is cut off has none, for many may have come. Its n is the largest of some windows, at
// least one and a half. Take all nodes whose part counts in a window (T-W, T]. Each sent
// there, later than T-W, so it lived from T-1.5W on, beyond T-W; and it was told n in
// (T-1.25W, T-W]. If an n that is told counts all nodes that lived at some moment of the
// quarter of a window before, that moment is in (T-1.5W, T-W], in which all of these
// nodes lived, so each n is at least their number, and their parts together are at most
// share x slack. That is so when nodes are replaced, and when they become many more at
// once. The memory is longer than that, for the number that tellers know may fall while
// a part of the nodes is only out of reach.
//
// The lots. Where there are more nodes than the shared slack has sends, a part is less
// than one, and with few requests at each node so is all that it may send: rounded down,
// nobody would ever send. There a node has no part; what its own requests give it, say
// x, is rounded by lot: up with the chance lean x (the fraction of x), else down. The
// whole share x slack is the margin for that. Why it is enough: with X the sum of all x,
// which is at most share x ratio x R, S the sum of what all may send, and any h > 0,
//
//	E exp(h S) <= product of exp(h floor(x)) (1 + lean frac(x) (exp(h)-1)) <= exp(h X),
//
// the last where lean = h / (exp(h)-1). So S exceeds share x (ratio x R + slack) with a
// chance below exp(-h x share x slack), which is rare, exp(-50), for h = 50 / (share x
// slack): whatever the number of nodes, and however the requests are spread. With 700 nodes and
// 400 services looked at in each slot of each node, a year has 4e13 windows, and one is broken with a
// chance below 1e-8, what share leaves besides not counted.
//
// A lot is drawn for some windows; in the first of them that of the windows before counts too, so
// that each window is under one lot for each node, picked without looking at its value:
// of two that may fall into one window the later binds only those that are under the
// earlier as well. Nodes that are not told n have no lot, as they have no part. While
// some hold the number for larger than the slack and others do not, it is exact: if N
// nodes lived, none was told less, so each of the former gave away a part of at least
// one, if share x slack / N is at least one, for a lot that gives it less than one more;
// and if that is less than one, none of them is told a number that gives it a part.
//
// The grain. Time goes by slots of W/40. A send counts as long as the window reaches
// into its slot or the one after, a request only while it and the slot before are
// wholly in it; so a send may come to the target, or a request be told of by the client,
// a slot away from when this node saw it. What is beyond that is left to share.
const (
	share  = 0.8
	fine   = 40 // slots a window
	ring   = 2*fine + 1
	memory = 6            // windows in which the largest number of nodes stands
	grown  = 3 * fine / 2 // slots for which a node must have been told
	told   = fine / 4     // slots after which a number is too old
	rare   = 50           // the logarithm of the chance against a window broken by lots
	lot    = 8 * fine     // slots for which a lot is drawn
	// maxServices bounds the accounts; services beyond it get no further sends.
	maxServices = 4096
)

// Budget is one node's part of the budgets of all services.
type Budget struct {
	clock       clock.Clock
	born        time.Time
	slot        time.Duration
	ratio, full float64
	lean        float64 // by how much less than its fraction a sum is rounded up
	random      func() float64

	mu       sync.Mutex
	accounts map[string]*Account
	heard    int64               // the slot in which the number of nodes was last told
	since    int64               // the slot from which on it was told without a gap
	most     [memory + 1]maximum // the largest number of nodes in each window
}

type maximum struct {
	at int64
	n  int
}

// New makes the budget of a process that starts now, of which it is taken that it
// follows another one that spent all it had.
func New(ratio float64, window time.Duration, slack int, clock clock.Clock) *Budget {
	return NewDrawing(ratio, window, slack, clock, rand.Float64)
}

// NewDrawing makes a budget as New does that draws its lots, numbers of 0 to 1, from random. Several goroutines may
// call it at once where several use the budget.
func NewDrawing(ratio float64, window time.Duration, slack int, clock clock.Clock, random func() float64) *Budget {
	return &Budget{
		clock: clock, born: clock.Now(), slot: max(1, window/fine),
		ratio: share * ratio / 2, full: share * float64(slack), lean: leaning(share * float64(slack)), random: random,
		accounts: map[string]*Account{}, heard: -told,
	}
}

// leaning is by how much less than its fraction a node's sum is rounded up, for all
// together to stay within a margin.
func leaning(margin float64) float64 {
	if margin <= 0 {
		return 0
	}
	h := rare / margin
	return h / math.Expm1(h)
}

// now is the number of the slot.
func (b *Budget) now() int64 { return int64(b.clock.Now().Sub(b.born) / b.slot) }

// SetNodes tells how many nodes share: all that may be alive, also those that can't be
// reached just now. It is to be called with each telling, also of the same number, more
// often than four times a window: a number that nobody repeats is not trusted.
func (b *Budget) SetNodes(n int) {
	if n < 1 {
		return
	}
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now-b.heard >= told {
		b.since = now
	}
	b.heard = now
	window := now / fine
	m := &b.most[window%int64(len(b.most))]
	if m.at != window {
		*m = maximum{at: window}
	}
	m.n = max(m.n, n)
}

// part is the node's part of the slack, or says that there are lots instead.
func (b *Budget) part(now int64) (part float64, lots bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now-b.heard >= told || now-b.since <= grown {
		return 0, false
	}
	n := 1
	for _, m := range b.most {
		if now/fine-m.at < int64(len(b.most)) {
			n = max(n, m.n)
		}
	}
	if part = b.full / float64(n); part < 1 {
		return 0, true
	}
	return part, false
}

// Of returns a service's account, for callers to keep.
func (b *Budget) Of(service string) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[service]
	if a == nil {
		a = &Account{of: b}
		if len(b.accounts) >= maxServices {
			a.shut = true
			return a
		}
		b.accounts[service] = a
	}
	return a
}

// Account is one service's part of the budget.
type Account struct {
	of   *Budget
	shut bool
	mu   sync.Mutex
	ring [ring]counts
	// drawn numbers the time for which lot was drawn, of 0 to 1; before is the one before.
	drawn       int64
	lot, before float64
}

type counts struct {
	at            int64
	firsts, extra int32
}

func (a *Account) cell(slot int64) *counts {
	c := &a.ring[slot%ring]
	if c.at != slot {
		*c = counts{at: slot}
	}
	return c
}

// First notes a request for the service as it comes, sent on or not.
func (a *Account) First() {
	now := a.of.now()
	a.mu.Lock()
	a.cell(now).firsts++
	a.mu.Unlock()
}

// Extra takes one further send, or tells that there is none.
func (a *Account) Extra() bool {
	now := a.of.now()
	part, lots := a.of.part(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shut || !a.fits(now, part, lots) {
		return false
	}
	a.cell(now).extra++
	return true
}

// draw is the lot that counts now. Who asks seldom draws late, which nobody sees.
func (a *Account) draw(now int64) float64 {
	switch at := now/lot + 1; {
	case a.drawn == at:
	case a.drawn == at-1:
		a.drawn, a.before, a.lot = at, a.lot, a.of.random()
	default: // what was sent under the lot before is long ago
		a.drawn, a.before, a.lot = at, 1, a.of.random()
	}
	if now%lot < fine+2 {
		return min(a.lot, a.before)
	}
	return a.lot
}

// most is how many further sends a sum of shares allows.
func (a *Account) most(x float64, lots bool, drawn float64) float64 {
	whole, rest := math.Modf(x)
	if lots && a.of.lean*rest+drawn >= 1 {
		whole++
	}
	return whole
}

// fits looks at every slot in which a window that holds a send of now may end, the
// latest first: that one holds the fewest sends and requests.
func (a *Account) fits(now int64, part float64, lots bool) bool {
	drawn := 0.0
	if lots {
		drawn = a.draw(now)
	}
	at := func(slot int64) (c counts) {
		if slot >= 0 {
			if c = a.ring[slot%ring]; c.at != slot {
				c = counts{}
			}
		}
		return c
	}
	extra, firsts := int32(1), int32(0)
	for s := now; s > now-fine+2; s-- {
		firsts += at(s).firsts
	}
	extra += at(now).extra
	for end := now + fine; end >= now; end-- {
		// The window that ends in this slot reaches from slot end-fine.
		if s := end - fine - 1; s < now {
			extra += at(s).extra
		}
		firsts += at(end - 2*fine + 2).firsts
		if float64(extra) > a.most(a.of.ratio*float64(firsts)+part, lots, drawn) {
			return false
		}
	}
	return true
}
