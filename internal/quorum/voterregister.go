package quorum

import (
	"context"
	"slices"
	"strings"

	"walkrudder/internal/fault"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

func (v *Voter) set(k string, it Item) {
	if _, old := v.items[k]; !old {
		i, _ := slices.BinarySearch(v.keys, k)
		v.keys = slices.Insert(v.keys, i, k)
	}
	v.items[k] = it
	v.puts = append(v.puts, storage.Put{Key: itemPrefix + k, Value: pack(it)})
}

// below tells whether k was folded away for good (design 6.5).
func (v *Voter) below(k string) bool {
	for p, f := range v.floor {
		if strings.HasPrefix(k, p) && k < f {
			return true
		}
	}
	return false
}

func (v *Voter) prepare(ctx context.Context, _ link.Who, a PrepareAsk) (r PrepareTold, err error) {
	return get(ctx, v, func() (r PrepareTold) {
		if r.Told = v.told(a.Mark); !r.OK || len(a.Key) > MaxKey || v.below(a.Key) {
			return r
		}
		it := v.items[a.Key]
		if a.Ballot.Compare(it.Promised) > 0 && a.Ballot.Compare(it.Accepted) > 0 {
			v.faults.At(fault.BeforePromise)
			v.after = append(v.after, fault.AfterPromise)
			it.Promised = a.Ballot
			v.set(a.Key, it)
			r.Yes = true
		}
		r.Item = it
		return r
	})
}

func (v *Voter) accept(ctx context.Context, _ link.Who, a AcceptAsk) (r AcceptTold, err error) {
	if len(a.Value) > MaxValue {
		return r, steperr.New("accept", v.me.ID, "value of %d bytes, limit %d", len(a.Value), MaxValue)
	}
	return get(ctx, v, func() (r AcceptTold) {
		if r.Told = v.told(a.Mark); !r.OK || a.Disk == "" || v.below(a.Key) {
			r.OK = r.OK && a.Disk != ""
			return r
		}
		it := v.items[a.Key]
		if r.Promised = it.Promised; a.Ballot.Compare(it.Promised) >= 0 && a.Ballot.Compare(it.Accepted) >= 0 {
			v.faults.At(fault.BeforeAccept)
			v.after = append(v.after, fault.AfterAccept)
			v.set(a.Key, Item{Promised: a.Ballot, Accepted: a.Ballot, Value: a.Value})
			r.Yes = true
		}
		return r
	})
}

func (v *Voter) read(ctx context.Context, _ link.Who, a ReadAsk) (r ReadTold, err error) {
	return get(ctx, v, func() (r ReadTold) {
		if r.Told = v.told(a.Mark); r.OK {
			r.Item = v.items[a.Key]
		}
		return r
	})
}

func (v *Voter) list(ctx context.Context, _ link.Who, a ListAsk) (r ListTold, err error) {
	return get(ctx, v, func() (r ListTold) {
		r.Told = v.told(a.Mark)
		// A voter that was swapped out still lets its successor pull.
		if !r.OK && !(a.All && a.Epoch == v.core.Epoch) {
			return r
		}
		r.OK = true
		if a.Last {
			r.Entries = v.last(a.Prefix)
			return r
		}
		r.Entries, r.More = v.page(a)
		return r
	})
}

func (v *Voter) last(prefix string) []Entry {
	i, _ := slices.BinarySearch(v.keys, prefix+"\xff")
	for i--; i >= 0 && strings.HasPrefix(v.keys[i], prefix); i-- {
		if it := v.items[v.keys[i]]; !it.Accepted.Zero() {
			return []Entry{{v.keys[i], it}}
		}
	}
	return nil
}

func (v *Voter) page(a ListAsk) (out []Entry, more bool) {
	i, _ := slices.BinarySearch(v.keys, max(a.Prefix, a.After))
	n := 0
	for ; i < len(v.keys) && strings.HasPrefix(v.keys[i], a.Prefix); i++ {
		k := v.keys[i]
		it := v.items[k]
		if k <= a.After || (!a.All && it.Accepted.Zero()) {
			continue
		}
		if n += len(k) + len(it.Value) + 64; len(out) > 0 && (n > listPage || (a.Max > 0 && len(out) >= a.Max)) {
			return out, true
		}
		out = append(out, Entry{k, it})
	}
	return out, false
}

func (v *Voter) lift(ctx context.Context, _ link.Who, a LiftAsk) (r LiftTold, err error) {
	return get(ctx, v, func() (r LiftTold) {
		if r.Told = v.told(a.Mark); !r.OK || a.Prefix == "" || !strings.HasPrefix(a.Floor, a.Prefix) || a.Floor <= v.floor[a.Prefix] {
			return r
		}
		v.floor[a.Prefix] = a.Floor
		v.puts = append(v.puts, storage.Put{Key: floorKey + a.Prefix, Value: []byte(a.Floor)})
		i, _ := slices.BinarySearch(v.keys, a.Prefix)
		j, _ := slices.BinarySearch(v.keys, a.Floor)
		for _, k := range v.keys[i:j] {
			delete(v.items, k)
			v.puts = append(v.puts, storage.Put{Key: itemPrefix + k})
		}
		r.Gone = j - i
		v.keys = slices.Delete(v.keys, i, j)
		return r
	})
}
