package rollout

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/owner"
	"walkrudder/internal/spec"
)

const (
	// confirmInterval is the interval at which an unconfirmed gateway asks again.
	confirmInterval = 25 * time.Millisecond
	// maxHold is how long a gateway is held before it asks a controller what is in force.
	maxHold = 250 * time.Millisecond
	// While it holds no lease, this node probes its peers every probeInterval and waits
	// probeTimeout for the answers. leaselessRounds probes in a row must succeed before
	// the last sheet is served without a lease; each probe allows that for leaselessTime
	// only, so that a hold at one of the gateways is noticed by all well within 250 ms.
	probeInterval   = 60 * time.Millisecond
	probeTimeout    = 60 * time.Millisecond
	leaselessRounds = 3
	leaselessTime   = 180 * time.Millisecond
)

// servingState is the sheet to serve and whether it may be served. The request path reads it; it
// is replaced, never modified.
type servingState struct {
	table *spec.Table
	// open: confirmed under the lease that began at leaseStart, and not held.
	open       bool
	leaseStart time.Time
	// leaselessUntil is until when the last sheet may be served without a lease.
	leaselessUntil time.Time
	replaced       chan struct{} // closed when the next state is in place
}

// SheetStore holds a gateway's route sheets: the one in force and the staged ones.
type SheetStore struct {
	Membership *membership.LeaseClient
	Transport  link.Transport
	Clock      clock.Clock
	ID         string
	// Controllers lists the inner addresses of the controllers, nearest first.
	Controllers func() []string
	// Peers lists the inner addresses of all other known nodes.
	Peers func() []string
	// OnLeaves receives the leaving targets listed in a confirmation.
	OnLeaves func([]Leave)
	Log      *log.Logger
	// OnSheet is called for each sheet that comes into force.
	OnSheet func(*spec.Table)

	owner   *owner.Owner
	current atomic.Pointer[servingState]

	// isolated: this node cannot renew its lease while others can, or it reaches too few of
	// the voting gateways. It refuses requests now, or will when the lease ends.
	isolated atomic.Bool
	// published holds confirmed and voters for other goroutines.
	published atomic.Pointer[voterList]

	// Accessed only by owner.
	staged   map[uint64]*spec.Table
	held     map[string]uint64 // by roll-out, the version below which it holds
	lastHold time.Time
	// confirmed: this run has learned from a majority what is in force.
	confirmed     bool
	voters        []string // voting gateways, by list voterRound
	voterRound    uint64
	votersDecided bool // the list is decided
	// behindSince is when other nodes were first seen to renew their leases while this one does not.
	behindSince time.Time
	// closedVersion is a version that is decided and not known here to be open.
	closedVersion uint64
}

// voterList is the list of voting gateways, and whether this run is confirmed.
type voterList struct {
	ids       []string
	confirmed bool
}

// Voters lists the voting gateways, and reports whether this run has learned from a majority
// what is in force.
func (st *SheetStore) Voters() ([]string, bool) {
	if list := st.published.Load(); list != nil {
		return list.ids, list.confirmed
	}
	return nil, false
}

// setVoters stores a list of voting gateways, unless it is older than the current one;
// only owner calls it. Of two lists of the same round the decided one is kept.
func (st *SheetStore) setVoters(round uint64, gateways []string, decided bool) {
	if round > st.voterRound || round == st.voterRound && (decided || !st.votersDecided) {
		st.voters, st.voterRound, st.votersDecided = gateways, round, decided
	}
	st.published.Store(&voterList{st.voters, st.confirmed})
}

// isClosed reports whether n is decided and not known here to be open; only owner calls it.
func (st *SheetStore) isClosed(n uint64) bool { return n > 0 && st.closedVersion == n }

// Init initializes the store with the empty sheet, unconfirmed.
func (st *SheetStore) Init() {
	st.owner = owner.New(64)
	st.staged, st.held = map[uint64]*spec.Table{}, map[string]uint64{}
	st.current.Store(&servingState{table: spec.NewTable(0, spec.Sheet{}), replaced: make(chan struct{})})
}

