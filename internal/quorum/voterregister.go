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

func (v *Voter) setRegister(k string, it Item) {
	if _, old := v.registers[k]; !old {
		i, _ := slices.BinarySearch(v.registerKeys, k)
		v.registerKeys = slices.Insert(v.registerKeys, i, k)
	}
	v.registers[k] = it
	v.puts = append(v.puts, storage.Put{Key: registerPrefix + k, Value: encodeGob(it)})
}

// belowFloor reports whether k lies below a floor and was deleted for good (design 6.5).
func (v *Voter) belowFloor(k string) bool {
	for p, f := range v.floors {
		if strings.HasPrefix(k, p) && k < f {
			return true
		}
	}
	return false
}

func (v *Voter) prepare(ctx context.Context, _ link.Who, a PrepareAsk) (r PrepareTold, err error) {
	return doResult(ctx, v, func() (r PrepareTold) {
		if r.Told = v.checkMark(a.Mark); !r.OK || len(a.Key) > MaxKeyBytes || v.belowFloor(a.Key) {
			return r
		}
		it := v.registers[a.Key]
		if a.Ballot.Compare(it.Promised) > 0 && a.Ballot.Compare(it.Accepted) > 0 {
			v.faults.At(fault.BeforePromise)
			v.faultsAfterSync = append(v.faultsAfterSync, fault.AfterPromise)
			it.Promised = a.Ballot
			v.setRegister(a.Key, it)
			r.Yes = true
		}
		r.Item = it
		return r
	})
}

func (v *Voter) accept(ctx context.Context, _ link.Who, a AcceptAsk) (r AcceptTold, err error) {
	if len(a.Value) > MaxValueBytes {
		return r, steperr.New("accept", v.self.ID, "value of %d bytes, limit %d", len(a.Value), MaxValueBytes)
	}
	return doResult(ctx, v, func() (r AcceptTold) {
		if r.Told = v.checkMark(a.Mark); !r.OK || a.Disk == "" || v.belowFloor(a.Key) {
			r.OK = r.OK && a.Disk != ""
			return r
		}
		it := v.registers[a.Key]
		if r.Promised = it.Promised; a.Ballot.Compare(it.Promised) >= 0 && a.Ballot.Compare(it.Accepted) >= 0 {
			v.faults.At(fault.BeforeAccept)
			v.faultsAfterSync = append(v.faultsAfterSync, fault.AfterAccept)
			v.setRegister(a.Key, Item{Promised: a.Ballot, Accepted: a.Ballot, Value: a.Value})
			r.Yes = true
		}
		return r
	})
}

func (v *Voter) read(ctx context.Context, _ link.Who, a ReadAsk) (r ReadTold, err error) {
	return doResult(ctx, v, func() (r ReadTold) {
		if r.Told = v.checkMark(a.Mark); r.OK {
			r.Item = v.registers[a.Key]
		}
		return r
	})
}

func (v *Voter) list(ctx context.Context, _ link.Who, a ListAsk) (r ListTold, err error) {
	return doResult(ctx, v, func() (r ListTold) {
		r.Told = v.checkMark(a.Mark)
		// A replaced voter still lets joining seats pull its registers.
		if !r.OK && !(a.All && a.Epoch == v.core.Epoch) {
			return r
		}
		r.OK = true
		if a.Last {
			r.Entries = v.lastEntry(a.Prefix)
			return r
		}
		r.Entries, r.More = v.entryPage(a)
		return r
	})
}

// lastEntry returns the last register under prefix that has an accepted value, if any.
func (v *Voter) lastEntry(prefix string) []Entry {
	i, _ := slices.BinarySearch(v.registerKeys, prefix+"\xff")
	for i--; i >= 0 && strings.HasPrefix(v.registerKeys[i], prefix); i-- {
		if it := v.registers[v.registerKeys[i]]; !it.Accepted.IsZero() {
			return []Entry{{v.registerKeys[i], it}}
		}
	}
	return nil
}

// entryPage returns one page of the registers that a asks for; more reports that others follow.
func (v *Voter) entryPage(a ListAsk) (out []Entry, more bool) {
	i, _ := slices.BinarySearch(v.registerKeys, max(a.Prefix, a.After))
	n := 0
	for ; i < len(v.registerKeys) && strings.HasPrefix(v.registerKeys[i], a.Prefix); i++ {
		k := v.registerKeys[i]
		it := v.registers[k]
		if k <= a.After || (!a.All && it.Accepted.IsZero()) {
			continue
		}
		if n += len(k) + len(it.Value) + 64; len(out) > 0 && (n > maxPageBytes || (a.Max > 0 && len(out) >= a.Max)) {
			return out, true
		}
		out = append(out, Entry{k, it})
	}
	return out, false
}

func (v *Voter) raiseFloor(ctx context.Context, _ link.Who, a LiftAsk) (r LiftTold, err error) {
	return doResult(ctx, v, func() (r LiftTold) {
		if r.Told = v.checkMark(a.Mark); !r.OK || a.Prefix == "" || !strings.HasPrefix(a.Floor, a.Prefix) || a.Floor <= v.floors[a.Prefix] {
			return r
		}
		v.floors[a.Prefix] = a.Floor
		v.puts = append(v.puts, storage.Put{Key: floorPrefix + a.Prefix, Value: []byte(a.Floor)})
		i, _ := slices.BinarySearch(v.registerKeys, a.Prefix)
		j, _ := slices.BinarySearch(v.registerKeys, a.Floor)
		for _, k := range v.registerKeys[i:j] {
			delete(v.registers, k)
			v.puts = append(v.puts, storage.Put{Key: registerPrefix + k})
		}
		r.Gone = j - i
		v.registerKeys = slices.Delete(v.registerKeys, i, j)
		return r
	})
}
