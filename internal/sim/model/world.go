package model

import (
	"context"
	"sync"
	"testing/synctest"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

const (
	// maxSteps bounds the explored part of a schedule; after it the schedule takes default steps
	// only.
	maxSteps = 500
	// maxFinishSteps bounds each run of default steps until all actors have finished.
	maxFinishSteps = 2000
	// settleTime passes at the end of a run, so that no goroutine stays behind.
	settleTime = 10 * time.Second
	// timeoutSpan is longer than any wait for an answer and than one attempt of a reconfigurer.
	// While only default steps are taken, it passes every stepsPerTimeout steps.
	timeoutSpan     = 6 * time.Second
	stepsPerTimeout = 150
)

// Budget limits the faults of one schedule.
type Budget struct {
	MessageLosses    int // messages lost
	Duplicates       int // requests that arrive twice
	Crashes          int // processes killed, possibly during a sync
	PowerLosses      int // simultaneous ends of all processes
	DiskLosses       int // disks lost
	ZoneLosses       int // zones lost with all disks in them
	Partitions       int // nodes cut off from all others, or reconnected
	OneWayPartitions int // nodes whose messages no longer arrive, or arrive again
	Freezes          int // nodes frozen, or resumed
	Timeouts         int // points at which all pending waits for an answer time out
}

// Scenario is the set-up whose schedules are explored.
type Scenario struct {
	Name   string
	Seats  int // in the first core
	Spares int // further nodes with a disk
	// Zones are the zones of the nodes; if empty, all nodes share one.
	Zones []string
	// Tolerance is what may be lost at once; if empty, as many machines as the seats allow.
	Tolerance quorum.Tolerance
	// Size is the number of seats that the core must reach in the end; 0 if it does not change.
	Size   int
	Budget Budget
	// Actors act as operators, readers, targets and reconfigurers; each begins at once or waits for
	// a step of the schedule.
	Actors []Actor
	// Unformed means that there is no first core yet: bootstrappers have to form it.
	Unformed bool
	// JournalRuns is the content of every node's run journal at each start.
	JournalRuns []target.Run
	// Hold selects the requests that the network holds back until DeliverHeld; to their senders
	// they are lost.
	Hold func(from, to string, ask any) bool
	// Prepare changes the world before it starts, to plant a fault.
	Prepare func(w *World)
}

// Actor performs a sequence of operations on nodes.
type Actor struct {
	Name string
	Do   func(w *World)
}

// World is the state of one run of a scenario.
type World struct {
	scenario  Scenario
	ctx       context.Context
	nodeList  []*node
	nodes     map[string]*node
	history   *history
	remaining Budget
	// actorCtx ends when the remaining actors have to give up.
	actorCtx     context.Context
	cancelActors context.CancelFunc
	// Tamper is a planted fault in the network.
	Tamper Tamper
	// ignoreTolerance is a planted fault: reconfigurers do not know the tolerance.
	ignoreTolerance bool
	// lastExposure is the exposure of the newest core seen.
	lastExposure coreExposure

	mu           sync.Mutex
	held         []message
	heldReleased bool // DeliverHeld has run
	now          time.Time
	events       []*event
	newEvents    []*event
	lastID       int
	cuts         map[[2]string]bool
	actors       int // not finished yet
	steps        []string
	finishing    bool
}

// executeSchedule runs one schedule; it must run in a testing/synctest bubble. It returns the violated
// invariant, if any, and the steps.
func executeSchedule(ctx context.Context, s Scenario, chooser Chooser) (violation string, steps []string) {
	ctx, end := context.WithCancel(ctx)
	w := &World{scenario: s, ctx: ctx, nodes: map[string]*node{}, history: newHistory(), remaining: s.Budget, now: time.Unix(1e9, 0), cuts: map[[2]string]bool{}}
	w.actorCtx, w.cancelActors = context.WithCancel(ctx)
	defer func() {
		w.cancelActors()
		w.crash(0, w.nodeList...)
		end()
		time.Sleep(settleTime)
	}()
	w.build()
	if !s.Unformed {
		w.formInitialCore()
		w.startActor(SubmitChange("base", baseChange(), w.nodeList[0].id))
		if !w.runUntilIdle() {
			return "the first change is not acknowledged", w.steps
		}
		w.steps = nil
	}
	for _, a := range s.Actors {
		w.startActor(a)
		w.quiesce()
	}
	for range maxSteps {
		w.quiesce()
		if w.checkInvariants(); w.history.firstViolation() != "" {
			return w.history.firstViolation(), w.steps
		}
		if !w.takeStep(chooser) {
			break
		}
	}
	w.finish()
	return w.history.firstViolation(), w.steps
}

// build creates and starts the nodes.
func (w *World) build() {
	for i := range w.scenario.Seats + w.scenario.Spares {
		n := &node{w: w, id: nodeID(i), zone: w.scenario.zone(i), disk: newDisk()}
		for _, r := range w.scenario.JournalRuns {
			n.journal = append(n.journal, r.Record())
		}
		w.nodeList = append(w.nodeList, n)
		w.nodes[n.id] = n
	}
	if w.scenario.Prepare != nil {
		w.scenario.Prepare(w)
	}
	for _, n := range w.nodeList {
		n.boot()
	}
}

// formInitialCore forms the first core on the seats and makes it known to all nodes.
func (w *World) formInitialCore() {
	var seats []quorum.Seat
	for _, n := range w.nodeList[:w.scenario.Seats] {
		seats = append(seats, n.voter().Seat())
	}
	core := quorum.Core{Epoch: 1, Seats: seats}
	for _, seal := range []bool{false, true} {
		for _, n := range w.nodeList[:w.scenario.Seats] {
			if r := answerLocally[quorum.FormTold](n, quorum.FormAsk{By: "model", Core: core, Seal: seal}); !r.OK {
				panic("the first core is refused") // a fault of the model's set-up
			}
		}
	}
	for _, n := range w.nodeList {
		n.current.Load().control.Proposer.Learn(core)
	}
}

// startActor runs an actor in a goroutine of its own.
func (w *World) startActor(a Actor) {
	w.mu.Lock()
	w.actors++
	w.mu.Unlock()
	go func() {
		a.Do(w)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.actors--
	}()
}

// quiesce waits until nothing can happen without a step.
func (w *World) quiesce() {
	synctest.Wait()
	w.numberEvents()
}

// idle reports whether all actors have finished.
func (w *World) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.actors == 0
}

