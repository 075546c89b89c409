// Package control puts a control-plane node together that keeps items with versions of
// their own and runs of targets, and tells both to all nodes (docs/platform.md).
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
	// judgeEvery is how often silent runs are looked for; nobody waits for it, since
	// gateways judge by their own probes too.
	judgeEvery = 250 * time.Millisecond
	// tendEvery is how often the table of runs is tidied.
	tendEvery = time.Second
	// pauseTick is how often the process looks whether it stood still.
	pauseTick = 200 * time.Millisecond
)

// Settings are what a node is told at its start.
type Settings struct {
	ID   string `validate:"required,max=64"`
	Zone string `validate:"required,max=64"`
	// Region is the wider failure domain of the zone, "" where the deployment has none.
	Region string `validate:"max=256"`
	Inner  string `validate:"required,max=256"` // address for other nodes
	Door   string `validate:"max=256"`          // address for targets and operators
	// Seeds are inner addresses of controllers.
	Seeds []string `validate:"required,min=1,max=64,dive,required"`
	// Exposure is the part of a service's requests, in thousandths, that a bad new version may get; 0 is usual.
	Exposure int `validate:"min=0,max=1000"`
	// Tolerance is what may be lost at once of the machines with a disk.
	Tolerance quorum.Tolerance
	// Zones are the regions of all zones of the deployment, by zone; empty where they are not known.
	Zones map[string]string `validate:"max=256"`
	// First says that the whole system starts for the first time, so that a core may
	// be formed.
	First bool
	// BeatEvery is the usual time between a run's beats.
	BeatEvery time.Duration `validate:"min=1ms"`
}

// Parts is what a node stands on.
type Parts struct {
	Settings
	Inc uint64 // of this life of the process
	// Fresh is the incarnation that an empty disk takes.
	Fresh string
	Line  link.Line
	Clock clock.Clock
	Disk  storage.Disk // nil for a controller that does not vote
	// Notes are what this node tells its next life of the targets; nil where there is no
	// place for them.
	Notes  storage.Journal
	Log    *log.Logger
	Faults *fault.Set
	// OnBad is told when the disk fails: the process is to end.
	OnBad func(error)
}

// Node is one control-plane node.
type Node struct {
	Parts
	Desk  *link.Desk
	Voter *quorum.Voter // nil without a disk
	Prop  *quorum.Proposer
	Board *watch.Board
	Mesh  *watch.Mesh

	bootstrapper *quorum.Bootstrapper
	reconfigurer *quorum.Reconfigurer // nil without a disk
	teller       *watch.Teller
	pause        *liveness.PauseMonitor
	watch        *target.Watch // guarded by the board's lock on its table
	book         *route.Book   // guarded by the board's lock on its items
	ledger       ledger
	departures   departures
	upgrades     upgrades
	counts       counts
	asked        chan struct{} // holds a token for each query that is answered
	busy         chan struct{} // holds a token while a change is under way
	stop         atomic.Bool
	nearby       atomic.Pointer[nearby]
	started      time.Time

	// Meters on the disk and the notes; nil where there are none.
	diskMeter, notesMeter *storage.Meter

	mu     sync.Mutex
	seeds  []string
	reseek context.CancelFunc // has the bootstrapper begin anew with other seeds
}

var check = validator.New(validator.WithRequiredStructEnabled())

// New puts a node together; Run starts it.
func New(p Parts) (*Node, error) {
	if err := check.Struct(p.Settings); err != nil {
		return nil, steperr.At("settings", "", err)
	}
	n := &Node{Parts: p, Desk: link.NewDesk(), Prop: quorum.NewProposer(p.ID+"."+p.Fresh, p.Line, p.Clock), Board: watch.NewBoard(p.Clock),
		book: route.NewBook(), pause: liveness.NewPauseMonitorEvery(p.Clock, pauseTick), busy: make(chan struct{}, 1),
		asked: make(chan struct{}, mostQueries), started: p.Clock.Now()}
	if p.Disk != nil {
		p.Disk, n.diskMeter = storage.MeterDisk(p.Disk, p.Clock)
		n.Disk = p.Disk
	}
	if p.Notes != nil {
		n.Notes, n.notesMeter = storage.MeterJournal(p.Notes, p.Clock)
	}
	n.watch = &target.Watch{Every: p.BeatEvery, Pause: n.pause}
	n.Board.OnItem = func(i item.Item) {
		n.noteUpgrade(i)
		if err := n.book.Apply(i); err != nil {
			p.Log.Error("item that can't be read", "step", "apply", "item", i.Name, "err", err)
		}
	}
	if p.Disk != nil {
		v, err := quorum.NewVoter(quorum.Seat{ID: p.ID, Addr: p.Inner, Zone: p.Zone, Region: p.Region}, p.Disk, p.Fresh, p.Line, p.Faults, p.OnBad)
		if err != nil {
			return nil, err
		}
		n.Voter = v
		v.OnMerge = n.takeMerged
		n.takeMerged(v.LoadedMergeItems())
		v.Serve(n.Desk)
	}
	if p.Notes != nil {
		n.recall()
	}
	size := p.Tolerance.MinSeats(p.Zones)
	attainable := p.Tolerance.Attainable(p.Zones, size)
	if attainable.Total() > 0 {
		p.Log.Warn("no placement in the zones of this deployment bears what is to be tolerated", "step", "core", "tolerance", p.Tolerance, "exposed", attainable)
	}
	n.bootstrapper = &quorum.Bootstrapper{Seeds: p.Seeds, Self: p.Inner, Size: size, Tolerance: p.Tolerance, Attainable: attainable, Transport: p.Line, Clock: p.Clock, Proposer: n.Prop, Voter: n.Voter, SubsequentStart: !p.First}
	n.bootstrapper.Serve(n.Desk)
	n.Mesh = &watch.Mesh{Me: n.me, Line: p.Line, Clock: p.Clock, Board: n.Board, Core: n.core, Learn: func(c quorum.Core) { n.Prop.Learn(c) }, Votes: n.votes}
	n.SetSeeds(p.Seeds)
	n.teller = &watch.Teller{Me: n.me, Board: n.Board, Clock: p.Clock, Core: n.core, Votes: n.votes, Fresh: n.fresh, Going: n.stop.Load,
		Others: n.Mesh.Others, Elsewhere: n.Mesh.Gateways, Met: n.Mesh.Met}
	n.teller.Serve(n.Desk)
	n.serveQueries()
	n.serveReports()
	if n.Voter != nil {
		n.reconfigurer = &quorum.Reconfigurer{Contacts: n.Mesh.Heard, Tolerance: p.Tolerance, Size: size, Proposer: n.Prop, Transport: p.Line, Clock: p.Clock, Faults: p.Faults, Log: p.Log}
	}
	return n, nil
}

