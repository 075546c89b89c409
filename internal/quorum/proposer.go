package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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

// askTime bounds the wait for one voter.
const askTime = 1500 * time.Millisecond

// Proposer changes and reads items through a majority of the voters. Any mind
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

// heard is a voter's answer with the seat it came from.
type heard[R any] struct {
	Seat Seat
	R    R
}

// gather asks all seats at once and returns the good answers as soon as enough
// says so, or when all have answered or ctx ends. Asks still under way go on: a
// third copy is written although nobody waits for it. It learns newer cores on
// the way.
func gather[R any](ctx context.Context, p *Proposer, seats []Seat, ask func(Seat) any, told func(R) Told, enough func([]heard[R]) bool) []heard[R] {
	cx, end := context.WithTimeout(context.WithoutCancel(ctx), askTime)
	type back struct {
		h  heard[R]
		ok bool
	}
	ch := make(chan back, len(seats))
	var wg sync.WaitGroup
	for _, s := range seats {
		wg.Go(func() {
			r, err := link.Ask[R](cx, p.Line, s.Addr, ask(s))
			if err != nil {
				ch <- back{}
				return
			}
			t := told(r)
			if !t.OK {
				p.Learn(t.Core)
			}
			ch <- back{heard[R]{s, r}, t.OK && t.Disk == s.Disk}
		})
	}
	go func() {
		wg.Wait()
		end()
	}()
	var got []heard[R]
	for range seats {
		select {
		case b := <-ch:
			if b.ok {
				got = append(got, b.h)
				if enough(got) {
					return got
				}
			}
		case <-ctx.Done():
			return got
		}
	}
	return got
}

func atLeast[R any](n int) func([]heard[R]) bool {
	return func(h []heard[R]) bool { return len(h) >= n }
}

// Change applies f to the item's chosen value and returns the value that is then
// chosen. f sees nil for an item never written; when it returns an error nothing
// is written and Change hands the error on with the value that f saw. f may run
// more than once.
func (p *Proposer) Change(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	var over uint64
	for try := 0; ; try++ {
		v, again, err := p.attempt(ctx, key, &over, f)
		if !again {
			return v, err
		}
		if ctx.Err() != nil {
			return nil, steperr.At("change "+key, "", errors.Join(ErrNoQuorum, ctx.Err()))
		}
		w := time.Duration(1+rand.IntN(4<<min(try, 5))) * time.Millisecond
		if p.Clock.Sleep(ctx, w) != nil {
			return nil, steperr.At("change "+key, "", errors.Join(ErrNoQuorum, ctx.Err()))
		}
	}
}

// attempt is one ballot: promises from a majority, then accepts from a majority.
func (p *Proposer) attempt(ctx context.Context, key string, over *uint64, f func([]byte) ([]byte, error)) (val []byte, again bool, err error) {
	core := p.Core()
	if core.Epoch == 0 {
		return nil, true, ErrNoCore
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
		func(h []heard[PrepareTold]) bool { return yes(h) >= core.Quorum() })
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
	if n < core.Quorum() {
		return nil, true, ErrNoQuorum
	}
	val, err = f(best.Value)
	if err != nil {
		// The value seen may be one that no majority holds yet: finish it before
		// anybody is told of it.
		if best.Accepted.Zero() {
			return nil, false, err
		}
		if _, again, _ := p.finish(ctx, core, key, b, best.Value); again {
			return nil, true, nil
		}
		return best.Value, false, err
	}
	return p.finish(ctx, core, key, b, val)
}

// finish has a value accepted. All seats are asked, also those whose promise was
// not waited for: one that has promised nothing higher may accept, and its copy is
// then as new as the others'.
func (p *Proposer) finish(ctx context.Context, core Core, key string, b Ballot, val []byte) ([]byte, bool, error) {
	acc := gather(ctx, p, core.Seats, func(s Seat) any { return AcceptAsk{Mark{core.Epoch, s.Disk}, key, b, val} },
		func(r AcceptTold) Told { return r.Told },
		func(h []heard[AcceptTold]) bool {
			n := 0
			for _, x := range h {
				if x.R.Yes {
					n++
				}
			}
			return n >= core.Quorum()
		})
	n := 0
	for _, h := range acc {
		if h.R.Yes {
			n++
		}
	}
	if n < core.Quorum() {
		return nil, true, ErrNoQuorum
	}
	return val, false, nil
}

// Read tells the item's chosen value: at once when a majority holds the same
// accepted ballot, else by a ballot of its own, which mends the old copies
// (design 4.3).
func (p *Proposer) Read(ctx context.Context, key string) ([]byte, error) {
	core := p.Core()
	if core.Epoch == 0 {
		return nil, ErrNoCore
	}
	got := gather(ctx, p, core.Seats, func(Seat) any { return ReadAsk{Mark{Epoch: core.Epoch}, key} },
		func(r ReadTold) Told { return r.Told }, atLeast[ReadTold](core.Quorum()))
	if len(got) >= core.Quorum() {
		it := got[0].R.Item
		same := true
		for _, h := range got[1:] {
			same = same && h.R.Item.Accepted == it.Accepted
		}
		if same {
			return it.Value, nil
		}
	}
	return p.Change(ctx, key, func(v []byte) ([]byte, error) {
		if v == nil {
			return nil, errNothing
		}
		return v, nil
	})
}

// errNothing ends a read of an item that was never written.
var errNothing = errors.New("never written")

// Nothing tells whether err only says that an item was never written.
func Nothing(err error) bool { return errors.Is(err, errNothing) }

// Last tells the last written key under prefix and its chosen value, "" if none.
func (p *Proposer) Last(ctx context.Context, prefix string) (string, []byte, error) {
	core := p.Core()
	if core.Epoch == 0 {
		return "", nil, ErrNoCore
	}
	got := gather(ctx, p, core.Seats, func(Seat) any { return ListAsk{Mark: Mark{Epoch: core.Epoch}, Prefix: prefix, Last: true} },
		func(r ListTold) Told { return r.Told }, atLeast[ListTold](core.Quorum()))
	if len(got) < core.Quorum() {
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
	if top.Key == "" || n >= core.Quorum() {
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
		}, func(r ListTold) Told { return r.Told }, atLeast[ListTold](core.Quorum()))
		if len(got) < core.Quorum() {
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
			if by[k].n < core.Quorum() {
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
	if len(got) < core.Quorum() {
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
