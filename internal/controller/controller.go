// Package controller puts the control plane together (design 2.1).
package controller

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"

	"walkrudder/internal/claim"
	"walkrudder/internal/clock"
	"walkrudder/internal/commands"
	"walkrudder/internal/fault"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/membership"
	"walkrudder/internal/queries"
	"walkrudder/internal/quorum"
	"walkrudder/internal/registry"
	"walkrudder/internal/rollout"
	"walkrudder/internal/startup"
	"walkrudder/internal/statement"
	"walkrudder/internal/storage"
)

// Parts is what a controller stands on.
type Parts struct {
	Startup startup.Controller
	Inc     uint64
	// Fresh is the incarnation that an empty disk takes.
	Fresh  string
	Line   link.Line
	Clock  clock.Clock
	Disk   storage.Disk // nil for a controller that does not vote
	Log    *log.Logger
	Faults *fault.Set
	// OnBad is told when the disk fails: the process is to end.
	OnBad  func(error)
	WallMS func() int64
	// Keep is how long decisions are kept; 0 for a week.
	Keep time.Duration
}

// Controller is one control-plane node.
type Controller struct {
	Parts
	Desk    *link.Mux
	Voter   *quorum.Voter
	Prop    *quorum.Proposer
	Tenant  *membership.Tenant
	Book    *ledger.Book
	Roller  *rollout.Roller
	House   *registry.House
	Changer *commands.Changer
	Beater  *commands.Beater
	Drainer *commands.Drainer
	Warden  *commands.Warden
	Speaker *statement.Speaker
	Clerk   *claim.Clerk

	trim     *commands.Trimmer
	start    func(context.Context)
	stopping atomic.Bool
	resting  atomic.Bool // drained by hand
	wg       sync.WaitGroup
}

