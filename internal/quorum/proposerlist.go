package quorum

import (
	"context"
	"fmt"
	"slices"

	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

// Last tells the last written key under prefix and its chosen value, "" if none.
func (p *Proposer) Last(ctx context.Context, prefix string) (string, []byte, error) {
	core := p.Core()
	if core.Epoch == 0 {
		return "", nil, ErrNoCore
	}
	got := gather(ctx, p, core.Seats, func(Seat) any { return ListAsk{Mark: Mark{Epoch: core.Epoch}, Prefix: prefix, Last: true} },
		func(r ListTold) Told { return r.Told }, atLeast[ListTold](core.QuorumSize()))
	if len(got) < core.QuorumSize() {
		return "", nil, steperr.At("last "+prefix, "", ErrNoQuorum)
	}
	var top Entry
	n := 0
	for _, h := range got {
		for _, e := range h.R.Entries {
			if e.Key > top.Key {
				top, n = e, 0
			}
			if e.Key == top.Key && e.Item.Accepted == top.Item.Accepted {
				n++
			}
		}
	}
	if top.Key == "" || n >= core.QuorumSize() {
		return top.Key, top.Item.Value, nil
	}
	v, err := p.Read(ctx, top.Key)
	return top.Key, v, err
}

// List yields all chosen items under prefix past after, in order. An item that
// only a minority holds is finished first, and so mended.
func (p *Proposer) List(ctx context.Context, prefix, after string, yield func(key string, val []byte) error) error {
	for {
		core := p.Core()
		if core.Epoch == 0 {
			return ErrNoCore
		}
		got := gather(ctx, p, core.Seats, func(Seat) any {
			return ListAsk{Mark: Mark{Epoch: core.Epoch}, Prefix: prefix, After: after, Max: 2000}
		}, func(r ListTold) Told { return r.Told }, atLeast[ListTold](core.QuorumSize()))
		if len(got) < core.QuorumSize() {
			return steperr.At("list "+prefix, "", ErrNoQuorum)
		}
		to, more := until(got)
		type held struct {
			it Item
			n  int
		}
		by := map[string]*held{}
		var keys []string
		for _, h := range got {
			for _, e := range h.R.Entries {
				if more && e.Key > to {
					break
				}
				x := by[e.Key]
				if x == nil {
					x = &held{}
					by[e.Key] = x
					keys = append(keys, e.Key)
				}
				switch c := e.Item.Accepted.Compare(x.it.Accepted); {
				case c > 0:
					x.it, x.n = e.Item, 1
				case c == 0:
					x.n++
				}
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			v := by[k].it.Value
			if by[k].n < core.QuorumSize() {
				w, err := p.Read(ctx, k)
				if Nothing(err) {
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
		after = to
	}
}

// until is the key up to which every listing is complete.
func until(got []heard[ListTold]) (to string, more bool) {
	for _, h := range got {
		if !h.R.More || len(h.R.Entries) == 0 {
			continue
		}
		if k := h.R.Entries[len(h.R.Entries)-1].Key; !more || k < to {
			to, more = k, true
		}
	}
	return to, more
}

// Lift lets the voters drop the items under prefix that are below floor.
func (p *Proposer) Lift(ctx context.Context, prefix, floor string) error {
	core := p.Core()
	got := gather(ctx, p, core.Seats, func(Seat) any { return LiftAsk{Mark{Epoch: core.Epoch}, prefix, floor} },
		func(r LiftTold) Told { return r.Told }, atLeast[LiftTold](len(core.Seats)))
	if len(got) < core.QuorumSize() {
		return steperr.At("lift "+prefix, "", fmt.Errorf("%w: %d of %d", ErrNoQuorum, len(got), len(core.Seats)))
	}
	return nil
}

// Mend looks through all items at all voters that answer and runs a ballot for
// each that some voter holds an older copy of. It tells how many.
func (p *Proposer) Mend(ctx context.Context) (int, error) {
	core := p.Core()
	if core.Epoch == 0 {
		return 0, ErrNoCore
	}
	held := map[string]map[string]Ballot{}
	top := map[string]Ballot{}
	for _, s := range core.Seats {
		at := map[string]Ballot{}
		after := ""
		for {
			t, err := link.Ask[ListTold](ctx, p.Line, s.Addr, ListAsk{Mark: Mark{Epoch: core.Epoch}, After: after})
			if err != nil || !t.OK || t.Disk != s.Disk {
				at = nil
				break
			}
			for _, e := range t.Entries {
				at[e.Key], after = e.Item.Accepted, e.Key
				if e.Item.Accepted.Compare(top[e.Key]) > 0 {
					top[e.Key] = e.Item.Accepted
				}
			}
			if !t.More {
				break
			}
		}
		if at != nil {
			held[s.Disk] = at
		}
	}
	n := 0
	for k, b := range top {
		old := false
		for _, at := range held {
			old = old || at[k] != b
		}
		if !old {
			continue
		}
		if _, err := p.Change(ctx, k, func(v []byte) ([]byte, error) {
			if v == nil {
				return nil, errNothing
			}
			return v, nil
		}); err != nil && !Nothing(err) {
			return n, err
		}
		n++
	}
	return n, nil
}
