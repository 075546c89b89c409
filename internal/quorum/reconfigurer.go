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
	// coreRegister is the key of the register that holds the newest decided core, as JSON.
	coreRegister = "core"
	// stepInterval is the interval of a reconfigurer's steps, and stallLimit how late its
	// own loop may be before what it last heard is discarded.
	stepInterval = 300 * time.Millisecond
	stallLimit   = 500 * time.Millisecond
	// recentWindow is the age up to which a disk counts as recently heard from, and
	// settleDelay how long a reconfigurer must have heard from a majority before it acts.
	recentWindow = time.Second
	settleDelay  = time.Second
	// rankDelay is the additional delay per rank, and maxRank the rank above which the
	// delay no longer grows.
	rankDelay = 600 * time.Millisecond
	maxRank   = 5
	// retryInterval is the minimum interval between two attempts with the same cause.
	retryInterval = time.Second
	// defaultMissingAfter is the default of Reconfigurer.MissingAfter.
	defaultMissingAfter = 1500 * time.Millisecond
	// joinGrace is how long a seat that is heard from may fail to join before it counts
	// as missing.
	joinGrace = 10 * time.Second
	// The steps of a reconfiguration are bounded separately; joinTimeout applies to each joining seat.
	sealTimeout   = 700 * time.Millisecond
	decideTimeout = 2 * time.Second
	joinTimeout   = 5 * time.Second
)

// DiskContact is a disk and the time since it was last heard from.
type DiskContact struct {
	Seat Seat
	Ago  time.Duration
}

// Reconfigurer keeps the seats of the core filled (design 4.4): a seat moves to its own
// node's new disk at once, and to a spare disk once its own has been silent for long enough.
// Every disk controller runs one. The rank among the disks heard from selects the one that
// acts, so usually only one does. If two act it does no harm, since a register of the old
// epoch decides between them. While there is nothing to do, it sends nothing.
type Reconfigurer struct {
	// Contacts lists the disks heard from recently; this node's own has Ago 0.
	Contacts func() []DiskContact
	// MissingAfter is how long a seat must be silent before it moves to another
	// node; 0 means 1.5 s.
	MissingAfter time.Duration
	// Tolerance is the loss that the core must survive: no seat moves to where the core would survive
	// less, and seats are moved away from overloaded failure domains.
	Tolerance Tolerance
	// Size is the intended number of seats: a core that was formed with fewer grows. 0 means that the
	// number stays as it is.
	Size      int
	Proposer  *Proposer
	Transport link.Transport
	Clock     clock.Clock
	Faults    *fault.Set
	Log       *log.Logger
	// Shuffle orders the voters that a joiner may pull from; nil means math/rand.
	Shuffle func(n int, swap func(i, j int))

	trackedSince    map[string]time.Time // since when each seat's disk is known here
	majoritySince   time.Time            // since when a majority is heard from; zero if none is
	workSince       time.Time            // since when there is something to do
	lastAttempt     time.Time
	checkedEpoch    uint64               // the epoch whose seats were last checked
	nonVoting       map[string]time.Time // its seats that did not vote, by disk, and since when
	maybeUnfinished bool                 // a reconfiguration may be decided but not carried out
}

// Run maintains the seats until ctx ends.
func (rc *Reconfigurer) Run(ctx context.Context) {
	for {
		before := rc.Clock.Now()
		if rc.Clock.Sleep(ctx, stepInterval) != nil {
			return
		}
		if rc.Clock.Now().Sub(before) > stepInterval+stallLimit {
			// This process was stalled, so the silence of others means nothing.
			rc.majoritySince, rc.trackedSince = time.Time{}, nil
		}
		rc.Step(ctx)
	}
}

// Step determines from the contacts alone, without sending anything, whether there is anything to
// do, and does it. Run calls it every 300 ms.
func (rc *Reconfigurer) Step(ctx context.Context) {
	v := rc.view()
	// A reconfigurer that starts does not know what earlier ones left unfinished.
	rc.maybeUnfinished = rc.maybeUnfinished || rc.trackedSince == nil
	rc.trackSeats(v)
	if v.core.Epoch == 0 || v.rank < 0 || v.heardSeats < v.core.QuorumSize() {
		rc.majoritySince, rc.workSince = time.Time{}, time.Time{}
		return
	}
	if rc.majoritySince.IsZero() {
		rc.majoritySince = v.now
	}
	next, reconfigure := rc.chooseSeats(v)
	seatSilent := lo.SomeBy(v.core.Seats, func(s Seat) bool { return rc.silentFor(v, s) >= rc.missingAfter() })
	rc.maybeUnfinished = rc.maybeUnfinished || seatSilent
	seatReturned := lo.SomeBy(v.core.Seats, func(s Seat) bool {
		_, pending := rc.nonVoting[s.Disk]
		return pending && v.heardWithin(s, recentWindow)
	})
	if !reconfigure && rc.checkedEpoch == v.core.Epoch && !seatReturned && (!rc.maybeUnfinished || seatSilent) {
		rc.workSince = time.Time{}
		return
	}
	if rc.workSince.IsZero() {
		rc.workSince = v.now
	}
	if v.now.Sub(rc.majoritySince) < settleDelay || v.now.Sub(rc.workSince) < rankDelay*time.Duration(min(v.rank, maxRank)) || v.now.Sub(rc.lastAttempt) < retryInterval {
		return
	}
	err := rc.finishPending(ctx, v, reconfigure)
	if err == nil && reconfigure && rc.Proposer.Core().Epoch == v.core.Epoch {
		err = rc.reconfigure(ctx, v, next)
	}
	rc.lastAttempt = rc.Clock.Now()
	if rc.Proposer.Core().Epoch > v.core.Epoch {
		// Any further work has another cause.
		rc.lastAttempt, rc.workSince = time.Time{}, time.Time{}
	}
	if err != nil && ctx.Err() == nil {
		rc.maybeUnfinished = true
		if rc.Log != nil {
			rc.Log.Warn("seats not yet filled", "step", "seats", "err", err)
		}
	}
}

