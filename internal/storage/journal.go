package storage

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/steperr"
)

const (
	// maxRecord bounds a record, so that a damaged length asks for no memory.
	maxRecord = 64 << 10
	// maxJournal bounds what is read of a file.
	maxJournal = 64 << 20
	// sumLen is the length of a record's checksum.
	sumLen = 8
)

// Journal keeps records that may be lost: nothing is synced, and nobody waits. They
// outlive the process, but a power loss may take any of the last ones, or all.
type Journal interface {
	// Load reads the records in the order in which they were written, up to the first
	// that is torn or damaged.
	Load() ([][]byte, error)
	// Append adds records. After an error only a Replace makes the file whole again.
	Append(records [][]byte) error
	// Replace puts records in place of all that there are.
	Replace(records [][]byte) error
	Close() error
}

// FileJournal is a Journal in one file: each record with its length and checksum.
type FileJournal struct {
	path string
	f    *os.File // nil before the first write
}

// OpenJournal names the file; it is made by the first Replace.
func OpenJournal(dir, name string) *FileJournal { return &FileJournal{path: filepath.Join(dir, name)} }

// Path is the file's.
func (j *FileJournal) Path() string { return j.path }

// encode puts records one behind the other.
func encode(records [][]byte) []byte {
	var b []byte
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(r))
	}
	return b
}

// decode reads as many whole records as there are.
func decode(b []byte) (out [][]byte) {
	for {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > maxRecord || uint64(len(b)-k) < n+sumLen {
			return out
		}
		r := b[k : k+int(n)]
		b = b[k+int(n):]
		// An empty record is no record: a tail of zero bytes reads as many of them.
		if n == 0 || binary.BigEndian.Uint64(b) != xxhash.Sum64(r) {
			return out
		}
		out, b = append(out, r), b[sumLen:]
	}
}

// Load reads the records that are whole.
func (j *FileJournal) Load() ([][]byte, error) {
	f, err := os.Open(j.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, steperr.Wrap("load journal", "", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxJournal))
	return decode(b), steperr.Wrap("load journal", "", err)
}

// Append adds records to the file that the last Replace began.
func (j *FileJournal) Append(records [][]byte) error {
	if j.f == nil {
		return steperr.New("append journal", "", "not begun by a Replace")
	}
	_, err := j.f.Write(encode(records))
	return steperr.Wrap("append journal", "", err)
}

// Replace writes another file and gives it the name, so that a process killed halfway
// leaves the one or the other.
func (j *FileJournal) Replace(records [][]byte) error {
	f, err := os.Create(j.path + ".new")
	if err != nil {
		return steperr.Wrap("replace journal", "", err)
	}
	_, err = f.Write(encode(records))
	if err == nil {
		err = os.Rename(j.path+".new", j.path)
	}
	if err != nil {
		return steperr.Wrap("replace journal", "", errors.Join(err, f.Close()))
	}
	old := j.f
	j.f = f
	if old != nil {
		_ = old.Close() // nothing was to be synced
	}
	return nil
}

// Close ends the use of the file.
func (j *FileJournal) Close() error {
	if j.f == nil {
		return nil
	}
	return j.f.Close()
}
