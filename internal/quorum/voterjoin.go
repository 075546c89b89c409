package quorum

import (
	"context"
	"slices"

	"walkrudder/internal/fault"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

func (v *Voter) setCore(c Core) {
	v.core = c
	v.puts = append(v.puts, storage.Put{Key: coreKey, Value: pack(c)})
}

// seal moves this voter to the next epoch: it accepts nothing more in the one
// before (design 4.4). It refuses a core that was given up: one other than it accepted
// itself by a later ballot.
func (v *Voter) seal(ctx context.Context, _ link.Who, a SealAsk) (r SealTold, err error) {
	return get(ctx, v, func() (r SealTold) {
		switch {
		case v.core.Epoch == a.Next.Epoch:
			r.OK = true
		case v.core.Epoch > 0 && a.Next.Succeeds(v.core.Epoch) && v.seated(v.core) && !v.acceptedInsteadOf(a.Next):
			v.setCore(a.Next)
			r.OK = true
		}
		r.Disk, r.Core = v.me.Disk, v.core
		return r
	})
}

// acceptedInsteadOf tells whether this voter accepted another core after its own epoch, by a later
// ballot than next was chosen by. A core of which that is true at a majority can never be
// sealed at enough seats to take over. Values that are not of a Reconfigurer don't count: its like
// on the product's older side never replaces what it decided.
func (v *Voter) acceptedInsteadOf(next Core) bool {
	held := v.items[coreRegister]
	if held.Accepted.Compare(next.Decided) <= 0 {
		return false
	}
	other, err := decodeCore(held.Value)
	return err == nil && other.Succeeds(v.core.Epoch) && (other.Epoch != next.Epoch || !slices.Equal(other.Seats, next.Seats))
}

// join pulls every item from the former voters and only then votes in the next
// core (design 4.4). A promise that this node gave on an earlier disk is not
// among them, but no accept that relies on it can reach this seat: it carries
// the earlier incarnation.
func (v *Voter) join(ctx context.Context, _ link.Who, a JoinAsk) (r JoinTold, err error) {
	if !v.seated(a.Next) {
		return r, steperr.New("join", v.me.ID, "no seat in epoch %d for disk %s", a.Next.Epoch, v.me.Disk)
	}
	if c := v.Core(); c.Epoch >= a.Next.Epoch && v.seated(c) {
		return JoinTold{OK: c.Epoch == a.Next.Epoch}, nil
	}
	select {
	case v.joining <- struct{}{}:
		defer func() { <-v.joining }()
	case <-ctx.Done():
		return r, steperr.At("join", v.me.ID, ctx.Err())
	}
	got, err := v.transfer(ctx, a)
	if err != nil {
		return r, err
	}
	v.faults.At(fault.AfterPull)
	return get(ctx, v, func() (r JoinTold) {
		if v.core.Epoch >= a.Next.Epoch && v.seated(v.core) {
			r.OK = v.core.Epoch == a.Next.Epoch
			return r
		}
		for k, it := range got.items {
			if old, ok := v.items[k]; ok && old.Accepted.Compare(it.Accepted) > 0 {
				continue
			}
			v.set(k, it)
		}
		for k, held := range got.records {
			v.setRecord(k, v.records[k].join(held))
		}
		for _, it := range got.merged {
			v.take(it)
		}
		v.setCore(a.Next)
		r.OK, r.Items = true, len(got.items)+len(got.merged)
		return r
	})
}
