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

// followState is how far a follower has received one controller's changes. It is not safe for
// concurrent use. A copy may be used to poll concurrently, because merging a change twice has no
// further effect.
type followState struct {
	addr       string
	inc        uint64
	cursor     Cursor
	sums       []uint64 // set until everything was received once
	controller Member   // from the controller's last introduction
}

// poller requests changes from controllers and merges them.
type poller struct {
	me        func() Member
	transport link.Transport
	replica   *Replica
	// epoch returns the epoch of the newest core known here.
	epoch func() uint64
	// deliveryMu, if set, is locked before an answer is merged and left locked for the caller.
	// This way, the changes of one poll are delivered before a concurrent poll reports that
	// everything was received.
	deliveryMu sync.Locker
}

// poll sends one request and merges the answer before it returns. items and runs are those
// that changed here.
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
		if t, err = link.Call[WatchTold](ctx, p.transport, state.addr, a); err != nil {
			return t, nil, nil, err
		}
		if t.Anew {
			// The controller has restarted, or has forgotten this node.
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
	return t, nil, nil, steperr.New("poll", state.addr, "controller did not accept this node's introduction")
}
