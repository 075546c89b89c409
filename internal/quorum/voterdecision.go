package quorum

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"walkrudder/internal/fault"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

// maxDecide bounds the items of one ask of the item registers.
const maxDecide = 1 << 16

type (
	// OfferAsk asks for a promise for the registers of several items at once.
	OfferAsk struct {
		Mark
		Ballot Ballot
		Keys   []item.Key
	}
	// OfferTold answers it. Yes says that all were promised, after a sync; Held are then
	// their registers, in the order of the keys. Over is the highest ballot met.
	OfferTold struct {
		Told
		Yes  bool
		Over Ballot
		Held []HeldDecision
	}
	// HeldDecision is what a voter holds of one register. Settled says that its item is
	// known to be decided: it stands as a merge item.
	HeldDecision struct {
		Accepted Ballot
		Decision Decision
		Settled  bool
	}
	// DecideAsk asks to accept decisions for several items, all or none.
	DecideAsk struct {
		Mark
		Ballot    Ballot
		Keys      []item.Key
		Decisions []Decision // in the order of the keys
	}
	// DecideTold answers it, after a sync. Over is the highest ballot met.
	DecideTold struct {
		Told
		Yes  bool
		Over Ballot
	}
	// TraceAsk asks whether the voter has accepted one of some items as the newest.
	TraceAsk struct {
		Mark
		Items []TracedItem
	}
	// TracedItem is an item without its body.
	TracedItem struct {
		Key     item.Key
		Version uint64
		Digest  string
	}
	// TraceTold answers it.
	TraceTold struct {
		Told
		Found bool
	}
	// RecordsAsk asks for the registers past After, for a seat that joins.
	RecordsAsk struct {
		Mark
		After item.Key
	}
	// RecordsTold answers it; More says that the listing was cut.
	RecordsTold struct {
		Told
		Records []KeyedRecord
		More    bool
	}
	// KeyedRecord is one register of a listing. Bodiless says that the body of the decision's
	// item is left out: the voter's merge item of that name has it, or is newer.
	KeyedRecord struct {
		Key      item.Key
		Promised Ballot
		Accepted Ballot
		Decision Decision
		Bodiless bool
	}
)

// checkKeys bounds the names of an ask.
func (v *Voter) checkKeys(step string, keys []item.Key) error {
	if len(keys) > maxDecide {
		return steperr.New(step, v.me.ID, "%d items, limit %d", len(keys), maxDecide)
	}
	for _, k := range keys {
		if len(k.Name) > maxMergeName || k.Kind == 0 {
			return steperr.New(step, v.me.ID, "item %.40q, name of %d bytes; limit %d", k.Name, len(k.Name), maxMergeName)
		}
	}
	return nil
}

// highest is the highest ballot that the registers of keys have met.
func (v *Voter) highest(keys []item.Key) (over Ballot) {
	for _, k := range keys {
		r := v.records[k]
		for _, b := range []Ballot{r.Promised, r.Accepted} {
			if b.Compare(over) > 0 {
				over = b
			}
		}
	}
	return over
}

// offer promises a ballot for all registers named, or for none.
func (v *Voter) offer(ctx context.Context, _ link.Who, a OfferAsk) (r OfferTold, err error) {
	if err := v.checkKeys("offer", a.Keys); err != nil {
		return r, err
	}
	return get(ctx, v, func() (r OfferTold) {
		if r.Told = v.told(a.Mark); !r.OK {
			return r
		}
		if r.Over = v.highest(a.Keys); a.Ballot.Compare(r.Over) <= 0 {
			return r
		}
		v.faults.At(fault.BeforePromise)
		v.after = append(v.after, fault.AfterPromise)
		r.Yes = true
		for _, k := range a.Keys {
			held := v.records[k]
			held.Promised = a.Ballot
			v.setRecord(k, held)
			held = v.records[k]
			r.Held = append(r.Held, HeldDecision{held.Accepted, held.Decision, v.settled(held.Decision)})
		}
		return r
	})
}

// settled tells whether a decision's item is known to be decided.
func (v *Voter) settled(d Decision) bool {
	known, ok := v.merged[d.Item.Key]
	return ok && d.Decided() && known.Version == d.Item.Version
}

