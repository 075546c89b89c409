package quorum

import (
	"context"

	"walkrudder/internal/fault"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

func (v *Voter) setCore(c Core) {
	v.core = c
	v.puts = append(v.puts, storage.Put{Key: coreKey, Value: pack(c)})
}

// seal moves this voter to the next epoch: it accepts nothing more in the one
// before (design 4.4).
func (v *Voter) seal(ctx context.Context, _ link.Who, a SealAsk) (r SealTold, err error) {
	return get(ctx, v, func() (r SealTold) {
		switch {
		case v.core.Epoch == a.Next.Epoch:
			r.OK = true
		case v.core.Epoch > 0 && a.Next.Epoch == v.core.Epoch+1 && v.seated(v.core):
			v.setCore(a.Next)
			r.OK = true
		}
		r.Disk, r.Core = v.me.Disk, v.core
		return r
	})
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
	all, merged, records := map[string]Item{}, map[item.Key]item.Item{}, map[item.Key]record{}
	for _, s := range a.From {
		if err := v.pull(ctx, s, a.Next.Epoch, all); err != nil {
			return r, err
		}
		if err := v.pullRecords(ctx, s, a.Next.Epoch, records); err != nil {
			return r, err
		}
		if err := v.pullMerged(ctx, s, a.Next.Epoch, merged); err != nil {
			return r, err
		}
	}
	v.faults.At(fault.AfterPull)
	return get(ctx, v, func() (r JoinTold) {
		if v.core.Epoch >= a.Next.Epoch && v.seated(v.core) {
			r.OK = v.core.Epoch == a.Next.Epoch
			return r
		}
		for k, it := range all {
			if old, ok := v.items[k]; ok && old.Accepted.Compare(it.Accepted) > 0 {
				continue
			}
			v.set(k, it)
		}
		for k, held := range records {
			v.setRecord(k, v.records[k].join(held))
		}
		for _, it := range merged {
			v.take(it)
		}
		v.setCore(a.Next)
		r.OK, r.Items = true, len(all)+len(merged)
		return r
	})
}

func (v *Voter) pull(ctx context.Context, s Seat, epoch uint64, into map[string]Item) error {
	after := ""
	for {
		t, err := link.Ask[ListTold](ctx, v.line, s.Addr, ListAsk{Mark: Mark{Epoch: epoch}, After: after, All: true})
		if err != nil {
			return steperr.At("pull", s.ID, err)
		}
		if !t.OK || t.Disk != s.Disk {
			return steperr.New("pull", s.ID, "not sealed for epoch %d", epoch)
		}
		for _, e := range t.Entries {
			o := into[e.Key]
			if e.Item.Accepted.Compare(o.Accepted) > 0 {
				o.Accepted, o.Value = e.Item.Accepted, e.Item.Value
			}
			if e.Item.Promised.Compare(o.Promised) > 0 {
				o.Promised = e.Item.Promised
			}
			into[e.Key] = o
			after = e.Key
		}
		if !t.More {
			return nil
		}
	}
}
