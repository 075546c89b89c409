package quorum

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

const (
	// coreRegister holds the newest core that was decided, as JSON.
	coreRegister = "core"
	// lookEvery is the pace of a reconfigurer, and stall how late its own loop may be
	// before what it heard is worth nothing.
	lookEvery = 300 * time.Millisecond
	stall     = 500 * time.Millisecond
	// recent is the age up to which a disk counts as heard, and calm is how long a
	// reconfigurer must have been well before it acts.
	recent = time.Second
	calm   = time.Second
	// rankStep is by how much each further rank waits longer, and maxRank the last
	// rank that waits longer than the one before.
	rankStep = 600 * time.Millisecond
	maxRank  = 5
	// pace is the least time between two tries that have the same cause.
	pace = time.Second
	// missing is the default of Reconfigurer.Missing.
	missing = 1500 * time.Millisecond
	// joinPatience is how long a seat may be heard and yet not join before it
	// counts as missing.
	joinPatience = 10 * time.Second
	rollTime     = 700 * time.Millisecond
	decideTime   = 2 * time.Second
	joinTime     = 5 * time.Second
)

// Heard is a disk that was heard of.
type Heard struct {
	Seat Seat
	Ago  time.Duration
}

// Reconfigurer keeps the seats of the core filled (design 4.4): a seat goes to its own
// node's new disk at once, and to a disk that stands by once it was silent for long.
// Every disk controller runs one. Who acts is told by rank among the disks heard, so that
// mostly one does; that two act does no harm, for a register of the old epoch
// decides. In calm it sends nothing.
type Reconfigurer struct {
	// Heard tells which disks were heard lately, this node's own with Ago 0.
	Heard func() []Heard
	// Missing is how long a seat must be silent before it passes on to another
	// node; 0 means 1.5 s.
	Missing time.Duration
	// Tolerance is what the core is to bear: no seat passes on to where that lowers what is borne, and
	// seats that stand too many in one failure domain are moved.
	Tolerance Tolerance
	// Size is how many seats the core is to have at last: one that was formed of fewer grows. 0 means that
	// it stays as it is.
	Size   int
	Prop   *Proposer
	Line   link.Line
	Clock  clock.Clock
	Faults *fault.Set
	Log    *log.Logger
	// Shuffle orders those from whom a joiner may pull; nil is by chance.
	Shuffle func(n int, swap func(i, j int))

	noted   map[string]time.Time // since when each seat's disk is known here
	well    time.Time            // since when a majority is heard, zero if it is not
	need    time.Time            // since when there is something to do
	tried   time.Time
	settled uint64               // the epoch whose seats were last looked through
	open    map[string]time.Time // its seats that did not vote, by disk, and since when
	doubt   bool                 // a swap may be decided that nobody carried out
}

// Run looks after the seats until ctx ends.
func (w *Reconfigurer) Run(ctx context.Context) {
	for {
		at := w.Clock.Now()
		if w.Clock.Sleep(ctx, lookEvery) != nil {
			return
		}
		if w.Clock.Now().Sub(at) > lookEvery+stall {
			// It was this process that stood still.
			w.well, w.noted = time.Time{}, nil
		}
		w.Step(ctx)
	}
}

// Step looks once, decides from what was heard alone whether there is anything to do, and
// does it. Run takes one each 300 ms.
func (w *Reconfigurer) Step(ctx context.Context) {
	v := w.view()
	// One that begins does not know what those before it left undone.
	w.doubt = w.doubt || w.noted == nil
	w.note(v)
	if v.core.Epoch == 0 || v.rank < 0 || v.seats < v.core.QuorumSize() {
		w.well, w.need = time.Time{}, time.Time{}
		return
	}
	if w.well.IsZero() {
		w.well = v.now
	}
	next, swap := w.choose(v)
	silent := lo.SomeBy(v.core.Seats, func(s Seat) bool { return w.silence(v, s) >= w.missing() })
	w.doubt = w.doubt || silent
	back := lo.SomeBy(v.core.Seats, func(s Seat) bool { _, open := w.open[s.Disk]; return open && v.heard(s, recent) })
	if !swap && w.settled == v.core.Epoch && !back && (!w.doubt || silent) {
		w.need = time.Time{}
		return
	}
	if w.need.IsZero() {
		w.need = v.now
	}
	if v.now.Sub(w.well) < calm || v.now.Sub(w.need) < rankStep*time.Duration(min(v.rank, maxRank)) || v.now.Sub(w.tried) < pace {
		return
	}
	err := w.settle(ctx, v, swap)
	if err == nil && swap && w.Prop.Core().Epoch == v.core.Epoch {
		err = w.swap(ctx, v, next)
	}
	w.tried = w.Clock.Now()
	if w.Prop.Core().Epoch > v.core.Epoch {
		// What comes next has another cause.
		w.tried, w.need = time.Time{}, time.Time{}
	}
	if err != nil && ctx.Err() == nil {
		w.doubt = true
		if w.Log != nil {
			w.Log.Warn("seats not yet filled", "step", "seats", "err", err)
		}
	}
}

