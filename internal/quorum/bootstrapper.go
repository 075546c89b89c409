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
	// discoveryInterval is the pause between rounds while no core is known,
	// recheckInterval the pause once one is.
	discoveryInterval = 150 * time.Millisecond
	recheckInterval   = 2 * time.Second
	// helloTimeout bounds the wait for one seed, so that a seed that has not started
	// does not delay the others.
	helloTimeout = 500 * time.Millisecond
	// diskExpiry is how long after the last report of it a disk counts as alive.
	diskExpiry = 5 * time.Second
	// formationTimeout is how long the formation of a first core waits for the full
	// size and for all seats, from when all seeds first answered that they know no core.
	formationTimeout = 3 * time.Second
	// maxKnownDisks bounds the size of Bootstrapper.known.
	maxKnownDisks = 256
)

// Bootstrapper discovers the core, or takes part in forming the first one (design 4.5).
//
// A first core is formed only if every seed answers that it knows none. Of the live
// disk nodes, the one with the lowest ID proposes Size seats that satisfy the
// tolerance. Once all seeds have answered so for 3 s, it proposes the best seats
// available; with fewer than Size disks, it takes the largest odd number of them.
// Every seed must consent, whether or not it has a seat or a disk. Two formations
// would both need all seeds, so at most one is ever sealed, however many disk nodes
// there are and whichever of them know each other. The core is sealed once all seats
// have consented, or, after those 3 s, a majority of them.
type Bootstrapper struct {
	Seeds []string // internal addresses
	Self  string   // this node's internal address
	Size  int      // number of seats of a first core
	// Tolerance is the loss that a first core must survive, and Attainable the lowest
	// exposure that the zones of the deployment allow.
	Tolerance  Tolerance
	Attainable Exposure
	// SubsequentStart says that this is not the first start of the whole system: this
	// node neither proposes nor consents to a first core.
	SubsequentStart bool
	Transport       link.Transport
	Clock           clock.Clock
	Proposer        *Proposer
	Voter           *Voter // nil without a disk
	// RandIntN returns a number in [0,n) and selects the first seed to recheck; nil
	// means math/rand.
	RandIntN func(n int) int

	mu          sync.Mutex
	known       map[string]knownSeat
	noCoreSince time.Time // when all seeds first answered that they know no core
	ownConsent  form      // this node's consent, if it has no disk
	lastSeed    int       // index of the seed that was rechecked last; 0 before the first recheck
}

type knownSeat struct {
	seat    Seat
	heardAt time.Time
}

// Serve registers the handlers for bootstrap requests with mux.
func (b *Bootstrapper) Serve(mux *link.Mux) {
	link.Handle(mux, func(_ context.Context, _ link.Identity, a HelloAsk) (CoreTold, error) {
		b.recordDisk(a.Seat, 0)
		b.Proposer.Learn(a.Core)
		return b.answerHello(a.Epoch), nil
	})
	if b.Voter != nil {
		b.Voter.refuseNewConsent.Store(b.SubsequentStart)
		return
	}
	link.Handle(mux, func(_ context.Context, _ link.Identity, a FormAsk) (FormTold, error) {
		return b.handleForm(a), nil
	})
}

// handleForm answers for a seed without a disk. Such a seed loses its consent on a
// restart; seeds with a disk keep it.
func (b *Bootstrapper) handleForm(ask FormAsk) FormTold {
	known := b.Proposer.Core()
	b.mu.Lock()
	defer b.mu.Unlock()
	consent, core, ok := b.ownConsent.afterRequest(known, ask, !b.SubsequentStart)
	b.ownConsent = consent
	b.Proposer.Learn(core)
	return FormTold{OK: ok, By: consent.By, Core: known}
}

// HelloAsk asks a node which core it knows. Seat is the sender's disk, if any, and
// Epoch the epoch of the core that the sender knows. Core is that core if the
// receiver's is older.
type HelloAsk struct {
	From  string
	Seat  Seat
	Epoch uint64
	Core  Core
}

// recordDisk records that s was last reported the given time ago.
func (b *Bootstrapper) recordDisk(s Seat, ago time.Duration) {
	if s.ID == "" || s.Addr == "" || ago >= diskExpiry {
		return
	}
	heardAt := b.Clock.Now().Add(-ago)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = map[string]knownSeat{}
	}
	if previous, ok := b.known[s.ID]; ok && previous.heardAt.After(heardAt) || !ok && len(b.known) >= maxKnownDisks {
		return
	}
	b.known[s.ID] = knownSeat{s, heardAt}
}

// liveDisks lists the disks reported within diskExpiry, sorted by ID.
func (bs *Bootstrapper) liveDisks() []knownSeat {
	now := bs.Clock.Now()
	bs.mu.Lock()
	defer bs.mu.Unlock()
	var all []knownSeat
	for id, k := range bs.known {
		if now.Sub(k.heardAt) >= diskExpiry {
			delete(bs.known, id)
			continue
		}
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b knownSeat) int { return cmp.Compare(a.seat.ID, b.seat.ID) })
	return all
}

