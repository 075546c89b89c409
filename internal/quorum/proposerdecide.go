package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
)

// ErrPartly says that a call can neither be confirmed nor refused: another content of one of
// its versions is settled, while another item that came by this very call may be in force. That
// takes two calls that share some names and not others, and a third one that finished a part.
var ErrPartly = errors.New("a part of the change is overtaken by a conflicting one, another part may be in force")

// ConflictError says that a version of an item has another content than the one given.
// Nothing of the call was or will be in force.
type ConflictError struct {
	Key     item.Key
	Version uint64
}

// Error tells the name and the version.
func (e ConflictError) Error() string {
	return fmt.Sprintf("%s: version %d has another content", e.Key.Name, e.Version)
}

// itemBallots is the name under which a proposer counts its ballots for item registers.
const itemBallots = "\x00items"

// Decide has one content settled for each item's version and returns the items that stand
// then under those names: the ones given, or newer ones. They are settled, but no majority
// needs to hold them as merge items yet. Where another content of a version is settled it
// returns a ConflictError, once nothing of the call can come into force any more. It tries
// until ctx ends; what becomes of the items after another error is not known.
func (p *Proposer) Decide(ctx context.Context, items []item.Item) ([]item.Item, error) {
	for _, it := range items {
		if err := checkMergeItem(it); err != nil {
			return nil, err
		}
	}
	if len(items) > maxRequestKeys {
		return nil, steperr.New("decide", "", "%d items, limit %d", len(items), maxRequestKeys)
	}
	r := decideRound{Proposer: p, items: items, call: callDigest(items)}
	for _, it := range items {
		r.keys = append(r.keys, it.Key)
	}
	cause := ErrNoQuorum
	for try := 0; ; try++ {
		core := p.Core()
		if core.Epoch == 0 {
			cause = ErrNoCore
		} else if stands, err, done := r.run(ctx, core); done {
			return stands, err
		}
		if ctx.Err() == nil && p.Core().Epoch > core.Epoch && try < 3 {
			continue
		}
		pause := time.Duration(5+rand.IntN(10<<min(try, 5))) * time.Millisecond
		if ctx.Err() != nil || p.Clock.Sleep(ctx, pause) != nil {
			return nil, steperr.At("decide", "", errors.Join(ErrNoQuorum, cause, ctx.Err()))
		}
	}
}

// decideRound is one call of Decide.
type decideRound struct {
	*Proposer
	items []item.Item
	keys  []item.Key
	call  string
	over  uint64 // the highest number of a ballot met
}

// run is one ballot: promises from a majority, then accepts from a majority. done says that
// the call has its outcome.
func (r *decideRound) run(ctx context.Context, core Core) (stands []item.Item, err error, done bool) {
	ballot := r.next(itemBallots, r.over)
	held, ok := r.offer(ctx, core, ballot)
	if !ok {
		return nil, nil, false
	}
	decisions := make([]Decision, len(held))
	var conflict error
	settled, mine := true, false
	for i, h := range held {
		next, v := h.Decision.afterOffer(r.items[i], r.call)
		decisions[i] = next
		stands := h.Decision.Decided() && h.Decision.Item.Same(r.items[i])
		settled, mine = settled && stands && h.Settled, mine || stands && h.Decision.Call == r.call
		if v == offerConflicting && conflict == nil {
			conflict = ConflictError{r.items[i].Key, r.items[i].Version}
		}
	}
	if conflict != nil {
		// What stands is accepted anew by this ballot before anything is refused: an item of
		// this call that a minority accepted in an earlier try can't come into force then.
		decisions = lo.Map(held, func(h HeldDecision, _ int) Decision { return h.Decision })
		settled = false
		if mine {
			conflict = ErrPartly
		}
	}
	if !settled && !r.decide(ctx, core, ballot, decisions) {
		return nil, nil, false
	}
	if conflict != nil {
		return nil, conflict, true
	}
	return lo.Map(decisions, func(d Decision, _ int) item.Item { return d.Item }), nil, true
}

// offer asks for promises, and joins what a majority holds of each register.
func (r *decideRound) offer(ctx context.Context, core Core, ballot Ballot) ([]HeldDecision, bool) {
	got := gather(ctx, r.Proposer, core.Seats,
		func(s Seat) any { return OfferAsk{Mark{Epoch: core.Epoch, Disk: s.Disk}, ballot, r.keys} },
		func(t OfferTold) Told { return t.Told },
		func(h []heard[OfferTold]) bool {
			return lo.CountBy(h, func(x heard[OfferTold]) bool { return x.R.Yes }) >= core.QuorumSize()
		})
	out := make([]HeldDecision, len(r.keys))
	yes := 0
	for _, h := range got {
		r.over = max(r.over, h.R.Over.N)
		if !h.R.Yes || len(h.R.Held) != len(r.keys) {
			continue
		}
		yes++
		for i, x := range h.R.Held {
			if x.Accepted.Compare(out[i].Accepted) > 0 {
				out[i].Accepted, out[i].Decision = x.Accepted, x.Decision
			}
		}
	}
	if yes < core.QuorumSize() {
		return nil, false
	}
	// An item that is known to be settled stands over one that is no newer.
	for _, h := range got {
		for i, x := range h.R.Held {
			if d := out[i].Decision; x.Settled && (!d.Decided() || x.Decision.Item.Version >= d.Item.Version) {
				out[i].Decision, out[i].Settled = d.withDecidedItem(x.Decision.Item), true
			}
		}
	}
	return out, true
}

// decide asks to accept decisions, and tells whether a majority did. All seats are asked, also
// those whose promise was not waited for.
func (r *decideRound) decide(ctx context.Context, core Core, ballot Ballot, decisions []Decision) bool {
	accepted := func(h []heard[DecideTold]) int {
		return lo.CountBy(h, func(x heard[DecideTold]) bool { return x.R.Yes })
	}
	got := gather(ctx, r.Proposer, core.Seats,
		func(s Seat) any { return DecideAsk{Mark{core.Epoch, s.Disk}, ballot, r.keys, decisions} },
		func(t DecideTold) Told { return t.Told },
		func(h []heard[DecideTold]) bool { return accepted(h) >= core.QuorumSize() })
	for _, h := range got {
		r.over = max(r.over, h.R.Over.N)
	}
	return accepted(got) >= core.QuorumSize()
}

// Trace tells whether any voter of a majority has accepted an item of a call, or holds it.
// It writes nothing.
func (p *Proposer) Trace(ctx context.Context, items []item.Item) (found bool, err error) {
	core := p.Core()
	if core.Epoch == 0 {
		return false, ErrNoCore
	}
	ask := TraceAsk{Mark: Mark{Epoch: core.Epoch}}
	for _, it := range items {
		ask.Items = append(ask.Items, TracedItem{it.Key, it.Version, it.Digest()})
	}
	got := gather(ctx, p, core.Seats, func(Seat) any { return ask }, func(t TraceTold) Told { return t.Told }, atLeast[TraceTold](core.QuorumSize()))
	if len(got) < core.QuorumSize() {
		return false, steperr.At("trace", "", ErrNoQuorum)
	}
	return lo.SomeBy(got, func(h heard[TraceTold]) bool { return h.R.Found }), nil
}