// finishPending completes the reconfiguration that led to the known core, and one decided after
// it. It reads the register only if there may be an unfinished one, and not if a reconfiguration
// follows, which reads it anyway.
func (rc *Reconfigurer) finishPending(ctx context.Context, v view, reconfigure bool) error {
	if rc.checkedEpoch != v.core.Epoch || len(rc.nonVoting) > 0 {
		if err := rc.applyCore(ctx, v, v.core); err != nil {
			return err
		}
	}
	if !rc.maybeUnfinished || reconfigure {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	held, err := rc.Proposer.ReadIn(readCtx, v.core, coreRegister)
	if err != nil && !IsNeverWritten(err) {
		return steperr.Wrap("read core", "", err)
	}
	if len(held.Value) > 0 {
		next, err := chosenCore(held)
		if err != nil {
			return steperr.Wrap("read core", "", err)
		}
		if next.Succeeds(v.core.Epoch) {
			return rc.applyCore(ctx, v, next)
		}
	}
	rc.maybeUnfinished = false
	return nil
}

// reconfigure decides the next core in a register of the old epoch and carries it out. A core that
// is decided already, by any node, is carried out instead if a majority of its seats is reachable.
// Otherwise that core is abandoned in favor of this one: the register's later ballot makes a
// majority refuse to be sealed for it (design 4.4).
func (rc *Reconfigurer) reconfigure(ctx context.Context, v view, seats []Seat) error {
	next := Core{Epoch: v.core.Epoch + 1, After: v.core.Epoch, Before: v.core.Seats, Seats: seats}
	joins, leaves := nodeIDsNotIn(next.Seats, v.core.Seats), nodeIDsNotIn(v.core.Seats, next.Seats)
	decideCtx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	held, err := rc.Proposer.ChangeIn(decideCtx, v.core, coreRegister, func(old []byte) ([]byte, error) { return rc.nextRegisterValue(v, old, next) })
	if err != nil {
		return steperr.Wrap("decide swap", joins, err)
	}
	if next, err = chosenCore(held); err != nil {
		return steperr.Wrap("decide swap", joins, err)
	}
	if rc.Log != nil {
		rc.Log.Info("seat passes on", "step", "swap", "peer", joins, "out", leaves, "epoch", next.Epoch, "seats", len(next.Seats))
	}
	return rc.applyCore(ctx, v, next)
}

// nodeIDsNotIn returns the node IDs of the seats that are not among others.
func nodeIDsNotIn(seats, others []Seat) string {
	left, _ := lo.Difference(seats, others)
	return strings.Join(lo.Map(left, func(s Seat, _ int) string { return s.ID }), " ")
}

// nextRegisterValue returns the value that replaces old in the register.
func (rc *Reconfigurer) nextRegisterValue(v view, old []byte, next Core) ([]byte, error) {
	if len(old) > 0 {
		decided, err := decodeCore(old)
		if err != nil {
			return nil, err
		}
		if decided.Succeeds(v.core.Epoch) {
			if rc.checkReachable(v, decided) == nil {
				return old, nil
			}
			// The epoch number must differ, so that the two cores can't be confused.
			next.Epoch = decided.Epoch + 1
			if rc.Log != nil {
				rc.Log.Warn("a decided core is abandoned: too few of its seats are reachable", "step", "swap", "epoch", decided.Epoch, "for", next.Epoch)
			}
		}
	}
	return json.Marshal(next)
}

// checkReachable returns an error unless enough seats of next were heard from recently for it to take over.
func (rc *Reconfigurer) checkReachable(v view, next Core) error {
	if n := lo.CountBy(next.Seats, func(s Seat) bool { return v.heardWithin(s, rc.missingAfter()) }); n < next.QuorumSize() {
		return steperr.New("swap", "", "%d seats of epoch %d were heard from, need %d", n, next.Epoch, next.QuorumSize())
	}
	return nil
}
