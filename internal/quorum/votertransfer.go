package quorum

import (
	"context"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

// transfer is what a joiner has pulled so far for an epoch: the snapshot of the sealed voters,
// page by page. A join that broke off goes on where it stood. What came before the break may be
// old by then, but whatever is decided in the new epoch is held by a majority of it without
// this seat.
type transfer struct {
	epoch   uint64
	items   map[string]Item
	records map[item.Key]record
	merged  map[item.Key]item.Item
	from    map[string]*progress // by disk
}

// progress is how far a sealed voter was heard out.
type progress struct {
	item                               string
	record, merged                     item.Key
	itemsDone, recordsDone, mergedDone bool
}

// transfer pulls all that the sealed voters named hold.
func (v *Voter) transfer(ctx context.Context, a JoinAsk) (*transfer, error) {
	if v.pulled == nil || v.pulled.epoch != a.Next.Epoch {
		v.pulled = &transfer{epoch: a.Next.Epoch, items: map[string]Item{}, records: map[item.Key]record{}, merged: map[item.Key]item.Item{}, from: map[string]*progress{}}
	}
	got := v.pulled
	for _, s := range a.From {
		at := got.from[s.Disk]
		if at == nil {
			at = &progress{}
			got.from[s.Disk] = at
		}
		for _, pull := range []func(context.Context, Seat, *progress) error{v.pullItems, v.pullRecords, v.pullMerged} {
			if err := pull(ctx, s, at); err != nil {
				return nil, steperr.At("pull", s.ID, err)
			}
		}
	}
	v.pulled = nil
	if err := got.complete(); err != nil {
		return nil, err
	}
	return got, nil
}

// complete gives the records the bodies that were left out. One may be missing where a voter told
// its records and then, before its merge items, dropped out of those that are asked; the next
// join begins anew.
func (t *transfer) complete() error {
	for k, r := range t.records {
		if !r.bodiless {
			continue
		}
		known, ok := t.merged[k]
		switch {
		case !ok || known.Version < r.Decision.Item.Version:
			return steperr.New("pull", "", "the body of %q, version %d, was not told", k.Name, r.Decision.Item.Version)
		case known.Version == r.Decision.Item.Version:
			r.Decision.Item = known
		default:
			r.Decision = r.Decision.under(known)
		}
		r.bodiless = false
		t.records[k] = r
	}
	return nil
}

// page asks a sealed voter for one page; told yields the head of its answer.
func page[R any](ctx context.Context, v *Voter, s Seat, ask any, told func(R) Told) (R, error) {
	t, err := link.Ask[R](ctx, v.line, s.Addr, ask)
	if err != nil {
		return t, err
	}
	if h := told(t); !h.OK || h.Disk != s.Disk {
		return t, steperr.New("pull", s.ID, "not sealed for epoch %d", v.pulled.epoch)
	}
	return t, nil
}

// pullItems fetches the registers of a sealed voter that the product's own side has.
func (v *Voter) pullItems(ctx context.Context, s Seat, at *progress) error {
	got := v.pulled
	for !at.itemsDone {
		t, err := page(ctx, v, s, ListAsk{Mark: Mark{Epoch: got.epoch}, After: at.item, All: true}, func(t ListTold) Told { return t.Told })
		if err != nil {
			return err
		}
		for _, e := range t.Entries {
			o := got.items[e.Key]
			if e.Item.Accepted.Compare(o.Accepted) > 0 {
				o.Accepted, o.Value = e.Item.Accepted, e.Item.Value
			}
			if e.Item.Promised.Compare(o.Promised) > 0 {
				o.Promised = e.Item.Promised
			}
			got.items[e.Key], at.item = o, e.Key
		}
		at.itemsDone = !t.More
	}
	return nil
}

// pullRecords fetches the item registers of a sealed voter.
func (v *Voter) pullRecords(ctx context.Context, s Seat, at *progress) error {
	got := v.pulled
	for !at.recordsDone {
		t, err := page(ctx, v, s, RecordsAsk{Mark: Mark{Epoch: got.epoch}, After: at.record}, func(t RecordsTold) Told { return t.Told })
		if err != nil {
			return err
		}
		for _, k := range t.Records {
			got.records[k.Key] = got.records[k.Key].join(record{k.Promised, k.Accepted, k.Decision, k.Bodiless})
			at.record = k.Key
		}
		at.recordsDone = !t.More
	}
	return nil
}

// pullMerged fetches the merge items of a sealed voter; the newest copies stay.
func (v *Voter) pullMerged(ctx context.Context, s Seat, at *progress) error {
	got := v.pulled
	for !at.mergedDone {
		t, err := page(ctx, v, s, MergedAsk{Mark: Mark{Epoch: got.epoch}, After: at.merged}, func(t MergedTold) Told { return t.Told })
		if err != nil {
			return err
		}
		for _, it := range t.Items {
			if err := checkMerge(it); err != nil {
				return err
			}
			if old, ok := got.merged[it.Key]; !ok || newer(it, old) {
				got.merged[it.Key] = it
			}
			at.merged = it.Key
		}
		at.mergedDone = !t.More
	}
	return nil
}
