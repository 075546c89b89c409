// Package membership tracks which nodes are members: each holds a lease granted by a majority
// of the core (design 7). Duties are leases of the same kind (design 7.3).
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
	// LeaseDuration is how long a member counts after its last renewal. A gateway that is cut
	// off serves on its lease until the platform has noticed: the platform checks once a second,
	// and the gateway needs some 0.4 s to detect the loss (design 7.1).
	LeaseDuration = 1500 * time.Millisecond
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 250 * time.Millisecond
	// leaseMargin is by how much a holder shortens its own lease. It covers clocks that run at
	// slightly different speeds, and table reads, whose answers come from the servers at
	// different times (design 7.2).
	leaseMargin = 125 * time.Millisecond
	// tableReadTimeout bounds the reading of a table from the first request to the last
	// answer. It is below leaseMargin: a lease that passes from one majority of lease servers
	// to another stays in the tables of the old one for at least leaseMargin after it entered
	// those of the new one, so a reading this short can't miss it in both.
	tableReadTimeout = leaseMargin * 9 / 10
	// DutyLeaseDuration is how long a duty is held after its last renewal.
	DutyLeaseDuration = 2 * time.Second
	// maxMembers bounds the table of one lease server.
	maxMembers = 4096
)

// Member describes a node; it is sent with each renewal.
type Member struct {
	ID    string
	Inc   uint64 // incarnation: this run of the process
	Kind  string // "gateway" or "controller"
	Inner string // address for the other nodes
	Door  string // address for HTTP
	Zone  string
	Disk  quorum.Seat // the seat of its disk, if it has one
	Spec  uint64      // the version of the route sheet in force there
	Since int64       // start time in unix milliseconds, for display
	Rest  bool        // drained by an operator
}

type (
	// RenewAsk renews the sender's lease and duties; with Gone it releases them.
	RenewAsk struct {
		Epoch  uint64
		Member Member
		Duties []string
		Seen   uint64 // the version of the table that the sender has
		Gone   bool
		Held   bool // the sender's lease is in force
	}
	// DutyHolder names the holder of a duty at one lease server.
	DutyHolder struct{ Duty, By string }
	// RenewTold answers RenewAsk. Duties are the granted ones, Taken those that others hold.
	RenewTold struct {
		OK      bool
		Epoch   uint64
		Core    quorum.Core // set if the epoch differs
		Version uint64
		Members []Member // set if Version differs from Seen
		Duties  []string
		Taken   []DutyHolder
		Warming bool // the server is warming up and withholds its table
	}
	// RestAsk starts or ends the draining of a node by an operator. A drained node reports to
	// the platform that it is not ready, and continues to serve.
	RestAsk struct{ On bool }
	// RestTold answers RestAsk.
	RestTold struct{ OK bool }
	// TableAsk requests the lease table.
	TableAsk struct{ Epoch uint64 }
	// TableTold answers TableAsk.
	TableTold struct {
		quorum.Told
		Members []Member
	}
)

type grant struct {
	member Member
	until  time.Time
}

type dutyGrant struct {
	holder string
	inc    uint64
	until  time.Time
}

// LeaseServer grants leases; one runs next to each voter. It keeps them in memory only: after a
// start, or after its voter took a seat, it returns no table and grants neither duties nor new
// leases of gateways until every lease granted before must have expired (design 7.1).
type LeaseServer struct {
	voter *quorum.Voter
	clock clock.Clock

	mu      sync.Mutex
	grants  map[string]grant
	duties  map[string]dutyGrant
	version uint64
	epoch   uint64
	voting  bool
	// From these times on the table is returned and duties are granted.
	tableFrom, dutiesFrom time.Time
}

// NewLeaseServer returns the lease server of voter v. Its table versions start at the current
// time, so that they differ from those of an earlier run.
func NewLeaseServer(v *quorum.Voter, c clock.Clock) *LeaseServer {
	return &LeaseServer{voter: v, clock: c, grants: map[string]grant{}, duties: map[string]dutyGrant{}, version: uint64(c.Now().UnixNano())}
}

// Serve registers the server's request handlers with mux.
func (s *LeaseServer) Serve(mux *link.Mux) {
	link.Handle(mux, s.renew)
	link.Handle(mux, s.table)
}

