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

// maxRequestKeys bounds the number of items in one request to the item registers.
const maxRequestKeys = 1 << 16

type (
	// OfferAsk requests a promise for the registers of several items at once.
	OfferAsk struct {
		Mark
		Ballot Ballot
		Keys   []item.Key
	}
	// OfferTold is the response to OfferAsk. If Yes is set, all registers have promised the ballot,
	// the promises are synced, and Held lists the registers in the order of the keys. Over is the
	// highest ballot seen.
	OfferTold struct {
		Told
		Yes  bool
		Over Ballot
		Held []HeldDecision
	}
	// HeldDecision is a voter's state of one register. Settled reports that the item is known to
	// be decided, because the voter holds it as a merge item.
	HeldDecision struct {
		Accepted Ballot
		Decision Decision
		Settled  bool
	}
	// DecideAsk requests that decisions be accepted for several items, all or none.
	DecideAsk struct {
		Mark
		Ballot    Ballot
		Keys      []item.Key
		Decisions []Decision // in the order of the keys
	}
	// DecideTold is the response to DecideAsk, sent after a sync. Over is the highest ballot seen.
	DecideTold struct {
		Told
		Yes  bool
		Over Ballot
	}
	// TraceAsk asks whether the voter has accepted any of some items as the newest.
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
	// TraceTold is the response to TraceAsk.
	TraceTold struct {
		Told
		Found bool
	}
	// RecordsAsk requests the item registers with keys greater than After, for a joining seat.
	RecordsAsk struct {
		Mark
		After item.Key
	}
	// RecordsTold is the response to RecordsAsk; More reports that the list was truncated.
	RecordsTold struct {
		Told
		Records []KeyedRecord
		More    bool
	}
	// KeyedRecord is one listed item register. Bodiless reports that the body of the decision's
	// item is omitted: the voter's merge item of the same key has it, or is newer.
	KeyedRecord struct {
		Key      item.Key
		Promised Ballot
		Accepted Ballot
		Decision Decision
		Bodiless bool
	}
)

// checkKeys validates the number of keys in a request, their kinds and the lengths of their names.
func (v *Voter) checkKeys(step string, keys []item.Key) error {
	if len(keys) > maxRequestKeys {
		return steperr.New(step, v.self.ID, "%d items, limit %d", len(keys), maxRequestKeys)
	}
	for _, k := range keys {
		if len(k.Name) > maxMergeNameBytes || k.Kind == 0 {
			return steperr.New(step, v.self.ID, "item %.40q, name of %d bytes; limit %d", k.Name, len(k.Name), maxMergeNameBytes)
		}
	}
	return nil
}