// me is this node as others know it.
func (n *Node) me() watch.Member {
	m := watch.Member{ID: n.ID, Kind: watch.Controller, Inner: n.Inner, Door: n.Door, Zone: n.Zone, Inc: n.Inc}
	if n.Voter != nil {
		m.Seat = n.Voter.Seat()
	}
	return m
}

// core is the newest core known here.
func (n *Node) core() quorum.Core {
	c := n.Prop.Core()
	if n.Voter != nil {
		if v := n.Voter.Core(); v.Epoch > c.Epoch {
			n.Prop.Learn(v)
			c = v
		}
	}
	return c
}

// votes is the epoch of the core in which the own disk has a seat, or 0.
func (n *Node) votes() uint64 {
	if n.Voter == nil {
		return 0
	}
	c := n.Voter.Core()
	if s, ok := c.Seat(n.ID); ok && s.Disk == n.Voter.Seat().Disk {
		return c.Epoch
	}
	return 0
}

// Run works until ctx ends, then waits for its parts.
func (n *Node) Run(ctx context.Context) {
	runs := []func(context.Context){n.seek, n.Mesh.Run, n.pause.Run, n.tend, n.forgetDepartures, n.watchCore, n.directUpgrades}
	if n.Voter != nil {
		runs = append(runs, n.Voter.Run, n.reconfigurer.Run)
	}
	if n.Notes != nil {
		runs = append(runs, n.note)
	}
	var wg sync.WaitGroup
	for _, run := range runs {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// quiet is how long a run must be silent before its address can be another's.
func (n *Node) quiet() time.Duration { return max(2*n.BeatEvery, time.Second) }

// tend looks after the runs of targets.
func (n *Node) tend(ctx context.Context) {
	var tidied time.Time
	clock.Every(ctx, n.Clock, judgeEvery, func() {
		n.settle(n.Clock.Now())
		n.Board.Table(func(t *target.Table, now time.Time) bool {
			news := n.watch.Judge(t, now)
			if now.Sub(tidied) >= tendEvery {
				tidied = now
				news = t.Yield(n.quiet(), now) || news
				news = t.Tend(now) || news
			}
			return news
		})
	})
}

// seek finds the core with the seeds of the hour. The bootstrapper reads its seeds only while
// it runs.
func (n *Node) seek(ctx context.Context) {
	for ctx.Err() == nil {
		cx, end := context.WithCancel(ctx)
		n.mu.Lock()
		n.bootstrapper.Seeds, n.reseek = n.seeds, end
		n.mu.Unlock()
		n.bootstrapper.Run(cx)
		end()
	}
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	n.seeds = slices.Clone(seeds)
	if n.reseek != nil {
		n.reseek()
	}
	n.mu.Unlock()
	n.Mesh.SetSeeds(seeds)
}

// Ready is what the platform is told: this node knows all that was acknowledged until
// just now, and can acknowledge more.
func (n *Node) Ready() bool {
	_, fresh := n.fresh()
	return fresh
}

// fresh tells whether this node misses nothing acknowledged up to lag ago. One that stops
// says that it may, so that those who follow it go on to another while it still answers.
func (n *Node) fresh() (lag time.Duration, fresh bool) {
	lag, fresh = n.Mesh.Fresh()
	return lag, fresh && !n.stop.Load()
}

// Stop has this node say, to the platform and at once to all who follow it, that it is
// going. It still answers all calls until its process ends.
func (n *Node) Stop() {
	n.stop.Store(true)
	n.Board.Wake()
}
