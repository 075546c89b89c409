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
	// most is how many steps the explored part of a schedule has at most; after that it ends as
	// usual.
	most = 500
	// mostEnd bounds the steps of the end, in which all must become well.
	mostEnd = 2000
	// settleTime is what passes at the end of a play, so that no goroutine stays behind.
	settleTime = 10 * time.Second
	// waitTime is longer than any wait for an answer, and than a try of a reconfigurer. At the
	// end it passes each patientSteps steps.
	waitTime     = 6 * time.Second
	patientSteps = 150
)

// Budget is how much may go wrong in one schedule.
type Budget struct {
	Losses   int // messages lost
	Repeats  int // questions that arrive twice
	Crashes  int // processes killed, in the middle of a sync or not
	PowerOff int // times at which all processes end together
	Wipes    int // disks lost
	Zones    int // zones lost, with all disks in them
	Cuts     int // nodes cut off from all others, or joined again
	OneWay   int // nodes that others no longer hear, or hear again
	Freezes  int // nodes that stand still, or wake again
	Delays   int // times at which whoever waits for an answer has waited for too long
}

// Scenario is what a schedule is explored of.
type Scenario struct {
	Name   string
	Seats  int // in the first core
	Spares int // further nodes with a disk
	// Zones are those of the nodes; all stand in one where there are none.
	Zones []string
	// Tolerance is what may be lost at once; where it is empty, as many machines as the seats bear.
	Tolerance quorum.Tolerance
	// Size is how many seats the core is to have at last; 0 where it stays as it is.
	Size   int
	Budget Budget
	// Actors do what operators, readers, targets and reconfigurers do; each begins at once, or
	// by a step of the schedule.
	Actors []Actor
	// Unformed says that no first core stands yet: bootstrappers are to form it.
	Unformed bool
	// Notes are what every node's journal of runs holds at each start.
	Notes []target.Run
	// KeepBack names the questions that the network keeps back, until an actor lets them arrive;
	// their askers take them for lost.
	KeepBack func(from, to string, ask any) bool
	// Plant changes the world before it starts: a planted fault.
	Plant func(w *World)
}

// Actor does something at nodes, one after the other.
type Actor struct {
	Name string
	Do   func(w *World)
}

// World is one play of a scenario.
type World struct {
	scenario Scenario
	ctx      context.Context
	list     []*node
	nodes    map[string]*node
	history  *history
	left     Budget
	// patience ends when whoever is still at work gives up.
	patience context.Context
	giveUp   context.CancelFunc
	// Tamper is a planted fault in the network.
	Tamper Tamper
	// blind is a planted fault: reconfigurers do not know what the core is to bear.
	blind bool
	// exposed is what the newest core seen was exposed to.
	exposed exposedCore

	mu      sync.Mutex
	kept    []message
	arrived bool // what was kept back
	now     time.Time
	events  []*event
	fresh   []*event
	lastID  int
	cuts    map[[2]string]bool
	actors  int // still at work
	steps   []string
	ending  bool
}

// play runs one schedule; it is to run in a bubble of testing/synctest. It tells the invariant
// that was broken, if any, and the steps.
func play(ctx context.Context, s Scenario, by Chooser) (broken string, steps []string) {
	ctx, end := context.WithCancel(ctx)
	w := &World{scenario: s, ctx: ctx, nodes: map[string]*node{}, history: newHistory(), left: s.Budget, now: time.Unix(1e9, 0), cuts: map[[2]string]bool{}}
	w.patience, w.giveUp = context.WithCancel(ctx)
	defer func() {
		w.giveUp()
		w.crash(0, w.list...)
		end()
		time.Sleep(settleTime)
	}()
	w.build()
	if !s.Unformed {
		w.found()
		w.begin(Order("base", base(), w.list[0].id))
		if !w.drive() {
			return "the first change is not acknowledged", w.steps
		}
		w.steps = nil
	}
	for _, a := range s.Actors {
		w.begin(a)
		w.quiesce()
	}
	for range most {
		w.quiesce()
		if w.inspect(); w.history.verdict() != "" {
			return w.history.verdict(), w.steps
		}
		if !w.step(by) {
			break
		}
	}
	w.finish()
	return w.history.verdict(), w.steps
}

