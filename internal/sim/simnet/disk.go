package simnet

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"walkrudder/internal/storage"
)

var (
	errProcessEnded = errors.New("process ended")
	errIO           = errors.New("input/output error")
)

// Disk is a simulated disk that outlives the processes on its host. Synced data lasts until
// the disk is wiped; a sync during which the process is killed is torn. Dir holds files that
// are never synced; "" means that there are none.
type Disk struct {
	Dir string

	mu               sync.Mutex
	rng              *rand.Rand
	synced           map[string][]byte
	minSync, maxSync time.Duration
	failing          bool
}

// NewDisk returns an empty disk whose syncs take 0.2 to 3 ms.
func NewDisk(rnd *rand.Rand, dir string) *Disk {
	return &Disk{Dir: dir, rng: rnd, synced: map[string][]byte{}, minSync: 200 * time.Microsecond, maxSync: 3 * time.Millisecond}
}

// SetSyncTime sets the bounds of the duration of a sync.
func (d *Disk) SetSyncTime(minSync, maxSync time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.minSync, d.maxSync = minSync, maxSync
}

// SetFailing makes every sync fail, or ends that.
func (d *Disk) SetFailing(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = on
}

// Failing reports whether every sync fails now.
func (d *Disk) Failing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failing
}

// Wipe empties the disk. No process may be using it.
func (d *Disk) Wipe() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = map[string][]byte{}
	return d.eachFile(os.Remove)
}

// PowerLoss truncates each unsynced file: to nothing, to a random length, or not at all.
func (d *Disk) PowerLoss() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.eachFile(func(path string) error {
		switch d.rng.IntN(3) {
		case 0:
			return os.Truncate(path, 0)
		case 1:
			i, err := os.Stat(path)
			if err != nil {
				return err
			}
			return os.Truncate(path, d.rng.Int64N(i.Size()+1))
		}
		return nil
	})
}

// Contains reports whether text occurs in a synced key or value.
func (d *Disk) Contains(text string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.synced {
		if bytes.Contains([]byte(k), []byte(text)) || bytes.Contains(v, []byte(text)) {
			return true
		}
	}
	return false
}

func (d *Disk) eachFile(f func(string) error) error {
	if d.Dir == "" {
		return nil
	}
	ps, err := filepath.Glob(filepath.Join(d.Dir, "*"))
	for _, p := range ps {
		err = errors.Join(err, f(p))
	}
	return err
}

// Handle is one process's handle of a disk.
type Handle struct {
	Disk *Disk
	Proc *Proc
	// SkipDelay is set while the process starts: its first sync then takes no time, because
	// the whole simulation waits for it.
	SkipDelay bool
}

// Load returns a copy of what was synced.
func (x *Handle) Load() (map[string][]byte, error) {
	x.Disk.mu.Lock()
	defer x.Disk.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range x.Disk.synced {
		out[k] = bytes.Clone(v)
	}
	return out, nil
}

// Commit syncs puts. If the process is killed meanwhile, only a random prefix of them is
// written.
func (x *Handle) Commit(puts []storage.Put) error {
	d := x.Disk
	if !x.SkipDelay {
		d.mu.Lock()
		t := d.minSync + time.Duration(d.rng.Int64N(int64(d.maxSync-d.minSync)+1))
		d.mu.Unlock()
		x.Proc.WaitThawed()
		time.Sleep(t)
		x.Proc.WaitThawed()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
		return errIO
	}
	dead := x.Proc.Ended()
	for _, p := range puts {
		if dead && d.rng.IntN(2) == 0 {
			break
		}
		if p.Value == nil {
			delete(d.synced, p.Key)
		} else {
			d.synced[p.Key] = bytes.Clone(p.Value)
		}
	}
	if dead {
		return errProcessEnded
	}
	return nil
}

// Close releases the handle; it does nothing.
func (x *Handle) Close() error { return nil }
