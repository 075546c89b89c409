package quorum

import (
	"bytes"
	"cmp"
	"context"
	"maps"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

const (
	// maxMergeNameBytes bounds the name of one merge item.
	maxMergeNameBytes = 1024
	// maxMergeItems bounds the number of merge items per voter, tombstones included.
	maxMergeItems = 1 << 17
)

type (
	// MergeAsk sends merge items to a voter. Disk in its mark is the incarnation of the
	// addressed seat and is required.
	MergeAsk struct {
		Mark
		Items []item.Item
	}
	// MergeTold is the response to MergeAsk, sent once all new items are synced. OK reports that
	// the voter holds a copy of every item that is at least as new. Over lists the indexes in Items
	// of those that the voter holds in a newer version, or in the same version with content that
	// takes precedence.
	MergeTold struct {
		Told
		Over []int
	}
	// MergedAsk requests the merge items with keys greater than After, for a joining seat.
	MergedAsk struct {
		Mark
		After item.Key
	}
	// MergedTold is the response to MergedAsk; More reports that the list was truncated.
	MergedTold struct {
		Told
		Items []item.Item
		More  bool
	}
)

// supersedes reports whether a replaces b. Identical copies return early, so digests are computed
// only if one version has two contents.
func supersedes(a, b item.Item) bool {
	if a.Version == b.Version && a.Gone == b.Gone && bytes.Equal(a.Body, b.Body) {
		return false
	}
	return a.Compare(b) > 0
}

// checkMergeItem validates the sizes of one merge item.
func checkMergeItem(it item.Item) error {
	if len(it.Name) > maxMergeNameBytes || len(it.Body) > MaxValueBytes {
		return steperr.New("merge", "", "item %.40q of %d bytes, name of %d; limits %d and %d",
			it.Name, len(it.Body), len(it.Name), MaxValueBytes, maxMergeNameBytes)
	}
	return nil
}

// LoadedMergeItems returns the merge items that were on the disk when the voter was loaded.
func (v *Voter) LoadedMergeItems() []item.Item { return v.loadedMergeItems }

// loadMergeItem loads one merge item from its disk key and value.
func (v *Voter) loadMergeItem(key string, b []byte) error {
	it, err := decodeMergeItem(key, b)
	if err != nil {
		return err
	}
	v.mergeItems[it.Key] = it
	v.loadedMergeItems = append(v.loadedMergeItems, it)
	return nil
}

// applyMergeItem stores it if it supersedes the copy held; it is durable after the sync of the batch.
func (v *Voter) applyMergeItem(it item.Item) {
	if old, ok := v.mergeItems[it.Key]; ok && !supersedes(it, old) {
		return
	}
	v.mergeItems[it.Key] = it
	v.puts = append(v.puts, storage.Put{Key: mergeDiskKey(it.Key), Value: encodeMergeItem(it)})
	v.newMergeItems = append(v.newMergeItems, it)
	if r, ok := v.records[it.Key]; ok {
		v.setRecord(it.Key, r)
	}
}

// merge stores the items that are newer than the copies held.
//
// An acknowledged item survives the replacement of a seat: the acknowledgement requires synced
// copies, at least as new, at Q of the N seats of one epoch. A reconfiguration seals N-Q+1 seats of
// that epoch, which then store nothing more in it. Any N-Q+1 seats intersect any Q seats, so one
// sealed seat holds the item, and the joining seat pulls from all sealed seats before it votes. At
// most one holder has left and the joining seat replaces it, so Q seats of the next epoch hold the
// item. A seat that was assigned but has not joined holds nothing, but it cannot be sealed either:
// each such seat reduces both counts by one.
func (v *Voter) merge(ctx context.Context, _ link.Identity, req MergeAsk) (r MergeTold, err error) {
	for _, it := range req.Items {
		if err := checkMergeItem(it); err != nil {
			return r, err
		}
	}
	var tooMany error
	r, err = doResult(ctx, v, func() (r MergeTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK || req.Disk == "" {
			r.OK = false
			return r
		}
		n := len(v.mergeItems)
		for _, it := range req.Items {
			if _, old := v.mergeItems[it.Key]; !old {
				n++
			}
		}
		if n > maxMergeItems {
			tooMany = steperr.New("merge", v.self.ID, "more than %d items", maxMergeItems)
			return r
		}
		for _, it := range req.Items {
			v.applyMergeItem(it)
		}
		for i, it := range req.Items {
			if supersedes(v.mergeItems[it.Key], it) {
				r.Over = append(r.Over, i)
			}
		}
		return r
	})
	return r, cmp.Or(err, tooMany)
}

// listMerged lists merge items for a joining seat. Like list, it also serves from a voter that
// has been replaced.
func (v *Voter) listMerged(ctx context.Context, _ link.Identity, req MergedAsk) (MergedTold, error) {
	return doResult(ctx, v, func() (r MergedTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK && req.Epoch != v.core.Epoch {
			return r
		}
		r.OK = true
		// The keys are sorted here because joins are rare and a sorted table would add cost to
		// every merge.
		keys := keysAfter(maps.Keys(v.mergeItems), req.After)
		n := 0
		for _, k := range keys {
			it := v.mergeItems[k]
			if n += len(k.Name) + len(it.Body) + 32; len(r.Items) > 0 && n > maxPageBytes {
				r.More = true
				return r
			}
			r.Items = append(r.Items, it)
		}
		return r
	})
}

// DropMergeItems deletes merge items from this disk. It is for kinds of items whose copies lose
// their value over time; items with a decided register are kept.
func (v *Voter) DropMergeItems(ctx context.Context, keys []item.Key) error {
	return v.do(ctx, func() {
		for _, k := range keys {
			if _, held := v.mergeItems[k]; !held || v.records[k].Decision.Decided() {
				continue
			}
			delete(v.mergeItems, k)
			v.puts = append(v.puts, storage.Put{Key: mergeDiskKey(k)})
		}
	})
}
