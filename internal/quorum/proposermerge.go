package quorum

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
)

// maxMergeBytes bounds the size of one MergeAsk, well below the frame limit.
const maxMergeBytes = 1 << 20

// Merge sends items to all voters and returns nil once a majority of the seats of one
// epoch, each on the disk that the core names, hold synced copies of all of them that are
// at least as new. Voter.merge documents what that guarantees. It retries until ctx ends;
// after ErrNoQuorum it is unknown whether the merge will last.
func (p *Proposer) Merge(ctx context.Context, items []item.Item) error {
	_, err := p.MergeReportingSuperseded(ctx, items)
	return err
}

// MergeReportingSuperseded is Merge and also returns the items that some voter of that
// majority does not hold as given, because it has a newer version, or other content of the
// same version.
func (p *Proposer) MergeReportingSuperseded(ctx context.Context, items []item.Item) (superseded []item.Key, err error) {
	for _, it := range items {
		if err := checkMergeItem(it); err != nil {
			return nil, err
		}
	}
	for len(items) > 0 {
		n, size := 0, 0
		for n < len(items) {
			if size += len(items[n].Name) + len(items[n].Body) + 32; n > 0 && size > maxMergeBytes {
				break
			}
			n++
		}
		o, err := p.mergeChunk(ctx, items[:n])
		if err != nil {
			return superseded, err
		}
		superseded, items = append(superseded, o...), items[n:]
	}
	return superseded, nil
}

func (p *Proposer) mergeChunk(ctx context.Context, items []item.Item) ([]item.Key, error) {
	cause := ErrNoQuorum
	for try := 0; ; try++ {
		core := p.Core()
		if core.Epoch == 0 {
			cause = ErrNoCore
		} else if got := p.mergeRound(ctx, core, items); len(got) >= core.QuorumSize() {
			return supersededKeys(items, got), nil
		}
		// If that failed because of a newer core, the newer core is known by now: ask it at once.
		if ctx.Err() == nil && p.Core().Epoch > core.Epoch && try < 3 {
			continue
		}
		pause := time.Duration(5+rand.IntN(10<<min(try, 5))) * time.Millisecond
		if ctx.Err() != nil || p.Clock.Sleep(ctx, pause) != nil {
			return nil, steperr.Wrap("merge", "", errors.Join(ErrNoQuorum, cause, ctx.Err()))
		}
	}
}

// mergeRound asks all seats of core once. A reply from a later epoch cancels the round,
// since there may be no majority left to wait for.
func (p *Proposer) mergeRound(ctx context.Context, core Core, items []item.Item) []voterReply[MergeTold] {
	roundCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	return gather(roundCtx, p, core.Seats,
		func(s Seat) any { return MergeAsk{Mark{core.Epoch, s.Disk}, items} },
		func(r MergeTold) Told {
			if !r.OK && p.Learn(r.Core) {
				cancel()
			}
			return r.Told
		},
		atLeast[MergeTold](core.QuorumSize()))
}

func supersededKeys(items []item.Item, replies []voterReply[MergeTold]) (keys []item.Key) {
	for _, h := range replies {
		for _, i := range h.Reply.Over {
			if i >= 0 && i < len(items) && !slices.Contains(keys, items[i].Key) {
				keys = append(keys, items[i].Key)
			}
		}
	}
	return keys
}
