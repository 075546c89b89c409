package accord

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/link"
	"walkrudder/internal/pulse"
)

// Former finds the core, or takes part in forming the first one (design 4.5).
type Former struct {
	Seeds []string // inner addresses
	Self  string   // own inner address
	Size  int      // seats of a first core
	Line  link.Line
	Clock pulse.Clock
	Prop  *Proposer
	Voter *Voter // nil without a disk

	mu    sync.Mutex
	known map[string]knownSeat
}

type knownSeat struct {
	s  Seat
	at time.Time
}

// Serve teaches d what this node knows of the core.
func (f *Former) Serve(d *link.Desk) {
	link.On(d, func(_ context.Context, _ link.Who, a HelloAsk) (CoreTold, error) {
		f.note(a.Seat)
		return f.told(), nil
	})
}

// HelloAsk asks what core a node knows; Seat is the asker's disk, if any.
type HelloAsk struct {
	From string
	Seat Seat
}

func (f *Former) note(s Seat) {
	if s.ID == "" || s.Addr == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[string]knownSeat{}
	}
	f.known[s.ID] = knownSeat{s, f.Clock.Now()}
}

func (f *Former) told() CoreTold {
	c := f.core()
	t := CoreTold{Core: c, Empty: c.Epoch == 0}
	if f.Voter != nil {
		t.Seat = f.Voter.Seat()
		f.note(t.Seat)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.known {
		if f.Clock.Now().Sub(k.at) < 5*time.Second {
			t.Known = append(t.Known, k.s)
		}
	}
	return t
}

func (f *Former) core() Core {
	c := f.Prop.Core()
	if f.Voter != nil {
		if v := f.Voter.Core(); v.Epoch > c.Epoch {
			f.Prop.Learn(v)
			c = v
		}
	}
	return c
}

// Run seeks the core until ctx ends: quickly while none is known, then now and
// then, so that a node whose every voter was swapped finds the new ones.
func (f *Former) Run(ctx context.Context) {
	for {
		f.round(ctx)
		d := 2 * time.Second
		if f.core().Epoch == 0 {
			d = 150 * time.Millisecond
		}
		if f.Clock.Sleep(ctx, d) != nil {
			return
		}
	}
}

func (f *Former) round(ctx context.Context) {
	var me Seat
	if f.Voter != nil {
		me = f.Voter.Seat()
		f.note(me)
	}
	cx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered, empty := 0, 0
	for _, a := range f.Seeds {
		wg.Go(func() {
			t := f.told()
			if a != f.Self {
				var err error
				if t, err = link.Ask[CoreTold](cx, f.Line, a, HelloAsk{From: f.Self, Seat: me}); err != nil {
					return
				}
			}
			f.Prop.Learn(t.Core)
			f.note(t.Seat)
			for _, s := range t.Known {
				f.note(s)
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if t.Empty {
				empty++
			}
		})
	}
	wg.Wait()
	c := f.core()
	if f.Voter == nil {
		return
	}
	if c.Epoch > 0 {
		_ = f.Voter.Adopt(cx, c)
		return
	}
	if answered == len(f.Seeds) && empty == answered {
		f.form(cx, me)
	}
}

// form proposes a first core, if this is the disk node with the lowest ID.
func (f *Former) form(ctx context.Context, me Seat) {
	var all []Seat
	f.mu.Lock()
	for _, k := range f.known {
		if f.Clock.Now().Sub(k.at) < 5*time.Second {
			all = append(all, k.s)
		}
	}
	f.mu.Unlock()
	slices.SortFunc(all, func(a, b Seat) int { return cmp.Compare(a.ID, b.ID) })
	if len(all) < f.Size || all[0].ID != me.ID {
		return
	}
	c := Core{Epoch: 1, Seats: spread(all, f.Size)}
	if by, own := f.Voter.Consent(); by == me.ID {
		// What was once proposed from here may be sealed somewhere: it is
		// proposed again and never changed.
		c = own
	}
	yes := f.tell(ctx, c, FormAsk{By: me.ID, Core: c})
	switch {
	case yes == len(c.Seats):
		// All consented: nobody else can form, so this core stands even if the
		// seal reaches only one of them now.
		f.tell(ctx, c, FormAsk{By: me.ID, Core: c, Seal: true})
	case yes < 0:
		f.tell(ctx, c, FormAsk{By: me.ID, Core: c, Drop: true})
	}
}

// tell asks all seats of c and counts consents; it is negative when one of them
// has consented to a formation by a lower ID. Consents bind, so once all were
// given that cannot happen, and dropping is safe.
func (f *Former) tell(ctx context.Context, c Core, a FormAsk) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	yes, bad := 0, false
	for _, s := range c.Seats {
		wg.Go(func() {
			r, err := link.Ask[FormTold](ctx, f.Line, s.Addr, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return
			}
			f.Prop.Learn(r.Core)
			if r.OK {
				yes++
			} else if r.Core.Epoch == 0 && r.By != "" && r.By < a.By {
				bad = true
			}
		})
	}
	wg.Wait()
	if bad {
		return -1
	}
	return yes
}

// spread takes n seats, one from each zone while there are zones left.
func spread(all []Seat, n int) []Seat {
	var out []Seat
	zones := map[string]int{}
	for round := 1; len(out) < n && round <= n; round++ {
		for _, s := range all {
			if len(out) < n && zones[s.Zone] < round && !slices.Contains(out, s) {
				zones[s.Zone]++
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b Seat) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
