package storage

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"walkrudder/internal/clock"
)

// Figures are what a meter tells of one file.
type Figures struct {
	Name string
	// Size is the file's, where Sized.
	Size             int64
	Sized            bool
	Writes, Failures uint64
	// Last is how long ago the last write that went well ended; none did where Writes is
	// no more than Failures. Took is how long it took, and Longest the longest one.
	Last, Took, Longest time.Duration
	// Busy is for how long the write under way has lasted; 0 is none.
	Busy time.Duration
	Err  string // of the last failure
}

// Meter watches the writes to one file, for people. It never waits for the file's lock,
// which a disk that hangs may hold for long.
type Meter struct {
	clock clock.Clock
	name  string
	path  string // "" for what is no file

	mu     sync.Mutex
	f      Figures
	last   time.Time
	begun  time.Time // of the write under way
	within bool
}

func newMeter(of any, name string, c clock.Clock) *Meter {
	m := &Meter{clock: c, name: name}
	if p, ok := of.(interface{ Path() string }); ok {
		m.path = p.Path()
		m.name = filepath.Base(m.path)
	}
	return m
}

// write watches one write; there is one at a time.
func (m *Meter) write(f func() error) error {
	begun := m.clock.Now()
	m.mu.Lock()
	m.begun, m.within = begun, true
	m.mu.Unlock()
	err := f()
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.within = false
	m.f.Writes++
	if m.f.Longest = max(m.f.Longest, now.Sub(begun)); err != nil {
		m.f.Failures, m.f.Err = m.f.Failures+1, err.Error()
		return err
	}
	m.last, m.f.Took = now, now.Sub(begun)
	return nil
}

// Figures tells how things are now.
func (m *Meter) Figures() Figures {
	now := m.clock.Now()
	m.mu.Lock()
	f := m.f
	if !m.last.IsZero() {
		f.Last = now.Sub(m.last)
	}
	if m.within {
		f.Busy = now.Sub(m.begun)
	}
	m.mu.Unlock()
	f.Name = m.name
	if m.path != "" {
		if i, err := os.Stat(m.path); err == nil {
			f.Size, f.Sized = i.Size(), true
		}
	}
	return f
}

type meteredDisk struct {
	Disk
	m *Meter
}

func (d meteredDisk) Commit(puts []Put) error {
	return d.m.write(func() error { return d.Disk.Commit(puts) })
}

// MeterDisk is d with a meter on it.
func MeterDisk(d Disk, c clock.Clock) (Disk, *Meter) {
	m := newMeter(d, "disk", c)
	return meteredDisk{d, m}, m
}

type meteredJournal struct {
	Journal
	m *Meter
}

func (j meteredJournal) Append(records [][]byte) error {
	return j.m.write(func() error { return j.Journal.Append(records) })
}

func (j meteredJournal) Replace(records [][]byte) error {
	return j.m.write(func() error { return j.Journal.Replace(records) })
}

// MeterJournal is j with a meter on it.
func MeterJournal(j Journal, c clock.Clock) (Journal, *Meter) {
	m := newMeter(j, "journal", c)
	return meteredJournal{j, m}, m
}
