package control

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

// A departure records that a run drains or has ended. It is acknowledged to a target only once a
// majority of synced disks holds it (design 22.5). It is replicated and stored as an item of its
// own kind whose version is the state of the run. States only rise, so copies merge like those of
// other items, and departures need no agreement protocol.
const (
	// departureTimeout bounds the wait for a majority to hold a departure. A target waits one
	// second for the answer to its heartbeat.
	departureTimeout = 800 * time.Millisecond
	// departureRetention is how long a departure stays on disk. By then the target has long
	// ended, and no request names its run.
	departureRetention = 15 * time.Minute
	// departureExpiryInterval is how often old departures are deleted from disk.
	departureExpiryInterval = time.Minute
)

// departureTracker records since when this node has known each departure, and which of them a
// majority is known to hold.
type departureTracker struct {
	mu    sync.Mutex
	known map[item.Key]departure
}

type departure struct {
	knownSince time.Time
	heldState  target.State // highest state that a majority is known to hold; 0 if none
}

// departureItem encodes the departure of a run as an item.
func departureItem(r target.Run) item.Item {
	return item.Item{Key: item.Key{Kind: item.Departure, Name: r.ID}, Version: uint64(r.State), Body: r.Record()}
}

// parseDeparture decodes the run from a departure item.
func parseDeparture(i item.Item) (target.Run, error) {
	r, err := target.ReadRecord(i.Body)
	if err != nil {
		return r, err
	}
	if r.ID != i.Name || r.State < target.Draining {
		return r, steperr.New("read departure", i.Name, "item does not record the departure of this run")
	}
	// Recalled marks an unconfirmed run from a journal; a departure needs no confirmation.
	r.Recalled = false
	return r, nil
}

// isHeld reports whether a majority is known to hold the departure of a run.
func (d *departureTracker) isHeld(r target.Run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[departureItem(r).Key].heldState >= r.State
}

// record records that departures are known here; held means that a majority holds them.
func (d *departureTracker) record(runs []target.Run, held bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = map[item.Key]departure{}
	}
	for _, r := range runs {
		k := item.Key{Kind: item.Departure, Name: r.ID}
		x, ok := d.known[k]
		if !ok {
			x.knownSince = now
		}
		if held {
			x.heldState = max(x.heldState, r.State)
		}
		d.known[k] = x
	}
}

// expire removes and returns the departures known for longer than departureRetention.
func (d *departureTracker) expire(now time.Time) (old []item.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, x := range d.known {
		if now.Sub(x.knownSince) > departureRetention {
			old = append(old, k)
			delete(d.known, k)
		}
	}
	return old
}

// persistDeparture gets the departure of a run stored by a majority of synced disks.
func (n *Node) persistDeparture(ctx context.Context, r target.Run) error {
	if n.departures.isHeld(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if err := n.Proposer.Merge(ctx, []item.Item{departureItem(r)}); err != nil {
		return steperr.Wrap("hold", r.ID, err)
	}
	n.departures.record([]target.Run{r}, true, n.Clock.Now())
	return nil
}

// applyMerged publishes what was merged into the local disk: configuration items to all
// followers of this node, and departures in the table of runs.
func (n *Node) applyMerged(items []item.Item) {
	var configuration []item.Item
	var departedRuns []target.Run
	for _, i := range items {
		if i.Kind != item.Departure {
			configuration = append(configuration, i)
			continue
		}
		r, err := parseDeparture(i)
		if err != nil {
			n.Log.Error("cannot decode the departure of a run", "step", "take", "run", i.Name, "err", err)
			continue
		}
		departedRuns = append(departedRuns, r)
	}
	n.departures.record(departedRuns, false, n.Clock.Now())
	n.Replica.MergeItems(configuration)
	n.Replica.MergeRuns(departedRuns)
}

// expireDepartures deletes old departures from the local disk until ctx ends.
func (n *Node) expireDepartures(ctx context.Context) {
	for n.Clock.Sleep(ctx, departureExpiryInterval) == nil {
		old := n.departures.expire(n.Clock.Now())
		if len(old) == 0 || n.Voter == nil {
			continue
		}
		if err := n.Voter.DropMergeItems(ctx, old); err != nil && ctx.Err() == nil {
			n.Log.Warn("cannot delete old departures", "step", "forget", "count", len(old), "err", err)
		}
	}
}
