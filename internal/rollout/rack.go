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
	// confirmPause is how soon an unconfirmed gateway asks again.
	confirmPause = 25 * time.Millisecond
	// heldLong is how long a gateway is held before it asks what became of the flip.
	heldLong = 250 * time.Millisecond
	// While no lease is held, this node looks every lookPause whom it reaches, and
	// waits lookTime for the answers. looseRounds looks in a row must allow it
	// before the last sheet is served; each look allows it for looseTime only, so
	// that a hold at one of them is noticed by all well within a quarter second.
	lookPause   = 60 * time.Millisecond
	lookTime    = 60 * time.Millisecond
	looseRounds = 3
	looseTime   = 180 * time.Millisecond
)

// state is what the request path reads; it is replaced, never changed.
type state struct {
	table *spec.Table
	// open: confirmed for the lease that began at since, and not held.
	open  bool
	since time.Time
	// loose is until when the last sheet may be served without a lease.
	loose time.Time
	wake  chan struct{} // closed when the next state is in place
}

// Rack holds a gateway's sheets: the one in force, and those staged.
type Rack struct {
	Tenant *membership.Tenant
	Line   link.Line
	Clock  clock.Clock
	ID     string
	// Controllers lists the inner addresses of controllers to ask, nearest first.
	Controllers func() []string
	// Mates lists the inner addresses of all other nodes known.
	Mates func() []string
	// OnLeaves takes what a confirmation says of leaving targets.
	OnLeaves func([]Leave)
	Log      *log.Logger
	// OnSpec is told of each sheet that comes into force.
	OnSpec func(*spec.Table)

	own *owner.Owner
	cur atomic.Pointer[state]

	// lone says that this node cannot renew its lease, and others can, or it reaches too
	// few of the gateways that count: it is cut off, or will be when the lease ends.
	lone atomic.Bool
	// counts is confirmed and gateways, for others to read.
	counts atomic.Pointer[counts]

	// Owned by own.
	staged map[uint64]*spec.Table
	held   map[string]uint64 // by whom, below which version
	heldAt time.Time
	// confirmed says that a majority has told this run what is in force.
	confirmed bool
	gateways  []string // those that count, by the list of round
	round     uint64
	sure      bool // the list is decided
	// late is since when others renew their leases and this node does not.
	late time.Time
	// shut is a version that is decided and not known here to be open.
	shut uint64
}

type counts struct {
	gateways  []string
	confirmed bool
}

// Counts lists the gateways that count, and tells whether a majority has told this
// run what is in force.
func (k *Rack) Counts() ([]string, bool) {
	if c := k.counts.Load(); c != nil {
		return c.gateways, c.confirmed
	}
	return nil, false
}

// count takes over a list of gateways that count, unless an older one; only own
// calls it. Of two lists of one round the decided one stays.
func (k *Rack) count(round uint64, gateways []string, sure bool) {
	if round > k.round || round == k.round && (sure || !k.sure) {
		k.gateways, k.round, k.sure = gateways, round, sure
	}
	k.counts.Store(&counts{k.gateways, k.confirmed})
}

// isShut tells whether n is decided and not known here to be open; only own calls it.
func (k *Rack) isShut(n uint64) bool { return n > 0 && k.shut == n }

// Init makes the rack ready; it holds the empty sheet, unconfirmed.
func (k *Rack) Init() {
	k.own = owner.New(64)
	k.staged, k.held = map[uint64]*spec.Table{}, map[string]uint64{}
	k.cur.Store(&state{table: spec.NewTable(0, spec.Sheet{}), wake: make(chan struct{})})
}

// Gate is the sheet to serve under now; ok is false while work must wait.
func (k *Rack) Gate() (*spec.Table, bool) {
	s := k.cur.Load()
	since, ok := k.Tenant.HeldSince()
	if !ok {
		return s.table, k.Clock.Now().Before(s.loose)
	}
	return s.table, s.open && since.Equal(s.since)
}

// Wait waits until the gate opens or ctx ends.
func (k *Rack) Wait(ctx context.Context) (*spec.Table, bool) {
	for {
		s := k.cur.Load()
		if t, ok := k.Gate(); ok {
			return t, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-s.wake:
		}
	}
}

// Lone tells whether this node seems to be cut off from the others.
func (k *Rack) Lone() bool { return k.lone.Load() }

// N is the version in force here.
func (k *Rack) N() uint64 { return k.cur.Load().table.N }

// Stranded tells whether the last sheet is served without a lease.
func (k *Rack) Stranded() bool {
	_, ok := k.Gate()
	return ok && !k.Tenant.Held()
}

