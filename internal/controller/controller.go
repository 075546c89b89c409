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
	Transport link.Transport
	Clock     clock.Clock
	Disk      storage.Disk // nil for a controller that does not vote
	Log       *log.Logger
	Faults    *fault.Set
	// OnDiskFailure is called when the disk fails; the process must then end.
	OnDiskFailure func(error)
	// WallMS returns the wall-clock time in Unix milliseconds.
	WallMS func() int64
	// Retention is how long decisions are kept; 0 means a week.
	Retention time.Duration
}

// Controller is a control-plane node.
type Controller struct {
	Config
	Mux        *link.Mux
	Voter      *quorum.Voter
	Proposer   *quorum.Proposer
	Membership *membership.LeaseClient
	Ledger     *ledger.Ledger
	Rollout    *rollout.Executor
	Registry   *registry.HomeTable
	Changer    *commands.Changer
	Heartbeats *commands.HeartbeatReceiver
	Drainer    *commands.Drainer
	Supervisor *commands.Supervisor
	Statements *statement.Executor
	Claims     *claim.QuorumStore

	trimmer  *commands.Trimmer
	start    func(context.Context)
	stopping atomic.Bool
	drained  atomic.Bool // drained by an operator
	wg       sync.WaitGroup
}

// New assembles a controller; Run starts it.
func New(cfg Config) (*Controller, error) {
	injector := do.New()
	seat := quorum.Seat{ID: cfg.Startup.ID, Addr: cfg.Startup.Inner, Zone: cfg.Startup.Zone}
	var voter *quorum.Voter
	if cfg.Disk != nil {
		var err error
		if voter, err = quorum.NewVoter(seat, cfg.Disk, cfg.NewDiskID, cfg.Transport, cfg.Faults, cfg.OnDiskFailure); err != nil {
			return nil, err
		}
	}
	do.ProvideValue(injector, voter)
	do.ProvideValue(injector, link.NewMux())
	do.Provide(injector, func(do.Injector) (*liveness.PauseMonitor, error) { return liveness.NewPauseMonitor(cfg.Clock), nil })
	do.Provide(injector, func(do.Injector) (*quorum.Proposer, error) {
		return quorum.NewProposer(cfg.Startup.ID+"."+cfg.NewDiskID, cfg.Transport, cfg.Clock), nil
	})
	do.Provide(injector, func(injector do.Injector) (*quorum.Bootstrapper, error) {
		return &quorum.Bootstrapper{Seeds: cfg.Startup.Seeds, Self: cfg.Startup.Inner, Size: cfg.Startup.Core, Transport: cfg.Transport, Clock: cfg.Clock,
			Proposer: do.MustInvoke[*quorum.Proposer](injector), Voter: voter}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*membership.LeaseClient, error) {
		return &membership.LeaseClient{Transport: cfg.Transport, Clock: cfg.Clock, Proposer: do.MustInvoke[*quorum.Proposer](injector)}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*ledger.Ledger, error) {
		return &ledger.Ledger{Proposer: do.MustInvoke[*quorum.Proposer](injector), Clock: cfg.Clock, Controller: cfg.Startup.ID, WallMS: cfg.WallMS}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*rollout.Executor, error) {
		return &rollout.Executor{Ledger: do.MustInvoke[*ledger.Ledger](injector), Membership: do.MustInvoke[*membership.LeaseClient](injector), Transport: cfg.Transport, Clock: cfg.Clock, Faults: cfg.Faults, Log: cfg.Log}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*registry.HomeTable, error) {
		h := &registry.HomeTable{Clock: cfg.Clock, Pauses: do.MustInvoke[*liveness.PauseMonitor](injector), Incarnation: cfg.Incarnation}
		h.Init()
		return h, nil
	})
	do.Provide(injector, func(injector do.Injector) (*commands.Drainer, error) {
		return &commands.Drainer{Ledger: do.MustInvoke[*ledger.Ledger](injector), Membership: do.MustInvoke[*membership.LeaseClient](injector), Transport: cfg.Transport, Clock: cfg.Clock, Faults: cfg.Faults}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*commands.HeartbeatReceiver, error) {
		return &commands.HeartbeatReceiver{Registry: do.MustInvoke[*registry.HomeTable](injector), Membership: do.MustInvoke[*membership.LeaseClient](injector), Transport: cfg.Transport, NodeID: cfg.Startup.ID,
			Drainer: do.MustInvoke[*commands.Drainer](injector)}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*commands.Changer, error) {
		return &commands.Changer{Ledger: do.MustInvoke[*ledger.Ledger](injector), Rollout: do.MustInvoke[*rollout.Executor](injector), Clock: cfg.Clock, Controller: cfg.Startup.ID}, nil
	})
	do.Provide(injector, func(injector do.Injector) (*commands.Supervisor, error) {
		return &commands.Supervisor{Registry: do.MustInvoke[*registry.HomeTable](injector), Ledger: do.MustInvoke[*ledger.Ledger](injector), Membership: do.MustInvoke[*membership.LeaseClient](injector),
			Drainer: do.MustInvoke[*commands.Drainer](injector), Proposer: do.MustInvoke[*quorum.Proposer](injector), Transport: cfg.Transport, Clock: cfg.Clock, Faults: cfg.Faults, Log: cfg.Log}, nil
	})
	ctl := &Controller{Config: cfg, Voter: voter, Mux: do.MustInvoke[*link.Mux](injector), Proposer: do.MustInvoke[*quorum.Proposer](injector), Membership: do.MustInvoke[*membership.LeaseClient](injector),
		Ledger: do.MustInvoke[*ledger.Ledger](injector), Rollout: do.MustInvoke[*rollout.Executor](injector), Registry: do.MustInvoke[*registry.HomeTable](injector),
		Changer: do.MustInvoke[*commands.Changer](injector), Heartbeats: do.MustInvoke[*commands.HeartbeatReceiver](injector), Drainer: do.MustInvoke[*commands.Drainer](injector),
		Supervisor: do.MustInvoke[*commands.Supervisor](injector)}
	ctl.Statements = &statement.Executor{Changer: ctl.Changer, Drainer: ctl.Drainer, Supervisor: ctl.Supervisor, Ledger: ctl.Ledger, WaitInForce: ctl.Rollout.Settle,
		Queries: &queries.Reader{Ledger: ctl.Ledger, Registry: ctl.Registry, Membership: ctl.Membership, Proposer: ctl.Proposer, Transport: cfg.Transport}}
	upSince := cfg.WallMS()
	ctl.Membership.Self = func() membership.Member {
		x := membership.Member{ID: cfg.Startup.ID, Inc: cfg.Incarnation, Kind: "controller", Inner: cfg.Startup.Inner, Door: cfg.Startup.Door, Zone: cfg.Startup.Zone, Since: upSince, Rest: ctl.drained.Load()}
		if voter != nil {
			x.Disk = voter.Seat()
		}
		return x
	}
	bootstrapper := do.MustInvoke[*quorum.Bootstrapper](injector)
	bootstrapper.Serve(ctl.Mux)
	ctl.Rollout.Serve(ctl.Mux, ctl.Drainer.DrainedTargets)
	ctl.Registry.Serve(ctl.Mux)
	ctl.Claims = &claim.QuorumStore{Proposer: ctl.Proposer, WallMS: cfg.WallMS}
	ctl.Claims.Serve(ctl.Mux)
	ctl.trimmer = &commands.Trimmer{Ledger: ctl.Ledger, Proposer: ctl.Proposer, Membership: ctl.Membership, Transport: cfg.Transport, Drainer: ctl.Drainer, Retention: cmp.Or(cfg.Retention, defaultRetention)}
	claims := &claim.Coordinator{Self: cfg.Startup.ID, Transport: cfg.Transport, Clock: cfg.Clock, Log: cfg.Log, Store: ctl.Claims, HasLease: ctl.Membership.Held,
		CoreLost: func() bool { return false }, Voters: func() ([]string, bool) { return nil, false },
		LeasedPeers: func() []string { return ctl.Membership.OtherAddrs(cfg.Startup.ID) }, Peers: func() []string { return ctl.Membership.OtherAddrs(cfg.Startup.ID) }}
	claims.Init()
	claims.Serve(ctl.Mux)
	membership.ServeDrain(ctl.Mux, &ctl.drained)
	runs := []func(context.Context){bootstrapper.Run, ctl.Membership.Run, ctl.Registry.Run, ctl.Rollout.Watch, ctl.Supervisor.Run, ctl.sweep, claims.Run, do.MustInvoke[*liveness.PauseMonitor](injector).Run}
	if voter != nil {
		voter.Serve(ctl.Mux)
		membership.NewLeaseServer(voter, cfg.Clock).Serve(ctl.Mux)
		runs = append(runs, voter.Run)
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

// Ready returns the readiness reported to the platform: the controller is a member of the cluster
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

// sweepInterval is the interval between sweeps, which repair outdated copies that no read has
// repaired.
const sweepInterval = 15 * time.Second

// sweep periodically reads every item, which repairs outdated copies (design 4.3), and deletes
// expired claims and decisions. It acts on the controller that holds the duty "sweep".
func (ctl *Controller) sweep(ctx context.Context) {
	ctl.Membership.RequestDuty("sweep")
	var lastTrim time.Time
	for ctl.Clock.Sleep(ctx, sweepInterval) == nil {
		if !ctl.Membership.HoldsDuty("sweep") {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, sweepInterval)
		if err := ctl.Claims.Sweep(callCtx); err != nil && ctx.Err() == nil {
			ctl.Log.Warn("cannot delete expired claims", "step", "sweep", "err", err)
		}
		if now := ctl.Clock.Now(); lastTrim.IsZero() || now.Sub(lastTrim) > min(trimInterval, ctl.trimmer.Retention) {
			lastTrim = now
			if err := ctl.trimmer.Trim(callCtx); err != nil && ctx.Err() == nil {
				ctl.Log.Warn("cannot delete expired decisions", "step", "sweep", "err", err)
			}
		}
		if n, err := ctl.Proposer.RepairCopies(callCtx); err != nil && ctx.Err() == nil {
			ctl.Log.Warn("sweep did not complete", "step", "sweep", "err", err)
		} else if n > 0 {
			ctl.Log.Info("sweep repaired outdated copies", "step", "sweep", "items", n)
		}
		cancel()
	}
}
