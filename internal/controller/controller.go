// Package controller assembles a control-plane node (design 2.1).
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

// Config holds a controller's settings and dependencies.
type Config struct {
	Startup     startup.Controller
	Incarnation uint64
	// NewDiskID is the ID that an empty disk takes; it must be unique to this run.
	NewDiskID string
	Transport link.Line
	Clock     clock.Clock
	Disk      storage.Disk // nil for a controller that does not vote
	Log       *log.Logger
	Faults    *fault.Set
	// OnDiskFailure is called when the disk fails; the process must then end.
	OnDiskFailure func(error)
	WallMS        func() int64
	// Retention is how long decisions are kept; 0 means a week.
	Retention time.Duration
}

// Controller is a control-plane node.
type Controller struct {
	Config
	Mux        *link.Desk
	Voter      *quorum.Voter
	Proposer   *quorum.Proposer
	Membership *membership.Tenant
	Ledger     *ledger.Ledger
	Rollout    *rollout.Roller
	Registry   *registry.House
	Changer    *commands.Changer
	Heartbeats *commands.HeartbeatReceiver
	Drainer    *commands.Drainer
	Supervisor *commands.Supervisor
	Statements *statement.Executor
	Claims     *claim.Clerk

	trimmer  *commands.Trimmer
	start    func(context.Context)
	stopping atomic.Bool
	drained  atomic.Bool // drained by an operator
	wg       sync.WaitGroup
}

