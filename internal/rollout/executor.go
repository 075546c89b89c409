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
	retryInterval = 20 * time.Millisecond  // until gateways that did not agree are asked again
	// holdTimeout is how long a roll-out holds the gateways before it lets them continue
	// under the old sheet, since calls wait in the meantime. Two rounds take about 10 ms.
	// A longer wait is due to a gateway that is down, and holding the others does not make
	// its lease lapse any sooner.
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
	// absentSince holds, by ID, when a voting gateway without a lease was first seen without it.
	absentSince    map[string]time.Time
	announcedRound uint64        // revision of the last list of voting gateways announced to all; used only by Watch
	holdSeq        atomic.Uint64 // numbers the holds of this controller
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
	state, err := e.Ledger.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	previous, err := e.Ledger.Activation(ctx)
	if err != nil {
		return 0, err
	}
	if state.Version == 0 {
		return 0, nil
	}
	e.Faults.Hit(fault.AfterDecided)
	activation := previous
	if previous.Version < state.Version {
		ids, err := e.stageAndHold(ctx, state, previous)
		if err != nil {
			return 0, err
		}
		e.Faults.Hit(fault.AfterHeld)
		slices.Sort(ids)
		if activation, err = e.Ledger.Activate(ctx, state.Version, ids); err != nil {
			return 0, err
		}
		e.Faults.Hit(fault.AfterFlipped)
	}
	if activation.Open < state.Version {
		// Gateways that are cut off together with more than half of the voting gateways may
		// continue to serve the old sheet as long as none of them knows of the activation. So no
		// gateway may serve the new sheet before more than half know of the activation. The
		// others are held and are not waited for.
		if _, err := e.askMajority(ctx, "flip", activation, FlipAsk{state.Version, false, activation.Round, activation.Gateways}, activation.HasMajority); err != nil {
			return 0, err
		}
		e.Faults.Hit(fault.AfterFlipNotified)
	}
	// Sent again even if the version was already open: the controller that opened it may
	// not have informed all gateways.
	opened := make(chan error, 1)
	go func() { opened <- e.recordOpen(ctx, activation, state.Version) }()
	_, err = e.askAll(ctx, "open", FlipAsk{state.Version, true, activation.Round, activation.Gateways}, nil)
	if err = errors.Join(err, <-opened); err != nil {
		return 0, err
	}
	e.Faults.Hit(fault.BeforeAck)
	return state.Version, nil
}

