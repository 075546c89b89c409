package quorum

import (
	"context"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

// transfer is the state that a joining seat has pulled so far for an epoch: a snapshot of the
// sealed voters, fetched page by page. An interrupted join continues where it stopped. Pages from
// before the interruption may be outdated by then, but anything decided in the new epoch is held
// by a majority of it without this seat.
type transfer struct {
	epoch      uint64
	registers  map[string]Item
	records    map[item.Key]record
	mergeItems map[item.Key]item.Item
	positions  map[string]*pullPosition // by disk
}

// pullPosition is how far a sealed voter has been read.
type pullPosition struct {
	lastRegister                               string
	lastRecord, lastMergeItem                  item.Key
	registersDone, recordsDone, mergeItemsDone bool
}

// pullAll pulls the state of all sealed voters that the request names.
func (v *Voter) pullAll(ctx context.Context, req JoinAsk) (*transfer, error) {
	if v.partialTransfer == nil || v.partialTransfer.epoch != req.Next.Epoch {
		v.partialTransfer = &transfer{epoch: req.Next.Epoch, registers: map[string]Item{}, records: map[item.Key]record{}, mergeItems: map[item.Key]item.Item{}, positions: map[string]*pullPosition{}}
	}
	state := v.partialTransfer
	for _, source := range req.From {
		pos := state.positions[source.Disk]
		if pos == nil {
			pos = &pullPosition{}
			state.positions[source.Disk] = pos
		}
		for _, pull := range []func(context.Context, Seat, *pullPosition) error{v.pullRegisters, v.pullRecords, v.pullMergeItems} {
			if err := pull(ctx, source, pos); err != nil {
				return nil, steperr.Wrap("pull", source.ID, err)
			}
		}
	}
	v.partialTransfer = nil
	if err := state.completeBodies(); err != nil {
		return nil, err
	}
	return state, nil
}

// completeBodies adds the omitted bodies to the records. A body can be missing if a voter sent its
// records and was then dropped from the list of sources before it sent its merge items; the next
// join starts over.
func (t *transfer) completeBodies() error {
	for k, r := range t.records {
		if !r.bodyOmitted {
			continue
		}
		known, ok := t.mergeItems[k]
		switch {
		case !ok || known.Version < r.Decision.Item.Version:
			return steperr.New("pull", "", "no source sent the body of %q, version %d", k.Name, r.Decision.Item.Version)
		case known.Version == r.Decision.Item.Version:
			r.Decision.Item = known
		default:
			r.Decision = r.Decision.withDecidedItem(known)
		}
		r.bodyOmitted = false
		t.records[k] = r
	}
	return nil
}

// pullPage requests one page from a sealed voter; headOf returns the header of the response.
func pullPage[R any](ctx context.Context, v *Voter, source Seat, ask any, headOf func(R) Told) (R, error) {
	t, err := link.Call[R](ctx, v.transport, source.Addr, ask)
	if err != nil {
		return t, err
	}
	if h := headOf(t); !h.OK || h.Disk != source.Disk {
		return t, steperr.New("pull", source.ID, "seat is not sealed for epoch %d", v.partialTransfer.epoch)
	}
	return t, nil
}

// pullRegisters pulls the keyed registers of a sealed voter.
func (v *Voter) pullRegisters(ctx context.Context, source Seat, pos *pullPosition) error {
	state := v.partialTransfer
	for !pos.registersDone {
		t, err := pullPage(ctx, v, source, ListAsk{Mark: Mark{Epoch: state.epoch}, After: pos.lastRegister, All: true}, func(t ListTold) Told { return t.Told })
		if err != nil {
			return err
		}
		for _, e := range t.Entries {
			o := state.registers[e.Key]
			if e.Item.Accepted.Compare(o.Accepted) > 0 {
				o.Accepted, o.Value = e.Item.Accepted, e.Item.Value
			}
			if e.Item.Promised.Compare(o.Promised) > 0 {
				o.Promised = e.Item.Promised
			}
			state.registers[e.Key], pos.lastRegister = o, e.Key
		}
		pos.registersDone = !t.More
	}
	return nil
}

// pullRecords pulls the item registers of a sealed voter.
func (v *Voter) pullRecords(ctx context.Context, source Seat, pos *pullPosition) error {
	state := v.partialTransfer
	for !pos.recordsDone {
		t, err := pullPage(ctx, v, source, RecordsAsk{Mark: Mark{Epoch: state.epoch}, After: pos.lastRecord}, func(t RecordsTold) Told { return t.Told })
		if err != nil {
			return err
		}
		for _, k := range t.Records {
			state.records[k.Key] = state.records[k.Key].combine(record{k.Promised, k.Accepted, k.Decision, k.Bodiless})
			pos.lastRecord = k.Key
		}
		pos.recordsDone = !t.More
	}
	return nil
}

// pullMergeItems pulls the merge items of a sealed voter and keeps the newest copies.
func (v *Voter) pullMergeItems(ctx context.Context, source Seat, pos *pullPosition) error {
	state := v.partialTransfer
	for !pos.mergeItemsDone {
		t, err := pullPage(ctx, v, source, MergedAsk{Mark: Mark{Epoch: state.epoch}, After: pos.lastMergeItem}, func(t MergedTold) Told { return t.Told })
		if err != nil {
			return err
		}
		for _, it := range t.Items {
			if err := checkMergeItem(it); err != nil {
				return err
			}
			if old, ok := state.mergeItems[it.Key]; !ok || supersedes(it, old) {
				state.mergeItems[it.Key] = it
			}
			pos.lastMergeItem = it.Key
		}
		pos.mergeItemsDone = !t.More
	}
	return nil
}
