package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/steperr"
)

// LeaseClient renews this node's lease and tracks the other members.
type LeaseClient struct {
	Transport link.Transport
	Clock     clock.Clock
	// Proposer knows the voters of the core; it learns newer cores from the answers.
	Proposer *quorum.Proposer
	// Self describes this node; it is called for each renewal.
	Self func() Member

	lease       atomic.Pointer[lease]
	tablesKnown atomic.Bool
	members     atomic.Pointer[[]Member]

	mu     sync.Mutex
	tables map[string]table // by disk
	duties dutyState
}

// lease is an unbroken lease: when it was first granted, and when it expires. Both are read
// together: the expiry of a later lease must never be combined with the start of an earlier one.
type lease struct{ since, until time.Time }

// table is the newest table that one lease server returned.
type table struct {
	version uint64
	members []Member
	asOf    time.Time // when the request was sent
}

// Held reports whether this node's lease is in force. It reads the clock each time: after a
// freeze the first call already returns false.
func (c *LeaseClient) Held() bool {
	_, ok := c.HeldSince()
	return ok
}

// HeldSince returns when the unbroken lease began; ok is false if none is in force.
func (c *LeaseClient) HeldSince() (time.Time, bool) {
	l := c.lease.Load()
	if l == nil || !c.Clock.Now().Before(l.until) {
		return time.Time{}, false
	}
	return l.since, true
}

// TablesKnown reports whether this node holds a lease and a majority returned their tables with
// the last renewal. Only then can a change be brought into force.
func (c *LeaseClient) TablesKnown() bool { return c.tablesKnown.Load() && c.Held() }

// Remaining returns how long the lease lasts without a renewal. It is not above 0 if no
// lease is in force.
func (c *LeaseClient) Remaining() time.Duration {
	l := c.lease.Load()
	if l == nil {
		return 0
	}
	return l.until.Sub(c.Clock.Now())
}

// OverdueThreshold is the remaining time of a lease at or below which its next renewal is overdue:
// it has failed, or is late by more than RenewInterval/5.
const OverdueThreshold = LeaseDuration - leaseMargin - RenewInterval - RenewInterval/5

// Members returns the last known members, sorted by ID.
func (c *LeaseClient) Members() []Member {
	if p := c.members.Load(); p != nil {
		return *p
	}
	return nil
}

// OtherAddrs lists the inner addresses of the known members except self.
func (c *LeaseClient) OtherAddrs(self string) []string {
	return lo.FilterMap(c.Members(), func(m Member, _ int) (string, bool) { return m.Inner, m.ID != self })
}

// MembersOfKind returns the known members of one kind.
func (c *LeaseClient) MembersOfKind(kind string) []Member {
	return lo.Filter(c.Members(), func(m Member, _ int) bool { return m.Kind == kind })
}

// Run renews the lease until ctx ends.
func (c *LeaseClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// A renewal begins every RenewInterval, even if a voter does not answer.
		next := c.Clock.Now().Add(RenewInterval)
		c.renew(ctx)
		if c.Clock.Sleep(ctx, max(next.Sub(c.Clock.Now()), RenewInterval/10)) != nil {
			return
		}
	}
}

// renew asks every voter once. The lease counts from the time before the first request.
func (c *LeaseClient) renew(ctx context.Context) {
	core := c.Proposer.Core()
	if core.Epoch == 0 {
		return
	}
	self := c.Self()
	sent := c.Clock.Now()
	c.mu.Lock()
	wanted := c.duties.toRequest(sent)
	seen := lo.MapValues(c.tables, func(x table, _ string) uint64 { return x.version })
	c.mu.Unlock()
	askCtx, cancel := context.WithTimeout(ctx, LeaseDuration-RenewInterval)
	type answer struct {
		seat  quorum.Seat
		reply RenewTold
		err   error
	}
	answers := make(chan answer, len(core.Seats))
	for _, s := range core.Seats {
		go func() {
			r, err := link.Call[RenewTold](askCtx, c.Transport, s.Addr, RenewAsk{Epoch: core.Epoch, Member: self, Duties: wanted, Seen: seen[s.Disk], Held: c.Held()})
			answers <- answer{s, r, err}
		}()
	}
	granted, tablesShown := 0, 0
	renewal := newDutyRenewal(self.ID, wanted, core.QuorumSize(), sent)
	allAnswered := make(chan struct{})
	handleAnswer := func(a answer) {
		if a.err != nil {
			return
		}
		if !a.reply.OK {
			c.Proposer.Learn(a.reply.Core)
			return
		}
		if granted++; !a.reply.Warming {
			tablesShown++
		}
		c.mu.Lock()
		if c.tables == nil {
			c.tables = map[string]table{}
		}
		x := c.tables[a.seat.Disk]
		if x.version != a.reply.Version {
			x.members = a.reply.Members
		}
		x.version, x.asOf = a.reply.Version, sent
		c.tables[a.seat.Disk] = x
		c.mu.Unlock()
		if granted == core.QuorumSize() {
			c.recordGrant(sent)
		}
		c.mu.Lock()
		c.duties.recordAnswer(renewal, a.reply)
		c.mu.Unlock()
	}
	// A slow voter must not delay the next renewal at the others.
	go func() {
		defer cancel()
		defer close(allAnswered)
		for range core.Seats {
			handleAnswer(<-answers)
		}
		c.tablesKnown.Store(tablesShown >= core.QuorumSize())
		c.mergeTables(core)
	}()
	go c.yieldPartialDuties(ctx, renewal, allAnswered)
	waitCtx, cancelWait := context.WithTimeout(ctx, RenewInterval)
	defer cancelWait()
	select {
	case <-allAnswered:
	case <-waitCtx.Done():
	}
}

