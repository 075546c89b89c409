package quorum

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
)

const (
	// seekEvery is the pace while no core is known, and recheckEvery once one is.
	seekEvery    = 150 * time.Millisecond
	recheckEvery = 2 * time.Second
	// helloTime bounds the wait for one seed, so that one that has not started does
	// not hold up the rest.
	helloTime = 500 * time.Millisecond
	// knownFor is how long a disk counts as there after it was heard of.
	knownFor = 5 * time.Second
	// formPatience is how long a first core waits for its full size and for all of
	// its seats, from when all seeds first answered that they know no core.
	formPatience = 3 * time.Second
	// maxKnown bounds the disks kept in mind.
	maxKnown = 256
)

// Bootstrapper finds the core, or takes part in forming the first one (design 4.5).
//
// A first core is formed only if every seed answers that it knows none. The disk
// node with the lowest ID among those heard of proposes Size seats that bear what
// is to be tolerated, or, once all seeds answered so for 3 s, what there is: the seats
// that bear most, and where there are fewer disks, the largest odd number of them. Every seed must consent, with a seat or
// without, with a disk or without: two formations would both need all of them, so
// one at most is ever sealed, however many disk nodes there are and whichever of
// them know each other. Then all seats consent, or after those 3 s a majority of
// them, and it is sealed.
type Bootstrapper struct {
	Seeds []string // inner addresses
	Self  string   // own inner address
	Size  int      // seats of a first core
	// Tolerance is what a first core is to bear, and Attainable the exposure that the zones of the
	// deployment leave at best.
	Tolerance  Tolerance
	Attainable Exposure
	// Later says that this is not the first start of the whole system: this node
	// neither proposes nor consents to a first core.
	Later bool
	Line  link.Line
	Clock clock.Clock
	Prop  *Proposer
	Voter *Voter // nil without a disk
	// Draw draws a number below n, for the seed that is asked first; nil is by chance.
	Draw func(n int) int

	mu    sync.Mutex
	known map[string]knownSeat
	empty time.Time // when all seeds first answered that they know no core
	form  form      // this node's consent, where it has no disk
	turn  int       // the seed to ask next once a core is known
}

type knownSeat struct {
	s  Seat
	at time.Time
}

// Serve teaches d what this node knows of the core.
func (f *Bootstrapper) Serve(d *link.Desk) {
	link.On(d, func(_ context.Context, _ link.Who, a HelloAsk) (CoreTold, error) {
		f.note(a.Seat, 0)
		f.Prop.Learn(a.Core)
		return f.told(a.Epoch), nil
	})
	if f.Voter != nil {
		f.Voter.refuseNewConsent.Store(f.Later)
		return
	}
	link.On(d, func(_ context.Context, _ link.Who, a FormAsk) (FormTold, error) {
		return f.formed(a), nil
	})
}

// formed answers for a seed without a disk. What it consented to it knows only as
// long as it lives; seeds with a disk know longer.
func (f *Bootstrapper) formed(a FormAsk) FormTold {
	known := f.Prop.Core()
	f.mu.Lock()
	defer f.mu.Unlock()
	g, c, ok := f.form.afterRequest(known, a, !f.Later)
	f.form = g
	f.Prop.Learn(c)
	return FormTold{OK: ok, By: g.By, Core: known}
}

// HelloAsk asks what core a node knows; Seat is the asker's disk, if any. Epoch is
// that of the core it knows, and Core that core where the other's is older.
type HelloAsk struct {
	From  string
	Seat  Seat
	Epoch uint64
	Core  Core
}

// note keeps in mind that s was heard of some time ago.
func (f *Bootstrapper) note(s Seat, ago time.Duration) {
	if s.ID == "" || s.Addr == "" || ago >= knownFor {
		return
	}
	at := f.Clock.Now().Add(-ago)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[string]knownSeat{}
	}
	if o, ok := f.known[s.ID]; ok && o.at.After(at) || !ok && len(f.known) >= maxKnown {
		return
	}
	f.known[s.ID] = knownSeat{s, at}
}

// disks lists the disks heard of lately, by ID.
func (f *Bootstrapper) disks() []knownSeat {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []knownSeat
	for id, k := range f.known {
		if now.Sub(k.at) >= knownFor {
			delete(f.known, id)
			continue
		}
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b knownSeat) int { return cmp.Compare(a.s.ID, b.s.ID) })
	return all
}