// Gate returns the sheet to serve under now; ok is false while requests must wait.
func (st *SheetStore) Gate() (*spec.Table, bool) {
	s := st.current.Load()
	since, ok := st.Membership.HeldSince()
	if !ok {
		return s.table, st.Clock.Now().Before(s.leaselessUntil)
	}
	return s.table, s.open && since.Equal(s.leaseStart)
}

// Wait waits until the gate opens and returns the sheet; ok is false if ctx ended first.
func (st *SheetStore) Wait(ctx context.Context) (*spec.Table, bool) {
	for {
		s := st.current.Load()
		if t, ok := st.Gate(); ok {
			return t, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-s.replaced:
		}
	}
}

// Isolated reports whether this node seems to be cut off from the others.
func (st *SheetStore) Isolated() bool { return st.isolated.Load() }

// Version returns the version in force at this gateway.
func (st *SheetStore) Version() uint64 { return st.current.Load().table.Version }

// ServesWithoutLease reports whether the last sheet is served without a lease.
func (st *SheetStore) ServesWithoutLease() bool {
	_, ok := st.Gate()
	return ok && !st.Membership.Held()
}

// update replaces the state; only owner calls it.
func (st *SheetStore) update(f func(*servingState)) {
	old := st.current.Load()
	next := *old
	next.replaced = make(chan struct{})
	f(&next)
	for by, v := range st.held {
		if v <= next.table.Version {
			delete(st.held, by)
		}
	}
	if len(st.held) > 0 || st.isClosed(next.table.Version) {
		next.open = false
	}
	st.current.Store(&next)
	close(old.replaced)
	if next.table != old.table {
		for v := range st.staged {
			if v <= next.table.Version {
				delete(st.staged, v)
			}
		}
		if st.OnSheet != nil {
			st.OnSheet(next.table)
		}
	}
}

// Serve registers the handlers for the messages of a roll-out.
func (st *SheetStore) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a StageAsk) (r GatewayTold, err error) {
		return owner.Call(ctx, st.owner, func() (r GatewayTold) {
			if a.N > st.Version() && st.staged[a.N] == nil && len(st.staged) < 64 {
				st.staged[a.N] = spec.NewTable(a.N, a.Sheet)
			}
			r = GatewayTold{OK: a.N <= st.Version() || st.staged[a.N] != nil, N: st.Version()}
			return r
		})
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a HoldAsk) (r GatewayTold, err error) {
		return owner.Call(ctx, st.owner, func() (r GatewayTold) {
			// A process that started after the staging is held too, and receives the sheet
			// with its confirmation.
			if a.N > st.Version() && st.held[a.By] < a.N {
				st.held[a.By], st.lastHold = a.N, st.Clock.Now()
				// For a gateway without a lease the hold is not binding, as it is not for the
				// others that serve without one; the next probe decides (design 8.4).
				st.update(func(s *servingState) { s.open, s.leaselessUntil = false, time.Time{} })
			}
			r = GatewayTold{OK: true, N: st.Version()}
			return r
		})
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a FreeAsk) (r GatewayTold, err error) {
		return owner.Call(ctx, st.owner, func() (r GatewayTold) {
			if st.held[a.By] == a.N && a.N > st.Version() {
				delete(st.held, a.By)
				st.update(func(s *servingState) { s.open = !s.leaseStart.IsZero() })
			}
			return GatewayTold{OK: true, N: st.Version()}
		})
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a FlipAsk) (r GatewayTold, err error) {
		return owner.Call(ctx, st.owner, func() (r GatewayTold) {
			if t := st.staged[a.N]; a.N > st.Version() && t != nil {
				st.confirmed, st.closedVersion = true, a.N
				st.update(func(s *servingState) { s.table, s.leaselessUntil = t, time.Time{} })
			}
			if a.N <= st.Version() {
				st.setVoters(a.Round, a.Gateways, true)
			}
			if a.Open && a.N == st.Version() && a.N == st.closedVersion {
				st.closedVersion = 0
				st.update(func(s *servingState) { s.open = !s.leaseStart.IsZero() })
			}
			r = GatewayTold{OK: a.N <= st.Version(), N: st.Version()}
			return r
		})
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a CountAsk) (r GatewayTold, err error) {
		return owner.Call(ctx, st.owner, func() (r GatewayTold) {
			st.setVoters(a.Round, a.Gateways, a.Sure)
			return GatewayTold{OK: st.voterRound == a.Round && slices.Equal(st.voters, a.Gateways), N: st.Version()}
		})
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a LastAsk) (r LastTold, err error) {
		return owner.Call(ctx, st.owner, func() (r LastTold) {
			r = LastTold{ID: st.ID, Held: st.Membership.Held(), Fresh: st.Membership.TablesKnown() && st.Membership.Remaining() > membership.OverdueThreshold, Confirmed: st.confirmed, Shut: st.isClosed(st.Version()), N: st.Version(), Round: st.voterRound, Gateways: st.voters}
			if s := st.current.Load().table.Sheet; r.Confirmed && a.Have != r.N {
				r.Sheet = &s
			}
			return r
		})
	})
}

