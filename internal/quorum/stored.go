package quorum

import (
	"errors"
	"strings"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

// maxStoreBatch bounds the number of items in one commit of StoreItems.
const maxStoreBatch = 512

// ErrNotEmpty is returned when a disk that must be empty holds data.
var ErrNotEmpty = errors.New("the disk is not empty")

// StoredState is the shared state on the disk of a stopped voter.
type StoredState struct {
	Owner string // ID of the node that owns the disk
	Disk  string // incarnation of the disk
	Core  Core   // newest core known to the disk
	Items []item.Item
}

// ReadStoredState decodes the state from the key-value pairs of a disk.
func ReadStoredState(values map[string][]byte) (StoredState, error) {
	s := StoredState{Owner: string(values[ownerKey]), Disk: string(values[diskKey])}
	if raw, known := values[coreKey]; known {
		if err := decodeGob(raw, &s.Core); err != nil {
			return s, steperr.Wrap("read core", s.Owner, err)
		}
	}
	for key, value := range values {
		if !strings.HasPrefix(key, mergePrefix) {
			continue
		}
		it, err := decodeMergeItem(key, value)
		if err != nil {
			return s, steperr.Wrap("read item "+key, s.Owner, err)
		}
		s.Items = append(s.Items, it)
	}
	return s, nil
}

// Voting reports whether the disk has a seat in the newest core that it knows.
func (s StoredState) Voting() bool {
	seat, ok := s.Core.Seat(s.Owner)
	return ok && seat.Disk == s.Disk
}

// StoreItems writes items to an empty disk as decided merge items. A node that starts on this
// disk takes a new incarnation and publishes the items when it forms or joins a core.
func StoreItems(d storage.Disk, items []item.Item) error {
	held, err := d.Load()
	if err != nil {
		return steperr.Wrap("store", "", err)
	}
	if len(held) > 0 {
		return steperr.Wrap("store", string(held[ownerKey]), ErrNotEmpty)
	}
	for len(items) > 0 {
		n := min(len(items), maxStoreBatch)
		puts := make([]storage.Put, 0, n)
		for _, it := range items[:n] {
			if err := checkMergeItem(it); err != nil {
				return err
			}
			puts = append(puts, storage.Put{Key: mergeDiskKey(it.Key), Value: encodeMergeItem(it)})
		}
		if err := d.Commit(puts); err != nil {
			return steperr.Wrap("store", "", err)
		}
		items = items[n:]
	}
	return nil
}