// stageAndHold stages the sheet at every leased gateway, then holds all of them, and
// returns their IDs. A gateway that the hold does not reach promptly is down or about to
// be. The others are released until its lease has lapsed, and then held again.
func (e *Executor) stageAndHold(ctx context.Context, state *ledger.State, activation ledger.Activation) ([]string, error) {
	for {
		// More than half of the voting gateways must take part: gateways that are cut off
		// together with that many may continue under the old sheet (design 8.4).
		if _, err := e.askMajority(ctx, "stage", activation, StageAsk{state.Version, state.Sheet}, nil); err != nil {
			return nil, err
		}
		e.Faults.Hit(fault.AfterStaged)
		// Each attempt uses a hold of its own, and only its holder releases it, so that
		// concurrent roll-outs do not undo each other's holds.
		hold := HoldAsk{N: state.Version, By: fmt.Sprintf("%s-%d", e.Ledger.Controller, e.holdSeq.Add(1))}
		holdCtx, cancel := context.WithTimeout(ctx, holdTimeout)
		ids, err := e.askMajority(holdCtx, "hold", activation, hold, nil)
		cancel()
		if err == nil {
			return ids, nil
		}
		go func() {
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), membership.LeaseDuration)
			defer cancel()
			_, _ = e.askAll(releaseCtx, "let go on", FreeAsk(hold), nil)
		}()
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// recordOpen records in the ledger that version n may be served.
func (e *Executor) recordOpen(ctx context.Context, activation ledger.Activation, n uint64) error {
	if activation.Open >= n {
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
		since, ok := e.absentSince[id]
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
	previous := e.absentSince
	e.absentSince = map[string]time.Time{}
	for _, id := range voters {
		if leased[id] {
			continue
		}
		since, ok := previous[id]
		if !ok {
			since = e.Clock.Now()
		}
		e.absentSince[id] = since
	}
}

// updateVoters brings the list of voting gateways up to date. More than half of the gateways
// on the old list must know the new one before it is decided. So every group of gateways that
// may serve without a lease has a member that knows it.
func (e *Executor) updateVoters(ctx context.Context, activation ledger.Activation) {
	if activation.Version == 0 {
		return
	}
	voters, err := e.desiredVoters(ctx, activation.Gateways)
	if err == nil && !slices.Equal(voters, activation.Gateways) {
		var ids []string
		if ids, err = e.askAll(ctx, "count", CountAsk{Round: activation.Round + 1, Gateways: voters}, nil); err == nil && activation.HasMajority(ids) {
			activation, err = e.Ledger.SetGateways(ctx, activation.Round, voters)
		}
	}
	if err == nil && e.announcedRound != activation.Round {
		if _, err = e.askAll(ctx, "count", CountAsk{Round: activation.Round, Gateways: activation.Gateways, Sure: true}, nil); err == nil {
			e.announcedRound = activation.Round
		}
	}
	if err != nil && ctx.Err() == nil && e.Log != nil {
		e.Log.Warn("list of voting gateways not updated", "step", "count", "err", err)
	}
}

// askMajority repeats askAll until more than half of the voting gateways have agreed, and
// returns the IDs of those that agreed.
func (e *Executor) askMajority(ctx context.Context, step string, activation ledger.Activation, ask any, enough func([]string) bool) ([]string, error) {
	for {
		ids, err := e.askAll(ctx, step, ask, enough)
		if err != nil {
			return nil, err
		}
		if activation.HasMajority(ids) {
			return ids, nil
		}
		if e.Clock.Sleep(ctx, 5*retryInterval) != nil {
			return nil, steperr.New(step, "", "%d of %d gateways that count take part, more than half must", len(lo.Intersect(ids, activation.Gateways)), len(activation.Gateways))
		}
	}
}

// askAll asks every leased gateway until each has agreed or its lease has lapsed, or until
// enough have agreed, and returns the IDs of those that agreed.
func (e *Executor) askAll(ctx context.Context, step string, ask any, enough func([]string) bool) ([]string, error) {
	var tried sync.Map
	ids, err := ForEachGateway(ctx, e.Membership, e.Clock, enough, func(callCtx context.Context, m membership.Member) bool {
		reply, err := link.Call[GatewayTold](callCtx, e.Transport, m.Inner, ask)
		if _, again := tried.LoadOrStore(m.ID, true); err != nil && !again && e.Log != nil {
			e.Log.Warn("gateway unreachable; waiting for its lease to lapse", "step", step, "mate", m.ID, "err", err)
		}
		return err == nil && reply.OK
	})
	return ids, steperr.Wrap(step, "", err)
}

// ForEachGateway runs f for every gateway that holds a lease until f has succeeded for it
// or its lease has lapsed. If enough is given, it ends as soon as enough reports true for the
// IDs of the gateways for which f succeeded. It returns
// the IDs of the gateways for which f succeeded. A gateway that obtains a lease meanwhile is
// included, although its confirmation informs it as well.
func ForEachGateway(ctx context.Context, leases *membership.LeaseClient, c clock.Clock, enough func([]string) bool, f func(context.Context, membership.Member) bool) ([]string, error) {
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
		members, err := leases.ReadTable(ctx)
		if err != nil {
			// The known gateways can be asked meanwhile, but others may be missing.
			members = leases.Members()
		}
		pending := lo.Filter(members, func(m membership.Member, _ int) bool { return m.Kind == "gateway" && !agreed[run{m.ID, m.Inc}] })
		ch := make(chan *run, len(pending))
		for _, m := range pending {
			go func() {
				callCtx, cancel := context.WithTimeout(ctx, askTimeout)
				defer cancel()
				ch <- lo.Ternary(f(callCtx, m), &run{m.ID, m.Inc}, nil)
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
		state, err := e.Ledger.Refresh(ctx)
		if err != nil {
			return reply, err
		}
		// Read after the ledger: the version in force is either one seen above or a later one,
		// and in the latter case the answer is not OK.
		activation, err := e.Ledger.Activation(ctx)
		if err != nil {
			return reply, err
		}
		n := activation.Version
		reply.Gateways, reply.Round = activation.Gateways, activation.Round
		if reply.Leaves, err = leaves(ctx); err != nil {
			return reply, err
		}
		reply.OK, reply.N, reply.Open = true, n, activation.Open >= n
		reply.Settled = reply.Open && n == state.Version
		if !reply.Settled && n <= state.Version {
			go func() {
				settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
				defer cancel()
				_, _ = e.Settle(settleCtx, state.Version)
			}()
		}
		if n > state.Version {
			reply.OK = false
		} else if n != a.Have {
			s := state.Sheet
			if n != state.Version {
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
		roundCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		state, err := e.Ledger.Refresh(roundCtx)
		if err == nil && state.Version > 0 {
			if activation, err := e.Ledger.Activation(roundCtx); err == nil {
				e.trackAbsence(activation.Gateways)
				e.updateVoters(roundCtx, activation)
			}
			e.mu.Lock()
			behind := e.appliedVersion < state.Version
			e.mu.Unlock()
			if behind {
				_, err = e.Settle(roundCtx, state.Version)
			}
		}
		cancel()
		if err != nil && ctx.Err() == nil && e.Log != nil {
			e.Log.Warn("roll-out not completed", "step", "watch", "err", err)
		}
	}
}
