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

// place is how far a follower has heard one controller out. Its owner alone uses it; a copy
// may be polled from beside it, for what is heard twice merges to the same.
type place struct {
	addr       string
	inc        uint64
	seen       Cursor
	sums       []uint64 // while not all was told yet
	controller Member   // as it introduced itself
}

// poller asks controllers for news and merges them.
type poller struct {
	me    func() Member
	line  link.Line
	board *Board
	// epoch is of the newest core known here.
	epoch func() uint64
	// told, where set, is locked from before an answer is merged on, and left so for the
	// caller: what one poll merged is passed on before another says that all was told.
	told sync.Locker
}

// poll asks once; the news are merged when it returns. items and runs are those that
// were news here.
func (p *poller) poll(ctx context.Context, at *place, wait time.Duration) (t WatchTold, items []item.Item, runs []target.Run, err error) {
	me := p.me()
	for range 3 {
		a := WatchAsk{Me: Member{ID: me.ID, Inc: me.Inc}, Inc: at.inc, Seen: at.seen, Epoch: p.epoch(), Wait: wait}
		if at.inc == 0 || at.sums != nil {
			if at.sums == nil {
				at.sums = p.board.Sums()
			}
			a.Me, a.Sums = me, at.sums
		}
		if t, err = link.Call[WatchTold](ctx, p.line, at.addr, a); err != nil {
			return t, nil, nil, err
		}
		if t.Anew {
			// Another life answers, or one that has forgotten this node.
			if t.Inc != at.inc {
				at.inc = 0
			}
			at.sums = p.board.Sums()
			continue
		}
		if err = t.unpack(); err != nil {
			return t, nil, nil, err
		}
		if p.told != nil {
			p.told.Lock()
		}
		items, runs = p.board.MergeItems(t.Items), p.board.MergeRuns(t.Runs)
		if t.Me.ID != "" {
			at.controller = t.Me
		}
		at.inc, at.seen = t.Inc, t.Seen
		if !t.More {
			at.sums = nil
		}
		return t, items, runs, nil
	}
	return t, nil, nil, steperr.New("poll", at.addr, "does not take this node's introduction")
}