// Run keeps the store confirmed until ctx ends.
func (st *SheetStore) Run(ctx context.Context) {
	go st.owner.Run(ctx)
	go st.monitorPeers(ctx)
	for ctx.Err() == nil {
		if st.needsConfirmation() {
			st.confirm(ctx)
		}
		if st.Clock.Sleep(ctx, confirmInterval) != nil {
			return
		}
	}
}

// needsConfirmation reports whether a confirmation is needed: there is a lease, and either
// no confirmation was received under it or a hold has lasted longer than maxHold.
func (st *SheetStore) needsConfirmation() bool {
	since, ok := st.Membership.HeldSince()
	if !ok {
		return false
	}
	s := st.current.Load()
	if !s.leaseStart.Equal(since) {
		return true
	}
	return !s.open && st.sinceLastHold() > maxHold
}

func (st *SheetStore) sinceLastHold() (d time.Duration) {
	_ = st.owner.Do(context.Background(), func() { d = st.Clock.Now().Sub(st.lastHold) })
	return d
}

// confirm asks a controller what is in force, after the lease was granted; the answer is
// valid until the lease breaks (design 8.3).
func (st *SheetStore) confirm(ctx context.Context) {
	for _, addr := range st.Controllers() {
		since, ok := st.Membership.HeldSince()
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
		r, err := link.Call[ConfirmTold](callCtx, st.Transport, addr, ConfirmAsk{ID: st.ID, Have: st.Version()})
		cancel()
		if err != nil || !r.OK {
			if st.Log != nil {
				st.Log.Debug("controller did not confirm the version in force", "step", "confirm", "mate", addr, "ok", r.OK, "err", err)
			}
			continue
		}
		if st.OnLeaves != nil {
			st.OnLeaves(r.Leaves)
		}
		_ = st.owner.Do(ctx, func() {
			t := st.current.Load().table
			if r.N > t.Version {
				if r.Sheet == nil {
					return
				}
				t = spec.NewTable(r.N, *r.Sheet)
			}
			st.confirmed = true
			st.setVoters(r.Round, r.Gateways, true)
			switch {
			case r.Open && st.closedVersion == r.N:
				st.closedVersion = 0
			case !r.Open && r.N > st.Version():
				st.closedVersion = r.N
			}
			st.update(func(s *servingState) {
				s.table = t
				if r.Settled {
					s.leaseStart, s.open = since, true
				} else if !s.leaseStart.Equal(since) {
					s.open = false
				}
			})
		})
		return
	}
}