// recordGrant extends the lease after a majority granted a renewal that was sent at the given time.
func (c *LeaseClient) recordGrant(sent time.Time) {
	renewed := lease{until: sent.Add(LeaseDuration - leaseMargin)}
	for {
		old, now := c.lease.Load(), c.Clock.Now()
		// The lease is unbroken only if this answer came before the previous lease expired.
		// Otherwise a voter may have dropped it and granted it anew.
		switch {
		case old == nil || !now.Before(old.until):
			renewed.since = now
		case renewed.until.Before(old.until):
			return
		default:
			renewed.since = old.since
		}
		if c.lease.CompareAndSwap(old, &renewed) {
			return
		}
	}
}

// mergeTables replaces the members by the union of the latest tables.
func (c *LeaseClient) mergeTables(core quorum.Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := map[string]Member{}
	now := c.Clock.Now()
	found := false
	for _, s := range core.Seats {
		x, ok := c.tables[s.Disk]
		if !ok || now.Sub(x.asOf) > LeaseDuration {
			continue
		}
		found = true
		for _, m := range x.members {
			if o, ok := newest[m.ID]; !ok || m.Inc > o.Inc || m.Inc == o.Inc && m.Spec > o.Spec {
				newest[m.ID] = m
			}
		}
	}
	if !found {
		return
	}
	out := lo.Values(newest)
	slices.SortFunc(out, byID)
	c.members.Store(&out)
}

// Release gives the lease back, so that no node waits for it to expire.
func (c *LeaseClient) Release(ctx context.Context) {
	core := c.Proposer.Core()
	c.lease.Store(nil)
	var wg sync.WaitGroup
	for _, s := range core.Seats {
		wg.Go(func() {
			_, _ = link.Call[RenewTold](ctx, c.Transport, s.Addr, RenewAsk{Epoch: core.Epoch, Member: c.Self(), Gone: true})
		})
	}
	wg.Wait()
}

// ReadTable reads the lease tables of a majority of voters. The result has every lease that a
// majority granted before the call and that has not expired (design 7.1).
func (c *LeaseClient) ReadTable(ctx context.Context) ([]Member, error) {
	core := c.Proposer.Core()
	if core.Epoch == 0 {
		return nil, quorum.ErrNoCore
	}
	askCtx, cancel := context.WithTimeout(ctx, tableReadTimeout)
	defer cancel()
	started := c.Clock.Now()
	ch := make(chan *TableTold, len(core.Seats))
	for _, s := range core.Seats {
		go func() {
			r, err := link.Call[TableTold](askCtx, c.Transport, s.Addr, TableAsk{Epoch: core.Epoch})
			if err != nil {
				ch <- nil
				return
			}
			if !r.OK {
				c.Proposer.Learn(r.Core)
			}
			if !r.OK || r.Disk != s.Disk {
				ch <- nil
				return
			}
			ch <- &r
		}()
	}
	newest := map[string]Member{}
	answered := 0
	for range core.Seats {
		r := <-ch
		if r == nil {
			continue
		}
		for _, m := range r.Members {
			if o, ok := newest[m.ID]; !ok || m.Inc > o.Inc {
				newest[m.ID] = m
			}
		}
		if answered++; answered == core.QuorumSize() {
			if c.Clock.Now().Sub(started) > tableReadTimeout {
				break
			}
			out := lo.Values(newest)
			slices.SortFunc(out, byID)
			return out, nil
		}
	}
	return nil, steperr.Wrap("lease table", "", quorum.ErrNoQuorum)
}
