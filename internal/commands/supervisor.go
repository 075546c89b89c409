package commands

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/quorum"
	"walkrudder/internal/registry"
	"walkrudder/internal/steperr"
)

const (
	// supervisorInterval is the pause between two rounds of the supervisor.
	supervisorInterval = 500 * time.Millisecond
	// suspectThreshold is the suspicion level from which a target is recorded as suspected.
	suspectThreshold = registry.SuspicionThreshold
	// goneThreshold and goneSilence are the suspicion level and the time without a heartbeat
	// that the homes must observe before a target run is removed.
	goneThreshold = 0.9999
	goneSilence   = 20 * time.Second
	// maxSuspectedShare is the share of a service's targets that may be suspected at once.
	// Above it, the fault is assumed to be on the control plane's side (design 10.5).
	maxSuspectedShare = 0.5
	// seatReplaceDelay is how long a voter's lease must have been expired before its seat
	// is given to a standby disk node.
	seatReplaceDelay = 6 * time.Second
)

// Supervisor performs the duties that one controller has at a time: it records suspicions,
// removes silent targets and fills vacant seats of the core. It acts only while it holds
// the lease of the duty. Every step is safe if two supervisors overlap.
type Supervisor struct {
	Registry   *registry.HomeTable
	Ledger     *ledger.Ledger
	Membership *membership.LeaseClient
	Drainer    *Drainer
	Proposer   *quorum.Proposer
	Transport  link.Transport
	Clock      clock.Clock
	Faults     *fault.Set
	Log        *log.Logger

	// suspected is the set of suspected targets according to the ledger. It is nil while
	// another supervisor may be writing to the ledger.
	suspected    map[ledger.Target]bool
	missingSince map[string]time.Time // by disk ID
}

// SupervisorDuty is the name of the supervisor's lease.
const SupervisorDuty = "warden"

