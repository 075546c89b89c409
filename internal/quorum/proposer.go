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
	// ErrNoQuorum says that no majority of the voters answered; it is unknown whether
	// a change in progress took effect.
	ErrNoQuorum = errors.New("no majority of the core answers")
	// ErrNoCore says that this process does not know a core yet.
	ErrNoCore = errors.New("no core known yet")
)

// Proposer changes and reads keyed registers, and decides and merges items, through a majority
// of the voters. Every controller has one (design 4.1).
type Proposer struct {
	ID        string
	Transport link.Transport
	Clock     clock.Clock

	mu         sync.Mutex
	core       Core
	lastBallot map[string]uint64 // number of the last ballot used, by key
}

// NewProposer returns a proposer; id must be unique across processes and restarts.
func NewProposer(id string, transport link.Transport, clk clock.Clock) *Proposer {
	return &Proposer{ID: id, Transport: transport, Clock: clk, lastBallot: map[string]uint64{}}
}

// Core returns the newest core known to this proposer.
func (p *Proposer) Core() Core {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core
}

// Learn records c if it is newer than the known core, and reports whether it is.
func (p *Proposer) Learn(c Core) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Epoch > p.core.Epoch {
		p.core = c
		return true
	}
	return false
}

// nextBallot returns a ballot for key above `above` and above all earlier ones of this proposer
// that it remembers.
func (p *Proposer) nextBallot(key string, above uint64) Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Bounds the memory. The voters refuse a ballot that is too low because its predecessor was
	// forgotten, and the next attempt uses a higher one.
	if len(p.lastBallot) > 20000 {
		p.lastBallot = map[string]uint64{}
	}
	n := max(p.lastBallot[key], above) + 1
	p.lastBallot[key] = n
	return Ballot{N: n, By: p.ID}
}

// ErrSuperseded says that a newer core is known than the one an operation is bound to.
var ErrSuperseded = errors.New("a newer core is known")

// Change applies f to the register's chosen value and returns the newly chosen value.
// f gets nil for a register that was never written. If f returns an error, no new value
// is written, and Change returns that error with the value that f got. f may be called
// more than once.
func (p *Proposer) Change(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	it, err := p.change(ctx, key, f, func() (Core, error) { return p.Core(), nil })
	return it.Value, err
}

// ChangeIn is Change restricted to the register of one core; it also returns the ballot
// that chose the value.
func (p *Proposer) ChangeIn(ctx context.Context, core Core, key string, f func([]byte) ([]byte, error)) (Item, error) {
	return p.change(ctx, key, f, func() (Core, error) {
		if p.Core().Epoch != core.Epoch {
			return Core{}, steperr.Wrap("change "+key, "", ErrSuperseded)
		}
		return core, nil
	})
}

// change retries with new ballots, each in the core that currentCore returns.
func (p *Proposer) change(ctx context.Context, key string, f func([]byte) ([]byte, error), currentCore func() (Core, error)) (Item, error) {
	var highest uint64
	for try := 0; ; try++ {
		core, err := currentCore()
		if err != nil {
			return Item{}, err
		}
		it, retry, err := p.attempt(ctx, core, key, &highest, f)
		if !retry {
			return it, err
		}
		if ctx.Err() != nil {
			return Item{}, steperr.Wrap("change "+key, "", errors.Join(ErrNoQuorum, ctx.Err()))
		}
		pause := time.Duration(1+rand.IntN(4<<min(try, 5))) * time.Millisecond
		if p.Clock.Sleep(ctx, pause) != nil {
			return Item{}, steperr.Wrap("change "+key, "", errors.Join(ErrNoQuorum, ctx.Err()))
		}
	}
}