// monitorPeers probes, while no lease is held, which nodes are reachable. If none, or too
// few of the voting gateways, this node refuses requests. If more than half of the voting
// gateways are reachable, or exactly half with all others known to be down, and none of
// them holds a lease from a majority, it serves its last sheet. No change can come into
// force meanwhile without one of these gateways, because that takes more than half of the
// voting gateways too (design 8.4).
func (st *SheetStore) monitorPeers(ctx context.Context) {
	successes := 0
	for ctx.Err() == nil {
		switch {
		case st.Membership.Remaining() > membership.OverdueThreshold:
			successes = 0
			st.isolated.Store(false)
		case st.probePeers(ctx, successes+1 >= leaselessRounds && !st.Membership.Held()):
			successes++
		default:
			successes = 0
		}
		if st.Clock.Sleep(ctx, probeInterval) != nil {
			return
		}
	}
}

// isBehind reports whether other nodes renew their leases while this node cannot, which
// means that this node is cut off. When the core is lost, all nodes miss their renewals
// within one interval of each other; when it returns, some have a lease a moment before
// others. Only owner calls it.
func (st *SheetStore) isBehind(fresh bool) bool {
	remaining, now := st.Membership.Remaining(), st.Clock.Now()
	if !fresh || remaining >= membership.OverdueThreshold-membership.RenewInterval-probeTimeout {
		st.behindSince = time.Time{}
		return false
	}
	if st.behindSince.IsZero() {
		st.behindSince = now
	}
	return remaining > 0 || now.Sub(st.behindSince) > 4*membership.RenewInterval
}

// probePeers asks all peers once and reports whether the last sheet may be served without a
// lease. If so and mayServe is set, it opens the gate for leaselessTime. It adopts a later sheet
// that a peer knows to be in force.
func (st *SheetStore) probePeers(ctx context.Context, mayServe bool) (allowed bool) {
	addrs := st.Peers()
	start := st.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	version := st.Version()
	type result struct {
		r   LastTold
		err error
	}
	ch := make(chan result, len(addrs))
	for _, a := range addrs {
		go func() {
			r, err := link.Call[LastTold](callCtx, st.Transport, a, LastAsk{Have: version})
			ch <- result{r, err}
		}()
	}
	var replies []*LastTold
	silent := 0 // peers that neither answered nor refused the connection; their processes may be up
	for range addrs {
		switch b := <-ch; {
		case b.err == nil:
			replies = append(replies, &b.r)
		case !errors.Is(b.err, syscall.ECONNREFUSED):
			silent++
		}
	}
	allowed, _ = owner.Call(ctx, st.owner, func() (allowed bool) {
		var best *LastTold
		ids := map[string]bool{}
		leaseHeld, fresh := false, false
		if st.confirmed {
			ids[st.ID] = true
		}
		for _, r := range replies {
			leaseHeld, fresh = leaseHeld || r.Held, fresh || r.Fresh
			// Only a process that was confirmed knows what is, or is about to be, in force;
			// the knowledge of others may be long out of date.
			if !r.Confirmed {
				continue
			}
			ids[r.ID] = true
			if r.Round > st.voterRound {
				st.setVoters(r.Round, r.Gateways, false)
			}
			if best == nil || r.N > best.N || r.N == best.N && !r.Shut {
				best = r
			}
		}
		t := st.current.Load().table
		if best != nil && best.N >= t.Version {
			switch {
			case best.N > t.Version && best.Sheet == nil:
				return false
			case best.N > t.Version:
				t = spec.NewTable(best.N, *best.Sheet)
				st.closedVersion = lo.Ternary(best.Shut, best.N, 0)
			}
		}
		reached := 0
		for _, id := range st.voters {
			if ids[id] {
				reached++
			}
		}
		enough := 2*reached > len(st.voters) || reached > 0 && 2*reached == len(st.voters) && silent == 0
		st.isolated.Store(!enough || st.isBehind(fresh))
		allowed = !leaseHeld && enough
		if allowed && mayServe || t != st.current.Load().table {
			st.update(func(s *servingState) {
				if s.table != t {
					s.table, s.leaselessUntil = t, time.Time{}
				}
				if allowed && mayServe {
					s.leaselessUntil = start.Add(leaselessTime)
				}
			})
		}
		return allowed
	})
	return allowed
}