// New assembles a controller; Run starts it.
func New(p Config) (*Controller, error) {
	i := do.New()
	me := quorum.Seat{ID: p.Startup.ID, Addr: p.Startup.Inner, Zone: p.Startup.Zone}
	var v *quorum.Voter
	if p.Disk != nil {
		var err error
		if v, err = quorum.NewVoter(me, p.Disk, p.NewDiskID, p.Transport, p.Faults, p.OnDiskFailure); err != nil {
			return nil, err
		}
	}
	do.ProvideValue(i, v)
	do.ProvideValue(i, link.NewDesk())
	do.Provide(i, func(do.Injector) (*liveness.Pauses, error) { return liveness.NewPauses(p.Clock), nil })
	do.Provide(i, func(do.Injector) (*quorum.Proposer, error) {
		return quorum.NewProposer(p.Startup.ID+"."+p.NewDiskID, p.Transport, p.Clock), nil
	})
	do.Provide(i, func(i do.Injector) (*quorum.Bootstrapper, error) {
		return &quorum.Bootstrapper{Seeds: p.Startup.Seeds, Self: p.Startup.Inner, Size: p.Startup.Core, Transport: p.Transport, Clock: p.Clock,
			Proposer: do.MustInvoke[*quorum.Proposer](i), Voter: v}, nil
	})
	do.Provide(i, func(i do.Injector) (*membership.Tenant, error) {
		return &membership.Tenant{Line: p.Transport, Clock: p.Clock, Core: do.MustInvoke[*quorum.Proposer](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (*ledger.Ledger, error) {
		return &ledger.Ledger{Proposer: do.MustInvoke[*quorum.Proposer](i), Clock: p.Clock, Controller: p.Startup.ID, WallMS: p.WallMS}, nil
	})
	do.Provide(i, func(i do.Injector) (*rollout.Roller, error) {
		return &rollout.Roller{Book: do.MustInvoke[*ledger.Ledger](i), Tenant: do.MustInvoke[*membership.Tenant](i), Line: p.Transport, Clock: p.Clock, Faults: p.Faults, Log: p.Log}, nil
	})
	do.Provide(i, func(i do.Injector) (*registry.House, error) {
		h := &registry.House{Clock: p.Clock, Pause: do.MustInvoke[*liveness.Pauses](i), Run: p.Incarnation}
		h.Init()
		return h, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Drainer, error) {
		return &commands.Drainer{Ledger: do.MustInvoke[*ledger.Ledger](i), Membership: do.MustInvoke[*membership.Tenant](i), Transport: p.Transport, Clock: p.Clock, Faults: p.Faults}, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.HeartbeatReceiver, error) {
		return &commands.HeartbeatReceiver{Registry: do.MustInvoke[*registry.House](i), Membership: do.MustInvoke[*membership.Tenant](i), Transport: p.Transport, NodeID: p.Startup.ID,
			Drainer: do.MustInvoke[*commands.Drainer](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Changer, error) {
		return &commands.Changer{Ledger: do.MustInvoke[*ledger.Ledger](i), Rollout: do.MustInvoke[*rollout.Roller](i), Clock: p.Clock, Controller: p.Startup.ID}, nil
	})
	do.Provide(i, func(i do.Injector) (*commands.Supervisor, error) {
		return &commands.Supervisor{Registry: do.MustInvoke[*registry.House](i), Ledger: do.MustInvoke[*ledger.Ledger](i), Membership: do.MustInvoke[*membership.Tenant](i),
			Drainer: do.MustInvoke[*commands.Drainer](i), Proposer: do.MustInvoke[*quorum.Proposer](i), Transport: p.Transport, Clock: p.Clock, Faults: p.Faults, Log: p.Log}, nil
	})
	ctl := &Controller{Config: p, Voter: v, Mux: do.MustInvoke[*link.Desk](i), Proposer: do.MustInvoke[*quorum.Proposer](i), Membership: do.MustInvoke[*membership.Tenant](i),
		Ledger: do.MustInvoke[*ledger.Ledger](i), Rollout: do.MustInvoke[*rollout.Roller](i), Registry: do.MustInvoke[*registry.House](i),
		Changer: do.MustInvoke[*commands.Changer](i), Heartbeats: do.MustInvoke[*commands.HeartbeatReceiver](i), Drainer: do.MustInvoke[*commands.Drainer](i),
		Supervisor: do.MustInvoke[*commands.Supervisor](i)}
	ctl.Statements = &statement.Executor{Changer: ctl.Changer, Drainer: ctl.Drainer, Supervisor: ctl.Supervisor, Ledger: ctl.Ledger, WaitInForce: ctl.Rollout.Settle,
		Queries: &queries.Reader{Ledger: ctl.Ledger, Registry: ctl.Registry, Membership: ctl.Membership, Proposer: ctl.Proposer, Transport: p.Transport}}
	since := p.WallMS()
	ctl.Membership.Me = func() membership.Member {
		x := membership.Member{ID: p.Startup.ID, Inc: p.Incarnation, Kind: "controller", Inner: p.Startup.Inner, Door: p.Startup.Door, Zone: p.Startup.Zone, Since: since, Rest: ctl.drained.Load()}
		if v != nil {
			x.Disk = v.Seat()
		}
		return x
	}
	bootstrapper := do.MustInvoke[*quorum.Bootstrapper](i)
	bootstrapper.Serve(ctl.Mux)
	ctl.Rollout.Serve(ctl.Mux, ctl.Drainer.DrainedTargets)
	ctl.Registry.Serve(ctl.Mux)
	ctl.Claims = &claim.Clerk{Prop: ctl.Proposer, WallMS: p.WallMS}
	ctl.Claims.Serve(ctl.Mux)
	ctl.trimmer = &commands.Trimmer{Ledger: ctl.Ledger, Proposer: ctl.Proposer, Membership: ctl.Membership, Transport: p.Transport, Drainer: ctl.Drainer, Retention: cmp.Or(p.Retention, defaultRetention)}
	claims := &claim.Circle{Me: p.Startup.ID, Line: p.Transport, Clock: p.Clock, Log: p.Log, Keep: ctl.Claims, Held: ctl.Membership.Held,
		Alone: func() bool { return false }, Gateways: func() ([]string, bool) { return nil, false },
		Members: func() []string { return ctl.Membership.Others(p.Startup.ID) }, Mates: func() []string { return ctl.Membership.Others(p.Startup.ID) }}
	claims.Init()
	claims.Serve(ctl.Mux)
	membership.ServeRest(ctl.Mux, &ctl.drained)
	runs := []func(context.Context){bootstrapper.Run, ctl.Membership.Run, ctl.Registry.Start, ctl.Rollout.Watch, ctl.Supervisor.Run, ctl.sweep, claims.Run, do.MustInvoke[*liveness.Pauses](i).Run}
	if v != nil {
		v.Serve(ctl.Mux)
		membership.NewCourt(v, p.Clock).Serve(ctl.Mux)
		runs = append(runs, v.Run)
	}
	ctl.start = func(ctx context.Context) {
		for _, run := range runs {
			ctl.wg.Go(func() { run(ctx) })
		}
	}
	return ctl, nil
}

// Run runs the controller until ctx ends, then waits for its components.
func (ctl *Controller) Run(ctx context.Context) {
	ctl.start(ctx)
	ctl.wg.Wait()
}

// Ready is the readiness reported to the platform: the controller is a member of the cluster
// and is neither stopping nor drained.
func (ctl *Controller) Ready() bool {
	return ctl.Membership.Held() && !ctl.stopping.Load() && !ctl.drained.Load()
}

// Stop makes the node report to the platform that it is not ready.
func (ctl *Controller) Stop() { ctl.stopping.Store(true) }

// defaultRetention is how long decisions are kept, and trimInterval is the interval at
// which older ones are deleted.
const (
	defaultRetention = 7 * 24 * time.Hour
	trimInterval     = 100 * sweepInterval
)

// sweepInterval is the interval at which outdated copies not repaired by a read are looked for.
const sweepInterval = 15 * time.Second

// sweep periodically reads every item, which repairs outdated copies (design 4.3). It runs on
// the controller that holds the duty.
func (ctl *Controller) sweep(ctx context.Context) {
	ctl.Membership.Seek("sweep")
	var trimmed time.Time
	for ctl.Clock.Sleep(ctx, sweepInterval) == nil {
		if !ctl.Membership.Holds("sweep") {
			continue
		}
		cx, end := context.WithTimeout(ctx, sweepInterval)
		if err := ctl.Claims.Sweep(cx); err != nil && ctx.Err() == nil {
			ctl.Log.Warn("cannot delete expired claims", "step", "sweep", "err", err)
		}
		if now := ctl.Clock.Now(); trimmed.IsZero() || now.Sub(trimmed) > min(trimInterval, ctl.trimmer.Retention) {
			trimmed = now
			if err := ctl.trimmer.Trim(cx); err != nil && ctx.Err() == nil {
				ctl.Log.Warn("cannot delete expired decisions", "step", "sweep", "err", err)
			}
		}
		if n, err := ctl.Proposer.RepairCopies(cx); err != nil && ctx.Err() == nil {
			ctl.Log.Warn("sweep did not complete", "step", "sweep", "err", err)
		} else if n > 0 {
			ctl.Log.Info("sweep repaired outdated copies", "step", "sweep", "items", n)
		}
		end()
	}
}
