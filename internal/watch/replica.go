package watch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/target"
)

const (
	// itemBuckets is the number of checksums by which two sets of items are compared.
	itemBuckets = 64
	// sumsLen is the length of the Sums in a WatchAsk.
	sumsLen = itemBuckets + target.Buckets
)

// Replica holds everything that one node knows about items and runs, and lets callers wait
// for changes. All methods are safe for concurrent use.
type Replica struct {
	// OnItem is called for each changed item, in order and with the lock held, so that
	// state derived from the items always matches the replica. It must be set before use.
	OnItem func(item.Item)

	clock   clock.Clock
	mu      sync.Mutex
	items   *item.Set
	runs    *target.Table
	sums    [itemBuckets]uint64
	changed chan struct{}
	woken   chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica(c clock.Clock) *Replica {
	return &Replica{clock: c, items: item.NewSet(), runs: target.NewTable(), changed: make(chan struct{}), woken: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change or call of Wake. A caller
// that obtains the channel before it reads the replica misses no change.
func (b *Replica) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Woken returns a channel that is closed at the next call of Wake.
func (b *Replica) Woken() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.woken
}

// Wake makes all waiting requests check again, including those that hold changes back.
func (b *Replica) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyChanged()
	close(b.woken)
	b.woken = make(chan struct{})
}

func (b *Replica) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// itemHash returns an item's contribution to the checksums.
func itemHash(i item.Item) uint64 {
	var d xxhash.Digest
	d.Reset()
	var n [10]byte
	n[0] = byte(i.Kind)
	if i.Gone {
		n[1] = 1
	}
	for k := range 8 {
		n[2+k] = byte(i.Version >> (8 * k))
	}
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(i.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(i.Body)
	return d.Sum64()
}

func itemBucket(k item.Key) int {
	return int((xxhash.Sum64String(k.Name) + uint64(k.Kind)) % itemBuckets)
}

// MergeItems merges copies of items and returns those that were newer than the stored ones.
func (b *Replica) MergeItems(in []item.Item) (changed []item.Item) {
	if len(in) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range in {
		old, had := b.items.Get(i.Key)
		if !b.items.Merge(i) {
			continue
		}
		if i.Gone {
			i.Body = nil
		}
		s := &b.sums[itemBucket(i.Key)]
		if had {
			*s -= itemHash(old)
		}
		*s += itemHash(i)
		changed = append(changed, i)
		if b.OnItem != nil {
			b.OnItem(i)
		}
	}
	if len(changed) > 0 {
		b.notifyChanged()
	}
	return changed
}

// MergeRuns merges copies of runs and returns the merged state of those that changed materially.
func (b *Replica) MergeRuns(in []target.Run) (changed []target.Run) {
	if len(in) == 0 {
		return nil
	}
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range in {
		if b.runs.Merge(r, now) {
			r, _ = b.runs.Get(r.ID, now)
			changed = append(changed, r)
		}
	}
	if len(changed) > 0 {
		b.notifyChanged()
	}
	return changed
}

// MarkRunsComplete records that every live run is known here, and returns the recalled runs
// that became suspected.
func (b *Replica) MarkRunsComplete() (suspected []target.Run) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.runs.Seq()
	if !b.runs.MarkComplete(now) {
		return nil
	}
	suspected, _, _ = b.runs.Since(from, 0, 0, now)
	b.notifyChanged()
	return suspected
}

// RunsComplete reports whether every live run is known here.
func (b *Replica) RunsComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs.Complete()
}

// WithRuns calls f with the table of runs. f reports whether it made a material change.
func (b *Replica) WithRuns(f func(t *target.Table, now time.Time) bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if f(b.runs, now) {
		b.notifyChanged()
	}
}

// WithItems calls f with the set of items, which f must not modify.
func (b *Replica) WithItems(f func(s *item.Set)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.items)
}

// Sums returns checksums of the replica's content by bucket: two replicas with equal sums
// for a bucket have the same content in it.
func (b *Replica) Sums() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sumsLocked()
}

func (b *Replica) sumsLocked() []uint64 {
	r := b.runs.Sums()
	return append(append(make([]uint64, 0, sumsLen), b.sums[:]...), r[:]...)
}

// since returns what changed after a cursor, up to about maxBytes. It skips buckets whose
// checksums equal the requester's, since the requester has their content already.
func (b *Replica) since(c Cursor, sums []uint64, maxBytes int) (items []item.Item, runs []target.Run, to Cursor, more bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	to = c
	if c.Items == b.items.Seq() && c.Runs == b.runs.Seq() {
		return nil, nil, to, false
	}
	bucketsEqual := func(int) bool { return false }
	if len(sums) == sumsLen {
		own := b.sumsLocked()
		bucketsEqual = func(i int) bool { return own[i] == sums[i] }
	}
	remaining := maxBytes
	for remaining > 0 {
		var got []item.Item
		got, to.Items, more = b.items.Since(to.Items, 0, remaining)
		for _, i := range got {
			if !bucketsEqual(itemBucket(i.Key)) {
				items = append(items, i)
				remaining -= len(i.Name) + len(i.Body) + 16
			}
		}
		if !more {
			break
		}
	}
	if more {
		return items, runs, to, true
	}
	for remaining > 0 {
		var got []target.Run
		got, to.Runs, more = b.runs.Since(to.Runs, 0, remaining, now)
		for _, r := range got {
			if !bucketsEqual(itemBuckets + target.Bucket(r.ID)) {
				runs = append(runs, r)
				remaining -= len(r.ID) + len(r.Service) + len(r.Addr) + len(r.Zone) + len(r.Version) + 24
			}
		}
		if !more {
			break
		}
	}
	// Runs that were left out for lack of room follow in the next answer.
	more = more || to.Runs < b.runs.Seq()
	return items, runs, to, more
}

// isBehind reports whether a cursor is ahead of the changes recorded by this replica.
func (b *Replica) isBehind(c Cursor) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Items > b.items.Seq() || c.Runs > b.runs.Seq()
}
