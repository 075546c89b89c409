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

// setRegister stores a keyed register; it is durable after the sync of the batch.
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

// prepare promises a ballot that is higher than any that the register has promised or accepted.
func (v *Voter) prepare(ctx context.Context, _ link.Identity, req PrepareAsk) (r PrepareTold, err error) {
	return doResult(ctx, v, func() (r PrepareTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK || len(req.Key) > MaxKeyBytes || v.belowFloor(req.Key) {
			return r
		}
		it := v.registers[req.Key]
		if req.Ballot.Compare(it.Promised) > 0 && req.Ballot.Compare(it.Accepted) > 0 {
			v.faults.Hit(fault.BeforePromise)
			v.faultsAfterSync = append(v.faultsAfterSync, fault.AfterPromise)
			it.Promised = req.Ballot
			v.setRegister(req.Key, it)
			r.Yes = true
		}
		r.Item = it
		return r
	})
}

// accept accepts a value unless the register has promised or accepted a higher ballot.
func (v *Voter) accept(ctx context.Context, _ link.Identity, req AcceptAsk) (r AcceptTold, err error) {
	if len(req.Value) > MaxValueBytes {
		return r, steperr.New("accept", v.self.ID, "value of %d bytes, limit %d", len(req.Value), MaxValueBytes)
	}
	return doResult(ctx, v, func() (r AcceptTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK || req.Disk == "" || v.belowFloor(req.Key) {
			r.OK = r.OK && req.Disk != ""
			return r
		}
		it := v.registers[req.Key]
		if r.Promised = it.Promised; req.Ballot.Compare(it.Promised) >= 0 && req.Ballot.Compare(it.Accepted) >= 0 {
			v.faults.Hit(fault.BeforeAccept)
			v.faultsAfterSync = append(v.faultsAfterSync, fault.AfterAccept)
			v.setRegister(req.Key, Item{Promised: req.Ballot, Accepted: req.Ballot, Value: req.Value})
			r.Yes = true
		}
		return r
	})
}

// read returns the current state of one keyed register.
func (v *Voter) read(ctx context.Context, _ link.Identity, req ReadAsk) (r ReadTold, err error) {
	return doResult(ctx, v, func() (r ReadTold) {
		if r.Told = v.checkMark(req.Mark); r.OK {
			r.Item = v.registers[req.Key]
		}
		return r
	})
}

// list returns one page of the keyed registers, or the last one with an accepted value.
func (v *Voter) list(ctx context.Context, _ link.Identity, req ListAsk) (r ListTold, err error) {
	return doResult(ctx, v, func() (r ListTold) {
		r.Told = v.checkMark(req.Mark)
		// A replaced voter still lets joining seats pull its registers.
		if !r.OK && !(req.All && req.Epoch == v.core.Epoch) {
			return r
		}
		r.OK = true
		if req.Last {
			r.Entries = v.lastEntry(req.Prefix)
			return r
		}
		r.Entries, r.More = v.entryPage(req)
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

// entryPage returns one page of the registers requested; more reports that others follow.
func (v *Voter) entryPage(req ListAsk) (out []Entry, more bool) {
	i, _ := slices.BinarySearch(v.registerKeys, max(req.Prefix, req.After))
	n := 0
	for ; i < len(v.registerKeys) && strings.HasPrefix(v.registerKeys[i], req.Prefix); i++ {
		k := v.registerKeys[i]
		it := v.registers[k]
		if k <= req.After || (!req.All && it.Accepted.IsZero()) {
			continue
		}
		if n += len(k) + len(it.Value) + 64; len(out) > 0 && (n > maxPageBytes || (req.Max > 0 && len(out) >= req.Max)) {
			return out, true
		}
		out = append(out, Entry{k, it})
	}
	return out, false
}

// raiseFloor raises the floor under a prefix and deletes the registers below it.
func (v *Voter) raiseFloor(ctx context.Context, _ link.Identity, req LiftAsk) (r LiftTold, err error) {
	return doResult(ctx, v, func() (r LiftTold) {
		if r.Told = v.checkMark(req.Mark); !r.OK || req.Prefix == "" || !strings.HasPrefix(req.Floor, req.Prefix) || req.Floor <= v.floors[req.Prefix] {
			return r
		}
		v.floors[req.Prefix] = req.Floor
		v.puts = append(v.puts, storage.Put{Key: floorPrefix + req.Prefix, Value: []byte(req.Floor)})
		i, _ := slices.BinarySearch(v.registerKeys, req.Prefix)
		j, _ := slices.BinarySearch(v.registerKeys, req.Floor)
		for _, k := range v.registerKeys[i:j] {
			delete(v.registers, k)
			v.puts = append(v.puts, storage.Put{Key: registerPrefix + k})
		}
		r.Gone = j - i
		v.registerKeys = slices.Delete(v.registerKeys, i, j)
		return r
	})
}
