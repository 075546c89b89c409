// Package snapshot keeps the whole configuration in one file, taken from the disks of stopped
// controllers: to be checked, and to begin a new system with (docs/operators.md).
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

// header begins each file and names its form. After it stands the gob of a Snapshot, and last the
// SHA-256 of all bytes before.
const header = "walkrudder snapshot 1\n"

var (
	// ErrDamaged says that a file is no snapshot, or that its bytes are not those that were
	// written.
	ErrDamaged = errors.New("the snapshot is damaged")
	// ErrPartial says that the disks given are too few to hold everything that was
	// acknowledged.
	ErrPartial = errors.New("too few disks of the newest core")
	// ErrNoDisk says that no disk was given, or none that ever had a core.
	ErrNoDisk = errors.New("no disk of a core")
)

// Snapshot is the configuration at one moment: the newest version of each item, dropped ones
// as tombstones.
type Snapshot struct {
	Taken time.Time
	Epoch uint64   // of the newest core that the disks knew
	Nodes []string // whose disks were read, and vote in it
	// Need is how many of that core's disks hold everything acknowledged. With fewer Nodes the
	// snapshot is partial.
	Need  int
	Items []item.Item // by kind and name
}

// Partial tells whether something that was acknowledged may be missing.
func (s Snapshot) Partial() bool { return len(s.Nodes) < s.Need }

// Join makes one snapshot of what several disks hold: of each item the newest copy. Leavings of
// targets are left out; they mean nothing to a new system.
func Join(disks []quorum.StoredState, taken time.Time) (Snapshot, error) {
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

// encode yields the bytes of a file.
func (s Snapshot) encode() ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(header)
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		return nil, steperr.Wrap("encode snapshot", "", err)
	}
	sum := sha256.Sum256(b.Bytes())
	return append(b.Bytes(), sum[:]...), nil
}

// decode reads the bytes of a file.
func decode(b []byte) (s Snapshot, err error) {
	if len(b) < len(header)+sha256.Size || !bytes.HasPrefix(b, []byte(header)) {
		return s, fmt.Errorf("%w: it does not begin as one, or is too short", ErrDamaged)
	}
	body, told := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], told) {
		return s, fmt.Errorf("%w: its checksum differs", ErrDamaged)
	}
	if err := gob.NewDecoder(bytes.NewReader(body[len(header):])).Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// Write makes a file of a snapshot, whole and synced or not at all. A file that is there stays.
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
		err = os.Link(f.Name(), path) // fails where another made the file meanwhile
	}
	if err != nil {
		return steperr.Wrap("write snapshot", path, err)
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return steperr.Wrap("sync folder", dir, err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// Read reads and checks a file.
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
