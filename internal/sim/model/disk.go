package model

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"walkrudder/internal/storage"
)

var (
	errProcessEnded = errors.New("process ended")
	errMessageLost  = errors.New("lost on the way")
)

// disk is a node's storage. It outlives the processes of the node.
type disk struct {
	mu     sync.Mutex
	synced map[string][]byte
	// writeCount counts the writes.
	writeCount int
	// pending holds the writes of the sync in progress.
	pending []storage.Put
	// immediate makes a sync finish at once; set while a process starts.
	immediate bool
	// acksBeforeSync is a planted fault: a sync is reported as finished before it is done.
	acksBeforeSync bool
	// hiddenPrefix, if set, is a planted fault: keys under this prefix are missing from later reads.
	hiddenPrefix string
}

func newDisk() *disk { return &disk{synced: map[string][]byte{}} }

func (d *disk) apply(puts []storage.Put) {
	d.writeCount++
	for _, p := range puts {
		if p.Value == nil {
			delete(d.synced, p.Key)
		} else {
			d.synced[p.Key] = bytes.Clone(p.Value)
		}
	}
}

// crash ends the sync in progress: only the first kept writes of it reach the disk.
func (d *disk) crash(kept int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.pending[:min(kept, len(d.pending))])
	d.pending = nil
}

func (d *disk) wipe() { d.wipeExcept() }

// wipeExcept empties the disk except for the given keys.
func (d *disk) wipeExcept(keys ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = nil
	d.writeCount++
	maps.DeleteFunc(d.synced, func(k string, _ []byte) bool { return !slices.Contains(keys, k) })
}

// writes returns the number of writes so far.
func (d *disk) writes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writeCount
}

// unsynced returns the number of writes of the sync in progress.
func (d *disk) unsynced() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pending)
}

// content returns the data that survives a power loss.
func (d *disk) content() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.synced)
}

// handle is the disk as one process uses it.
type handle struct {
	*disk
	w   *World
	n   *node
	ctx context.Context
}

// Load returns the synced data.
func (h *handle) Load() (map[string][]byte, error) {
	out := h.content()
	if h.hiddenPrefix != "" {
		maps.DeleteFunc(out, func(k string, _ []byte) bool { return strings.HasPrefix(k, h.hiddenPrefix) })
	}
	return out, nil
}

// Commit waits for a step that finishes the sync.
func (h *handle) Commit(puts []storage.Put) error {
	h.mu.Lock()
	if h.immediate {
		h.apply(puts)
		h.mu.Unlock()
		return nil
	}
	if h.ctx.Err() != nil {
		h.mu.Unlock()
		return errProcessEnded
	}
	// With acksBeforeSync, an earlier sync that was reported as finished may still be pending.
	h.pending = append(h.pending, puts...)
	h.mu.Unlock()
	done := make(chan struct{})
	h.w.enqueue(&event{kind: syncEvent, owner: h.n.id, label: "disk", fire: func() {
		h.crash(len(h.pending))
		close(done)
	}})
	if h.acksBeforeSync {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-h.ctx.Done():
		return errProcessEnded
	}
}

func (h *handle) Close() error { return nil }

// fixedJournal is a journal that a power loss always resets to its initial records.
type fixedJournal struct {
	records [][]byte
}

// Load returns the initial records.
func (j *fixedJournal) Load() ([][]byte, error) { return j.records, nil }

// Append discards the records.
func (j *fixedJournal) Append([][]byte) error { return nil }

// Replace discards the records.
func (j *fixedJournal) Replace([][]byte) error { return nil }

func (j *fixedJournal) Close() error { return nil }
