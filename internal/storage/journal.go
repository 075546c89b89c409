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
	// maxRecordSize limits a record, so that a damaged length does not cause a large allocation.
	maxRecordSize = 64 << 10
	// maxJournalSize limits how much of a file is read.
	maxJournalSize = 64 << 20
	// checksumLen is the length of a record's checksum in bytes.
	checksumLen = 8
)

// Journal stores records whose loss is acceptable: writes are not synced, and no caller waits for
// the disk. Records survive the process, but a power failure may lose the latest ones, or all.
type Journal interface {
	// Load reads the records in the order in which they were written, up to the first
	// one that is torn or damaged.
	Load() ([][]byte, error)
	// Append adds records. After an error, the file is incomplete until the next Replace.
	Append(records [][]byte) error
	// Replace replaces all records.
	Replace(records [][]byte) error
	Close() error
}

// FileJournal is a Journal in one file: each record is stored with its length and checksum.
type FileJournal struct {
	path string
	file *os.File // nil before the first write
}

// OpenJournal returns the journal with the given file name in the folder dir; the first Replace
// creates the file.
func OpenJournal(dir, name string) *FileJournal { return &FileJournal{path: filepath.Join(dir, name)} }

// Path returns the path of the file.
func (j *FileJournal) Path() string { return j.path }

// encodeRecords concatenates records, each with its length and checksum.
func encodeRecords(records [][]byte) []byte {
	var b []byte
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(r))
	}
	return b
}

// decodeRecords decodes records up to the first incomplete or damaged one.
func decodeRecords(b []byte) (records [][]byte) {
	for {
		size, prefixLen := binary.Uvarint(b)
		if prefixLen <= 0 || size > maxRecordSize || uint64(len(b)-prefixLen) < size+checksumLen {
			return records
		}
		record := b[prefixLen : prefixLen+int(size)]
		b = b[prefixLen+int(size):]
		// Empty records are invalid: otherwise a tail of zero bytes would decode as a sequence of them.
		if size == 0 || binary.BigEndian.Uint64(b) != xxhash.Sum64(record) {
			return records
		}
		records, b = append(records, record), b[checksumLen:]
	}
}

// Load reads the intact records.
func (j *FileJournal) Load() ([][]byte, error) {
	f, err := os.Open(j.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, steperr.Wrap("load journal", "", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxJournalSize))
	return decodeRecords(b), steperr.Wrap("load journal", "", err)
}

// Append adds records to the file that the last Replace created.
func (j *FileJournal) Append(records [][]byte) error {
	if j.file == nil {
		return steperr.New("append journal", "", "Append before the first Replace")
	}
	_, err := j.file.Write(encodeRecords(records))
	return steperr.Wrap("append journal", "", err)
}

// Replace writes a new file and renames it over the old one, so that a process killed halfway
// leaves either the old file or the new one.
func (j *FileJournal) Replace(records [][]byte) error {
	f, err := os.Create(j.path + ".new")
	if err != nil {
		return steperr.Wrap("replace journal", "", err)
	}
	_, err = f.Write(encodeRecords(records))
	if err == nil {
		err = os.Rename(j.path+".new", j.path)
	}
	if err != nil {
		return steperr.Wrap("replace journal", "", errors.Join(err, f.Close()))
	}
	old := j.file
	j.file = f
	if old != nil {
		_ = old.Close() // the old file's data needs no sync
	}
	return nil
}

// Close closes the file.
func (j *FileJournal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}
