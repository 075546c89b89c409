package sim

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/storage"
)

// Disk is a simulated disk that outlives the processes on its host. A process accesses it
// through a diskHandle, which ends with the process.
type Disk struct {
	mu     sync.Mutex
	rng    *rand.Rand
	synced map[string][]byte
	// MinSync and MaxSync bound the duration of one sync.
	MinSync, MaxSync time.Duration
	failNext         bool
	Syncs            int
}

func newDisk(rnd *rand.Rand) *Disk {
	return &Disk{rng: rnd, synced: map[string][]byte{}, MinSync: 200 * time.Microsecond, MaxSync: 4 * time.Millisecond}
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = map[string][]byte{}
}

// SetSyncTime sets the bounds of the duration of a sync.
func (d *Disk) SetSyncTime(minSync, maxSync time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.MinSync, d.MaxSync = minSync, maxSync
}

// FailNextSync makes the next sync fail.
func (d *Disk) FailNextSync() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failNext = true
}

// diskHandle is one process's handle of a disk.
type diskHandle struct {
	disk   *Disk
	host   *Host
	client *linkClient
	// skipDelay is set while the process starts: its first sync then takes no time, because
	// the simulation waits for it under a lock.
	skipDelay bool
}

var errProcessEnded = errors.New("process ended")

// Load returns a copy of what was synced.
func (x *diskHandle) Load() (map[string][]byte, error) {
	x.disk.mu.Lock()
	defer x.disk.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range x.disk.synced {
		out[k] = append([]byte(nil), v...)
	}
	return out, nil
}

// Commit syncs puts. If the process is killed meanwhile, only a random prefix of them is
// written: a torn tail.
func (x *diskHandle) Commit(puts []storage.Put) error {
	if x.skipDelay {
		x.disk.mu.Lock()
		defer x.disk.mu.Unlock()
		x.disk.apply(puts)
		return nil
	}
	x.host.waitThawed()
	x.disk.mu.Lock()
	t := x.disk.MinSync + time.Duration(x.disk.rng.Int64N(int64(x.disk.MaxSync-x.disk.MinSync)+1))
	x.disk.mu.Unlock()
	time.Sleep(t)
	dead := x.client.procCtx.Err() != nil
	x.host.waitThawed()
	x.disk.mu.Lock()
	defer x.disk.mu.Unlock()
	if x.disk.failNext {
		x.disk.failNext = false
		return errors.New("input/output error")
	}
	x.disk.Syncs++
	for _, p := range puts {
		if dead && x.disk.rng.IntN(2) == 0 {
			break
		}
		x.disk.apply([]storage.Put{p})
	}
	if dead {
		return errProcessEnded
	}
	return nil
}

// apply writes puts. d.mu must be held.
func (d *Disk) apply(puts []storage.Put) {
	for _, p := range puts {
		if p.Value == nil {
			delete(d.synced, p.Key)
		} else {
			d.synced[p.Key] = append([]byte(nil), p.Value...)
		}
	}
}

// Close releases the handle; it does nothing.
func (x *diskHandle) Close() error { return nil }
