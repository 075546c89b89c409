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
	// maxMergeName bounds one merge item's name, in bytes.
	maxMergeName = 1024
	// maxMerged bounds how many merge items a voter keeps, dropped ones included.
	maxMerged = 1 << 17
)

type (
	// MergeAsk hands merge items to a voter. Disk in its mark is the seat's
	// incarnation that is meant; it must be given.
	MergeAsk struct {
		Mark
		Items []item.Item
	}
	// MergeTold answers it once all that was new is synced. OK says that the voter
	// holds a copy at least as new of every item; Over are the places in Items of
	// those that do not stand there: a newer version does, or another content of
	// the same version.
	MergeTold struct {
		Told
		Over []int
	}
	// MergedAsk asks for the merge items past After, for a seat that joins.
	MergedAsk struct {
		Mark
		After item.Key
	}
	// MergedTold answers it; More says that the listing was cut.
	MergedTold struct {
		Told
		Items []item.Item
		More  bool
	}
)

// newer tells whether a takes the place of b. Contents are digested only where one
// version has two.
func newer(a, b item.Item) bool {
	if a.Version == b.Version && a.Gone == b.Gone && bytes.Equal(a.Body, b.Body) {
		return false
	}
	return a.Compare(b) > 0
}

// checkMerge bounds one merge item.
func checkMerge(it item.Item) error {
	if len(it.Name) > maxMergeName || len(it.Body) > MaxValue {
		return steperr.New("merge", "", "item %.40q of %d bytes, name of %d; limits %d and %d",
			it.Name, len(it.Body), len(it.Name), MaxValue, maxMergeName)
	}
	return nil
}

// Merged is what the disk held of merge items when the voter was loaded.
func (v *Voter) Merged() []item.Item { return v.start }

// loadMerge notes what the disk holds of one merge item.
func (v *Voter) loadMerge(key string, b []byte) error {
	it, err := unpackMerge(key, b)
	if err != nil {
		return err
	}
	v.merged[it.Key] = it
	v.start = append(v.start, it)
	return nil
}

// take keeps it if it is newer than the copy held; the batch's sync makes it last.
func (v *Voter) take(it item.Item) {
	if old, ok := v.merged[it.Key]; ok && !newer(it, old) {
		return
	}
	v.merged[it.Key] = it
	v.puts = append(v.puts, storage.Put{Key: mergeKey(it.Key), Value: packMerge(it)})
	v.taken = append(v.taken, it)
	if r, ok := v.records[it.Key]; ok {
		v.setRecord(it.Key, r)
	}
}

// merge takes what is newer than the copies held. Why an acknowledged item
// survives: the acknowledgement needs copies at least as new, synced, at Q of the
// N seats of one epoch. A swap seals N-Q+1 seats of that epoch, which then take
// nothing more in it, and any N-Q+1 seats meet any Q: one of the sealed holds the
// item. The joiner pulls from all of them before it votes. One holder at most has
// left and the joiner is one, so Q seats of the next epoch hold it. A seat that was
// given but has not joined holds nothing, but neither can it be sealed: each such
// seat takes one from both counts.
func (v *Voter) merge(ctx context.Context, _ link.Who, a MergeAsk) (r MergeTold, err error) {
	for _, it := range a.Items {
		if err := checkMerge(it); err != nil {
			return r, err
		}
	}
	var full error
	r, err = get(ctx, v, func() (r MergeTold) {
		if r.Told = v.told(a.Mark); !r.OK || a.Disk == "" {
			r.OK = false
			return r
		}
		n := len(v.merged)
		for _, it := range a.Items {
			if _, old := v.merged[it.Key]; !old {
				n++
			}
		}
		if n > maxMerged {
			full = steperr.New("merge", v.me.ID, "more than %d items", maxMerged)
			return r
		}
		for _, it := range a.Items {
			v.take(it)
		}
		for i, it := range a.Items {
			if newer(v.merged[it.Key], it) {
				r.Over = append(r.Over, i)
			}
		}
		return r
	})
	return r, cmp.Or(err, full)
}

// listMerged lists merge items for a seat that joins; like list, also from a voter
// that was swapped out.
func (v *Voter) listMerged(ctx context.Context, _ link.Who, a MergedAsk) (MergedTold, error) {
	return get(ctx, v, func() (r MergedTold) {
		if r.Told = v.told(a.Mark); !r.OK && a.Epoch != v.core.Epoch {
			return r
		}
		r.OK = true
		// Sorted here, for joins are rare and a sorted table would be paid for by
		// every merge.
		keys := keysAfter(maps.Keys(v.merged), a.After)
		n := 0
		for _, k := range keys {
			it := v.merged[k]
			if n += len(k.Name) + len(it.Body) + 32; len(r.Items) > 0 && n > listPage {
				r.More = true
				return r
			}
			r.Items = append(r.Items, it)
		}
		return r
	})
}

// Forget takes merge items off this disk. It is for kinds whose copies lose their worth
// with time; a register's item must not go.
func (v *Voter) Forget(ctx context.Context, keys []item.Key) error {
	return v.do(ctx, func() {
		for _, k := range keys {
			if _, held := v.merged[k]; !held || v.records[k].Decision.Decided() {
				continue
			}
			delete(v.merged, k)
			v.puts = append(v.puts, storage.Put{Key: mergeKey(k)})
		}
	})
}
