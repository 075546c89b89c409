package quorum

import (
	"context"
	"slices"
	"sync"

	"walkrudder/internal/link"
)

// propose brings a first core about, if that is this node's to do. forms are what
// the seeds consented to.
func (f *Bootstrapper) propose(ctx context.Context, forms []form) {
	late := f.Clock.Now().Sub(f.empty) >= formPatience
	p, fresh, ok := f.proposal(f.disks(), append(forms, f.consent()), late)
	if !ok {
		return
	}
	a := FormAsk{By: p.By, Core: p.Core}
	me := f.Voter.Seat()
	if fresh {
		// Its own consent comes first, and is kept over a restart: what was once
		// proposed is proposed again and never altered.
		if got, _ := f.tell(ctx, []string{me.Addr}, a); len(got) == 0 {
			return
		}
	}
	seats := make([]string, len(p.Core.Seats))
	for i, s := range p.Core.Seats {
		seats[i] = s.Addr
	}
	both := append(slices.Clone(f.Seeds), seats...)
	slices.Sort(both)
	both = slices.Compact(append(both, me.Addr))
	got, lower := f.tell(ctx, f.Seeds, a)
	if lower {
		// The lower ID goes first. That a seed is bound elsewhere shows that this
		// formation was never sealed, so it may go.
		a.Drop = true
		f.tell(ctx, both, a)
		return
	}
	if len(got) < len(f.Seeds) {
		return
	}
	got, _ = f.tell(ctx, seats, a)
	yes := 0
	for _, s := range p.Core.Seats {
		if slices.Contains(got, s.Disk) {
			yes++
		}
	}
	if yes == len(seats) || late && yes >= p.Core.QuorumSize() {
		// Nobody else can form, so this core stands even if the seal reaches only one
		// of them now. A seat that is not there yet joins later, like any other.
		a.Seal = true
		f.tell(ctx, both, a)
	}
}

// proposal is the formation that this node is to bring about, if any: one under way
// that is its own or whose proposer is gone, else a fresh one if it is the lowest
// disk node. Of several under way the highest proposer's comes first: it is carried
// through, or found to be in the way of a lower one and dropped.
func (f *Bootstrapper) proposal(all []knownSeat, forms []form, late bool) (p form, fresh, ok bool) {
	me := f.Voter.Seat().ID
	lowest := len(all) > 0 && all[0].s.ID == me
	other := false
	for _, g := range forms {
		there := slices.ContainsFunc(all, func(k knownSeat) bool { return k.s.ID == g.By })
		switch {
		case g.By == "":
		case g.By == me || lowest && !there:
			if g.By >= p.By {
				p, ok = g, true
			}
		default:
			other = true
		}
	}
	if ok || other || !lowest {
		return p, false, ok
	}
	n := f.Size
	if len(all) < n {
		if !late {
			return form{}, false, false
		}
		n = len(all) - 1 + len(all)%2
	}
	seats := make([]Seat, len(all))
	for i, k := range all {
		seats[i] = k.s
	}
	chosen := f.Tolerance.Choose(seats, n)
	if !late && !f.Tolerance.Expose(chosen).Within(f.Attainable) {
		return form{}, false, false
	}
	return form{me, Core{Epoch: 1, Seats: chosen}}, true, true
}

// tell asks all of addrs and yields the disks of those that grant; lower says that
// one has consented to a formation by a lower ID.
func (f *Bootstrapper) tell(ctx context.Context, addrs []string, a FormAsk) (disks []string, lower bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range addrs {
		wg.Go(func() {
			r, err := link.Ask[FormTold](ctx, f.Line, s, a)
			if err != nil {
				return
			}
			f.Prop.Learn(r.Core)
			mu.Lock()
			defer mu.Unlock()
			if r.OK {
				disks = append(disks, r.Disk)
			} else if r.Core.Epoch == 0 && r.By != "" && r.By < a.By {
				lower = true
			}
		})
	}
	wg.Wait()
	return disks, lower
}