// attempt runs one ballot: promises from a majority, then accepts from a majority.
func (p *Proposer) attempt(ctx context.Context, core Core, key string, highest *uint64, f func([]byte) ([]byte, error)) (it Item, retry bool, err error) {
	if core.Epoch == 0 {
		return Item{}, true, ErrNoCore
	}
	b := p.nextBallot(key, *highest)
	m := Mark{Epoch: core.Epoch}
	countPromises := func(h []voterReply[PrepareTold]) int {
		n := 0
		for _, x := range h {
			if x.Reply.Yes {
				n++
			}
		}
		return n
	}
	promises := gather(ctx, p, core.Seats, func(Seat) any { return PrepareAsk{m, key, b} },
		func(r PrepareTold) Told { return r.Told },
		func(h []voterReply[PrepareTold]) bool { return countPromises(h) >= core.QuorumSize() })
	var best Item
	n := 0
	for _, h := range promises {
		*highest = max(*highest, h.Reply.Item.Promised.N, h.Reply.Item.Accepted.N)
		if !h.Reply.Yes {
			continue
		}
		n++
		if h.Reply.Item.Accepted.Compare(best.Accepted) > 0 {
			best = h.Reply.Item
		}
	}
	if n < core.QuorumSize() {
		return Item{}, true, ErrNoQuorum
	}
	val, err := f(best.Value)
	if err != nil {
		// The value may not be held by a majority yet: complete its write before
		// reporting it to anyone.
		if best.Accepted.IsZero() {
			return Item{}, false, err
		}
		it, again, _ := p.acceptValue(ctx, core, key, b, best.Value)
		if again {
			return Item{}, true, nil
		}
		return it, false, err
	}
	return p.acceptValue(ctx, core, key, b, val)
}

// acceptValue gets a value accepted. It asks all seats, also those whose promise was
// not waited for: a voter that has promised nothing higher may accept, which brings its
// copy up to date.
func (p *Proposer) acceptValue(ctx context.Context, core Core, key string, b Ballot, val []byte) (Item, bool, error) {
	replies := gather(ctx, p, core.Seats, func(s Seat) any { return AcceptAsk{Mark{core.Epoch, s.Disk}, key, b, val} },
		func(r AcceptTold) Told { return r.Told },
		func(h []voterReply[AcceptTold]) bool {
			n := 0
			for _, x := range h {
				if x.Reply.Yes {
					n++
				}
			}
			return n >= core.QuorumSize()
		})
	n := 0
	for _, h := range replies {
		if h.Reply.Yes {
			n++
		}
	}
	if n < core.QuorumSize() {
		return Item{}, true, ErrNoQuorum
	}
	return Item{Promised: b, Accepted: b, Value: val}, false, nil
}

// Read returns the register's chosen value: at once if a majority holds the same accepted
// ballot, else after a ballot of its own, which repairs outdated copies (design 4.3).
func (p *Proposer) Read(ctx context.Context, key string) ([]byte, error) {
	it, err := p.ReadIn(ctx, p.Core(), key)
	if errors.Is(err, ErrSuperseded) {
		return p.Change(ctx, key, keepValue)
	}
	return it.Value, err
}

// ReadIn is Read restricted to the register of one core; it also returns the ballot that
// chose the value.
func (p *Proposer) ReadIn(ctx context.Context, core Core, key string) (Item, error) {
	if core.Epoch == 0 {
		return Item{}, ErrNoCore
	}
	replies := gather(ctx, p, core.Seats, func(Seat) any { return ReadAsk{Mark{Epoch: core.Epoch}, key} },
		func(r ReadTold) Told { return r.Told }, atLeast[ReadTold](core.QuorumSize()))
	if len(replies) >= core.QuorumSize() {
		it := replies[0].Reply.Item
		same := true
		for _, h := range replies[1:] {
			same = same && h.Reply.Item.Accepted == it.Accepted
		}
		if same {
			return it, nil
		}
	}
	return p.ChangeIn(ctx, core, key, keepValue)
}

// keepValue returns the value unchanged, for a ballot that only reads.
func keepValue(v []byte) ([]byte, error) {
	if v == nil {
		return nil, errNeverWritten
	}
	return v, nil
}

// errNeverWritten ends the read of a register that was never written.
var errNeverWritten = errors.New("never written")

// IsNeverWritten reports whether err only says that a register was never written.
func IsNeverWritten(err error) bool { return errors.Is(err, errNeverWritten) }