// settle finishes the swap that led to the core known here, and one that is decided
// beyond it. It looks at the register only where one may be left over, and not if a
// swap comes next, which looks there itself.
func (w *Reconfigurer) settle(ctx context.Context, v view, swap bool) error {
	if w.settled != v.core.Epoch || len(w.open) > 0 {
		if err := w.carry(ctx, v, v.core); err != nil {
			return err
		}
	}
	if !w.doubt || swap {
		return nil
	}
	cx, end := context.WithTimeout(ctx, decideTime)
	defer end()
	held, err := w.Prop.ReadIn(cx, v.core, coreRegister)
	if err != nil && !Nothing(err) {
		return steperr.At("read core", "", err)
	}
	if len(held.Value) > 0 {
		next, err := chosenCore(held)
		if err != nil {
			return steperr.At("read core", "", err)
		}
		if next.Succeeds(v.core.Epoch) {
			return w.carry(ctx, v, next)
		}
	}
	w.doubt = false
	return nil
}

// swap decides the next core in a register of the old epoch and carries it out. What is
// decided already, by whom ever, is carried out in place of this swap, if a majority of its seats
// is there. Else it is given up for this swap: the register's later ballot has a majority refuse
// to be sealed for it (design 4.4).
func (w *Reconfigurer) swap(ctx context.Context, v view, seats []Seat) error {
	next := Core{Epoch: v.core.Epoch + 1, After: v.core.Epoch, Before: v.core.Seats, Seats: seats}
	joins, leaves := nodesWithout(next.Seats, v.core.Seats), nodesWithout(v.core.Seats, next.Seats)
	cx, end := context.WithTimeout(ctx, decideTime)
	defer end()
	held, err := w.Prop.ChangeIn(cx, v.core, coreRegister, func(old []byte) ([]byte, error) { return w.decideAfter(v, old, next) })
	if err != nil {
		return steperr.At("decide swap", joins, err)
	}
	if next, err = chosenCore(held); err != nil {
		return steperr.At("decide swap", joins, err)
	}
	if w.Log != nil {
		w.Log.Info("seat passes on", "step", "swap", "peer", joins, "out", leaves, "epoch", next.Epoch, "seats", len(next.Seats))
	}
	return w.carry(ctx, v, next)
}

// nodesWithout names the nodes of those seats that are not among others.
func nodesWithout(seats, others []Seat) string {
	left, _ := lo.Difference(seats, others)
	return strings.Join(lo.Map(left, func(s Seat, _ int) string { return s.ID }), " ")
}

// decideAfter tells what the register is to hold after old.
func (w *Reconfigurer) decideAfter(v view, old []byte, next Core) ([]byte, error) {
	if len(old) > 0 {
		decided, err := decodeCore(old)
		if err != nil {
			return nil, err
		}
		if decided.Succeeds(v.core.Epoch) {
			if w.reachable(v, decided) == nil {
				return old, nil
			}
			// A core of another epoch number: nobody takes one for the other.
			next.Epoch = decided.Epoch + 1
			if w.Log != nil {
				w.Log.Warn("a decided core is given up", "step", "swap", "epoch", decided.Epoch, "for", next.Epoch)
			}
		}
	}
	return json.Marshal(next)
}

// reachable tells whether enough seats of a core were heard lately for it to take over.
func (w *Reconfigurer) reachable(v view, next Core) error {
	if n := lo.CountBy(next.Seats, func(s Seat) bool { return v.heard(s, w.missing()) }); n < next.QuorumSize() {
		return steperr.New("swap", "", "%d of the seats of epoch %d heard, need %d", n, next.Epoch, next.QuorumSize())
	}
	return nil
}
