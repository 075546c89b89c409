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

// ErrPartialConflict says that a call can neither be confirmed nor refused: other content is settled
// for one of its versions, while another item of the same call may be in force. This happens only
// if two calls share some of their names and a third call completed a part of one of them.
var ErrPartialConflict = errors.New("a part of the change is overtaken by a conflicting one, another part may be in force")

// ConflictError says that a version of an item has other content than the given one.
// No item of the call has been or will be in force.
type ConflictError struct {
	Key     item.Key
	Version uint64
}

// Error returns the item's name and version.
func (e ConflictError) Error() string {
	return fmt.Sprintf("%s: version %d has another content", e.Key.Name, e.Version)
}

// itemBallotKey is the key under which a proposer counts its ballots for item registers.
const itemBallotKey = "\x00items"

// Decide settles one content for each item's version and returns the items that are current
// under those names afterwards: the given ones or newer ones. They are settled, but need not
// be held by a majority as merge items yet. If other content of a version is settled, it
// returns a ConflictError, once no item of the call can come into force any more. It retries
// until ctx ends; after any other error it is unknown whether the items are settled.
func (p *Proposer) Decide(ctx context.Context, items []item.Item) ([]item.Item, error) {
	for _, it := range items {
		if err := checkMergeItem(it); err != nil {
			return nil, err
		}
	}
	if len(items) > maxRequestKeys {
		return nil, steperr.New("decide", "", "%d items, limit %d", len(items), maxRequestKeys)
	}
	r := decideCall{Proposer: p, items: items, callDigest: callDigest(items)}
	for _, it := range items {
		r.keys = append(r.keys, it.Key)
	}
	cause := ErrNoQuorum
	for try := 0; ; try++ {
		core := p.Core()
		if core.Epoch == 0 {
			cause = ErrNoCore
		} else if current, err, done := r.runBallot(ctx, core); done {
			return current, err
		}
		if ctx.Err() == nil && p.Core().Epoch > core.Epoch && try < 3 {
			continue
		}
		pause := time.Duration(5+rand.IntN(10<<min(try, 5))) * time.Millisecond
		if ctx.Err() != nil || p.Clock.Sleep(ctx, pause) != nil {
			return nil, steperr.Wrap("decide", "", errors.Join(ErrNoQuorum, cause, ctx.Err()))
		}
	}
}

// decideCall is the state of one call of Decide.
type decideCall struct {
	*Proposer
	items         []item.Item
	keys          []item.Key
	callDigest    string
	highestBallot uint64 // highest ballot number seen
}

// runBallot executes one ballot: promises from a majority, then accepts from a majority. done
// reports whether the outcome of the call is known.
func (r *decideCall) runBallot(ctx context.Context, core Core) (current []item.Item, err error, done bool) {
	ballot := r.nextBallot(itemBallotKey, r.highestBallot)
	held, ok := r.collectPromises(ctx, core, ballot)
	if !ok {
		return nil, nil, false
	}
	decisions := make([]Decision, len(held))
	var conflict error
	settled, ownCurrent := true, false
	for i, h := range held {
		next, outcome := h.Decision.afterOffer(r.items[i], r.callDigest)
		decisions[i] = next
		isCurrent := h.Decision.Decided() && h.Decision.Item.Equal(r.items[i])
		settled, ownCurrent = settled && isCurrent && h.Settled, ownCurrent || isCurrent && h.Decision.Call == r.callDigest
		if outcome == offerConflicting && conflict == nil {
			conflict = ConflictError{r.items[i].Key, r.items[i].Version}
		}
	}
	if conflict != nil {
		// The current decisions are accepted again with this ballot before the call is refused:
		// an item of this call that a minority accepted in an earlier try can't be chosen later.
		decisions = lo.Map(held, func(h HeldDecision, _ int) Decision { return h.Decision })
		settled = false
		if ownCurrent {
			conflict = ErrPartialConflict
		}
	}
	if !settled && !r.acceptDecisions(ctx, core, ballot, decisions) {
		return nil, nil, false
	}
	if conflict != nil {
		return nil, conflict, true
	}
	return lo.Map(decisions, func(d Decision, _ int) item.Item { return d.Item }), nil, true
}

// collectPromises asks for promises and merges, for each register, what a majority holds.
func (r *decideCall) collectPromises(ctx context.Context, core Core, ballot Ballot) ([]HeldDecision, bool) {
	promises := gather(ctx, r.Proposer, core.Seats,
		func(s Seat) any { return OfferAsk{Mark{Epoch: core.Epoch, Disk: s.Disk}, ballot, r.keys} },
		func(t OfferTold) Told { return t.Told },
		func(h []voterReply[OfferTold]) bool {
			return lo.CountBy(h, func(x voterReply[OfferTold]) bool { return x.Reply.Yes }) >= core.QuorumSize()
		})
	merged := make([]HeldDecision, len(r.keys))
	yes := 0
	for _, h := range promises {
		r.highestBallot = max(r.highestBallot, h.Reply.Over.N)
		if !h.Reply.Yes || len(h.Reply.Held) != len(r.keys) {
			continue
		}
		yes++
		for i, x := range h.Reply.Held {
			if x.Accepted.Compare(merged[i].Accepted) > 0 {
				merged[i].Accepted, merged[i].Decision = x.Accepted, x.Decision
			}
		}
	}
	if yes < core.QuorumSize() {
		return nil, false
	}
	// An item known to be settled replaces a decision whose item is not newer.
	for _, h := range promises {
		for i, x := range h.Reply.Held {
			if d := merged[i].Decision; x.Settled && (!d.Decided() || x.Decision.Item.Version >= d.Item.Version) {
				merged[i].Decision, merged[i].Settled = d.withDecidedItem(x.Decision.Item), true
			}
		}
	}
	return merged, true
}

// acceptDecisions asks all seats, including those whose promise was not waited for, to accept
// decisions, and reports whether a majority did.
func (r *decideCall) acceptDecisions(ctx context.Context, core Core, ballot Ballot, decisions []Decision) bool {
	accepted := func(h []voterReply[DecideTold]) int {
		return lo.CountBy(h, func(x voterReply[DecideTold]) bool { return x.Reply.Yes })
	}
	replies := gather(ctx, r.Proposer, core.Seats,
		func(s Seat) any { return DecideAsk{Mark{core.Epoch, s.Disk}, ballot, r.keys, decisions} },
		func(t DecideTold) Told { return t.Told },
		func(h []voterReply[DecideTold]) bool { return accepted(h) >= core.QuorumSize() })
	for _, h := range replies {
		r.highestBallot = max(r.highestBallot, h.Reply.Over.N)
	}
	return accepted(replies) >= core.QuorumSize()
}

// Trace reports whether any voter of a majority holds one of items as the newest of its
// register, be it accepted only or decided. It writes nothing.
func (p *Proposer) Trace(ctx context.Context, items []item.Item) (found bool, err error) {
	core := p.Core()
	if core.Epoch == 0 {
		return false, ErrNoCore
	}
	ask := TraceAsk{Mark: Mark{Epoch: core.Epoch}}
	for _, it := range items {
		ask.Items = append(ask.Items, TracedItem{it.Key, it.Version, it.Digest()})
	}
	replies := gather(ctx, p, core.Seats, func(Seat) any { return ask }, func(t TraceTold) Told { return t.Told }, atLeast[TraceTold](core.QuorumSize()))
	if len(replies) < core.QuorumSize() {
		return false, steperr.Wrap("trace", "", ErrNoQuorum)
	}
	return lo.SomeBy(replies, func(h voterReply[TraceTold]) bool { return h.Reply.Found }), nil
}