// set replaces the state; only own calls it.
func (k *Rack) set(f func(*state)) {
	old := k.cur.Load()
	n := *old
	n.wake = make(chan struct{})
	f(&n)
	for by, v := range k.held {
		if v <= n.table.N {
			delete(k.held, by)
		}
	}
	if len(k.held) > 0 || k.isShut(n.table.N) {
		n.open = false
	}
	k.cur.Store(&n)
	close(old.wake)
	if n.table != old.table {
		for v := range k.staged {
			if v <= n.table.N {
				delete(k.staged, v)
			}
		}
		if k.OnSpec != nil {
			k.OnSpec(n.table)
		}
	}
}

// Serve teaches d to answer for this rack.
func (k *Rack) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a StageAsk) (r GatewayTold, err error) {
		return owner.Get(ctx, k.own, func() (r GatewayTold) {
			if a.N > k.N() && k.staged[a.N] == nil && len(k.staged) < 64 {
				k.staged[a.N] = spec.NewTable(a.N, a.Sheet)
			}
			r = GatewayTold{OK: a.N <= k.N() || k.staged[a.N] != nil, N: k.N()}
			return r
		})
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a HoldAsk) (r GatewayTold, err error) {
		return owner.Get(ctx, k.own, func() (r GatewayTold) {
			// A run that began after the staging holds too, and fetches the sheet with
			// its confirmation.
			if a.N > k.N() && k.held[a.By] < a.N {
				k.held[a.By], k.heldAt = a.N, k.Clock.Now()
				// Without a lease the hold binds as little as it does the others that serve
				// so; the next look decides (design 8.4).
				k.set(func(s *state) { s.open, s.loose = false, time.Time{} })
			}
			r = GatewayTold{OK: true, N: k.N()}
			return r
		})
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a FreeAsk) (r GatewayTold, err error) {
		return owner.Get(ctx, k.own, func() (r GatewayTold) {
			if k.held[a.By] == a.N && a.N > k.N() {
				delete(k.held, a.By)
				k.set(func(s *state) { s.open = !s.since.IsZero() })
			}
			return GatewayTold{OK: true, N: k.N()}
		})
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a FlipAsk) (r GatewayTold, err error) {
		return owner.Get(ctx, k.own, func() (r GatewayTold) {
			if t := k.staged[a.N]; a.N > k.N() && t != nil {
				k.confirmed, k.shut = true, a.N
				k.set(func(s *state) { s.table, s.loose = t, time.Time{} })
			}
			if a.N <= k.N() {
				k.count(a.Round, a.Gateways, true)
			}
			if a.Open && a.N == k.N() && a.N == k.shut {
				k.shut = 0
				k.set(func(s *state) { s.open = !s.since.IsZero() })
			}
			r = GatewayTold{OK: a.N <= k.N(), N: k.N()}
			return r
		})
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a CountAsk) (r GatewayTold, err error) {
		return owner.Get(ctx, k.own, func() (r GatewayTold) {
			k.count(a.Round, a.Gateways, a.Sure)
			return GatewayTold{OK: k.round == a.Round && slices.Equal(k.gateways, a.Gateways), N: k.N()}
		})
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a LastAsk) (r LastTold, err error) {
		return owner.Get(ctx, k.own, func() (r LastTold) {
			r = LastTold{ID: k.ID, Held: k.Tenant.Held(), Fresh: k.Tenant.Calm() && k.Tenant.Left() > membership.Doubt, Confirmed: k.confirmed, Shut: k.isShut(k.N()), N: k.N(), Round: k.round, Gateways: k.gateways}
			if s := k.cur.Load().table.Sheet; r.Confirmed && a.Have != r.N {
				r.Sheet = &s
			}
			return r
		})
	})
}

// Run keeps the rack confirmed until ctx ends.
func (k *Rack) Run(ctx context.Context) {
	go k.own.Run(ctx)
	go k.outlook(ctx)
	for ctx.Err() == nil {
		if k.due() {
			k.confirm(ctx)
		}
		if k.Clock.Sleep(ctx, confirmPause) != nil {
			return
		}
	}
}

// due tells whether a confirmation is wanted: there is a lease, and either none
// was confirmed under it or a hold has lasted long.
func (k *Rack) due() bool {
	since, ok := k.Tenant.HeldSince()
	if !ok {
		return false
	}
	s := k.cur.Load()
	if !s.since.Equal(since) {
		return true
	}
	return !s.open && k.heldFor() > heldLong
}

func (k *Rack) heldFor() (d time.Duration) {
	_ = k.own.Do(context.Background(), func() { d = k.Clock.Now().Sub(k.heldAt) })
	return d
}

