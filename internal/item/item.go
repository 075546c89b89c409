// Package item holds the shared state as independently versioned items. For each key the
// highest version wins, whether it sets or deletes the item, and replicas merge item by
// item in any order (design 20).
package item

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
)

// Kind is the type of an item.
type Kind uint8

// The item kinds.
const (
	Route Kind = iota + 1
	Service
	Limits
	// Departure records that a target's run is leaving. Its version is the run's state, which
	// only increases. The voters store it like any other item, but it is not part of the
	// configuration.
	Departure
	// Upgrade is a rolling upgrade that moves a service's requests to targets of another version.
	// It is keyed by the service name and is not part of the configuration.
	Upgrade
)

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// Item is one version of an item. A deleted item is kept as a tombstone, marked Gone, so
// that an older version that arrives late does not restore it.
type Item struct {
	Key
	Version uint64
	Gone    bool
	Body    []byte // encoded by the owner of the kind; nil if Gone
}

// Digest distinguishes two contents that have the same version.
func (i Item) Digest() string {
	if i.Gone {
		return ""
	}
	s := sha256.Sum256(i.Body)
	return hex.EncodeToString(s[:8])
}

// Equal reports whether two copies have the same key, version and content.
func (i Item) Equal(o Item) bool {
	return i.Key == o.Key && i.Version == o.Version && i.Gone == o.Gone && (i.Gone || bytes.Equal(i.Body, o.Body))
}

// Compare orders two copies of an item by version. If two operators assigned the same
// version to different contents concurrently, the content digest decides, so that all
// replicas converge.
func (i Item) Compare(o Item) int {
	if c := cmp.Compare(i.Version, o.Version); c != 0 {
		return c
	}
	if i.Gone == o.Gone && bytes.Equal(i.Body, o.Body) {
		return 0 // the common case, since every node receives an item from several others
	}
	return cmp.Compare(i.Digest(), o.Digest())
}
