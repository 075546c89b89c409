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

// mergeChunk bounds the bytes of one MergeAsk, well below a frame.
const mergeChunk = 1 << 20

// Merge hands items to all voters and returns nil once a majority of the seats of
// one epoch, each on the disk that the core names, hold copies at least as new of
// all of them, synced. What that is worth stands at Voter.merge. It tries again
// until ctx ends; whether a merge that ended in ErrNoQuorum lasts is not known.
func (p *Proposer) Merge(ctx context.Context, items []item.Item) error {
	_, err := p.MergeOver(ctx, items)
	return err
}

// MergeOver is Merge, and names the items that some voter of that majority does
// not hold as given, for another copy stands there: a newer version, or another
// content of the same version.
func (p *Proposer) MergeOver(ctx context.Context, items []item.Item) (over []item.Key, err error) {
	for _, it := range items {
		if err := checkMergeItem(it); err != nil {
			return nil, err
		}
	}
	for len(items) > 0 {
		n, size := 0, 0
		for n < len(items) {
			if size += len(items[n].Name) + len(items[n].Body) + 32; n > 0 && size > mergeChunk {
				break
			}
			n++
		}
		o, err := p.mergeChunk(ctx, items[:n])
		if err != nil {
			return over, err
		}
		over, items = append(over, o...), items[n:]
	}
	return over, nil
}

func (p *Proposer) mergeChunk(ctx context.Context, items []item.Item) ([]item.Key, error) {
	cause := ErrNoQuorum
	for try := 0; ; try++ {
		core := p.Core()
		if core.Epoch == 0 {
			cause = ErrNoCore
		} else if got := p.mergeRound(ctx, core, items); len(got) >= core.QuorumSize() {
			return mergedOver(items, got), nil
		}
		// A newer core is known by now if that was the reason: ask it at once.
		if ctx.Err() == nil && p.Core().Epoch > core.Epoch && try < 3 {
			continue
		}
		w := time.Duration(5+rand.IntN(10<<min(try, 5))) * time.Millisecond
		if ctx.Err() != nil || p.Clock.Sleep(ctx, w) != nil {
			return nil, steperr.At("merge", "", errors.Join(ErrNoQuorum, cause, ctx.Err()))
		}
	}
}

// mergeRound asks all seats of core once. An answer from a later epoch ends it, for
// the round may have no majority left to wait for.
func (p *Proposer) mergeRound(ctx context.Context, core Core, items []item.Item) []heard[MergeTold] {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	return gather(cx, p, core.Seats,
		func(s Seat) any { return MergeAsk{Mark{core.Epoch, s.Disk}, items} },
		func(r MergeTold) Told {
			if !r.OK && p.Learn(r.Core) {
				stop()
			}
			return r.Told
		},
		atLeast[MergeTold](core.QuorumSize()))
}

func mergedOver(items []item.Item, got []heard[MergeTold]) (keys []item.Key) {
	for _, h := range got {
		for _, i := range h.R.Over {
			if i >= 0 && i < len(items) && !slices.Contains(keys, items[i].Key) {
				keys = append(keys, items[i].Key)
			}
		}
	}
	return keys
}
