package quorum

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

var (
	// ErrNoQuorum says that no majority of the voters answered; whether a change
	// under way took effect is not known.
	ErrNoQuorum = errors.New("no majority of the core answers")
	// ErrNoCore says that no core is known here yet.
	ErrNoCore = errors.New("no core known yet")
)

// Proposer changes and reads items through a majority of the voters. Any controller
// has one (design 4.1).
type Proposer struct {
	By    string
	Line  link.Line
	Clock clock.Clock

	mu   sync.Mutex
	core Core
	last map[string]uint64 // highest ballot number met, by key
}

// NewProposer makes a proposer; by must differ between processes and restarts.
func NewProposer(by string, l link.Line, c clock.Clock) *Proposer {
	return &Proposer{By: by, Line: l, Clock: c, last: map[string]uint64{}}
}

// Core is the newest core this proposer has met.
func (p *Proposer) Core() Core {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core
}

// Learn takes c if it is newer.
func (p *Proposer) Learn(c Core) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Epoch > p.core.Epoch {
		p.core = c
		return true
	}
	return false
}

func (p *Proposer) next(key string, over uint64) Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.last) > 20000 {
		p.last = map[string]uint64{}
	}
	n := max(p.last[key], over) + 1
	p.last[key] = n
	return Ballot{N: n, By: p.By}
}

// ErrSuperseded says that a newer core is known than the one that was to be asked.
var ErrSuperseded = errors.New("a newer core is known")

// Change applies f to the item's chosen value and returns the value that is then
// chosen. f sees nil for an item never written; when it returns an error nothing
// is written and Change hands the error on with the value that f saw. f may run
// more than once.
func (p *Proposer) Change(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	it, err := p.change(ctx, key, f, func() (Core, error) { return p.Core(), nil })
	return it.Value, err
}

// ChangeIn is Change in the register of one core only; it returns the ballot, too, by which
// the value is chosen.
func (p *Proposer) ChangeIn(ctx context.Context, core Core, key string, f func([]byte) ([]byte, error)) (Item, error) {
	return p.change(ctx, key, f, func() (Core, error) {
		if p.Core().Epoch != core.Epoch {
			return Core{}, steperr.At("change "+key, "", ErrSuperseded)
		}
		return core, nil
	})
}

// change tries one ballot after the other, each at the core that of then names.
func (p *Proposer) change(ctx context.Context, key string, f func([]byte) ([]byte, error), of func() (Core, error)) (Item, error) {
	var over uint64
	for try := 0; ; try++ {
		core, err := of()
		if err != nil {
			return Item{}, err
		}
		it, again, err := p.attempt(ctx, core, key, &over, f)
		if !again {
			return it, err
		}
		if ctx.Err() != nil {
			return Item{}, steperr.At("change "+key, "", errors.Join(ErrNoQuorum, ctx.Err()))
		}
		w := time.Duration(1+rand.IntN(4<<min(try, 5))) * time.Millisecond
		if p.Clock.Sleep(ctx, w) != nil {
			return Item{}, steperr.At("change "+key, "", errors.Join(ErrNoQuorum, ctx.Err()))
		}
	}
}

// attempt is one ballot: promises from a majority, then accepts from a majority.
func (p *Proposer) attempt(ctx context.Context, core Core, key string, over *uint64, f func([]byte) ([]byte, error)) (it Item, again bool, err error) {
	if core.Epoch == 0 {
		return Item{}, true, ErrNoCore
	}
	b := p.next(key, *over)
	m := Mark{Epoch: core.Epoch}
	yes := func(h []heard[PrepareTold]) int {
		n := 0
		for _, x := range h {
			if x.R.Yes {
				n++
			}
		}
		return n
	}
	got := gather(ctx, p, core.Seats, func(Seat) any { return PrepareAsk{m, key, b} },
		func(r PrepareTold) Told { return r.Told },
		func(h []heard[PrepareTold]) bool { return yes(h) >= core.QuorumSize() })
	var best Item
	n := 0
	for _, h := range got {
		*over = max(*over, h.R.Item.Promised.N, h.R.Item.Accepted.N)
		if !h.R.Yes {
			continue
		}
		n++
		if h.R.Item.Accepted.Compare(best.Accepted) > 0 {
			best = h.R.Item
		}
	}
	if n < core.QuorumSize() {
		return Item{}, true, ErrNoQuorum
	}
	val, err := f(best.Value)
	if err != nil {
		// The value seen may be one that no majority holds yet: finish it before
		// anybody is told of it.
		if best.Accepted.IsZero() {
			return Item{}, false, err
		}
		it, again, _ := p.finish(ctx, core, key, b, best.Value)
		if again {
			return Item{}, true, nil
		}
		return it, false, err
	}
	return p.finish(ctx, core, key, b, val)
}

// finish has a value accepted. All seats are asked, also those whose promise was
// not waited for: one that has promised nothing higher may accept, and its copy is
// then as new as the others'.
func (p *Proposer) finish(ctx context.Context, core Core, key string, b Ballot, val []byte) (Item, bool, error) {
	acc := gather(ctx, p, core.Seats, func(s Seat) any { return AcceptAsk{Mark{core.Epoch, s.Disk}, key, b, val} },
		func(r AcceptTold) Told { return r.Told },
		func(h []heard[AcceptTold]) bool {
			n := 0
			for _, x := range h {
				if x.R.Yes {
					n++
				}
			}
			return n >= core.QuorumSize()
		})
	n := 0
	for _, h := range acc {
		if h.R.Yes {
			n++
		}
	}
	if n < core.QuorumSize() {
		return Item{}, true, ErrNoQuorum
	}
	return Item{Promised: b, Accepted: b, Value: val}, false, nil
}

// Read tells the item's chosen value: at once when a majority holds the same
// accepted ballot, else by a ballot of its own, which mends the old copies
// (design 4.3).
func (p *Proposer) Read(ctx context.Context, key string) ([]byte, error) {
	it, err := p.ReadIn(ctx, p.Core(), key)
	if errors.Is(err, ErrSuperseded) {
		return p.Change(ctx, key, unchanged)
	}
	return it.Value, err
}

// ReadIn is Read in the register of one core only; it returns the ballot, too, by which the value
// is chosen.
func (p *Proposer) ReadIn(ctx context.Context, core Core, key string) (Item, error) {
	if core.Epoch == 0 {
		return Item{}, ErrNoCore
	}
	got := gather(ctx, p, core.Seats, func(Seat) any { return ReadAsk{Mark{Epoch: core.Epoch}, key} },
		func(r ReadTold) Told { return r.Told }, atLeast[ReadTold](core.QuorumSize()))
	if len(got) >= core.QuorumSize() {
		it := got[0].R.Item
		same := true
		for _, h := range got[1:] {
			same = same && h.R.Item.Accepted == it.Accepted
		}
		if same {
			return it, nil
		}
	}
	return p.ChangeIn(ctx, core, key, unchanged)
}

// unchanged keeps a value as it is.
func unchanged(v []byte) ([]byte, error) {
	if v == nil {
		return nil, errNothing
	}
	return v, nil
}

// errNothing ends a read of an item that was never written.
var errNothing = errors.New("never written")

// Nothing tells whether err only says that an item was never written.
func Nothing(err error) bool { return errors.Is(err, errNothing) }
