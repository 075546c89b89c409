// Package control implements a control-plane node. It stores versioned configuration items and
// the runs of targets, and distributes both to all nodes (docs/platform.md).
package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-playground/validator/v10"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/quorum"
	"walkrudder/internal/route"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

const (
	// judgeInterval is how often runs are checked for silence. It need not be short, because
	// gateways also judge targets by their own probes.
	judgeInterval = 250 * time.Millisecond
	// maintenanceInterval is how often the table of runs is cleaned up.
	maintenanceInterval = time.Second
	// pausePollInterval is how often the process checks whether it was paused.
	pausePollInterval = 200 * time.Millisecond
)

// Settings are the settings of a node, given at its start.
type Settings struct {
	ID   string `validate:"required,max=64"`
	Zone string `validate:"required,max=64"`
	// Region is the failure domain that contains the zone, or "" if the deployment has none.
	Region       string `validate:"max=256"`
	InternalAddr string `validate:"required,max=256"` // address for other nodes
	PublicAddr   string `validate:"max=256"`          // address for targets and operators
	// Seeds are internal addresses of controllers.
	Seeds []string `validate:"required,min=1,max=64,dive,required"`
	// Exposure is the share of a service's requests, in thousandths, that a bad new version may get; 0 selects the default.
	Exposure int `validate:"min=0,max=1000"`
	// Tolerance is how many machines with a disk, zones and regions may be lost at once.
	Tolerance quorum.Tolerance
	// Zones maps each zone of the deployment to its region; empty if not known.
	Zones map[string]string `validate:"max=256"`
	// InitialStart means that the whole system starts for the first time, so that a core may be
	// formed.
	InitialStart bool
	// HeartbeatInterval is the usual time between heartbeats of a run.
	HeartbeatInterval time.Duration `validate:"min=1ms"`
}

// Config holds the settings and dependencies of a node.
type Config struct {
	Settings
	Incarnation uint64 // of this process
	// NewDiskID is the incarnation that an empty disk is given.
	NewDiskID string
	Transport link.Transport
	Clock     clock.Clock
	Disk      storage.Disk // nil for a controller that does not vote
	// RunJournal keeps the known runs for the next process of this node; nil if it cannot be
	// stored.
	RunJournal storage.Journal
	Log        *log.Logger
	Faults     *fault.Set
	// OnDiskFailure is called when the disk fails; the process must then exit.
	OnDiskFailure func(error)
}