// finish removes all faults, lets the core fill its seats, and reads at every node. A missing answer
// is a violation as well.
func (w *World) finish() {
	w.mu.Lock()
	w.finishing, w.cuts = true, map[[2]string]bool{}
	w.mu.Unlock()
	for _, n := range w.nodeList {
		n.frozen.Store(false)
		if !n.running() {
			n.boot()
		}
	}
	w.cancelActors()
	if !w.runUntilIdle() {
		w.history.addViolation("an actor does not stop after its context ended")
		return
	}
	w.actorCtx, w.cancelActors = context.WithCancel(w.ctx)
	if w.scenario.Unformed && !w.formFirstCore() {
		w.history.addViolation("no first core is formed")
		return
	}
	for round := 0; ; round++ {
		for _, n := range w.nodeList {
			w.startActor(Actor{"reconfigure at " + n.id, func(w *World) { w.reconfigure(n.id) }})
			if !w.runUntilIdle() {
				w.history.addViolation("reconfiguration at %s does not finish", n.id)
				return
			}
		}
		if w.coreComplete() {
			break
		}
		if round == 8 {
			w.history.addViolation("the core does not fill its seats")
			return
		}
	}
	for _, n := range w.nodeList {
		w.startActor(Actor{"read at " + n.id, func(w *World) { w.read(n.id) }})
		if !w.runUntilIdle() {
			w.history.addViolation("%s does not answer a read in a healthy system", n.id)
			return
		}
	}
	w.checkInvariants()
	w.checkPlacement()
}

// runUntilIdle takes default steps until all actors have finished.
func (w *World) runUntilIdle() bool {
	for n := range maxFinishSteps {
		w.quiesce()
		if n%stepsPerTimeout == stepsPerTimeout-1 {
			time.Sleep(timeoutSpan)
			w.quiesce()
		}
		if w.idle() {
			return true
		}
		if !w.takeStep(&Deviations{}) {
			return w.idle()
		}
	}
	return false
}

// coreComplete reports whether every seat of the newest core votes.
func (w *World) coreComplete() bool {
	core := w.core()
	for _, s := range core.Seats {
		n := w.nodes[s.ID]
		if !n.running() || n.voter().Core().Epoch != core.Epoch || n.voter().Seat().Disk != s.Disk {
			return false
		}
	}
	return true
}

// core returns the newest core that any running node knows.
func (w *World) core() (newest quorum.Core) {
	for _, n := range w.nodeList {
		if v := n.voter(); v != nil && v.Core().Epoch > newest.Epoch {
			newest = v.Core()
		}
	}
	return newest
}

// checkInvariants checks what every node shows and what the disks of the core hold.
func (w *World) checkInvariants() {
	for _, n := range w.nodeList {
		p := n.current.Load()
		if p == nil {
			continue
		}
		p.control.Replica.WithItems(func(s *item.Set) {
			for i := range s.All() {
				w.history.recordShown(n.id, i)
			}
		})
	}
	w.checkDisks()
	w.checkFirstCore()
	w.checkExposure()
}