// confirm asks a controller what is in force, after the lease was granted; what it
// then learns holds until the lease breaks (design 8.3).
func (k *Rack) confirm(ctx context.Context) {
	for _, a := range k.Controllers() {
		since, ok := k.Tenant.HeldSince()
		if !ok {
			return
		}
		cx, end := context.WithTimeout(ctx, 600*time.Millisecond)
		r, err := link.Call[ConfirmTold](cx, k.Line, a, ConfirmAsk{ID: k.ID, Have: k.N()})
		end()
		if err != nil || !r.OK {
			if k.Log != nil {
				k.Log.Debug("not confirmed", "step", "confirm", "mate", a, "ok", r.OK, "err", err)
			}
			continue
		}
		if k.OnLeaves != nil {
			k.OnLeaves(r.Leaves)
		}
		_ = k.own.Do(ctx, func() {
			t := k.cur.Load().table
			if r.N > t.N {
				if r.Sheet == nil {
					return
				}
				t = spec.NewTable(r.N, *r.Sheet)
			}
			k.confirmed = true
			k.count(r.Round, r.Gateways, true)
			switch {
			case r.Open && k.shut == r.N:
				k.shut = 0
			case !r.Open && r.N > k.N():
				k.shut = r.N
			}
			k.set(func(s *state) {
				s.table = t
				if r.Settled {
					s.since, s.open = since, true
				} else if !s.since.Equal(since) {
					s.open = false
				}
			})
		})
		return
	}
}

// outlook finds out, while no lease is held, whom this node reaches. Nobody, or
// too few of the gateways: it refuses. More than half of the gateways that count, or just
// half where all others are known to be down, and nobody with a majority: it serves its
// last sheet. No change can come into force meanwhile without one of them, for that
// takes more than half too (design 8.4).
func (k *Rack) outlook(ctx context.Context) {
	good := 0
	for ctx.Err() == nil {
		switch {
		case k.Tenant.Left() > membership.Doubt:
			good = 0
			k.lone.Store(false)
		case k.look(ctx, good+1 >= looseRounds && !k.Tenant.Held()):
			good++
		default:
			good = 0
		}
		if k.Clock.Sleep(ctx, lookPause) != nil {
			return
		}
	}
}

// behind tells whether others renew their leases and this node alone does not: it is
// the one that is cut off. When the core is lost, all are without a renewal within one
// interval of each other; when it comes back, some have a lease a moment before others.
// Only own calls it.
func (k *Rack) behind(fresh bool) bool {
	left, now := k.Tenant.Left(), k.Clock.Now()
	if !fresh || left >= membership.Doubt-membership.Renew-lookTime {
		k.late = time.Time{}
		return false
	}
	if k.late.IsZero() {
		k.late = now
	}
	return left > 0 || now.Sub(k.late) > 4*membership.Renew
}

// look asks all mates once; allow lets a good look open the gate for a while. It
// takes over a later sheet that one of them has known in force.
func (k *Rack) look(ctx context.Context, allow bool) (good bool) {
	as := k.Mates()
	from := k.Clock.Now()
	cx, end := context.WithTimeout(ctx, lookTime)
	defer end()
	have := k.N()
	type back struct {
		r   LastTold
		err error
	}
	ch := make(chan back, len(as))
	for _, a := range as {
		go func() {
			r, err := link.Call[LastTold](cx, k.Line, a, LastAsk{Have: have})
			ch <- back{r, err}
		}()
	}
	var rs []*LastTold
	silent := 0 // who neither answered nor refused the link: such a process may be up
	for range as {
		switch b := <-ch; {
		case b.err == nil:
			rs = append(rs, &b.r)
		case !errors.Is(b.err, syscall.ECONNREFUSED):
			silent++
		}
	}
	good, _ = owner.Get(ctx, k.own, func() (good bool) {
		var best *LastTold
		ids := map[string]bool{}
		held, fresh := false, false
		if k.confirmed {
			ids[k.ID] = true
		}
		for _, r := range rs {
			held, fresh = held || r.Held, fresh || r.Fresh
			// Only a run that was confirmed knows what is, or is about to be, in force;
			// what others once knew may be long past.
			if !r.Confirmed {
				continue
			}
			ids[r.ID] = true
			if r.Round > k.round {
				k.count(r.Round, r.Gateways, false)
			}
			if best == nil || r.N > best.N || r.N == best.N && !r.Shut {
				best = r
			}
		}
		t := k.cur.Load().table
		if best != nil && best.N >= t.N {
			switch {
			case best.N > t.N && best.Sheet == nil:
				return false
			case best.N > t.N:
				t = spec.NewTable(best.N, *best.Sheet)
				k.shut = lo.Ternary(best.Shut, best.N, 0)
			}
		}
		n := 0
		for _, id := range k.gateways {
			if ids[id] {
				n++
			}
		}
		enough := 2*n > len(k.gateways) || n > 0 && 2*n == len(k.gateways) && silent == 0
		k.lone.Store(!enough || k.behind(fresh))
		good = !held && enough
		if good && allow || t != k.cur.Load().table {
			k.set(func(s *state) {
				if s.table != t {
					s.table, s.loose = t, time.Time{}
				}
				if good && allow {
					s.loose = from.Add(looseTime)
				}
			})
		}
		return good
	})
	return good
}
