package watch

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

// followState is how far a follower has heard one controller out. Its owner alone uses it; a copy
// may be polled from beside it, for what is heard twice merges to the same.
type followState struct {
	addr       string
	inc        uint64
	cursor     Cursor
	sums       []uint64 // while not all was told yet
	controller Member   // as it introduced itself
}

// poller asks controllers for news and merges them.
type poller struct {
	me      func() Member
	line    link.Line
	replica *Replica
	// epoch is of the newest core known here.
	epoch func() uint64
	// told, where set, is locked from before an answer is merged on, and left so for the
	// caller: what one poll merged is passed on before another says that all was told.
	deliveryMu sync.Locker
}

// poll asks once; the news are merged when it returns. items and runs are those that
// were news here.
func (p *poller) poll(ctx context.Context, state *followState, wait time.Duration) (t WatchTold, items []item.Item, runs []target.Run, err error) {
	me := p.me()
	for range 3 {
		a := WatchAsk{Me: Member{ID: me.ID, Inc: me.Inc}, Inc: state.inc, Seen: state.cursor, Epoch: p.epoch(), Wait: wait}
		if state.inc == 0 || state.sums != nil {
			if state.sums == nil {
				state.sums = p.replica.Sums()
			}
			a.Me, a.Sums = me, state.sums
		}
		if t, err = link.Ask[WatchTold](ctx, p.line, state.addr, a); err != nil {
			return t, nil, nil, err
		}
		if t.Anew {
			// Another life answers, or one that has forgotten this node.
			if t.Inc != state.inc {
				state.inc = 0
			}
			state.sums = p.replica.Sums()
			continue
		}
		if err = t.unpack(); err != nil {
			return t, nil, nil, err
		}
		if p.deliveryMu != nil {
			p.deliveryMu.Lock()
		}
		items, runs = p.replica.MergeItems(t.Items), p.replica.MergeRuns(t.Runs)
		if t.Me.ID != "" {
			state.controller = t.Me
		}
		state.inc, state.cursor = t.Inc, t.Seen
		if !t.More {
			state.sums = nil
		}
		return t, items, runs, nil
	}
	return t, nil, nil, steperr.New("poll", state.addr, "does not take this node's introduction")
}
