package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// dutyGrantTimeout bounds the wait for the answers to a renewal, after which the grants of duties
	// are evaluated.
	dutyGrantTimeout = 2 * RenewInterval
	// yieldDuration is how long a node does not request a duty that it yielded to another: its
	// own next renewal releases what was granted to it, and the other's next one finds it free.
	yieldDuration = 3 * RenewInterval
	// maxPartialGrants is the number of successive renewals to which only a minority of the lease
	// servers granted a duty, after which the node yields the duty even if no node with a lower ID
	// holds a part of it.
	maxPartialGrants = 4
	// maxBackoff bounds the random time for which the node then does not request the duty.
	maxBackoff = 4 * RenewInterval
)

// dutyState is a lease client's state of the duties that it requests. The client's lock guards it.
type dutyState struct {
	wanted        []string             // sorted
	heldUntil     map[string]time.Time // when a held duty expires
	notBefore     map[string]time.Time // until when a duty is not requested
	partialGrants map[string]int       // renewals in a row granted by a minority only
}

// dutyRenewal counts, for one renewal, the grants of each duty and the other nodes that hold it.
type dutyRenewal struct {
	self         string
	wanted       []string
	quorum       int
	sent         time.Time
	grants       map[string]int
	heldByOthers map[DutyHolder]int // number of lease servers at which another node holds a duty
}

func newDutyRenewal(self string, wanted []string, quorum int, sent time.Time) *dutyRenewal {
	return &dutyRenewal{self: self, wanted: wanted, quorum: quorum, sent: sent, grants: map[string]int{}, heldByOthers: map[DutyHolder]int{}}
}

// RequestDuty requests duty name with every renewal from now on.
func (c *LeaseClient) RequestDuty(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, found := slices.BinarySearch(c.duties.wanted, name); !found {
		c.duties.wanted = slices.Insert(c.duties.wanted, i, name)
	}
}

// HoldsDuty reports whether a majority granted this node the duty and the grant has not expired.
func (c *LeaseClient) HoldsDuty(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duties.holds(name, c.Clock.Now())
}

func (d *dutyState) holds(name string, now time.Time) bool { return now.Before(d.heldUntil[name]) }

// toRequest lists the duties to request now.
func (d *dutyState) toRequest(now time.Time) []string {
	var out []string
	for _, name := range d.wanted {
		if !now.Before(d.notBefore[name]) {
			out = append(out, name)
		}
	}
	return out
}

// recordAnswer counts the answer of one lease server. A grant of a duty that was yielded after
// the request was sent does not count: the next renewal releases it.
func (d *dutyState) recordAnswer(r *dutyRenewal, told RenewTold) {
	for _, name := range told.Duties {
		r.grants[name]++
		if r.grants[name] != r.quorum || r.sent.Before(d.notBefore[name]) {
			continue
		}
		if d.heldUntil == nil {
			d.heldUntil = map[string]time.Time{}
		}
		d.heldUntil[name] = r.sent.Add(DutyLeaseDuration - leaseMargin)
	}
	for _, h := range told.Taken {
		r.heldByOthers[h]++
	}
}

// mustYield reports whether other nodes hold parts of a duty, none of them a majority, and one of
// them has a lower ID than this node.
func (r *dutyRenewal) mustYield(name string) bool {
	lowerIDHolds := false
	for h, servers := range r.heldByOthers {
		if h.Duty != name {
			continue
		}
		if servers >= r.quorum {
			return false
		}
		lowerIDHolds = lowerIDHolds || h.By < r.self
	}
	return lowerIDHolds
}

// yieldPartialDuties waits until all servers answered a renewal, at most dutyGrantTimeout, and then
// yields duties that only a minority granted. Otherwise several nodes could each keep a part of a
// duty, and none would ever hold it.
func (c *LeaseClient) yieldPartialDuties(ctx context.Context, r *dutyRenewal, answered <-chan struct{}) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = c.Clock.Sleep(waitCtx, dutyGrantTimeout)
	}()
	select {
	case <-answered:
	case <-waitCtx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duties.yieldPartialDuties(r, c.Clock.Now())
}

// yieldPartialDuties yields duties that only a minority granted. Of the nodes that hold a part of a
// duty, the one with the lowest ID keeps its part, and the others stop requesting it for
// yieldDuration. A node that still gets no majority stops requesting the duty for a random time.
func (d *dutyState) yieldPartialDuties(r *dutyRenewal, now time.Time) {
	if d.notBefore == nil {
		d.notBefore, d.partialGrants = map[string]time.Time{}, map[string]int{}
	}
	for _, name := range r.wanted {
		grants := r.grants[name]
		if grants >= r.quorum || d.holds(name, now) || r.sent.Before(d.notBefore[name]) {
			d.partialGrants[name] = 0
			continue
		}
		if r.mustYield(name) {
			d.notBefore[name] = now.Add(yieldDuration)
			continue
		}
		if grants == 0 {
			continue
		}
		if d.partialGrants[name]++; d.partialGrants[name] >= maxPartialGrants {
			d.partialGrants[name] = 0
			d.notBefore[name] = now.Add(rand.N(maxBackoff))
		}
	}
}
