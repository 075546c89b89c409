package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/steperr"
)

const (
	askTimeout    = 300 * time.Millisecond // per gateway and attempt
	retryInterval = 20 * time.Millisecond
	// holdTimeout is how long a roll-out holds the gateways before it lets them continue
	// under the old sheet, since calls wait in the meantime. Two rounds take about 10 ms;
	// a longer wait is due to a gateway that is down, and its lease does not lapse any
	// sooner for the wait.
	holdTimeout = 250 * time.Millisecond
)

// Executor brings decided changes into force. Any controller may run one, and concurrent
// executors are safe: every step is idempotent (design 8.2).
type Executor struct {
	Ledger     *ledger.Ledger
	Membership *membership.LeaseClient
	Transport  link.Transport
	Clock      clock.Clock
	Faults     *fault.Set
	Log        *log.Logger

	mu             sync.Mutex
	running        chan struct{} // closed when the current roll-out ends
	appliedVersion uint64        // highest version known to be in force everywhere
	// absent is since when a voting gateway has had no lease.
	absent         map[string]time.Time
	announcedRound uint64 // round of the last list of voting gateways announced to all; used only by Watch
	holdSeq        atomic.Uint64
}

// Settle brings all decided changes into force, up to at least version n, and returns
// the version that is then in force everywhere.
func (e *Executor) Settle(ctx context.Context, n uint64) (uint64, error) {
	for {
		e.mu.Lock()
		if e.appliedVersion >= n {
			version := e.appliedVersion
			e.mu.Unlock()
			return version, nil
		}
		if running := e.running; running != nil {
			e.mu.Unlock()
			select {
			case <-running:
				continue
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}
		running := make(chan struct{})
		e.running = running
		e.mu.Unlock()
		version, err := e.runOnce(ctx)
		e.mu.Lock()
		e.running = nil
		close(running)
		if err == nil {
			e.appliedVersion = max(e.appliedVersion, version)
		}
		e.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if version < n {
			return version, steperr.New("roll", "", "version %d wanted, %d is the last decided", n, version)
		}
	}
}

// runOnce runs one roll-out to the last decided version.
func (e *Executor) runOnce(ctx context.Context) (uint64, error) {
	fold, err := e.Ledger.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	before, err := e.Ledger.Activation(ctx)
	if err != nil {
		return 0, err
	}
	if fold.Version == 0 {
		return 0, nil
	}
	e.Faults.Hit(fault.AfterDecided)
	flip := before
	if before.Version < fold.Version {
		ids, err := e.stageAndHold(ctx, fold, before)
		if err != nil {
			return 0, err
		}
		e.Faults.Hit(fault.AfterHeld)
		slices.Sort(ids)
		if flip, err = e.Ledger.Activate(ctx, fold.Version, ids); err != nil {
			return 0, err
		}
		e.Faults.Hit(fault.AfterFlipped)
	}
	if flip.Open < fold.Version {
		// Gateways that are cut off together with more than half of the voting gateways may
		// continue to serve the old sheet as long as none of them knows of the flip. So no
		// gateway may show the new sheet before more than half know of the flip; the
		// others are held and are not waited for.
		if _, err := e.askMajority(ctx, "flip", flip, FlipAsk{fold.Version, false, flip.Round, flip.Gateways}, flip.HasMajority); err != nil {
			return 0, err
		}
		e.Faults.Hit(fault.AfterFlipNotified)
	}
	// Sent again even if the version was already open: the controller that opened it may
	// not have told all gateways.
	opened := make(chan error, 1)
	go func() { opened <- e.recordOpen(ctx, flip, fold.Version) }()
	_, err = e.askAll(ctx, "open", FlipAsk{fold.Version, true, flip.Round, flip.Gateways}, nil)
	if err = errors.Join(err, <-opened); err != nil {
		return 0, err
	}
	e.Faults.Hit(fault.BeforeAck)
	return fold.Version, nil
}

// stageAndHold stages the sheet at every leased gateway, then holds all of them, and
// returns their IDs. A gateway that the hold does not reach promptly is down or about to
// be: the others are released until its lease has lapsed, and then held again.
func (e *Executor) stageAndHold(ctx context.Context, fold *ledger.State, flip ledger.Activation) ([]string, error) {
	for {
		// More than half of the voting gateways must take part: gateways that are cut off
		// together with that many may continue under the old sheet (design 8.4).
		if _, err := e.askMajority(ctx, "stage", flip, StageAsk{fold.Version, fold.Sheet}, nil); err != nil {
			return nil, err
		}
		e.Faults.Hit(fault.AfterStaged)
		// Each attempt uses a hold of its own, and only its holder releases it, so that
		// concurrent roll-outs do not undo each other's holds.
		hold := HoldAsk{N: fold.Version, By: fmt.Sprintf("%s-%d", e.Ledger.Controller, e.holdSeq.Add(1))}
		cx, cancel := context.WithTimeout(ctx, holdTimeout)
		ids, err := e.askMajority(cx, "hold", flip, hold, nil)
		cancel()
		if err == nil {
			return ids, nil
		}
		go func() {
			cx, cancel := context.WithTimeout(context.WithoutCancel(ctx), membership.LeaseDuration)
			defer cancel()
			_, _ = e.askAll(cx, "let go on", FreeAsk(hold), nil)
		}()
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// recordOpen records in the ledger that version n may be served.
func (e *Executor) recordOpen(ctx context.Context, flip ledger.Activation, n uint64) error {
	if flip.Open >= n {
		return nil
	}
	if err := e.Ledger.SetOpen(ctx, n); err != nil {
		return err
	}
	_, err := e.Ledger.WriteOnce(ctx, ledger.ActivationNoteKey(n), ledger.Note{Kind: ledger.NoteInForce, Version: n, AtMS: e.Ledger.WallMS()})
	return err
}

// voterAbsenceLimit is how long a voting gateway may be without a lease before it is
// removed from the list.
const voterAbsenceLimit = time.Minute

// desiredVoters lists the gateways that should vote: the current voters, less those
// without a lease for voterAbsenceLimit, plus all gateways that hold a lease.
func (e *Executor) desiredVoters(ctx context.Context, voters []string) ([]string, error) {
	members, err := e.Membership.ReadTable(ctx)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	out := lo.Union(lo.Filter(voters, func(id string, _ int) bool {
		since, ok := e.absent[id]
		return !ok || now.Sub(since) < voterAbsenceLimit
	}), lo.FilterMap(members, func(m membership.Member, _ int) (string, bool) { return m.ID, m.Kind == "gateway" }))
	slices.Sort(out)
	return out, nil
}

// trackAbsence records which voting gateways hold no lease.
func (e *Executor) trackAbsence(voters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	leased := lo.SliceToMap(e.Membership.MembersOfKind("gateway"), func(m membership.Member) (string, bool) { return m.ID, true })
	before := e.absent
	e.absent = map[string]time.Time{}
	for _, id := range voters {
		if leased[id] {
			continue
		}
		since, ok := before[id]
		if !ok {
			since = e.Clock.Now()
		}
		e.absent[id] = since
	}
}

// updateVoters brings the list of voting gateways up to date. More than half of the voters
// of the old list must know the new one before it is decided, so that every group that
// may serve without a lease has a member that knows it.
func (e *Executor) updateVoters(ctx context.Context, flip ledger.Activation) {
	if flip.Version == 0 {
		return
	}
	voters, err := e.desiredVoters(ctx, flip.Gateways)
	if err == nil && !slices.Equal(voters, flip.Gateways) {
		var ids []string
		if ids, err = e.askAll(ctx, "count", CountAsk{Round: flip.Round + 1, Gateways: voters}, nil); err == nil && flip.HasMajority(ids) {
			flip, err = e.Ledger.SetGateways(ctx, flip.Round, voters)
		}
	}
	if err == nil && e.announcedRound != flip.Round {
		if _, err = e.askAll(ctx, "count", CountAsk{Round: flip.Round, Gateways: flip.Gateways, Sure: true}, nil); err == nil {
			e.announcedRound = flip.Round
		}
	}
	if err != nil && ctx.Err() == nil && e.Log != nil {
		e.Log.Warn("list of voting gateways not updated", "step", "count", "err", err)
	}
}

// askMajority repeats askAll until more than half of the voting gateways have agreed.
func (e *Executor) askMajority(ctx context.Context, step string, flip ledger.Activation, ask any, enough func([]string) bool) ([]string, error) {
	for {
		ids, err := e.askAll(ctx, step, ask, enough)
		if err != nil {
			return nil, err
		}
		if flip.HasMajority(ids) {
			return ids, nil
		}
		if e.Clock.Sleep(ctx, 5*retryInterval) != nil {
			return nil, steperr.New(step, "", "%d of %d gateways that count take part, more than half must", len(lo.Intersect(ids, flip.Gateways)), len(flip.Gateways))
		}
	}
}

// askAll asks every leased gateway until each has agreed or its lease has lapsed, or until
// enough have agreed, and returns the IDs of those that agreed.
func (e *Executor) askAll(ctx context.Context, step string, ask any, enough func([]string) bool) ([]string, error) {
	var tried sync.Map
	ids, err := ForEachGateway(ctx, e.Membership, e.Clock, enough, func(cx context.Context, m membership.Member) bool {
		reply, err := link.Call[GatewayTold](cx, e.Transport, m.Inner, ask)
		if _, again := tried.LoadOrStore(m.ID, true); err != nil && !again && e.Log != nil {
			e.Log.Warn("gateway unreachable; waiting for its lease to lapse", "step", step, "mate", m.ID, "err", err)
		}
		return err == nil && reply.OK
	})
	return ids, steperr.Wrap(step, "", err)
}

// ForEachGateway runs f for every gateway that holds a lease until f has succeeded for it
// or its lease has lapsed, or until enough have succeeded, if enough is given. It returns
// the IDs of those that succeeded. A gateway that obtains a lease meanwhile is asked too,
// although its confirmation would have told it.
func ForEachGateway(ctx context.Context, t *membership.LeaseClient, c clock.Clock, enough func([]string) bool, f func(context.Context, membership.Member) bool) ([]string, error) {
	type run struct {
		id  string
		inc uint64
	}
	agreed := map[run]bool{}
	var waiting []string
	ids := func() []string {
		return lo.Uniq(lo.Map(lo.Keys(agreed), func(result run, _ int) string { return result.id }))
	}
	for {
		members, err := t.ReadTable(ctx)
		if err != nil {
			// The known gateways can be asked meanwhile, but others may be missing.
			members = t.Members()
		}
		pending := lo.Filter(members, func(m membership.Member, _ int) bool { return m.Kind == "gateway" && !agreed[run{m.ID, m.Inc}] })
		ch := make(chan *run, len(pending))
		for _, m := range pending {
			go func() {
				cx, cancel := context.WithTimeout(ctx, askTimeout)
				defer cancel()
				ch <- lo.Ternary(f(cx, m), &run{m.ID, m.Inc}, nil)
			}()
		}
		failed := 0
		for range pending {
			result := <-ch
			if result == nil {
				failed++
				continue
			}
			if agreed[*result] = true; enough != nil && enough(ids()) {
				return ids(), nil
			}
		}
		if failed == 0 && err == nil {
			return ids(), nil
		}
		if ctx.Err() != nil || c.Sleep(ctx, retryInterval) != nil {
			for _, m := range pending {
				if !agreed[run{m.ID, m.Inc}] {
					waiting = append(waiting, m.ID)
				}
			}
			if err != nil {
				return nil, errors.Join(ctx.Err(), err)
			}
			return nil, fmt.Errorf("waiting for %s: %w", strings.Join(waiting, ", "), ctx.Err())
		}
	}
}

// Serve registers the handlers of a controller. leaves returns the target runs that must
// get no new work.
func (e *Executor) Serve(mux *link.Mux, leaves func(context.Context) ([]Leave, error)) {
	link.Handle(mux, func(ctx context.Context, w link.Identity, a ConfirmAsk) (reply ConfirmTold, err error) {
		fold, err := e.Ledger.Refresh(ctx)
		if err != nil {
			return reply, err
		}
		// Read after the ledger: a flip seen here is of a change seen above or of a later
		// one, and in the latter case the version is not settled.
		flip, err := e.Ledger.Activation(ctx)
		if err != nil {
			return reply, err
		}
		n := flip.Version
		reply.Gateways, reply.Round = flip.Gateways, flip.Round
		if reply.Leaves, err = leaves(ctx); err != nil {
			return reply, err
		}
		reply.OK, reply.N, reply.Open = true, n, flip.Open >= n
		reply.Settled = reply.Open && n == fold.Version
		if !reply.Settled && n <= fold.Version {
			go func() {
				cx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
				defer cancel()
				_, _ = e.Settle(cx, fold.Version)
			}()
		}
		if n > fold.Version {
			reply.OK = false
		} else if n != a.Have {
			s := fold.Sheet
			if n != fold.Version {
				if s, err = e.Ledger.SheetAt(ctx, n); err != nil {
					return reply, err
				}
			}
			reply.Sheet = &s
		}
		return reply, nil
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a PartAsk) (PartTold, error) {
		err := e.Ledger.RemoveGateway(ctx, a.ID)
		return PartTold{OK: err == nil}, err
	})
	link.Handle(mux, func(context.Context, link.Identity, LastAsk) (LastTold, error) {
		// A controller's own record of what is in force may be old; only its lease matters.
		return LastTold{Held: e.Membership.TablesKnown(), Fresh: e.Membership.TablesKnown() && e.Membership.Remaining() > membership.OverdueThreshold}, nil
	})
}

// Watch completes roll-outs that another controller left unfinished, until ctx ends. The
// holder of the duty "roll" does this (design 8.2).
func (e *Executor) Watch(ctx context.Context) {
	e.Membership.RequestDuty("roll")
	for e.Clock.Sleep(ctx, 400*time.Millisecond) == nil {
		if !e.Membership.HoldsDuty("roll") {
			continue
		}
		cx, cancel := context.WithTimeout(ctx, 4*time.Second)
		fold, err := e.Ledger.Refresh(cx)
		if err == nil && fold.Version > 0 {
			if flip, err := e.Ledger.Activation(cx); err == nil {
				e.trackAbsence(flip.Gateways)
				e.updateVoters(cx, flip)
			}
			e.mu.Lock()
			behind := e.appliedVersion < fold.Version
			e.mu.Unlock()
			if behind {
				_, err = e.Settle(cx, fold.Version)
			}
		}
		cancel()
		if err != nil && ctx.Err() == nil && e.Log != nil {
			e.Log.Warn("roll-out not completed", "step", "watch", "err", err)
		}
	}
}
