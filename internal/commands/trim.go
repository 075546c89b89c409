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

// Trimmer lets decisions go that are older than Keep, so that memory and disks
// stay bounded (design 6.5).
type Trimmer struct {
	Book    *ledger.Book
	Prop    *quorum.Proposer
	Tenant  *membership.LeaseClient
	Line    link.Line
	Drainer *Drainer
	Keep    time.Duration
}

// Trim drops what is old: changes below the last one before the limit that carries
// the whole sheet, notes by their time, leavings and lettings go by the day.
func (t *Trimmer) Trim(ctx context.Context) error {
	f, err := t.Book.Refresh(ctx)
	if err != nil {
		return err
	}
	limit := t.Book.WallMS() - t.Keep.Milliseconds()
	if n := f.WholeBefore(limit); n > 0 {
		err = errors.Join(t.Prop.DropBelow(ctx, ledger.ChangePrefix, ledger.ChangeKey(n)), t.Prop.DropBelow(ctx, ledger.FlipPrefix, ledger.FlipKey(n)))
	}
	if limit <= 0 {
		return err
	}
	// A run that is still there stays drained: it is noted anew.
	old := ledger.DayKey(ledger.LeavePrefix, limit-ledger.DayMS)
	ns, e := t.Book.Notes(ctx, ledger.LeavePrefix)
	if err = errors.Join(err, e); err != nil {
		return err
	}
	seen := lo.SliceToMap(registry.CollectSeen(ctx, t.Line, t.Tenant.Members()), func(s registry.Seen) (ledger.Target, bool) {
		return ledger.Target{ID: s.Beat.ID, Service: s.Beat.Service, Inc: s.Beat.Inc}, !s.Gone
	})
	for _, n := range ns {
		if n.Target != nil && seen[*n.Target] && ledger.DayKey(ledger.LeavePrefix, n.At) < old {
			if e := t.Drainer.run(ctx, ledger.LeavePrefix, *n.Target, ledger.Note{Kind: ledger.NoteLeave, Target: n.Target, Seq: n.Seq, Why: "still there"}); e != nil {
				return e
			}
		}
	}
	for p, k := range map[string]string{ledger.LeavePrefix: old, ledger.GonePrefix: ledger.DayKey(ledger.GonePrefix, limit-ledger.DayMS),
		ledger.NotePrefix: fmt.Sprintf("%s%013d", ledger.NotePrefix, limit)} {
		err = errors.Join(err, t.Prop.DropBelow(ctx, p, k))
	}
	return err
}
