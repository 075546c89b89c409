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
	v.puts = append(v.puts, storage.Put{Key: coreKey, Value: encodeGob(c)})
}

// seal moves this voter to the next epoch, after which it accepts nothing in the previous one
// (design 4.4). It refuses an abandoned core, that is, one other than a core that this voter
// itself accepted by a later ballot.
func (v *Voter) seal(ctx context.Context, _ link.Identity, req SealAsk) (r SealTold, err error) {
	return doResult(ctx, v, func() (r SealTold) {
		switch {
		case v.core.Epoch == req.Next.Epoch:
			r.OK = true
		case v.core.Epoch > 0 && req.Next.Succeeds(v.core.Epoch) && v.hasSeatIn(v.core) && !v.acceptedRivalOf(req.Next):
			v.setCore(req.Next)
			r.OK = true
		}
		r.Disk, r.Core = v.self.Disk, v.core
		return r
	})
}

// acceptedRivalOf reports whether this voter accepted a different successor of its epoch by a later
// ballot than the one next was chosen by. A core that a majority rejects for this reason can never
// be sealed at enough seats to take over. A value that a Reconfigurer did not write is ignored: the
// older implementation of reconfiguration never replaces a core that it has decided.
func (v *Voter) acceptedRivalOf(next Core) bool {
	held := v.registers[coreRegister]
	if held.Accepted.Compare(next.Decided) <= 0 {
		return false
	}
	other, err := decodeCore(held.Value)
	return err == nil && other.Succeeds(v.core.Epoch) && (other.Epoch != next.Epoch || !slices.Equal(other.Seats, next.Seats))
}

// join pulls all state from the former voters and only then votes in the next core (design 4.4).
// A promise that this node made on an earlier disk is not part of that state, but no accept that
// relies on the promise can reach this seat: such an accept carries the earlier incarnation.
func (v *Voter) join(ctx context.Context, _ link.Identity, req JoinAsk) (r JoinTold, err error) {
	if !v.hasSeatIn(req.Next) {
		return r, steperr.New("join", v.self.ID, "no seat in epoch %d for disk %s", req.Next.Epoch, v.self.Disk)
	}
	if c := v.Core(); c.Epoch >= req.Next.Epoch && v.hasSeatIn(c) {
		return JoinTold{OK: c.Epoch == req.Next.Epoch}, nil
	}
	select {
	case v.joinToken <- struct{}{}:
		defer func() { <-v.joinToken }()
	case <-ctx.Done():
		return r, steperr.Wrap("join", v.self.ID, ctx.Err())
	}
	pulled, err := v.pullAll(ctx, req)
	if err != nil {
		return r, err
	}
	v.faults.Hit(fault.AfterPull)
	return doResult(ctx, v, func() (r JoinTold) {
		if v.core.Epoch >= req.Next.Epoch && v.hasSeatIn(v.core) {
			r.OK = v.core.Epoch == req.Next.Epoch
			return r
		}
		for k, it := range pulled.registers {
			if old, ok := v.registers[k]; ok && old.Accepted.Compare(it.Accepted) > 0 {
				continue
			}
			v.setRegister(k, it)
		}
		for k, held := range pulled.records {
			v.setRecord(k, v.records[k].combine(held))
		}
		for _, it := range pulled.mergeItems {
			v.applyMergeItem(it)
		}
		v.setCore(req.Next)
		r.OK, r.Items = true, len(pulled.registers)+len(pulled.mergeItems)
		return r
	})
}