// decide accepts decisions for all registers named, or for none.
func (v *Voter) decide(ctx context.Context, _ link.Who, a DecideAsk) (r DecideTold, err error) {
	if err := v.checkKeys("decide", a.Keys); err != nil {
		return r, err
	}
	if len(a.Decisions) != len(a.Keys) {
		return r, steperr.New("decide", v.me.ID, "%d decisions for %d items", len(a.Decisions), len(a.Keys))
	}
	for i, d := range a.Decisions {
		if err := checkMerge(d.Item); err != nil {
			return r, err
		}
		if d.Decided() && d.Item.Key != a.Keys[i] || len(d.Past) > maxPast {
			return r, steperr.New("decide", v.me.ID, "decision of another item, or of %d versions", len(d.Past))
		}
	}
	return get(ctx, v, func() (r DecideTold) {
		if r.Told = v.told(a.Mark); !r.OK || a.Disk == "" {
			r.OK = r.OK && a.Disk != ""
			return r
		}
		if r.Over = v.highest(a.Keys); a.Ballot.Compare(r.Over) < 0 {
			return r
		}
		v.faults.At(fault.BeforeAccept)
		v.after = append(v.after, fault.AfterAccept)
		r.Yes = true
		for i, k := range a.Keys {
			v.setRecord(k, record{Promised: a.Ballot, Accepted: a.Ballot, Decision: a.Decisions[i]})
		}
		return r
	})
}

// trace looks for items among the newest of the registers.
func (v *Voter) trace(ctx context.Context, _ link.Who, a TraceAsk) (TraceTold, error) {
	return get(ctx, v, func() (r TraceTold) {
		if r.Told = v.told(a.Mark); !r.OK {
			return r
		}
		for _, x := range a.Items {
			held := v.records[x.Key].Decision
			r.Found = r.Found || held.Decided() && held.Item.Version == x.Version && held.Item.Digest() == x.Digest
		}
		return r
	})
}

// setRecord keeps a record; the batch's sync makes it last. An accepted item that a merge
// item overtook is not needed any more: the later one was decided by a higher ballot, and
// every majority has a voter that accepted that or a later one. It gives way here, so that no
// body is held twice.
func (v *Voter) setRecord(k item.Key, r record) {
	merged := false
	if known, ok := v.merged[k]; ok && (!r.Decision.Decided() || known.Version >= r.Decision.Item.Version) {
		r.Decision, merged = r.Decision.under(known), true
	}
	v.records[k] = r
	v.puts = append(v.puts, storage.Put{Key: recordKey(k), Value: packRecord(r, merged)})
}

// loadRecord notes what the disk holds of one register.
func (v *Voter) loadRecord(key string, b []byte) error {
	r, k, merged, err := unpackRecord(key, b)
	if err != nil {
		return err
	}
	v.records[k] = r
	if merged {
		v.bodiless = append(v.bodiless, k)
	}
	return nil
}

// completeRecords gives loaded records the bodies that stand with the merge items.
func (v *Voter) completeRecords() error {
	for _, k := range v.bodiless {
		r := v.records[k]
		known, ok := v.merged[k]
		if !ok || known.Version < r.Decision.Item.Version {
			return steperr.New("load record", "", "the item %q of version %d is missing", k.Name, r.Decision.Item.Version)
		}
		r.Decision = r.Decision.under(known)
		v.records[k] = r
	}
	v.bodiless = nil
	return nil
}

// listRecords lists item registers for a seat that joins; like list, also from a voter
// that was swapped out.
func (v *Voter) listRecords(ctx context.Context, _ link.Who, a RecordsAsk) (RecordsTold, error) {
	return get(ctx, v, func() (r RecordsTold) {
		if r.Told = v.told(a.Mark); !r.OK && a.Epoch != v.core.Epoch {
			return r
		}
		r.OK = true
		size := 0
		for _, k := range keysAfter(maps.Keys(v.records), a.After) {
			held := v.records[k]
			told := KeyedRecord{Key: k, Promised: held.Promised, Accepted: held.Accepted, Decision: held.Decision, Bodiless: v.settled(held.Decision)}
			if told.Bodiless {
				told.Decision.Item.Body = nil
			}
			size += len(k.Name) + len(told.Decision.Item.Body) + 32*len(held.Decision.Past) + 128
			if len(r.Records) > 0 && size > listPage {
				r.More = true
				return r
			}
			r.Records = append(r.Records, told)
		}
		return r
	})
}

// keysAfter are the keys past after, in order.
func keysAfter(keys func(func(item.Key) bool), after item.Key) []item.Key {
	out := make([]item.Key, 0, 64)
	for k := range keys {
		if compareKeys(k, after) > 0 {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func compareKeys(a, b item.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
