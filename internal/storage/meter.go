package storage

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"walkrudder/internal/clock"
)

// WriteStats are the write statistics of one file.
type WriteStats struct {
	Name string
	// Size is the size of the file in bytes, valid if SizeKnown.
	Size             int64
	SizeKnown        bool
	Writes, Failures uint64
	// SinceLastSuccess is the time since the last successful write ended; there was none unless Writes
	// exceeds Failures. LastDuration is how long that write took, and LongestDuration the maximum of all writes.
	SinceLastSuccess, LastDuration, LongestDuration time.Duration
	// InProgressFor is how long the current write has taken so far; 0 if there is none.
	InProgressFor time.Duration
	LastError     string // message of the last failure
}

// Meter collects statistics of the writes to one file, for operators. It never waits for the
// file's lock, which may be held for a long time if the disk hangs.
type Meter struct {
	clock clock.Clock
	name  string
	path  string // "" if there is no file

	mu          sync.Mutex
	stats       WriteStats
	lastSuccess time.Time
	startedAt   time.Time // of the write in progress
	inProgress  bool
}

func newMeter(target any, name string, clk clock.Clock) *Meter {
	m := &Meter{clock: clk, name: name}
	if p, ok := target.(interface{ Path() string }); ok {
		m.path = p.Path()
		m.name = filepath.Base(m.path)
	}
	return m
}

// measure runs one write and records its result; writes do not overlap.
func (m *Meter) measure(write func() error) error {
	startedAt := m.clock.Now()
	m.mu.Lock()
	m.startedAt, m.inProgress = startedAt, true
	m.mu.Unlock()
	err := write()
	end := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inProgress = false
	m.stats.Writes++
	if m.stats.LongestDuration = max(m.stats.LongestDuration, end.Sub(startedAt)); err != nil {
		m.stats.Failures, m.stats.LastError = m.stats.Failures+1, err.Error()
		return err
	}
	m.lastSuccess, m.stats.LastDuration = end, end.Sub(startedAt)
	return nil
}

// Stats returns the current statistics.
func (m *Meter) Stats() WriteStats {
	now := m.clock.Now()
	m.mu.Lock()
	stats := m.stats
	if !m.lastSuccess.IsZero() {
		stats.SinceLastSuccess = now.Sub(m.lastSuccess)
	}
	if m.inProgress {
		stats.InProgressFor = now.Sub(m.startedAt)
	}
	m.mu.Unlock()
	stats.Name = m.name
	if m.path != "" {
		if info, err := os.Stat(m.path); err == nil {
			stats.Size, stats.SizeKnown = info.Size(), true
		}
	}
	return stats
}

type meteredDisk struct {
	Disk
	meter *Meter
}

func (d meteredDisk) Commit(puts []Put) error {
	return d.meter.measure(func() error { return d.Disk.Commit(puts) })
}

// MeterDisk wraps d and measures its commits.
func MeterDisk(d Disk, clk clock.Clock) (Disk, *Meter) {
	m := newMeter(d, "disk", clk)
	return meteredDisk{d, m}, m
}

type meteredJournal struct {
	Journal
	meter *Meter
}

func (j meteredJournal) Append(records [][]byte) error {
	return j.meter.measure(func() error { return j.Journal.Append(records) })
}

func (j meteredJournal) Replace(records [][]byte) error {
	return j.meter.measure(func() error { return j.Journal.Replace(records) })
}

// MeterJournal wraps j and measures its writes.
func MeterJournal(j Journal, clk clock.Clock) (Journal, *Meter) {
	m := newMeter(j, "journal", clk)
	return meteredJournal{j, m}, m
}
