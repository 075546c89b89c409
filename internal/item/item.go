// Package item holds the shared state as items, each with a version of its own:
// the highest version of a name stands, whether set or dropped, and copies merge
// item by item in any order (design 20).
package item

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
)

// Kind says what an item holds.
type Kind uint8

// The kinds of items.
const (
	Route Kind = iota + 1
	Service
	Limits
	// Departure is the leaving of a target's run: its version is the run's state, which only
	// rises. It is kept at the voters like other items, and is no part of the configuration.
	Departure
	// Upgrade is the move of a service's requests to targets of another version, named by the service. It is no part of
	// the configuration.
	Upgrade
)

// Key names one item.
type Key struct {
	Kind Kind
	Name string
}

// Item is one version of one item. A dropped item is kept as Gone, a tombstone, so that
// an older version that comes late does not bring it back.
type Item struct {
	Key
	Version uint64
	Gone    bool
	Body    []byte // what stands, encoded by its owner; nil where Gone
}

// Digest tells two contents of one version apart.
func (i Item) Digest() string {
	if i.Gone {
		return ""
	}
	s := sha256.Sum256(i.Body)
	return hex.EncodeToString(s[:8])
}

// Equal tells whether two copies are of one version and one content.
func (i Item) Equal(o Item) bool {
	return i.Key == o.Key && i.Version == o.Version && i.Gone == o.Gone && (i.Gone || bytes.Equal(i.Body, o.Body))
}

// Compare orders two copies of an item: by version, and where two operators gave
// one version to two contents at once, by content, so that all copies end alike.
func (i Item) Compare(o Item) int {
	if c := cmp.Compare(i.Version, o.Version); c != 0 {
		return c
	}
	if i.Gone == o.Gone && bytes.Equal(i.Body, o.Body) {
		return 0 // the common case, as every node hears of an item from several others
	}
	return cmp.Compare(i.Digest(), o.Digest())
}
