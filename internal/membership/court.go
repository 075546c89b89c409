// Package membership tells which nodes are members: each holds a lease that a majority
// of the core granted (design 7). Duties are leases of the same kind (design
// 7.3).
package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
)

const (
	// Lease is how long a member counts after its last renewal. A gateway that is cut off
	// serves under it until the platform has noticed: that looks once a second, and the
	// gateway needs some 0.4 s to know (design 7.1).
	Lease = 1500 * time.Millisecond
	// Renew is how often a member renews.
	Renew = 250 * time.Millisecond
	// margin is what a holder gives up of its lease: against clocks that run at
	// slightly different speeds, and for tables, which are read at a majority one
	// after the other (design 7.2).
	margin = 125 * time.Millisecond
	// tableTime is how long the reading of a table may take from first ask to last
	// answer. It is below margin: a lease that passes from one majority of courts
	// to another is in the old one's tables for at least margin after it entered
	// the new one's, so a reading this short cannot miss it in both.
	tableTime = margin * 9 / 10
	// DutyLease is how long a duty is held after its last renewal.
	DutyLease = 2 * time.Second
	// maxMembers bounds the table of one court.
	maxMembers = 4096
)

// Member is what a node says of itself with each renewal.
type Member struct {
	ID    string
	Inc   uint64 // this run of the process
	Kind  string // "gateway" or "controller"
	Inner string
	Door  string
	Zone  string
	Disk  quorum.Seat // where it has a disk
	Spec  uint64      // version in force there
	Since int64       // start, unix milliseconds, for people
	Rest  bool        // drained by hand
}

type (
	// RenewAsk renews the asker's lease and duties; Gone gives them back.
	RenewAsk struct {
		Epoch  uint64
		Member Member
		Duties []string
		Seen   uint64 // table version the asker has
		Gone   bool
		Held   bool // the asker's lease stands
	}
	// DutyHolder says who holds a duty at a court.
	DutyHolder struct{ Duty, By string }
	// RenewTold answers it. Duties are those granted, and Taken those that another holds.
	RenewTold struct {
		OK      bool
		Epoch   uint64
		Core    quorum.Core // where the epoch differs
		Version uint64
		Members []Member // where Version differs from Seen
		Duties  []string
		Taken   []DutyHolder
		Warming bool // the table is withheld
	}
	// RestAsk drains a node by hand, or ends that; a drained node tells the platform
	// that it is not ready, and works on.
	RestAsk struct{ On bool }
	// RestTold answers it.
	RestTold struct{ OK bool }
	// TableAsk asks for the lease table.
	TableAsk struct{ Epoch uint64 }
	// TableTold answers it.
	TableTold struct {
		quorum.Told
		Members []Member
	}
)

type grant struct {
	m     Member
	until time.Time
}

type duty struct {
	by    string
	inc   uint64
	until time.Time
}

// Court grants leases at one voter, in memory only: after a start, or after
// taking a seat, it grants nothing and shows no table until every lease granted
// before must have lapsed (design 7.1).
type Court struct {
	voter *quorum.Voter
	clock clock.Clock

	mu      sync.Mutex
	by      map[string]grant
	duties  map[string]duty
	version uint64
	epoch   uint64
	seated  bool
	// shown and given are from when on the table is shown and duties are granted.
	shown, given time.Time
}

// NewCourt makes the court that sits beside v.
func NewCourt(v *quorum.Voter, c clock.Clock) *Court {
	return &Court{voter: v, clock: c, by: map[string]grant{}, duties: map[string]duty{}, version: uint64(c.Now().UnixNano())}
}

// Serve teaches d to answer for this court.
func (c *Court) Serve(d *link.Mux) {
	link.Handle(d, c.renew)
	link.Handle(d, c.table)
}

// look follows the core, and tells whether this court may speak for epoch.
func (c *Court) look(epoch uint64) bool {
	co := c.voter.Core()
	in := c.voter.Voting()
	if co.Epoch != c.epoch {
		// Without a seat in the epoch just before, earlier grants of this seat's
		// former holder are unknown here.
		if !c.seated || !co.Succeeds(c.epoch) {
			now := c.clock.Now()
			c.shown, c.given = now.Add(Lease), now.Add(DutyLease)
		}
		c.epoch = co.Epoch
	}
	c.seated = in
	return in && epoch == co.Epoch
}

func (c *Court) renew(_ context.Context, _ link.Identity, a RenewAsk) (r RenewTold, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.look(a.Epoch)
	if r.Epoch = c.epoch; !ok {
		r.Core = c.voter.Core()
		return r, nil
	}
	now := c.clock.Now()
	c.sweep(now)
	if a.Gone {
		if g, ok := c.by[a.Member.ID]; ok && g.m.Inc == a.Member.Inc {
			delete(c.by, a.Member.ID)
			c.version++
		}
		for n, d := range c.duties {
			if d.by == a.Member.ID && d.inc == a.Member.Inc {
				delete(c.duties, n)
			}
		}
		r.OK = true
		return r, nil
	}
	// An older run of the same node must not take the place of the newer.
	g, had := c.by[a.Member.ID]
	if had && g.m.Inc > a.Member.Inc || !had && len(c.by) >= maxMembers {
		return r, nil
	}
	if !had || g.m != a.Member {
		c.version++
	}
	// During warm-up the table, which might lack some, is withheld, and so are duties:
	// nothing can be brought into force. A gateway that got a lease now could not be told
	// what is in force, and would stop serving without one (design 8.4). A lease that
	// stands goes on.
	r.Warming = now.Before(c.shown)
	if r.Warming && !a.Held && a.Member.Kind == "gateway" {
		return r, nil
	}
	c.by[a.Member.ID] = grant{a.Member, now.Add(Lease)}
	for n, d := range c.duties {
		// A duty that its holder no longer asks for is given back.
		if d.by == a.Member.ID && !slices.Contains(a.Duties, n) {
			delete(c.duties, n)
		}
	}
	if !now.Before(c.given) {
		for _, n := range a.Duties {
			d, taken := c.duties[n]
			if taken && (d.by != a.Member.ID || d.inc != a.Member.Inc) {
				r.Taken = append(r.Taken, DutyHolder{n, d.by})
				continue
			}
			c.duties[n] = duty{a.Member.ID, a.Member.Inc, now.Add(DutyLease)}
			r.Duties = append(r.Duties, n)
		}
	}
	r.OK, r.Version = true, c.version
	if a.Seen != c.version {
		r.Members = c.members()
	}
	return r, nil
}

func (c *Court) table(_ context.Context, _ link.Identity, a TableAsk) (r TableTold, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Disk = c.voter.Seat().Disk
	now := c.clock.Now()
	if !c.look(a.Epoch) {
		r.Core = c.voter.Core()
		return r, nil
	}
	if now.Before(c.shown) {
		return r, nil
	}
	c.sweep(now)
	r.OK, r.Members = true, c.members()
	return r, nil
}

func (c *Court) sweep(now time.Time) {
	for id, g := range c.by {
		if !now.Before(g.until) {
			delete(c.by, id)
			c.version++
		}
	}
	for n, d := range c.duties {
		if !now.Before(d.until) {
			delete(c.duties, n)
		}
	}
}

func (c *Court) members() []Member {
	out := make([]Member, 0, len(c.by))
	for _, g := range c.by {
		out = append(out, g.m)
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// ServeRest teaches d to let a node be drained by hand.
func ServeRest(d *link.Mux, on *atomic.Bool) {
	link.Handle(d, func(_ context.Context, _ link.Identity, a RestAsk) (RestTold, error) {
		on.Store(a.On)
		return RestTold{true}, nil
	})
}
