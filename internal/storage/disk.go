// Package storage provides the durable storage of a control-plane node: key-value pairs that
// survive a crash once they have been synced (design 5).
package storage

// Put is a write of one value to a key; a nil Value deletes the key.
type Put struct {
	Key   string
	Value []byte
}

// Disk stores values durably. Commit returns only when all puts have been synced; after an
// error, the disk counts as failed and this process does not write to it again.
type Disk interface {
	Load() (map[string][]byte, error)
	Commit(puts []Put) error
	Close() error
}
