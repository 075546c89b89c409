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

// Tenant keeps this node's lease renewed and knows the other members.
type Tenant struct {
	Line  link.Line
	Clock clock.Clock
	// Core knows the voters; newer cores are learned into it.
	Core *quorum.Proposer
	// Me describes this node at each renewal.
	Me func() Member

	lease   atomic.Pointer[lease]
	calm    atomic.Bool
	members atomic.Pointer[[]Member]

	mu     sync.Mutex
	tables map[string]table // by disk
	duties duties
}

// lease is an unbroken lease: when it was first granted, and its end. The two are
// read together: a new end must never be taken for one of the lease before.
type lease struct{ since, until time.Time }

type table struct {
	version uint64
	members []Member
	at      time.Time
}

// Held tells whether this node's lease stands now. It reads the clock each time:
// after a freeze the first look already says no.
func (t *Tenant) Held() bool {
	_, ok := t.HeldSince()
	return ok
}

// HeldSince is when the unbroken lease began; ok is false where none stands.
func (t *Tenant) HeldSince() (time.Time, bool) {
	l := t.lease.Load()
	if l == nil || !t.Clock.Now().Before(l.until) {
		return time.Time{}, false
	}
	return l.since, true
}

// Calm tells whether this node holds a lease, and a majority showed its tables with
// the last renewal: only then can anything be brought into force.
func (t *Tenant) Calm() bool { return t.calm.Load() && t.Held() }

// Left is how long the lease lasts unless it is renewed; not above 0 where none
// stands.
func (t *Tenant) Left() time.Duration {
	l := t.lease.Load()
	if l == nil {
		return 0
	}
	return l.until.Sub(t.Clock.Now())
}

// Doubt is what is left of a lease when a renewal has not come through.
const Doubt = Lease - margin - Renew - Renew/5

// Members is the last known membership, sorted by ID.
func (t *Tenant) Members() []Member {
	if p := t.members.Load(); p != nil {
		return *p
	}
	return nil
}

// Others lists the inner addresses of the known members but one.
func (t *Tenant) Others(me string) []string {
	return lo.FilterMap(t.Members(), func(m Member, _ int) (string, bool) { return m.Inner, m.ID != me })
}

// Kind is the known members of one kind.
func (t *Tenant) Kind(kind string) []Member {
	return lo.Filter(t.Members(), func(m Member, _ int) bool { return m.Kind == kind })
}

// Run renews until ctx ends.
func (t *Tenant) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// Also where a voter does not answer, one renewal begins every Renew.
		next := t.Clock.Now().Add(Renew)
		t.renew(ctx)
		if t.Clock.Sleep(ctx, max(next.Sub(t.Clock.Now()), Renew/10)) != nil {
			return
		}
	}
}

// renew asks every voter once. The lease counts from before the first ask left.
func (t *Tenant) renew(ctx context.Context) {
	core := t.Core.Core()
	if core.Epoch == 0 {
		return
	}
	me := t.Me()
	sent := t.Clock.Now()
	t.mu.Lock()
	want := t.duties.due(sent)
	seen := lo.MapValues(t.tables, func(x table, _ string) uint64 { return x.version })
	t.mu.Unlock()
	cx, end := context.WithTimeout(ctx, Lease-Renew)
	type back struct {
		s   quorum.Seat
		r   RenewTold
		err error
	}
	ch := make(chan back, len(core.Seats))
	for _, s := range core.Seats {
		go func() {
			r, err := link.Call[RenewTold](cx, t.Line, s.Addr, RenewAsk{Epoch: core.Epoch, Member: me, Duties: want, Seen: seen[s.Disk], Held: t.Held()})
			ch <- back{s, r, err}
		}()
	}
	yes, calm := 0, 0
	round := newDutyRound(me.ID, want, core.QuorumSize(), sent)
	fin := make(chan struct{})
	take := func(b back) {
		if b.err != nil {
			return
		}
		if !b.r.OK {
			t.Core.Learn(b.r.Core)
			return
		}
		if yes++; !b.r.Warming {
			calm++
		}
		t.mu.Lock()
		if t.tables == nil {
			t.tables = map[string]table{}
		}
		x := t.tables[b.s.Disk]
		if x.version != b.r.Version {
			x.members = b.r.Members
		}
		x.version, x.at = b.r.Version, sent
		t.tables[b.s.Disk] = x
		t.mu.Unlock()
		if yes == core.QuorumSize() {
			t.granted(sent)
		}
		t.mu.Lock()
		t.duties.hear(round, b.r)
		t.mu.Unlock()
	}
	// A slow voter must not delay the next renewal at the others.
	go func() {
		defer end()
		defer close(fin)
		for range core.Seats {
			take(<-ch)
		}
		t.calm.Store(calm >= core.QuorumSize())
		t.merge(core)
	}()
	go t.concede(ctx, round, fin)
	cx2, end2 := context.WithTimeout(ctx, Renew)
	defer end2()
	select {
	case <-fin:
	case <-cx2.Done():
	}
}

