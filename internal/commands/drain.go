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

// Drainer stops new work to target runs that are leaving or let go.
type Drainer struct {
	Book   *ledger.Book
	Tenant *membership.Tenant
	Line   link.Line
	Clock  clock.Clock
	Faults *fault.Set

	mu   sync.Mutex
	done map[string]time.Time // by key: when every gateway held it
}

// maxDone bounds what is remembered of finished drains; a forgotten one is only
// done again.
const maxDone = 20000

// Leave records that a target run is leaving and returns once no gateway elects it
// any more: each holds the word, or has lost its lease and learns it with its
// next confirmation (design 12.3).
func (d *Drainer) Leave(ctx context.Context, b httpapi.Beat) error {
	t := ledger.Target{ID: b.ID, Service: b.Service, Inc: b.Inc}
	return d.run(ctx, ledger.LeavePrefix, t, ledger.Note{Kind: ledger.NoteLeave, Target: &t, Seq: b.Seq})
}

// Gone records that a target run is let go, and tells every gateway.
func (d *Drainer) Gone(ctx context.Context, t ledger.Target, w float64, why string) error {
	return d.run(ctx, ledger.GonePrefix, t, ledger.Note{Kind: ledger.NoteGone, Target: &t, W: w, Why: why})
}

func (d *Drainer) run(ctx context.Context, prefix string, t ledger.Target, n ledger.Note) error {
	key := ledger.TargetKey(prefix, d.Book.WallMS(), t)
	d.mu.Lock()
	_, ok := d.done[key]
	d.mu.Unlock()
	if ok {
		return nil
	}
	if _, err := d.Book.Once(ctx, key, n); err != nil {
		return err
	}
	d.Faults.At(fault.AfterLeaveNoted)
	_, err := rollout.Everyone(ctx, d.Tenant, d.Clock, nil, func(cx context.Context, m membership.Member) bool {
		r, err := link.Call[registry.DrainTold](cx, d.Line, m.Inner, registry.DrainAsk{Service: t.Service, ID: t.ID, Inc: t.Inc, Gone: prefix == ledger.GonePrefix})
		return err == nil && r.OK
	})
	if err != nil {
		return err
	}
	d.Faults.At(fault.BeforeLeaveAck)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == nil || len(d.done) > maxDone {
		d.done = map[string]time.Time{}
	}
	d.done[key] = d.Clock.Now()
	return nil
}

// Leaves lists the target runs that may get no new work, by a majority.
func (d *Drainer) Leaves(ctx context.Context) ([]rollout.Leave, error) {
	var out []rollout.Leave
	for _, p := range []string{ledger.LeavePrefix, ledger.GonePrefix} {
		ns, err := d.Book.Notes(ctx, p)
		if err != nil {
			return nil, err
		}
		for _, n := range ns {
			if n.Target != nil {
				out = append(out, rollout.Leave{Service: n.Target.Service, ID: n.Target.ID, Inc: n.Target.Inc, Gone: n.Kind == ledger.NoteGone})
			}
		}
	}
	return out, nil
}
