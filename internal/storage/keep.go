// Package storage is the disk of a control node: named values that last once they
// are synced (design 5).
package storage

// Put is one value to be kept under its key; a nil Value removes the key.
type Put struct {
	Key   string
	Value []byte
}

// Disk keeps values. Commit returns only when all of puts are synced; after an
// error the disk counts as failed and is not written again by this process.
type Disk interface {
	Load() (map[string][]byte, error)
	Commit(puts []Put) error
	Close() error
}
