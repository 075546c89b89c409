package item

import (
	"iter"
	"slices"
)

// logSlack is how many superseded changes the log of a small set may hold before it is
// compacted.
const logSlack = 64

// Set holds the newest copy of every item and the order in which the copies arrived.
// Tombstones are never removed, because there is no bound on how late an older copy may
// arrive. A Set is not safe for concurrent use; its owner must guard it.
type Set struct {
	entries map[Key]*entry
	// log lists the changes in order. A change that was superseded by a later one of the
	// same item stays until the log is twice as long as the set, so memory is proportional
	// to the number of items, and a change has constant amortized cost.
	log []change
	seq uint64
}

type entry struct {
	Item
	seq uint64 // sequence number of its last change
}

type change struct {
	seq   uint64
	entry *entry
}

func (c change) superseded() bool { return c.entry.seq != c.seq }

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: map[Key]*entry{}} }

// Merge adds a copy and reports whether it was newer than the stored one. Bodies are
// shared, not copied, and must not be modified.
func (s *Set) Merge(i Item) bool {
	if i.Gone {
		i.Body = nil
	}
	h := s.entries[i.Key]
	switch {
	case h == nil:
		h = &entry{}
		s.entries[i.Key] = h
	case i.Compare(h.Item) <= 0:
		return false
	}
	s.seq++
	h.Item, h.seq = i, s.seq
	s.log = append(s.log, change{s.seq, h})
	if len(s.log) > 2*len(s.entries)+logSlack {
		// A new slice, because All may be iterating over the old one.
		log := make([]change, 0, len(s.entries)+logSlack)
		for _, c := range s.log {
			if !c.superseded() {
				log = append(log, c)
			}
		}
		s.log = log
	}
	return true
}

// Get returns the newest copy of an item, which may be a tombstone.
func (s *Set) Get(k Key) (Item, bool) {
	h := s.entries[k]
	if h == nil {
		return Item{}, false
	}
	return h.Item, true
}

// Len returns the number of items, tombstones included.
func (s *Set) Len() int { return len(s.entries) }

// Seq returns the sequence number of the last change.
func (s *Set) Seq() uint64 { return s.seq }

// All iterates over the newest copies in order of their last change, tombstones included.
func (s *Set) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for _, c := range s.log {
			if !c.superseded() && !yield(c.entry.Item) {
				return
			}
		}
	}
}

// itemOverhead is the approximate encoded size of an item apart from its name and body.
const itemOverhead = 16

// Since returns the items that changed after seq, in order of change, each item once with
// its newest content. The next call continues at upTo; more reports that further changes
// are already available. A call returns at most maxItems items and maxBytes bytes (0 means
// unlimited), but always at least one item, so that it makes progress. A seq that this set
// never issued comes from another set, and everything is returned.
func (s *Set) Since(seq uint64, maxItems, maxBytes int) (items []Item, upTo uint64, more bool) {
	if seq > s.seq {
		seq = 0
	}
	from, _ := slices.BinarySearchFunc(s.log, seq+1, func(c change, want uint64) int {
		if c.seq < want {
			return -1
		}
		return 1
	})
	bytes := 0
	for _, c := range s.log[from:] {
		if c.superseded() {
			continue
		}
		bytes += itemOverhead + len(c.entry.Name) + len(c.entry.Body)
		if len(items) > 0 && (maxItems > 0 && len(items) >= maxItems || maxBytes > 0 && bytes > maxBytes) {
			return items, upTo, true
		}
		items = append(items, c.entry.Item)
		upTo = c.seq
	}
	return items, s.seq, false
}