// New puts a controller together; Run starts it.
func New(p Parts) (*Controller, error) {
	i := do.New()
	me := quorum.Seat{ID: p.Startup.ID, Addr: p.Startup.Inner, Zone: p.Startup.Zone}
	var v *quorum.Voter
	if p.Disk != nil {
		var err error
		if v, err = quorum.NewVoter(me, p.Disk, p.Fresh, p.Line, p.Faults, p.OnBad); err != nil {
			return nil, err
		}
	}
	do.ProvideValue(i, v)
	do.ProvideValue(i, link.NewMux())
	do.Provide(i, func(do.Injector) (*liveness.Pauses, error) { return liveness.NewPauses(p.Clock), nil })
	do.Provide(i, func(do.Injector) (*quorum.Proposer, error) {
		return quorum.NewProposer(p.Startup.ID+"."+p.Fresh, p.Line, p.Clock), nil
	})
	do.Provide(i, func(i do.Injector) (*quorum.Bootstrapper, error) {
		return &quorum.Bootstrapper{Seeds: p.Startup.Seeds, Self: p.Startup.Inner, Size: p.Startup.Core, Transport: p.Line, Clock: p.Clock,
			Proposer: do.MustInvoke[*quorum.Proposer](i), Voter: v}, nil
	})
	do.Provide(i, func(i do.Injector) (*membership.Tenant, error) {
		return &membership.Tenant{Line: p.Line, Clock: p.Clock, Core: do.MustInvoke[*quorum.Proposer](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (*ledger.Book, error) {
		return &ledger.Book{Prop: do.MustInvoke[*quorum.Proposer](i), Clock: p.Clock, Controller: p.Startup.ID, WallMS: p.WallMS}, nil
	})
	do.Provide(i, func(i do.Injector) (*rollout.Roller, error) {
		return &rollout.Roller{Book: do.MustInvoke[*ledger.Book](i), Tenant: do.MustInvoke[*membership.Tenant](i), Line: p.Line, Clock: p.Clock, Faults: p.Faults, Log: p.Log}, nil
	})
	do.Provide(i, func(i do.Injector) (*registry.House, error) {
		h := &registry.House{Clock: p.Clock, Pause: do.MustInvoke[*liveness.Pauses](i), Run: p.Inc}
		h.Init()
		return h, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Drainer, error) {
		return &commands.Drainer{Book: do.MustInvoke[*ledger.Book](i), Tenant: do.MustInvoke[*membership.Tenant](i), Line: p.Line, Clock: p.Clock, Faults: p.Faults}, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Beater, error) {
		return &commands.Beater{House: do.MustInvoke[*registry.House](i), Tenant: do.MustInvoke[*membership.Tenant](i), Line: p.Line, Me: p.Startup.ID,
			Drainer: do.MustInvoke[*commands.Drainer](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Changer, error) {
		return &commands.Changer{Book: do.MustInvoke[*ledger.Book](i), Roller: do.MustInvoke[*rollout.Roller](i), Clock: p.Clock, Controller: p.Startup.ID}, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Warden, error) {
		return &commands.Warden{House: do.MustInvoke[*registry.House](i), Book: do.MustInvoke[*ledger.Book](i), Tenant: do.MustInvoke[*membership.Tenant](i),
			Drainer: do.MustInvoke[*commands.Drainer](i), Prop: do.MustInvoke[*quorum.Proposer](i), Line: p.Line, Clock: p.Clock, Faults: p.Faults, Log: p.Log}, nil
	})
	m := &Controller{Parts: p, Voter: v, Desk: do.MustInvoke[*link.Mux](i), Prop: do.MustInvoke[*quorum.Proposer](i), Tenant: do.MustInvoke[*membership.Tenant](i),
		Book: do.MustInvoke[*ledger.Book](i), Roller: do.MustInvoke[*rollout.Roller](i), House: do.MustInvoke[*registry.House](i),
		Changer: do.MustInvoke[*commands.Changer](i), Beater: do.MustInvoke[*commands.Beater](i), Drainer: do.MustInvoke[*commands.Drainer](i),
		Warden: do.MustInvoke[*commands.Warden](i)}
	m.Speaker = &statement.Speaker{Changer: m.Changer, Drainer: m.Drainer, Warden: m.Warden, Book: m.Book, Settle: m.Roller.Settle,
		Asker: &queries.Asker{Book: m.Book, House: m.House, Tenant: m.Tenant, Prop: m.Prop, Line: p.Line}}
	since := p.WallMS()
	m.Tenant.Me = func() membership.Member {
		x := membership.Member{ID: p.Startup.ID, Inc: p.Inc, Kind: "controller", Inner: p.Startup.Inner, Door: p.Startup.Door, Zone: p.Startup.Zone, Since: since, Rest: m.resting.Load()}
		if v != nil {
			x.Disk = v.Seat()
		}
		return x
	}
	fm := do.MustInvoke[*quorum.Bootstrapper](i)
	fm.Serve(m.Desk)
	m.Roller.Serve(m.Desk, m.Drainer.Leaves)
	m.House.Serve(m.Desk)
	m.Clerk = &claim.Clerk{Prop: m.Prop, WallMS: p.WallMS}
	m.Clerk.Serve(m.Desk)
	m.trim = &commands.Trimmer{Book: m.Book, Prop: m.Prop, Tenant: m.Tenant, Line: p.Line, Drainer: m.Drainer, Keep: cmp.Or(p.Keep, keepDecisions)}
	circle := &claim.Circle{Me: p.Startup.ID, Line: p.Line, Clock: p.Clock, Log: p.Log, Keep: m.Clerk, Held: m.Tenant.Held,
		Alone: func() bool { return false }, Gateways: func() ([]string, bool) { return nil, false },
		Members: func() []string { return m.Tenant.Others(p.Startup.ID) }, Mates: func() []string { return m.Tenant.Others(p.Startup.ID) }}
	circle.Init()
	circle.Serve(m.Desk)
	membership.ServeRest(m.Desk, &m.resting)
	runs := []func(context.Context){fm.Run, m.Tenant.Run, m.House.Start, m.Roller.Watch, m.Warden.Run, m.sweep, circle.Run, do.MustInvoke[*liveness.Pauses](i).Run}
	if v != nil {
		v.Serve(m.Desk)
		membership.NewCourt(v, p.Clock).Serve(m.Desk)
		runs = append(runs, v.Run)
	}
	m.start = func(ctx context.Context) {
		for _, run := range runs {
			m.wg.Go(func() { run(ctx) })
		}
	}
	return m, nil
}

// Run works until ctx ends, then waits for its parts.
func (m *Controller) Run(ctx context.Context) {
	m.start(ctx)
	m.wg.Wait()
}

// Ready is what the platform is told: this controller is a member.
func (m *Controller) Ready() bool { return m.Tenant.Held() && !m.stopping.Load() && !m.resting.Load() }

// Stop makes the node tell the platform that it is not ready.
func (m *Controller) Stop() { m.stopping.Store(true) }

// keepDecisions is how long decisions are kept, and trimEvery how often older ones
// are looked for.
const (
	keepDecisions = 7 * 24 * time.Hour
	trimEvery     = 100 * sweepEvery
)

// sweepEvery is how often copies that no read has mended are looked for.
const sweepEvery = 15 * time.Second

// sweep reads every item now and then, which mends old copies (design 4.3). The
// duty says which controller does it.
func (m *Controller) sweep(ctx context.Context) {
	m.Tenant.Seek("sweep")
	var trimmed time.Time
	for m.Clock.Sleep(ctx, sweepEvery) == nil {
		if !m.Tenant.Holds("sweep") {
			continue
		}
		cx, end := context.WithTimeout(ctx, sweepEvery)
		if err := m.Clerk.Sweep(cx); err != nil && ctx.Err() == nil {
			m.Log.Warn("old claims not dropped", "step", "sweep", "err", err)
		}
		if now := m.Clock.Now(); trimmed.IsZero() || now.Sub(trimmed) > min(trimEvery, m.trim.Keep) {
			trimmed = now
			if err := m.trim.Trim(cx); err != nil && ctx.Err() == nil {
				m.Log.Warn("old decisions not dropped", "step", "sweep", "err", err)
			}
		}
		if n, err := m.Prop.RepairCopies(cx); err != nil && ctx.Err() == nil {
			m.Log.Warn("sweep not finished", "step", "sweep", "err", err)
		} else if n > 0 {
			m.Log.Info("sweep mended copies", "step", "sweep", "items", n)
		}
		end()
	}
}
