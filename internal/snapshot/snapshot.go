// Package snapshot stores the whole configuration in one file, taken from the disks of stopped
// controllers, for verification and for initializing a new system (docs/operators.md).
package snapshot

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/steperr"
)

// fileHeader begins each file and identifies its format. It is followed by the gob encoding of a
// Snapshot and the SHA-256 of all preceding bytes.
const fileHeader = "walkrudder snapshot 1\n"

var (
	// ErrDamaged means that a file is no snapshot, or that its bytes differ from those that were
	// written.
	ErrDamaged = errors.New("the snapshot is damaged")
	// ErrPartial means that the given disks are too few to hold everything that was
	// acknowledged.
	ErrPartial = errors.New("too few disks of the newest core")
	// ErrNoDisk means that no disk was given, or none that was ever part of a core.
	ErrNoDisk = errors.New("no disk of a core")
)

// Snapshot is the configuration at one moment: the newest version of each item, with removed items
// as tombstones.
type Snapshot struct {
	Taken time.Time
	Epoch uint64   // of the newest core found on the disks
	Nodes []string // the voters of that core whose disks were read
	// Need is how many disks of that core are certain to hold everything acknowledged. With fewer
	// Nodes the snapshot is partial.
	Need  int
	Items []item.Item // sorted by kind and name
}

// Partial reports whether acknowledged items may be missing.
func (s Snapshot) Partial() bool { return len(s.Nodes) < s.Need }

// Merge combines the contents of several disks into one snapshot: the newest copy of each item.
// Departures of targets are left out, since they mean nothing to a new system.
func Merge(disks []quorum.StoredState, taken time.Time) (Snapshot, error) {
	s := Snapshot{Taken: taken.UTC()}
	var newest quorum.Core
	for _, d := range disks {
		if d.Core.Epoch > newest.Epoch {
			newest = d.Core
		}
	}
	if newest.Epoch == 0 {
		return s, steperr.Wrap("join disks", "", ErrNoDisk)
	}
	s.Epoch, s.Need = newest.Epoch, newest.BlockingSize()
	all := item.NewSet()
	for _, d := range disks {
		if d.Core.Epoch == newest.Epoch && d.Voting() && !slices.Contains(s.Nodes, d.Owner) {
			s.Nodes = append(s.Nodes, d.Owner)
		}
		for _, it := range d.Items {
			if it.Kind != item.Departure {
				all.Merge(it)
			}
		}
	}
	slices.Sort(s.Nodes)
	s.Items = slices.SortedFunc(all.All(), func(a, b item.Item) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return s, nil
}

// encode returns the contents of a snapshot file.
func (s Snapshot) encode() ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(fileHeader)
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		return nil, steperr.Wrap("encode snapshot", "", err)
	}
	sum := sha256.Sum256(b.Bytes())
	return append(b.Bytes(), sum[:]...), nil
}

// decode parses the contents of a snapshot file.
func decode(b []byte) (s Snapshot, err error) {
	if len(b) < len(fileHeader)+sha256.Size || !bytes.HasPrefix(b, []byte(fileHeader)) {
		return s, fmt.Errorf("%w: unknown header, or too short", ErrDamaged)
	}
	body, storedSum := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], storedSum) {
		return s, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	if err := gob.NewDecoder(bytes.NewReader(body[len(fileHeader):])).Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// Write creates a snapshot file, complete and synced or not at all. It never replaces an existing file.
func Write(path string, s Snapshot) error {
	b, err := s.encode()
	if err != nil {
		return err
	}
	if _, err := os.Lstat(path); err == nil {
		return steperr.Wrap("write snapshot", path, os.ErrExist)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".snapshot-*")
	if err != nil {
		return steperr.Wrap("write snapshot", path, err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Link(f.Name(), path) // fails if the file was created meanwhile
	}
	if err != nil {
		return steperr.Wrap("write snapshot", path, err)
	}
	return syncDir(filepath.Dir(path))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return steperr.Wrap("sync folder", dir, err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// Read reads and verifies a snapshot file.
func Read(path string) (Snapshot, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Snapshot{}, steperr.Wrap("read snapshot", path, err)
	}
	s, err := decode(b)
	if err != nil {
		return s, steperr.Wrap("read snapshot", path, err)
	}
	return s, nil
}