// told answers one that knows the core of an epoch.
func (f *Bootstrapper) told(epoch uint64) CoreTold {
	c := f.core()
	t := CoreTold{Epoch: c.Epoch, Empty: c.Epoch == 0}
	if c.Epoch > epoch {
		t.Core = c
	}
	if f.Voter != nil {
		t.Seat = f.Voter.Seat()
	}
	if !t.Empty {
		return t
	}
	f.note(t.Seat, 0)
	now := f.Clock.Now()
	for _, k := range f.disks() {
		t.Known, t.Ages = append(t.Known, k.s), append(t.Ages, now.Sub(k.at))
	}
	g := f.consent()
	t.By, t.Form = g.By, g.Core
	return t
}

// consent is the formation that this node consented to.
func (f *Bootstrapper) consent() form {
	if f.Voter != nil {
		by, c := f.Voter.Consent()
		return form{by, c}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.form
}

func (f *Bootstrapper) core() Core {
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
func (f *Bootstrapper) Run(ctx context.Context) {
	for {
		pause := seekEvery
		if f.core().Epoch > 0 {
			pause = recheckEvery
		}
		f.Step(ctx)
		if f.Clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// Step looks for the core once, or, where one is known, for a newer one.
func (f *Bootstrapper) Step(ctx context.Context) {
	if f.core().Epoch > 0 {
		f.recheck(ctx)
		return
	}
	f.round(ctx)
	if f.core().Epoch > 0 {
		f.settle(ctx)
	}
}

// settle has a voter that consented to the core take it.
func (f *Bootstrapper) settle(ctx context.Context) {
	if f.Voter != nil && f.Voter.Core().Epoch == 0 {
		_ = f.Voter.Adopt(ctx, f.core())
	}
}

// recheck asks one seed whether it knows a newer core: the next in turn that
// answers. A seed that knows an older one is told.
func (f *Bootstrapper) recheck(ctx context.Context) {
	f.settle(ctx)
	if f.turn == 0 {
		// Nodes that start together do not all ask the same seed.
		draw := f.Draw
		if draw == nil {
			draw = rand.IntN
		}
		f.turn = draw(len(f.Seeds) + 1)
	}
	for range f.Seeds {
		f.turn++
		a := f.Seeds[f.turn%len(f.Seeds)]
		if a == f.Self {
			continue
		}
		if t, err := f.hello(ctx, a); err == nil {
			if own := f.core(); t.Epoch < own.Epoch {
				cx, end := context.WithTimeout(ctx, helloTime)
				defer end()
				_, _ = link.Ask[CoreTold](cx, f.Line, a, HelloAsk{From: f.Self, Epoch: own.Epoch, Core: own})
			}
			return
		}
	}
}

// hello asks one seed, or this node itself.
func (f *Bootstrapper) hello(ctx context.Context, a string) (CoreTold, error) {
	if a == f.Self {
		return f.told(0), nil
	}
	cx, end := context.WithTimeout(ctx, helloTime)
	defer end()
	ask := HelloAsk{From: f.Self, Epoch: f.core().Epoch}
	if f.Voter != nil {
		ask.Seat = f.Voter.Seat()
	}
	t, err := link.Ask[CoreTold](cx, f.Line, a, ask)
	if err == nil {
		f.Prop.Learn(t.Core)
	}
	return t, err
}

// round asks all seeds, and forms a first core if that is this node's to do.
func (f *Bootstrapper) round(ctx context.Context) {
	if f.Voter != nil {
		f.note(f.Voter.Seat(), 0)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered, empty := 0, 0
	var forms []form
	for _, a := range f.Seeds {
		wg.Go(func() {
			t, err := f.hello(ctx, a)
			if err != nil {
				return
			}
			f.note(t.Seat, 0)
			for i, s := range t.Known {
				if i < len(t.Ages) {
					f.note(s, t.Ages[i])
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if t.Empty {
				empty++
				forms = append(forms, form{t.By, t.Form})
			}
		})
	}
	wg.Wait()
	if f.core().Epoch > 0 || f.Voter == nil || f.Later || answered < len(f.Seeds) || empty < answered {
		return
	}
	if f.empty.IsZero() {
		f.empty = f.Clock.Now()
	}
	cx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	f.propose(cx, forms)
}
