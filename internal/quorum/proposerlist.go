package quorum

import (
	"context"
	"fmt"
	"slices"

	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

// Last returns the highest written key under prefix and its chosen value; the key is "" if there
// is none.
func (p *Proposer) Last(ctx context.Context, prefix string) (string, []byte, error) {
	core := p.Core()
	if core.Epoch == 0 {
		return "", nil, ErrNoCore
	}
	replies := gather(ctx, p, core.Seats, func(Seat) any { return ListAsk{Mark: Mark{Epoch: core.Epoch}, Prefix: prefix, Last: true} },
		func(r ListTold) Told { return r.Told }, atLeast[ListTold](core.QuorumSize()))
	if len(replies) < core.QuorumSize() {
		return "", nil, steperr.Wrap("last "+prefix, "", ErrNoQuorum)
	}
	var last Entry
	n := 0
	for _, h := range replies {
		for _, e := range h.Reply.Entries {
			if e.Key > last.Key {
				last, n = e, 0
			}
			if e.Key == last.Key && e.Item.Accepted == last.Item.Accepted {
				n++
			}
		}
	}
	if last.Key == "" || n >= core.QuorumSize() {
		return last.Key, last.Item.Value, nil
	}
	v, err := p.Read(ctx, last.Key)
	return last.Key, v, err
}

// List yields the keys and chosen values of all registers under prefix with keys after `after`, in
// order. The write of a value that only a minority holds is completed first, which also repairs
// its copies.
func (p *Proposer) List(ctx context.Context, prefix, after string, yield func(key string, val []byte) error) error {
	for {
		core := p.Core()
		if core.Epoch == 0 {
			return ErrNoCore
		}
		replies := gather(ctx, p, core.Seats, func(Seat) any {
			return ListAsk{Mark: Mark{Epoch: core.Epoch}, Prefix: prefix, After: after, Max: 2000}
		}, func(r ListTold) Told { return r.Told }, atLeast[ListTold](core.QuorumSize()))
		if len(replies) < core.QuorumSize() {
			return steperr.Wrap("list "+prefix, "", ErrNoQuorum)
		}
		upTo, more := completeUpTo(replies)
		type held struct {
			it     Item
			copies int
		}
		newest := map[string]*held{}
		var keys []string
		for _, h := range replies {
			for _, e := range h.Reply.Entries {
				if more && e.Key > upTo {
					break
				}
				x := newest[e.Key]
				if x == nil {
					x = &held{}
					newest[e.Key] = x
					keys = append(keys, e.Key)
				}
				switch c := e.Item.Accepted.Compare(x.it.Accepted); {
				case c > 0:
					x.it, x.copies = e.Item, 1
				case c == 0:
					x.copies++
				}
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			v := newest[k].it.Value
			if newest[k].copies < core.QuorumSize() {
				w, err := p.Read(ctx, k)
				if IsNeverWritten(err) {
					continue
				}
				if err != nil {
					return err
				}
				v = w
			}
			if err := yield(k, v); err != nil {
				return err
			}
		}
		if !more {
			return nil
		}
		after = upTo
	}
}

// completeUpTo returns the key up to which every listing is complete; more reports whether any of
// them is truncated.
func completeUpTo(replies []voterReply[ListTold]) (to string, more bool) {
	for _, h := range replies {
		if !h.Reply.More || len(h.Reply.Entries) == 0 {
			continue
		}
		if k := h.Reply.Entries[len(h.Reply.Entries)-1].Key; !more || k < to {
			to, more = k, true
		}
	}
	return to, more
}

// DropBelow makes the voters delete the registers under prefix whose keys are below floor. No
// register can be written there any more.
func (p *Proposer) DropBelow(ctx context.Context, prefix, floor string) error {
	core := p.Core()
	replies := gather(ctx, p, core.Seats, func(Seat) any { return LiftAsk{Mark{Epoch: core.Epoch}, prefix, floor} },
		func(r LiftTold) Told { return r.Told }, atLeast[LiftTold](len(core.Seats)))
	if len(replies) < core.QuorumSize() {
		return steperr.Wrap("lift "+prefix, "", fmt.Errorf("%w: %d of %d", ErrNoQuorum, len(replies), len(core.Seats)))
	}
	return nil
}

// RepairCopies compares all registers at all voters that answer, runs a ballot for each register
// of which some voter holds an outdated copy, and returns the number of such registers.
func (p *Proposer) RepairCopies(ctx context.Context) (int, error) {
	core := p.Core()
	if core.Epoch == 0 {
		return 0, ErrNoCore
	}
	acceptedByDisk := map[string]map[string]Ballot{}
	newest := map[string]Ballot{}
	for _, s := range core.Seats {
		accepted := map[string]Ballot{}
		after := ""
		for {
			t, err := link.Call[ListTold](ctx, p.Transport, s.Addr, ListAsk{Mark: Mark{Epoch: core.Epoch}, After: after})
			if err != nil || !t.OK || t.Disk != s.Disk {
				accepted = nil
				break
			}
			for _, e := range t.Entries {
				accepted[e.Key], after = e.Item.Accepted, e.Key
				if e.Item.Accepted.Compare(newest[e.Key]) > 0 {
					newest[e.Key] = e.Item.Accepted
				}
			}
			if !t.More {
				break
			}
		}
		if accepted != nil {
			acceptedByDisk[s.Disk] = accepted
		}
	}
	n := 0
	for k, b := range newest {
		outdated := false
		for _, accepted := range acceptedByDisk {
			outdated = outdated || accepted[k] != b
		}
		if !outdated {
			continue
		}
		if _, err := p.Change(ctx, k, func(v []byte) ([]byte, error) {
			if v == nil {
				return nil, errNeverWritten
			}
			return v, nil
		}); err != nil && !IsNeverWritten(err) {
			return n, err
		}
		n++
	}
	return n, nil
}