// highestBallot returns the highest ballot promised or accepted by the registers of keys.
func (v *Voter) highestBallot(keys []item.Key) (over Ballot) {
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

// offer promises a ballot for all requested registers, or for none.
func (v *Voter) offer(ctx context.Context, _ link.Identity, req OfferAsk) (r OfferTold, err error) {
	if err := v.checkKeys("offer", req.Keys); err != nil {
		return r, err
	}
	return doResult(ctx, v, func() (r OfferTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK {
			return r
		}
		if r.Over = v.highestBallot(req.Keys); req.Ballot.Compare(r.Over) <= 0 {
			return r
		}
		v.faults.Hit(fault.BeforePromise)
		v.faultsAfterSync = append(v.faultsAfterSync, fault.AfterPromise)
		r.Yes = true
		for _, k := range req.Keys {
			held := v.records[k]
			held.Promised = req.Ballot
			v.setRecord(k, held)
			held = v.records[k]
			r.Held = append(r.Held, HeldDecision{held.Accepted, held.Decision, v.isSettled(held.Decision)})
		}
		return r
	})
}

// isSettled reports whether a decision's item is known to be decided.
func (v *Voter) isSettled(d Decision) bool {
	known, ok := v.mergeItems[d.Item.Key]
	return ok && d.Decided() && known.Version == d.Item.Version
}

// decide accepts decisions for all requested registers, or for none.
func (v *Voter) decide(ctx context.Context, _ link.Identity, req DecideAsk) (r DecideTold, err error) {
	if err := v.checkKeys("decide", req.Keys); err != nil {
		return r, err
	}
	if len(req.Decisions) != len(req.Keys) {
		return r, steperr.New("decide", v.self.ID, "%d decisions for %d items", len(req.Decisions), len(req.Keys))
	}
	for i, d := range req.Decisions {
		if err := checkMergeItem(d.Item); err != nil {
			return r, err
		}
		if d.Decided() && d.Item.Key != req.Keys[i] || len(d.Past) > maxPastVersions {
			return r, steperr.New("decide", v.self.ID, "decision for a different item, or with %d earlier versions", len(d.Past))
		}
	}
	return doResult(ctx, v, func() (r DecideTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK || req.Disk == "" {
			r.OK = r.OK && req.Disk != ""
			return r
		}
		if r.Over = v.highestBallot(req.Keys); req.Ballot.Compare(r.Over) < 0 {
			return r
		}
		v.faults.Hit(fault.BeforeAccept)
		v.faultsAfterSync = append(v.faultsAfterSync, fault.AfterAccept)
		r.Yes = true
		for i, k := range req.Keys {
			v.setRecord(k, record{Promised: req.Ballot, Accepted: req.Ballot, Decision: req.Decisions[i]})
		}
		return r
	})
}

// trace reports whether any requested item is the newest of its register.
func (v *Voter) trace(ctx context.Context, _ link.Identity, req TraceAsk) (TraceTold, error) {
	return doResult(ctx, v, func() (r TraceTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK {
			return r
		}
		for _, x := range req.Items {
			held := v.records[x.Key].Decision
			r.Found = r.Found || held.Decided() && held.Item.Version == x.Version && held.Item.Digest() == x.Digest
		}
		return r
	})
}

// setRecord stores a record; it is durable after the sync of the batch. An accepted item that
// a merge item supersedes is no longer needed: the later item was decided by a higher ballot, and
// every majority includes a voter that accepted it or a later one. The record then takes the merge
// item, so that no body is stored twice.
func (v *Voter) setRecord(k item.Key, r record) {
	omitBody := false
	if known, ok := v.mergeItems[k]; ok && (!r.Decision.Decided() || known.Version >= r.Decision.Item.Version) {
		r.Decision, omitBody = r.Decision.withDecidedItem(known), true
	}
	v.records[k] = r
	v.puts = append(v.puts, storage.Put{Key: recordDiskKey(k), Value: encodeRecord(r, omitBody)})
}

// loadRecord loads one item register from its disk key and value.
func (v *Voter) loadRecord(key string, b []byte) error {
	r, k, bodyOmitted, err := decodeRecord(key, b)
	if err != nil {
		return err
	}
	v.records[k] = r
	if bodyOmitted {
		v.incompleteRecords = append(v.incompleteRecords, k)
	}
	return nil
}

// completeRecords adds the bodies stored with merge items to the loaded records.
func (v *Voter) completeRecords() error {
	for _, k := range v.incompleteRecords {
		r := v.records[k]
		known, ok := v.mergeItems[k]
		if !ok || known.Version < r.Decision.Item.Version {
			return steperr.New("load record", "", "merge item %q of version %d, which holds the record's body, is missing", k.Name, r.Decision.Item.Version)
		}
		r.Decision = r.Decision.withDecidedItem(known)
		v.records[k] = r
	}
	v.incompleteRecords = nil
	return nil
}

// listRecords lists item registers for a joining seat. Like list, it also serves from a voter
// that has been replaced.
func (v *Voter) listRecords(ctx context.Context, _ link.Identity, req RecordsAsk) (RecordsTold, error) {
	return doResult(ctx, v, func() (r RecordsTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK && req.Epoch != v.core.Epoch {
			return r
		}
		r.OK = true
		size := 0
		for _, k := range keysAfter(maps.Keys(v.records), req.After) {
			held := v.records[k]
			entry := KeyedRecord{Key: k, Promised: held.Promised, Accepted: held.Accepted, Decision: held.Decision, Bodiless: v.isSettled(held.Decision)}
			if entry.Bodiless {
				entry.Decision.Item.Body = nil
			}
			size += len(k.Name) + len(entry.Decision.Item.Body) + 32*len(held.Decision.Past) + 128
			if len(r.Records) > 0 && size > maxPageBytes {
				r.More = true
				return r
			}
			r.Records = append(r.Records, entry)
		}
		return r
	})
}

// keysAfter returns the keys greater than after, sorted.
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