func (t *Tenant) granted(sent time.Time) {
	n := lease{until: sent.Add(Lease - margin)}
	for {
		old, now := t.lease.Load(), t.Clock.Now()
		// The lease is unbroken only if this answer came before the one before
		// ended: else some voter may have dropped it and taken it up again.
		switch {
		case old == nil || !now.Before(old.until):
			n.since = now
		case n.until.Before(old.until):
			return
		default:
			n.since = old.since
		}
		if t.lease.CompareAndSwap(old, &n) {
			return
		}
	}
}

// merge takes the union of the newest tables.
func (t *Tenant) merge(core quorum.Core) {
	t.mu.Lock()
	defer t.mu.Unlock()
	by := map[string]Member{}
	now := t.Clock.Now()
	any := false
	for _, s := range core.Seats {
		x, ok := t.tables[s.Disk]
		if !ok || now.Sub(x.at) > Lease {
			continue
		}
		any = true
		for _, m := range x.members {
			if o, ok := by[m.ID]; !ok || m.Inc > o.Inc || m.Inc == o.Inc && m.Spec > o.Spec {
				by[m.ID] = m
			}
		}
	}
	if !any {
		return
	}
	out := lo.Values(by)
	slices.SortFunc(out, byID)
	t.members.Store(&out)
}

// Leave gives the lease back, so that nobody waits for it to lapse.
func (t *Tenant) Leave(ctx context.Context) {
	core := t.Core.Core()
	t.lease.Store(nil)
	var wg sync.WaitGroup
	for _, s := range core.Seats {
		wg.Go(func() {
			_, _ = link.Call[RenewTold](ctx, t.Line, s.Addr, RenewAsk{Epoch: core.Epoch, Member: t.Me(), Gone: true})
		})
	}
	wg.Wait()
}

// Table reads the lease tables of a majority of voters now: every lease granted
// by a majority before the call, and not lapsed, is in it (design 7.1).
func (t *Tenant) Table(ctx context.Context) ([]Member, error) {
	core := t.Core.Core()
	if core.Epoch == 0 {
		return nil, quorum.ErrNoCore
	}
	cx, end := context.WithTimeout(ctx, tableTime)
	defer end()
	from := t.Clock.Now()
	ch := make(chan *TableTold, len(core.Seats))
	for _, s := range core.Seats {
		go func() {
			r, err := link.Call[TableTold](cx, t.Line, s.Addr, TableAsk{Epoch: core.Epoch})
			if err != nil {
				ch <- nil
				return
			}
			if !r.OK {
				t.Core.Learn(r.Core)
			}
			if !r.OK || r.Disk != s.Disk {
				ch <- nil
				return
			}
			ch <- &r
		}()
	}
	by := map[string]Member{}
	n := 0
	for range core.Seats {
		r := <-ch
		if r == nil {
			continue
		}
		for _, m := range r.Members {
			if o, ok := by[m.ID]; !ok || m.Inc > o.Inc {
				by[m.ID] = m
			}
		}
		if n++; n == core.QuorumSize() {
			if t.Clock.Now().Sub(from) > tableTime {
				break
			}
			out := lo.Values(by)
			slices.SortFunc(out, byID)
			return out, nil
		}
	}
	return nil, steperr.At("lease table", "", quorum.ErrNoQuorum)
}
