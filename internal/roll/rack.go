package roll

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/link"
	"walkrudder/internal/mate"
	"walkrudder/internal/owner"
	"walkrudder/internal/pulse"
	"walkrudder/internal/spec"
)

const (
	// confirmPause is how soon an unconfirmed flow asks again.
	confirmPause = 25 * time.Millisecond
	// heldLong is how long a flow is held before it asks what became of the flip.
	heldLong = 250 * time.Millisecond
	// strandedRounds is how many looks in a row must show that nobody reachable
	// has a majority before the last sheet is served without a lease.
	strandedRounds = 3
	strandedPause  = 300 * time.Millisecond
)

// state is what the request path reads; it is replaced, never changed.
type state struct {
	table *spec.Table
	// open: confirmed for the lease that began at since, and not held.
	open     bool
	since    time.Time
	stranded bool
	wake     chan struct{} // closed when the next state is in place
}

// Rack holds a flow's sheets: the one in force, and those staged.
type Rack struct {
	Tenant *mate.Tenant
	Line   link.Line
	Clock  pulse.Clock
	ID     string
	// Minds lists the inner addresses of minds to ask, nearest first.
	Minds func() []string
	// Mates lists the inner addresses of all other nodes known.
	Mates func() []string
	// OnLeaves takes what a confirmation says of leaving targets.
	OnLeaves func([]Leave)
	Log      *log.Logger
	// OnSpec is told of each sheet that comes into force.
	OnSpec func(*spec.Table)

	own *owner.Owner
	cur atomic.Pointer[state]

	// Owned by own.
	staged map[uint64]*spec.Table
	held   uint64
	heldAt time.Time
	known  bool
}

// Init makes the rack ready; it holds the empty sheet, unconfirmed.
func (k *Rack) Init() {
	k.own = owner.New(64)
	k.staged = map[uint64]*spec.Table{}
	k.cur.Store(&state{table: spec.NewTable(0, spec.Sheet{}), wake: make(chan struct{})})
}

// Gate is the sheet to serve under now; ok is false while work must wait.
func (k *Rack) Gate() (*spec.Table, bool) {
	s := k.cur.Load()
	since, ok := k.Tenant.HeldSince()
	if !ok {
		return s.table, s.stranded
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

// N is the version in force here.
func (k *Rack) N() uint64 { return k.cur.Load().table.N }

// Stranded tells whether the last sheet is served without a lease.
func (k *Rack) Stranded() bool { return k.cur.Load().stranded }

// set replaces the state; only own calls it.
func (k *Rack) set(f func(*state)) {
	old := k.cur.Load()
	n := *old
	n.wake = make(chan struct{})
	f(&n)
	if k.held > n.table.N {
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
func (k *Rack) Serve(d *link.Desk) {
	link.On(d, func(ctx context.Context, _ link.Who, a StageAsk) (r FlowTold, err error) {
		err = k.own.Do(ctx, func() {
			if a.N > k.N() && k.staged[a.N] == nil && len(k.staged) < 64 {
				k.staged[a.N] = spec.NewTable(a.N, a.Sheet)
			}
			r = FlowTold{OK: a.N <= k.N() || k.staged[a.N] != nil, N: k.N()}
		})
		return r, err
	})
	link.On(d, func(ctx context.Context, _ link.Who, a HoldAsk) (r FlowTold, err error) {
		err = k.own.Do(ctx, func() {
			if a.N > k.N() && a.N > k.held {
				if k.staged[a.N] == nil {
					return
				}
				k.held, k.heldAt = a.N, k.Clock.Now()
				k.set(func(s *state) { s.open = false })
			}
			r = FlowTold{OK: true, N: k.N()}
		})
		return r, err
	})
	link.On(d, func(ctx context.Context, _ link.Who, a FlipAsk) (r FlowTold, err error) {
		err = k.own.Do(ctx, func() {
			if t := k.staged[a.N]; a.N > k.N() && t != nil {
				k.known = true
				k.set(func(s *state) { s.table, s.open = t, !s.since.IsZero() })
			}
			r = FlowTold{OK: a.N <= k.N(), N: k.N()}
		})
		return r, err
	})
	link.On(d, func(ctx context.Context, _ link.Who, a LastAsk) (r LastTold, err error) {
		err = k.own.Do(ctx, func() {
			r = LastTold{Held: k.Tenant.Held(), Known: k.known, N: k.N()}
			if s := k.cur.Load().table.Sheet; r.Known && a.Have != r.N {
				r.Sheet = &s
			}
		})
		return r, err
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

// confirm asks a mind what is in force, after the lease was granted; what it
// then learns holds until the lease breaks (design 8.3).
func (k *Rack) confirm(ctx context.Context) {
	for _, a := range k.Minds() {
		since, ok := k.Tenant.HeldSince()
		if !ok {
			return
		}
		cx, end := context.WithTimeout(ctx, 600*time.Millisecond)
		r, err := link.Ask[ConfirmTold](cx, k.Line, a, ConfirmAsk{ID: k.ID, Have: k.N()})
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
			k.known = true
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

// outlook finds out, while no lease is held, whether anybody reachable has a
// majority. Nobody reachable: this node refuses. Somebody, and all without a
// majority: it serves its last sheet (design 8.4 tells what that risks).
func (k *Rack) outlook(ctx context.Context) {
	lone := 0
	for ctx.Err() == nil {
		if k.Tenant.Held() {
			lone = 0
			if k.Stranded() {
				k.strand(ctx, false)
			}
		} else if k.look(ctx) {
			if lone++; lone >= strandedRounds && !k.Stranded() && !k.Tenant.Held() {
				k.strand(ctx, true)
			}
		} else {
			lone = 0
			if k.Stranded() {
				k.strand(ctx, false)
			}
		}
		if k.Clock.Sleep(ctx, strandedPause) != nil {
			return
		}
	}
}

func (k *Rack) strand(ctx context.Context, on bool) {
	_ = k.own.Do(ctx, func() {
		if on && !k.known {
			return
		}
		k.set(func(s *state) {
			s.stranded = on
			if on {
				s.open, s.since = false, time.Time{}
			}
		})
	})
}

// look asks all mates once: true when some answered and none has a majority. It
// takes over a later sheet that one of them has known in force.
func (k *Rack) look(ctx context.Context) bool {
	as := k.Mates()
	cx, end := context.WithTimeout(ctx, 250*time.Millisecond)
	defer end()
	have := k.N()
	ch := make(chan *LastTold, len(as))
	for _, a := range as {
		go func() {
			r, err := link.Ask[LastTold](cx, k.Line, a, LastAsk{Have: have})
			if err != nil {
				ch <- nil
				return
			}
			ch <- &r
		}()
	}
	n, held := 0, false
	var best *LastTold
	for range as {
		r := <-ch
		if r == nil {
			continue
		}
		n++
		held = held || r.Held
		if r.Known && (best == nil || r.N > best.N) {
			best = r
		}
	}
	if best != nil {
		_ = k.own.Do(ctx, func() {
			if best.N == k.N() {
				k.known = true
			} else if best.N > k.N() && best.Sheet != nil {
				k.known = true
				t := spec.NewTable(best.N, *best.Sheet)
				k.set(func(s *state) { s.table = t })
			}
		})
	}
	return n > 0 && !held
}