// build starts the nodes.
func (w *World) build() {
	for i := range w.scenario.Seats + w.scenario.Spares {
		n := &node{w: w, id: nodeID(i), zone: w.scenario.zone(i), disk: newDisk()}
		for _, r := range w.scenario.Notes {
			n.notes = append(n.notes, r.Record())
		}
		w.list = append(w.list, n)
		w.nodes[n.id] = n
	}
	if w.scenario.Plant != nil {
		w.scenario.Plant(w)
	}
	for _, n := range w.list {
		n.boot()
	}
}

// found gives the nodes their first core.
func (w *World) found() {
	var seats []quorum.Seat
	for _, n := range w.list[:w.scenario.Seats] {
		seats = append(seats, n.voter().Seat())
	}
	core := quorum.Core{Epoch: 1, Seats: seats}
	for _, seal := range []bool{false, true} {
		for _, n := range w.list[:w.scenario.Seats] {
			if r := ask[quorum.FormTold](n, quorum.FormAsk{By: "model", Core: core, Seal: seal}); !r.OK {
				panic("the first core is refused") // the model's own set-up
			}
		}
	}
	for _, n := range w.list {
		n.now.Load().control.Proposer.Learn(core)
	}
}

// begin has an actor start.
func (w *World) begin(a Actor) {
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

// quiesce waits until nothing happens any more without a step.
func (w *World) quiesce() {
	synctest.Wait()
	w.admit()
}

// idle tells whether all actors are through.
func (w *World) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.actors == 0
}

// finish heals everything, has the core complete itself, and reads at every node. That no answer
// comes then is a fault, too.
func (w *World) finish() {
	w.mu.Lock()
	w.ending, w.cuts = true, map[[2]string]bool{}
	w.mu.Unlock()
	for _, n := range w.list {
		n.frozen.Store(false)
		if !n.up() {
			n.boot()
		}
	}
	w.giveUp()
	if !w.drive() {
		w.history.note("an actor does not give up")
		return
	}
	w.patience, w.giveUp = context.WithCancel(w.ctx)
	if w.scenario.Unformed && !w.formAtLast() {
		w.history.note("no first core is formed")
		return
	}
	for round := 0; ; round++ {
		for _, n := range w.list {
			w.begin(Actor{"reconfigure at " + n.id, func(w *World) { w.reconfigure(n.id) }})
			if !w.drive() {
				w.history.note("%s does not come to an end with the core", n.id)
				return
			}
		}
		if w.complete() {
			break
		}
		if round == 8 {
			w.history.note("the core does not fill its seats")
			return
		}
	}
	for _, n := range w.list {
		w.begin(Actor{"read at " + n.id, func(w *World) { w.read(n.id) }})
		if !w.drive() {
			w.history.note("%s does not answer a read though all is well", n.id)
			return
		}
	}
	w.inspect()
	w.inspectPlacement()
}

// drive takes the usual steps until all actors are through.
func (w *World) drive() bool {
	for n := range mostEnd {
		w.quiesce()
		if n%patientSteps == patientSteps-1 {
			time.Sleep(waitTime)
			w.quiesce()
		}
		if w.idle() {
			return true
		}
		if !w.step(&Deviations{}) {
			return w.idle()
		}
	}
	return false
}

// complete tells whether every seat of the newest core votes.
func (w *World) complete() bool {
	core := w.core()
	for _, s := range core.Seats {
		n := w.nodes[s.ID]
		if !n.up() || n.voter().Core().Epoch != core.Epoch || n.voter().Seat().Disk != s.Disk {
			return false
		}
	}
	return true
}

// core is the newest that any disk holds.
func (w *World) core() (newest quorum.Core) {
	for _, n := range w.list {
		if v := n.voter(); v != nil && v.Core().Epoch > newest.Epoch {
			newest = v.Core()
		}
	}
	return newest
}

// inspect looks at what every node shows, and at what the disks of the core hold.
func (w *World) inspect() {
	for _, n := range w.list {
		p := n.now.Load()
		if p == nil {
			continue
		}
		p.control.Board.WithItems(func(s *item.Set) {
			for i := range s.All() {
				w.history.show(n.id, i)
			}
		})
	}
	w.inspectDisks()
	w.inspectFirstCore()
	w.inspectExposure()
}
