package commands

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/registry"
	"walkrudder/internal/rollout"
)

// Drainer stops new requests to target runs that are leaving or have been removed.
type Drainer struct {
	Ledger     *ledger.Ledger
	Membership *membership.LeaseClient
	Transport  link.Transport
	Clock      clock.Clock
	Faults     *fault.Set

	mu        sync.Mutex
	completed map[string]time.Time // by key of the note, when every gateway had acknowledged it
}

// maxCompleted bounds the number of completed drains remembered. A forgotten drain is
// merely repeated.
const maxCompleted = 20000

// MarkLeaving records that a target run is leaving. It returns once no gateway selects
// the run any more: each gateway has acknowledged the drain, or has lost its lease and
// learns of the drain with its next confirmation (design 12.3).
func (d *Drainer) MarkLeaving(ctx context.Context, b httpapi.Beat) error {
	t := ledger.Target{ID: b.ID, Service: b.Service, Incarnation: b.Inc}
	return d.recordDrain(ctx, ledger.LeavePrefix, t, ledger.Note{Kind: ledger.NoteLeave, Target: &t, HeartbeatSeq: b.Seq})
}

// MarkGone records that a target run is removed and informs every gateway.
func (d *Drainer) MarkGone(ctx context.Context, t ledger.Target, suspicion float64, reason string) error {
	return d.recordDrain(ctx, ledger.GonePrefix, t, ledger.Note{Kind: ledger.NoteGone, Target: &t, Suspicion: suspicion, Reason: reason})
}

// recordDrain writes note, the decision to drain or remove a target run, and returns once every
// gateway has acknowledged it or has lost its lease.
func (d *Drainer) recordDrain(ctx context.Context, prefix string, t ledger.Target, note ledger.Note) error {
	key := ledger.TargetKey(prefix, d.Ledger.WallMS(), t)
	d.mu.Lock()
	_, ok := d.completed[key]
	d.mu.Unlock()
	if ok {
		return nil
	}
	if _, err := d.Ledger.WriteOnce(ctx, key, note); err != nil {
		return err
	}
	d.Faults.Hit(fault.AfterLeaveDecided)
	_, err := rollout.ForEachGateway(ctx, d.Membership, d.Clock, nil, func(callCtx context.Context, m membership.Member) bool {
		r, err := link.Call[registry.DrainTold](callCtx, d.Transport, m.Inner, registry.DrainAsk{Service: t.Service, ID: t.ID, Inc: t.Incarnation, Gone: prefix == ledger.GonePrefix})
		return err == nil && r.OK
	})
	if err != nil {
		return err
	}
	d.Faults.Hit(fault.BeforeLeaveAck)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.completed == nil || len(d.completed) > maxCompleted {
		d.completed = map[string]time.Time{}
	}
	d.completed[key] = d.Clock.Now()
	return nil
}

// DrainedTargets reads from a majority the target runs that must not get new requests.
func (d *Drainer) DrainedTargets(ctx context.Context) ([]rollout.Leave, error) {
	var out []rollout.Leave
	for _, p := range []string{ledger.LeavePrefix, ledger.GonePrefix} {
		notes, err := d.Ledger.Notes(ctx, p)
		if err != nil {
			return nil, err
		}
		for _, n := range notes {
			if n.Target != nil {
				out = append(out, rollout.Leave{Service: n.Target.Service, ID: n.Target.ID, Inc: n.Target.Incarnation, Gone: n.Kind == ledger.NoteGone})
			}
		}
	}
	return out, nil
}
