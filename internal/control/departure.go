package control

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

// A leaving is acknowledged to a target only once a majority of synced disks holds it
// (design 22.5). It travels and lasts as an item of its own kind: its version is the run's
// state, which only rises, so copies merge as those of other items do, and no agreement is
// needed on it.
const (
	// departTime bounds the wait for a majority to hold a leaving: a target waits one
	// second for the answer to its beat.
	departTime = 800 * time.Millisecond
	// departureKept is how long a leaving stays on disk. A target that said so has ended
	// long before, and no request is for its run.
	departureKept = 15 * time.Minute
	// departuresEvery is how often old leavings are taken off the disk.
	departuresEvery = time.Minute
)

// departures are the leavings that this node knows: since when, and which of them a
// majority is known to hold.
type departures struct {
	mu    sync.Mutex
	known map[item.Key]departure
}

type departure struct {
	since time.Time
	held  target.State
}

// departureOf is a run's leaving as an item.
func departureOf(r target.Run) item.Item {
	return item.Item{Key: item.Key{Kind: item.Departure, Name: r.ID}, Version: uint64(r.State), Body: r.Record()}
}

// departed reads the run of a leaving.
func departed(i item.Item) (target.Run, error) {
	r, err := target.ReadRecord(i.Body)
	if err != nil {
		return r, err
	}
	if r.ID != i.Name || r.State < target.Draining {
		return r, steperr.New("read departure", i.Name, "not the leaving of this run")
	}
	// An end is true whoever remembers it.
	r.Recalled = false
	return r, nil
}

// held tells whether a majority is known to hold a run's leaving.
func (d *departures) held(r target.Run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[departureOf(r).Key].held >= r.State
}

// note keeps in mind that leavings are known here; held says that a majority has them.
func (d *departures) note(runs []target.Run, held bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = map[item.Key]departure{}
	}
	for _, r := range runs {
		k := item.Key{Kind: item.Departure, Name: r.ID}
		x, ok := d.known[k]
		if !ok {
			x.since = now
		}
		if held {
			x.held = max(x.held, r.State)
		}
		d.known[k] = x
	}
}

// expire forgets the leavings that are known for long, and names them.
func (d *departures) expire(now time.Time) (old []item.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, x := range d.known {
		if now.Sub(x.since) > departureKept {
			old = append(old, k)
			delete(d.known, k)
		}
	}
	return old
}

// hold has a run's leaving held by a majority of synced disks.
func (n *Node) hold(ctx context.Context, r target.Run) error {
	if n.departures.held(r) {
		return nil
	}
	ctx, end := context.WithTimeout(ctx, departTime)
	defer end()
	if err := n.Prop.Merge(ctx, []item.Item{departureOf(r)}); err != nil {
		return steperr.Wrap("hold", r.ID, err)
	}
	n.departures.note([]target.Run{r}, true, n.Clock.Now())
	return nil
}

// takeMerged shows what came onto the own disk: items to all who follow this node, and
// leavings in the table of runs.
func (n *Node) takeMerged(items []item.Item) {
	var configuration []item.Item
	var left []target.Run
	for _, i := range items {
		if i.Kind != item.Departure {
			configuration = append(configuration, i)
			continue
		}
		r, err := departed(i)
		if err != nil {
			n.Log.Error("leaving that can't be read", "step", "take", "run", i.Name, "err", err)
			continue
		}
		left = append(left, r)
	}
	n.departures.note(left, false, n.Clock.Now())
	n.Board.MergeItems(configuration)
	n.Board.MergeRuns(left)
}

// forgetDepartures takes old leavings off the own disk until ctx ends.
func (n *Node) forgetDepartures(ctx context.Context) {
	for n.Clock.Sleep(ctx, departuresEvery) == nil {
		old := n.departures.expire(n.Clock.Now())
		if len(old) == 0 || n.Voter == nil {
			continue
		}
		if err := n.Voter.DropMergeItems(ctx, old); err != nil && ctx.Err() == nil {
			n.Log.Warn("old leavings not forgotten", "step", "forget", "count", len(old), "err", err)
		}
	}
}