// Node is a control-plane node.
type Node struct {
	Config
	Mux      *link.Mux
	Voter    *quorum.Voter // nil without a disk
	Proposer *quorum.Proposer
	Replica  *watch.Replica
	Mesh     *watch.Mesh

	bootstrapper   *quorum.Bootstrapper
	reconfigurer   *quorum.Reconfigurer // nil without a disk
	publisher      *watch.Publisher
	pauses         *liveness.PauseMonitor
	runMonitor     *target.Monitor  // guarded by the replica's lock
	routeValidator *route.Validator // guarded by the replica's lock
	durable        durableVersions
	departures     departureTracker
	upgrades       upgradeTracker
	calls          callCounters
	querySlots     chan struct{} // holds a token for each query that is answered
	changeSlot     chan struct{} // holds a token while a change is under way
	stopping       atomic.Bool
	availableCache atomic.Pointer[availableCache]
	started        time.Time

	// Meters of the disk and the run journal; nil where there is none.
	diskMeter, journalMeter *storage.Meter

	mu               sync.Mutex
	seeds            []string
	restartBootstrap context.CancelFunc // restarts the bootstrapper with new seeds
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// New builds a node; Run starts it.
func New(cfg Config) (*Node, error) {
	if err := validate.Struct(cfg.Settings); err != nil {
		return nil, steperr.Wrap("settings", "", err)
	}
	n := &Node{Config: cfg, Mux: link.NewMux(), Proposer: quorum.NewProposer(cfg.ID+"."+cfg.NewDiskID, cfg.Transport, cfg.Clock), Replica: watch.NewReplica(cfg.Clock),
		routeValidator: route.NewValidator(), pauses: liveness.NewPauseMonitorEvery(cfg.Clock, pausePollInterval), changeSlot: make(chan struct{}, 1),
		querySlots: make(chan struct{}, maxConcurrentQueries), started: cfg.Clock.Now()}
	if cfg.Disk != nil {
		cfg.Disk, n.diskMeter = storage.MeterDisk(cfg.Disk, cfg.Clock)
		n.Disk = cfg.Disk
	}
	if cfg.RunJournal != nil {
		n.RunJournal, n.journalMeter = storage.MeterJournal(cfg.RunJournal, cfg.Clock)
	}
	n.runMonitor = &target.Monitor{HeartbeatInterval: cfg.HeartbeatInterval, Pauses: n.pauses}
	n.Replica.OnItem = func(i item.Item) {
		n.recordUpgrade(i)
		if err := n.routeValidator.Apply(i); err != nil {
			cfg.Log.Error("item that can't be read", "step", "apply", "item", i.Name, "err", err)
		}
	}
	if cfg.Disk != nil {
		v, err := quorum.NewVoter(quorum.Seat{ID: cfg.ID, Addr: cfg.InternalAddr, Zone: cfg.Zone, Region: cfg.Region}, cfg.Disk, cfg.NewDiskID, cfg.Transport, cfg.Faults, cfg.OnDiskFailure)
		if err != nil {
			return nil, err
		}
		n.Voter = v
		v.OnMerge = n.applyMerged
		n.applyMerged(v.LoadedMergeItems())
		v.Serve(n.Mux)
	}
	if cfg.RunJournal != nil {
		n.loadJournal()
	}
	size := cfg.Tolerance.MinSeats(cfg.Zones)
	attainable := cfg.Tolerance.Attainable(cfg.Zones, size)
	if attainable.Total() > 0 {
		cfg.Log.Warn("no placement in the zones of this deployment bears what is to be tolerated", "step", "core", "tolerance", cfg.Tolerance, "exposed", attainable)
	}
	n.bootstrapper = &quorum.Bootstrapper{Seeds: cfg.Seeds, Self: cfg.InternalAddr, Size: size, Tolerance: cfg.Tolerance, Attainable: attainable, Transport: cfg.Transport, Clock: cfg.Clock, Proposer: n.Proposer, Voter: n.Voter, SubsequentStart: !cfg.InitialStart}
	n.bootstrapper.Serve(n.Mux)
	n.Mesh = &watch.Mesh{Me: n.selfMember, Transport: cfg.Transport, Clock: cfg.Clock, Replica: n.Replica, Core: n.core, LearnCore: func(c quorum.Core) { n.Proposer.Learn(c) }, VotingEpoch: n.seatEpoch}
	n.SetSeeds(cfg.Seeds)
	n.publisher = &watch.Publisher{Me: n.selfMember, Replica: n.Replica, Clock: cfg.Clock, Core: n.core, VotingEpoch: n.seatEpoch, Fresh: n.fresh, Stopping: n.stopping.Load,
		Others: n.Mesh.Others, OtherGateways: n.Mesh.Gateways, OnController: n.Mesh.OnController}
	n.publisher.Serve(n.Mux)
	n.serveQueries()
	n.registerReportHandler()
	if n.Voter != nil {
		n.reconfigurer = &quorum.Reconfigurer{Contacts: n.Mesh.DiskContacts, Tolerance: cfg.Tolerance, Size: size, Proposer: n.Proposer, Transport: cfg.Transport, Clock: cfg.Clock, Faults: cfg.Faults, Log: cfg.Log}
	}
	return n, nil
}

// selfMember returns the description of this node for other nodes.
func (n *Node) selfMember() watch.Member {
	m := watch.Member{ID: n.ID, Kind: watch.Controller, Inner: n.InternalAddr, Door: n.PublicAddr, Zone: n.Zone, Inc: n.Incarnation}
	if n.Voter != nil {
		m.Seat = n.Voter.Seat()
	}
	return m
}

// core returns the newest core known here.
func (n *Node) core() quorum.Core {
	c := n.Proposer.Core()
	if n.Voter != nil {
		if v := n.Voter.Core(); v.Epoch > c.Epoch {
			n.Proposer.Learn(v)
			c = v
		}
	}
	return c
}

// seatEpoch returns the epoch of the core in which the local disk has a seat, or 0.
func (n *Node) seatEpoch() uint64 {
	if n.Voter == nil {
		return 0
	}
	c := n.Voter.Core()
	if s, ok := c.Seat(n.ID); ok && s.Disk == n.Voter.Seat().Disk {
		return c.Epoch
	}
	return 0
}

// Run runs the node until ctx ends, then waits for its goroutines.
func (n *Node) Run(ctx context.Context) {
	runs := []func(context.Context){n.runBootstrapper, n.Mesh.Run, n.pauses.Run, n.maintainRuns, n.expireDepartures, n.watchCore, n.runUpgrades}
	if n.Voter != nil {
		runs = append(runs, n.Voter.Run, n.reconfigurer.Run)
	}
	if n.RunJournal != nil {
		runs = append(runs, n.maintainJournal)
	}
	var wg sync.WaitGroup
	for _, run := range runs {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// addressReuseSilence is how long a run must be silent before it is considered replaced by another run at its address.
func (n *Node) addressReuseSilence() time.Duration { return max(2*n.HeartbeatInterval, time.Second) }

// maintainRuns judges silent runs and cleans up the table of runs.
func (n *Node) maintainRuns(ctx context.Context) {
	var lastMaintained time.Time
	clock.Every(ctx, n.Clock, judgeInterval, func() {
		n.endRecallWindow(n.Clock.Now())
		n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
			changed := n.runMonitor.Evaluate(t, now)
			if now.Sub(lastMaintained) >= maintenanceInterval {
				lastMaintained = now
				changed = t.EndSuperseded(n.addressReuseSilence(), now) || changed
				changed = t.Maintain(now) || changed
			}
			return changed
		})
	})
}

// runBootstrapper looks for the core through the current seeds. SetSeeds restarts the bootstrapper,
// because its seeds must not change while it reads them.
func (n *Node) runBootstrapper(ctx context.Context) {
	for ctx.Err() == nil {
		runCtx, cancel := context.WithCancel(ctx)
		n.mu.Lock()
		n.bootstrapper.Seeds, n.restartBootstrap = n.seeds, cancel
		n.mu.Unlock()
		n.bootstrapper.Run(runCtx)
		cancel()
	}
}

// SetSeeds replaces the seeds at once, for the search for the core and for the mesh.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	n.seeds = slices.Clone(seeds)
	if n.restartBootstrap != nil {
		n.restartBootstrap()
	}
	n.mu.Unlock()
	n.Mesh.SetSeeds(seeds)
}

// Ready reports readiness to the platform: this node is not stopping, knows everything that was
// acknowledged until just now, and can acknowledge more.
func (n *Node) Ready() bool {
	_, fresh := n.fresh()
	return fresh
}

// fresh reports whether this node knows everything that was acknowledged up to lag ago. It returns
// false on a stopping node, so that its followers switch to another node while it still answers.
func (n *Node) fresh() (lag time.Duration, fresh bool) {
	lag, fresh = n.Mesh.Fresh()
	return lag, fresh && !n.stopping.Load()
}

// Stop announces, to the platform and immediately to all followers, that this node is stopping.
// It still answers all calls until its process ends.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.Replica.Wake()
}
