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
	// itemBuckets is the number of sums by which two sets of items are compared.
	itemBuckets = 64
	// sumsLen is the length of the Sums of an ask.
	sumsLen = itemBuckets + target.Buckets
)

// Replica holds all that one node knows of items and runs, and lets others wait for
// what changes. Every method may be called from anywhere.
type Replica struct {
	// OnItem is told of each item that is news, in order and under the board's lock:
	// what it keeps never differs from the board. Set before use.
	OnItem func(item.Item)

	clock   clock.Clock
	mu      sync.Mutex
	items   *item.Set
	runs    *target.Table
	sums    [itemBuckets]uint64
	changed chan struct{}
	woken   chan struct{}
}

// NewReplica makes an empty board.
func NewReplica(c clock.Clock) *Replica {
	return &Replica{clock: c, items: item.NewSet(), runs: target.NewTable(), changed: make(chan struct{}), woken: make(chan struct{})}
}

// Changed is closed at the next change, or Wake. Who looks at the board after having
// asked for it misses nothing.
func (b *Replica) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Woken is closed at the next Wake.
func (b *Replica) Woken() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.woken
}

// Wake makes all who wait look again, also those that hold news back.
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

// itemHash is an item's part of the sums.
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

// MergeItems takes copies in and returns those that were news.
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

// MergeRuns takes copies in and returns, as they stand now, those that were news.
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

// MarkRunsComplete notes that whatever run lives is known here, and returns the recalled ones that
// are doubted from now on.
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

// RunsComplete tells whether whatever run lives is known here.
func (b *Replica) RunsComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs.Complete()
}

// WithRuns runs f on the table of runs; f tells whether it made news.
func (b *Replica) WithRuns(f func(t *target.Table, now time.Time) bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if f(b.runs, now) {
		b.notifyChanged()
	}
}

// WithItems runs f on the set of items, which f must not change.
func (b *Replica) WithItems(f func(s *item.Set)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.items)
}

// Sums tell what the board holds, in short: two boards whose sums are alike in a
// bucket hold the same there.
func (b *Replica) Sums() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sumsLocked()
}

func (b *Replica) sumsLocked() []uint64 {
	r := b.runs.Sums()
	return append(append(make([]uint64, 0, sumsLen), b.sums[:]...), r[:]...)
}

// since returns what changed past a cursor, up to about most bytes, without what lies
// in buckets that sum like the asker's: that much the asker holds already.
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
	// What was left out for lack of room is still to come.
	more = more || to.Runs < b.runs.Seq()
	return items, runs, to, more
}

// beyond tells whether a cursor is beyond what this board ever told.
func (b *Replica) beyond(c Cursor) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Items > b.items.Seq() || c.Runs > b.runs.Seq()
}
