package quorum

import (
	"errors"
	"strings"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

// storeChunk bounds the items of one commit of Store.
const storeChunk = 512

// ErrNotEmpty says that a disk which is to begin anew holds something.
var ErrNotEmpty = errors.New("the disk is not empty")

// Stored is what a stopped voter's disk holds of the shared state.
type Stored struct {
	Owner string // the node
	Disk  string // the incarnation
	Core  Core   // the newest core that the disk knows
	Items []item.Item
}

// ReadStored reads the values of a disk.
func ReadStored(values map[string][]byte) (Stored, error) {
	s := Stored{Owner: string(values[ownerKey]), Disk: string(values[diskKey])}
	if raw, known := values[coreKey]; known {
		if err := unpack(raw, &s.Core); err != nil {
			return s, steperr.At("read core", s.Owner, err)
		}
	}
	for key, value := range values {
		if !strings.HasPrefix(key, mergePrefix) {
			continue
		}
		it, err := unpackMerge(key, value)
		if err != nil {
			return s, steperr.At("read item "+key, s.Owner, err)
		}
		s.Items = append(s.Items, it)
	}
	return s, nil
}

// Voting tells whether the disk has a seat in the core that it knows.
func (s Stored) Voting() bool {
	seat, ok := s.Core.Seat(s.Owner)
	return ok && seat.Disk == s.Disk
}

// Store writes items onto an empty disk, as settled ones. A node that starts on it takes a new
// incarnation, and shows them as soon as it forms or joins a core.
func Store(d storage.Disk, items []item.Item) error {
	held, err := d.Load()
	if err != nil {
		return steperr.At("store", "", err)
	}
	if len(held) > 0 {
		return steperr.At("store", string(held[ownerKey]), ErrNotEmpty)
	}
	for len(items) > 0 {
		n := min(len(items), storeChunk)
		puts := make([]storage.Put, 0, n)
		for _, it := range items[:n] {
			if err := checkMerge(it); err != nil {
				return err
			}
			puts = append(puts, storage.Put{Key: mergeKey(it.Key), Value: packMerge(it)})
		}
		if err := d.Commit(puts); err != nil {
			return steperr.At("store", "", err)
		}
		items = items[n:]
	}
	return nil
}