// checkEpoch takes the epoch from the voter's core and reports whether this server may answer for
// the given epoch.
func (s *LeaseServer) checkEpoch(epoch uint64) bool {
	core := s.voter.Core()
	voting := s.voter.Voting()
	if core.Epoch != s.epoch {
		// If this voter had no seat in the epoch just before, it does not know the leases
		// that the seat's former holder granted.
		if !s.voting || !core.Succeeds(s.epoch) {
			now := s.clock.Now()
			s.tableFrom, s.dutiesFrom = now.Add(LeaseDuration), now.Add(DutyLeaseDuration)
		}
		s.epoch = core.Epoch
	}
	s.voting = voting
	return voting && epoch == core.Epoch
}

func (s *LeaseServer) renew(_ context.Context, _ link.Identity, a RenewAsk) (r RenewTold, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.checkEpoch(a.Epoch)
	if r.Epoch = s.epoch; !ok {
		r.Core = s.voter.Core()
		return r, nil
	}
	now := s.clock.Now()
	s.removeExpired(now)
	if a.Gone {
		if g, ok := s.grants[a.Member.ID]; ok && g.member.Inc == a.Member.Inc {
			delete(s.grants, a.Member.ID)
			s.version++
		}
		for n, d := range s.duties {
			if d.holder == a.Member.ID && d.inc == a.Member.Inc {
				delete(s.duties, n)
			}
		}
		r.OK = true
		return r, nil
	}
	// An older run of a node must not replace a newer one.
	g, had := s.grants[a.Member.ID]
	if had && g.member.Inc > a.Member.Inc || !had && len(s.grants) >= maxMembers {
		return r, nil
	}
	if !had || g.member != a.Member {
		s.version++
	}
	// During warm-up the table may be incomplete. It is withheld, and so are duties: no change
	// can be brought into force. A gateway that got a lease now could not learn what is in
	// force, and would have to stop serving again (design 8.4). Leases in force are renewed.
	r.Warming = now.Before(s.tableFrom)
	if r.Warming && !a.Held && a.Member.Kind == "gateway" {
		return r, nil
	}
	s.grants[a.Member.ID] = grant{a.Member, now.Add(LeaseDuration)}
	for n, d := range s.duties {
		// A duty that its holder no longer requests is released.
		if d.holder == a.Member.ID && !slices.Contains(a.Duties, n) {
			delete(s.duties, n)
		}
	}
	if !now.Before(s.dutiesFrom) {
		for _, n := range a.Duties {
			d, taken := s.duties[n]
			if taken && (d.holder != a.Member.ID || d.inc != a.Member.Inc) {
				r.Taken = append(r.Taken, DutyHolder{n, d.holder})
				continue
			}
			s.duties[n] = dutyGrant{a.Member.ID, a.Member.Inc, now.Add(DutyLeaseDuration)}
			r.Duties = append(r.Duties, n)
		}
	}
	r.OK, r.Version = true, s.version
	if a.Seen != s.version {
		r.Members = s.members()
	}
	return r, nil
}

func (s *LeaseServer) table(_ context.Context, _ link.Identity, a TableAsk) (r TableTold, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Disk = s.voter.Seat().Disk
	now := s.clock.Now()
	if !s.checkEpoch(a.Epoch) {
		r.Core = s.voter.Core()
		return r, nil
	}
	if now.Before(s.tableFrom) {
		return r, nil
	}
	s.removeExpired(now)
	r.OK, r.Members = true, s.members()
	return r, nil
}

func (s *LeaseServer) removeExpired(now time.Time) {
	for id, g := range s.grants {
		if !now.Before(g.until) {
			delete(s.grants, id)
			s.version++
		}
	}
	for n, d := range s.duties {
		if !now.Before(d.until) {
			delete(s.duties, n)
		}
	}
}

func (s *LeaseServer) members() []Member {
	out := make([]Member, 0, len(s.grants))
	for _, g := range s.grants {
		out = append(out, g.member)
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// ServeDrain registers with mux the handler that starts and ends draining by an operator; on is set
// while the node is drained.
func ServeDrain(mux *link.Mux, on *atomic.Bool) {
	link.Handle(mux, func(_ context.Context, _ link.Identity, a RestAsk) (RestTold, error) {
		on.Store(a.On)
		return RestTold{true}, nil
	})
}