// Run runs the supervisor until ctx ends.
func (sv *Supervisor) Run(ctx context.Context) {
	sv.Membership.RequestDuty(SupervisorDuty)
	sv.missingSince = map[string]time.Time{}
	for sv.Clock.Sleep(ctx, supervisorInterval) == nil {
		_ = sv.Registry.RemoveSilent(ctx)
		if !sv.Membership.HoldsDuty(SupervisorDuty) {
			// The decisions of another supervisor are not tracked here.
			sv.suspected, sv.missingSince = nil, map[string]time.Time{}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		err := errors.Join(sv.checkTargets(callCtx), sv.fillSeats(callCtx))
		cancel()
		if err != nil && ctx.Err() == nil {
			sv.Log.Warn("supervisor round did not complete", "step", "warden", "err", err)
		}
	}
}

// checkTargets records which targets became suspected or trusted, and removes silent ones.
func (sv *Supervisor) checkTargets(ctx context.Context) error {
	if sv.suspected == nil {
		suspected, err := sv.Ledger.Suspected(ctx)
		if err != nil {
			return err
		}
		sv.suspected = suspected
	}
	all := registry.CollectSeen(ctx, sv.Transport, sv.Membership.Members())
	total, suspected := map[string]int{}, map[string]int{}
	for _, seen := range all {
		if seen.Gone {
			continue
		}
		total[seen.Beat.Service]++
		if seen.W >= suspectThreshold {
			suspected[seen.Beat.Service]++
		}
	}
	// Heartbeats may fail to reach the controllers asked here. A target that answers
	// the gateways' own probes is not silent (design 10.7).
	var views map[ledger.Target]registry.GatewayViews
	for _, seen := range all {
		t := ledger.Target{ID: seen.Beat.ID, Service: seen.Beat.Service, Incarnation: seen.Beat.Inc}
		if seen.Gone {
			delete(sv.suspected, t)
			continue
		}
		if seen.W >= suspectThreshold {
			if views == nil {
				views = registry.CollectViews(ctx, sv.Transport, sv.Membership.Members())
			}
			if views[t].TrustedByHalf() {
				continue
			}
		}
		tooManySuspected := float64(suspected[t.Service]) > maxSuspectedShare*float64(total[t.Service])
		switch {
		case seen.W >= suspectThreshold && !sv.suspected[t] && !tooManySuspected:
			if err := sv.Ledger.AddNote(ctx, ledger.Note{Kind: ledger.NoteSuspect, Target: &t, HeartbeatSeq: seen.Beat.Seq, Suspicion: seen.W,
				Reason: fmt.Sprintf("silent for %s, fitted alpha %.3f s beta %.2f", seen.Quiet.Round(time.Millisecond), seen.Fit.Alpha, seen.Fit.Beta)}); err != nil {
				return err
			}
			sv.suspected[t] = true
			sv.broadcastMark(ctx, t, true, false)
		case seen.W < suspectThreshold && sv.suspected[t]:
			if err := sv.Ledger.AddNote(ctx, ledger.Note{Kind: ledger.NoteTrust, Target: &t, HeartbeatSeq: seen.Beat.Seq, Suspicion: seen.W, Reason: "beats again"}); err != nil {
				return err
			}
			delete(sv.suspected, t)
		}
		if seen.W >= goneThreshold && seen.Quiet > goneSilence && !tooManySuspected && sv.homesAgree(ctx, t) && sv.Membership.HoldsDuty(SupervisorDuty) {
			if err := sv.Drainer.MarkGone(ctx, t, seen.W, fmt.Sprintf("silent for %s, a majority of its homes agree", seen.Quiet.Round(time.Second))); err != nil {
				return err
			}
			sv.Log.Info("target run removed", "step", "let go", "mate", t.Service+"/"+t.ID)
			sv.broadcastMark(ctx, t, true, true)
		}
	}
	return nil
}

// broadcastMark informs every controller's registry that a target run is suspected or gone. A
// controller that misses the message shows the old state for a while longer; the gateways do not
// depend on it.
func (sv *Supervisor) broadcastMark(ctx context.Context, t ledger.Target, suspect, gone bool) {
	callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range sv.Membership.MembersOfKind("controller") {
		wg.Go(func() {
			_, _ = link.Call[registry.MarkTold](callCtx, sv.Transport, m.Inner, registry.MarkAsk{Service: t.Service, ID: t.ID, Inc: t.Incarnation, Suspect: suspect, Gone: gone})
		})
	}
	wg.Wait()
}

// homesAgree reports whether the home controllers of the service, all of which receive its
// heartbeats, agree that the run is gone. A majority of them must suspect the run, and none may
// have heard from it recently.
func (sv *Supervisor) homesAgree(ctx context.Context, t ledger.Target) bool {
	homes := registry.Homes(t.Service, sv.Membership.Members())
	agreeing := 0
	for _, m := range homes {
		callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		r, err := link.Call[registry.JudgeTold](callCtx, sv.Transport, m.Inner, registry.JudgeAsk{Service: t.Service, ID: t.ID, Inc: t.Incarnation})
		cancel()
		if err != nil {
			continue
		}
		if r.Known && (r.W < goneThreshold || time.Duration(r.Quiet) < goneSilence) {
			return false
		}
		if r.Known {
			agreeing++
		}
	}
	return agreeing > len(homes)/2
}

// fillSeats fills a seat whose disk is missing: with the new disk of the same node, or with
// a standby disk node once the voter has been missing for seatReplaceDelay. It makes one swap
// at a time; the previous one must be finished first (design 4.4).
func (sv *Supervisor) fillSeats(ctx context.Context) error {
	core := sv.Proposer.Core()
	if done, err := sv.finishSwap(ctx, core); err != nil || !done {
		return err
	}
	disks := map[string]membership.Member{}
	var standby []quorum.Seat
	for _, m := range sv.Membership.MembersOfKind("controller") {
		if m.Disk.Disk == "" {
			continue
		}
		disks[m.Disk.Disk] = m
		if _, in := core.Seat(m.ID); !in {
			standby = append(standby, m.Disk)
		}
	}
	now := sv.Clock.Now()
	for _, s := range core.Seats {
		if _, ok := disks[s.Disk]; ok {
			delete(sv.missingSince, s.Disk)
			continue
		}
		if _, ok := sv.missingSince[s.Disk]; !ok {
			sv.missingSince[s.Disk] = now
		}
		// If the same node has come back with an empty disk, it gets its seat back at once.
		for _, m := range disks {
			if m.ID == s.ID {
				return sv.swap(ctx, core, s, m.Disk)
			}
		}
		if now.Sub(sv.missingSince[s.Disk]) <= seatReplaceDelay {
			continue
		}
		if in, ok := (quorum.Tolerance{}).Replacement(core.Seats, s, standby); ok {
			return sv.swap(ctx, core, s, in)
		}
	}
	return sv.executeRequestedSwap(ctx, core, disks)
}

// swapRequest is a swap requested by an operator. It is stored by its field names.
type swapRequest struct{ Out, In string }

// RequestSwap records that a voter is to give its seat to a standby disk node. The
// controller that holds the supervisor's duty carries it out (design 4.4).
func (sv *Supervisor) RequestSwap(ctx context.Context, out, in string) error {
	core := sv.Proposer.Core()
	if _, ok := core.Seat(out); !ok {
		return steperr.New("swap", out, "has no seat")
	}
	if _, ok := core.Seat(in); ok {
		return steperr.New("swap", in, "has a seat already")
	}
	if !slices.ContainsFunc(sv.Membership.MembersOfKind("controller"), func(m membership.Member) bool { return m.ID == in && m.Disk.Disk != "" }) {
		return steperr.New("swap", in, "no such disk node has a lease now")
	}
	raw := ledger.Encode(swapRequest{out, in})
	_, err := sv.Proposer.Change(ctx, ledger.SwapRequestKey, func([]byte) ([]byte, error) { return raw, nil })
	return err
}

// executeRequestedSwap carries out the swap an operator requested, if it still applies.
func (sv *Supervisor) executeRequestedSwap(ctx context.Context, core quorum.Core, disks map[string]membership.Member) error {
	raw, err := sv.Proposer.Read(ctx, ledger.SwapRequestKey)
	if quorum.IsNeverWritten(err) || err == nil && raw == nil {
		return nil
	}
	if err != nil {
		return steperr.Wrap("read wish", "", err)
	}
	request, err := ledger.Decode[swapRequest](raw)
	if err != nil {
		return steperr.Wrap("read wish", "", err)
	}
	out, hasSeat := core.Seat(request.Out)
	if _, in := core.Seat(request.In); !hasSeat || in {
		if request.Out == "" {
			return nil
		}
		// The swap is done or no longer applies. Clear the request: it is carried out once.
		_, err := sv.Proposer.Change(ctx, ledger.SwapRequestKey, func(old []byte) ([]byte, error) {
			if string(old) != string(raw) {
				return old, nil
			}
			return ledger.Encode(swapRequest{}), nil
		})
		return err
	}
	for _, m := range disks {
		if m.ID == request.In {
			return sv.swap(ctx, core, out, m.Disk)
		}
	}
	return nil
}

// swap decides the next core and carries out the swap.
func (sv *Supervisor) swap(ctx context.Context, core quorum.Core, out, in quorum.Seat) error {
	if !sv.Membership.HoldsDuty(SupervisorDuty) {
		return nil
	}
	next := quorum.Core{Epoch: core.Epoch + 1}
	for _, s := range core.Seats {
		if s == out {
			s = in
		}
		next.Seats = append(next.Seats, s)
	}
	raw := ledger.Encode(next)
	_, err := sv.Proposer.Change(ctx, ledger.CoreKey, func(old []byte) ([]byte, error) {
		if old != nil {
			o, err := ledger.Decode[quorum.Core](old)
			if err != nil {
				return nil, err
			}
			if o.Epoch > core.Epoch {
				// Another swap is already decided and must be finished first.
				return old, nil
			}
		}
		return raw, nil
	})
	if err != nil {
		return steperr.Wrap("decide swap", in.ID, err)
	}
	sv.Log.Info("seat passes on", "step", "swap", "mate", in.ID, "out", out.ID, "epoch", next.Epoch)
	_, err = sv.finishSwap(ctx, core)
	return err
}

// finishSwap carries out a decided swap; done reports that none is left to carry out.
func (sv *Supervisor) finishSwap(ctx context.Context, core quorum.Core) (done bool, err error) {
	raw, err := sv.Proposer.Read(ctx, ledger.CoreKey)
	if quorum.IsNeverWritten(err) || err == nil && raw == nil {
		return true, nil
	}
	if err != nil {
		return false, steperr.Wrap("read core", "", err)
	}
	next, err := ledger.Decode[quorum.Core](raw)
	if err != nil {
		return false, steperr.Wrap("read core", "", err)
	}
	if next.Epoch < core.Epoch {
		return true, nil
	}
	var sealed, joining []quorum.Seat
	for _, s := range sv.sourceSeats(core, next) {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		r, err := link.Call[quorum.SealTold](callCtx, sv.Transport, s.Addr, quorum.SealAsk{Next: next})
		cancel()
		if err == nil && r.OK && r.Disk == s.Disk {
			sealed = append(sealed, s)
		}
	}
	sv.Faults.Hit(fault.AfterSeal)
	need := core.BlockingSize()
	if next.Epoch == core.Epoch {
		// This epoch was sealed before, and only a joining voter may be missing.
		// The continuing seats together hold what any former majority accepted.
		need = core.QuorumSize()
	}
	if len(sealed) < need {
		return false, steperr.New("seal", "", "%d of %d former voters sealed", len(sealed), need)
	}
	for _, s := range next.Seats {
		if !slices.Contains(sealed, s) {
			joining = append(joining, s)
		}
	}
	voting := len(next.Seats) - len(joining)
	for _, s := range joining {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		r, err := link.Call[quorum.JoinTold](callCtx, sv.Transport, s.Addr, quorum.JoinAsk{Next: next, From: sealed})
		cancel()
		if err != nil || !r.OK {
			sv.Log.Debug("new voter has not joined yet", "step", "join", "mate", s.ID, "err", err)
			continue
		}
		voting++
		if r.Items > 0 {
			_ = sv.Ledger.AddNote(ctx, ledger.Note{Kind: ledger.NoteSwap, Version: next.Epoch, Reason: fmt.Sprintf("%s votes on disk %s with %d items", s.ID, s.Disk, r.Items)})
		}
	}
	sv.Proposer.Learn(next)
	// Once a majority votes in the newest epoch, that epoch can be sealed for the next one,
	// so a seat that never joins does not prevent its own replacement.
	return voting >= next.QuorumSize(), nil
}

// sourceSeats lists the voters to seal, from which a joining voter copies its items.
func (sv *Supervisor) sourceSeats(core, next quorum.Core) []quorum.Seat {
	if next.Epoch > core.Epoch {
		return core.Seats
	}
	return next.Seats
}
