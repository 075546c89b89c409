package item

import (
	"iter"
	"slices"
)

// logSlack is how many overtaken changes a small set's log may hold before it is
// compacted.
const logSlack = 64

// Set holds the newest copy of every item, and the order in which they came. Dropped
// items stay as tombstones for good: nobody can know how late an older copy may come.
// It is not for concurrent use; its owner guards it.
type Set struct {
	entries map[Key]*entry
	// log names the changes in order. A change that a later one of its item overtook
	// stays until the log is twice as long as the set, so memory follows the number of
	// items, and a change costs the same on average however large the set is.
	log []change
	seq uint64
}

type entry struct {
	Item
	seq uint64 // of its last change
}

type change struct {
	seq   uint64
	entry *entry
}

func (c change) superseded() bool { return c.entry.seq != c.seq }

// NewSet makes an empty set.
func NewSet() *Set { return &Set{entries: map[Key]*entry{}} }

// Merge takes a copy in and tells whether it was news. Bodies are shared, not copied:
// nobody may write to them.
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
		// A fresh log, for All may be walking through the old one.
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

// Get returns the newest copy of an item, also of a dropped one.
func (s *Set) Get(k Key) (Item, bool) {
	h := s.entries[k]
	if h == nil {
		return Item{}, false
	}
	return h.Item, true
}

// Len is the number of items, dropped ones too.
func (s *Set) Len() int { return len(s.entries) }

// Seq is the number of the last change.
func (s *Set) Seq() uint64 { return s.seq }

// All walks through the newest copies in order of their last change, dropped ones too.
func (s *Set) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for _, c := range s.log {
			if !c.superseded() && !yield(c.entry.Item) {
				return
			}
		}
	}
}

// itemOverhead is roughly what an item takes besides its name and body when it is sent.
const itemOverhead = 16

// Since returns what changed after seq, in order of change, each item once with its
// newest content. The next look goes on at upTo; more says that there is more already.
// A look takes at most maxItems and maxBytes, but always one item, so that it gets on; 0
// is no bound. Whoever asks from a number that this set never gave was told by another
// one, and hears everything.
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