// answerHello answers a node that knows the core of the given epoch.
func (b *Bootstrapper) answerHello(epoch uint64) CoreTold {
	c := b.core()
	answer := CoreTold{Epoch: c.Epoch, Empty: c.Epoch == 0}
	if c.Epoch > epoch {
		answer.Core = c
	}
	if b.Voter != nil {
		answer.Seat = b.Voter.Seat()
	}
	if !answer.Empty {
		return answer
	}
	b.recordDisk(answer.Seat, 0)
	now := b.Clock.Now()
	for _, k := range b.liveDisks() {
		answer.Known, answer.Ages = append(answer.Known, k.seat), append(answer.Ages, now.Sub(k.heardAt))
	}
	consent := b.consent()
	answer.By, answer.Form = consent.By, consent.Core
	return answer
}

// consent returns the formation that this node consented to.
func (b *Bootstrapper) consent() form {
	if b.Voter != nil {
		by, c := b.Voter.Consent()
		return form{by, c}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownConsent
}

// core returns the newest core that the proposer or the voter knows. If that is the
// voter's, the proposer learns it.
func (b *Bootstrapper) core() Core {
	c := b.Proposer.Core()
	if b.Voter != nil {
		if v := b.Voter.Core(); v.Epoch > c.Epoch {
			b.Proposer.Learn(v)
			c = v
		}
	}
	return c
}

// Run looks for the core until ctx ends: at short intervals while none is known, then
// at longer ones, so that a node finds the new voters after all voters were replaced.
func (b *Bootstrapper) Run(ctx context.Context) {
	for {
		pause := discoveryInterval
		if b.core().Epoch > 0 {
			pause = recheckInterval
		}
		b.Step(ctx)
		if b.Clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// Step looks for the core once, or for a newer one if a core is known.
func (b *Bootstrapper) Step(ctx context.Context) {
	if b.core().Epoch > 0 {
		b.recheckSeed(ctx)
		return
	}
	b.discoveryRound(ctx)
	if b.core().Epoch > 0 {
		b.adoptCore(ctx)
	}
}

// adoptCore makes a voter that consented to the core adopt it.
func (b *Bootstrapper) adoptCore(ctx context.Context) {
	if b.Voter != nil && b.Voter.Core().Epoch == 0 {
		_ = b.Voter.Adopt(ctx, b.core())
	}
}

// recheckSeed asks one seed for a newer core: the next in round-robin order that
// answers. If the seed's core is older, it is sent this node's core.
func (b *Bootstrapper) recheckSeed(ctx context.Context) {
	b.adoptCore(ctx)
	if b.lastSeed == 0 {
		// Nodes that start together begin at different seeds.
		randIntN := b.RandIntN
		if randIntN == nil {
			randIntN = rand.IntN
		}
		b.lastSeed = randIntN(len(b.Seeds) + 1)
	}
	for range b.Seeds {
		b.lastSeed++
		addr := b.Seeds[b.lastSeed%len(b.Seeds)]
		if addr == b.Self {
			continue
		}
		if answer, err := b.askSeed(ctx, addr); err == nil {
			if own := b.core(); answer.Epoch < own.Epoch {
				helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
				defer cancel()
				_, _ = link.Call[CoreTold](helloCtx, b.Transport, addr, HelloAsk{From: b.Self, Epoch: own.Epoch, Core: own})
			}
			return
		}
	}
}

// askSeed sends a HelloAsk to one seed, or answers it locally if the seed is this node.
func (b *Bootstrapper) askSeed(ctx context.Context, addr string) (CoreTold, error) {
	if addr == b.Self {
		return b.answerHello(0), nil
	}
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	ask := HelloAsk{From: b.Self, Epoch: b.core().Epoch}
	if b.Voter != nil {
		ask.Seat = b.Voter.Seat()
	}
	answer, err := link.Call[CoreTold](helloCtx, b.Transport, addr, ask)
	if err == nil {
		b.Proposer.Learn(answer.Core)
	}
	return answer, err
}

// discoveryRound asks all seeds, and proposes a first core if that is this node's task.
func (b *Bootstrapper) discoveryRound(ctx context.Context) {
	if b.Voter != nil {
		b.recordDisk(b.Voter.Seat(), 0)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered, withoutCore := 0, 0
	var consents []form
	for _, addr := range b.Seeds {
		wg.Go(func() {
			answer, err := b.askSeed(ctx, addr)
			if err != nil {
				return
			}
			b.recordDisk(answer.Seat, 0)
			for i, s := range answer.Known {
				if i < len(answer.Ages) {
					b.recordDisk(s, answer.Ages[i])
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if answer.Empty {
				withoutCore++
				consents = append(consents, form{answer.By, answer.Form})
			}
		})
	}
	wg.Wait()
	if b.core().Epoch > 0 || b.Voter == nil || b.SubsequentStart || answered < len(b.Seeds) || withoutCore < answered {
		return
	}
	if b.noCoreSince.IsZero() {
		b.noCoreSince = b.Clock.Now()
	}
	proposeCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	b.propose(proposeCtx, consents)
}
