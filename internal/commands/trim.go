package commands

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/quorum"
	"walkrudder/internal/registry"
)

// Trimmer deletes decisions older than Retention, so that memory and disk usage stay
// bounded (design 6.5).
type Trimmer struct {
	Ledger     *ledger.Ledger
	Proposer   *quorum.Proposer
	Membership *membership.LeaseClient
	Transport  link.Transport
	Drainer    *Drainer
	Retention  time.Duration
}

// Trim deletes old decisions: changes before the last one that precedes the cutoff and
// carries the full sheet, notes by their time, and leave and gone notes by the day.
func (t *Trimmer) Trim(ctx context.Context) error {
	state, err := t.Ledger.Refresh(ctx)
	if err != nil {
		return err
	}
	cutoff := t.Ledger.WallMS() - t.Retention.Milliseconds()
	if n := state.FullSheetBefore(cutoff); n > 0 {
		err = errors.Join(t.Proposer.DropBelow(ctx, ledger.ChangePrefix, ledger.ChangeKey(n)), t.Proposer.DropBelow(ctx, ledger.ActivationPrefix, ledger.ActivationNoteKey(n)))
	}
	if cutoff <= 0 {
		return err
	}
	// A drained run that still exists must stay drained, so its note is written again.
	oldestDay := ledger.DayPrefix(ledger.LeavePrefix, cutoff-ledger.DayMS)
	notes, e := t.Ledger.Notes(ctx, ledger.LeavePrefix)
	if err = errors.Join(err, e); err != nil {
		return err
	}
	seen := lo.SliceToMap(registry.CollectSeen(ctx, t.Transport, t.Membership.Members()), func(s registry.Seen) (ledger.Target, bool) {
		return ledger.Target{ID: s.Beat.ID, Service: s.Beat.Service, Incarnation: s.Beat.Inc}, !s.Gone
	})
	for _, n := range notes {
		if n.Target != nil && seen[*n.Target] && ledger.DayPrefix(ledger.LeavePrefix, n.AtMS) < oldestDay {
			if e := t.Drainer.recordDrain(ctx, ledger.LeavePrefix, *n.Target, ledger.Note{Kind: ledger.NoteLeave, Target: n.Target, HeartbeatSeq: n.HeartbeatSeq, Reason: "still there"}); e != nil {
				return e
			}
		}
	}
	for p, k := range map[string]string{ledger.LeavePrefix: oldestDay, ledger.GonePrefix: ledger.DayPrefix(ledger.GonePrefix, cutoff-ledger.DayMS),
		ledger.NotePrefix: fmt.Sprintf("%s%013d", ledger.NotePrefix, cutoff)} {
		err = errors.Join(err, t.Proposer.DropBelow(ctx, p, k))
	}
	return err
}
