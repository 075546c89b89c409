package sim

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/storage"
)

// Disk is a disk that outlives the processes on its host. A process sees it
// through a handle, which dies with the process.
type Disk struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	synced map[string][]byte
	// Least and Most bound the time of one sync.
	Least, Most time.Duration
	fail        bool
	Syncs       int
}

func newDisk(rnd *rand.Rand) *Disk {
	return &Disk{rnd: rnd, synced: map[string][]byte{}, Least: 200 * time.Microsecond, Most: 4 * time.Millisecond}
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = map[string][]byte{}
}

// Pace sets how long syncs take.
func (d *Disk) Pace(least, most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Least, d.Most = least, most
}

// Fail makes the next sync fail.
func (d *Disk) Fail() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = true
}

// handle is one process's use of a disk.
type handle struct {
	d *Disk
	h *Host
	l *line
	// calm is set while the process starts: its first sync takes no time, for the
	// world waits under a lock.
	calm bool
}

var errDead = errors.New("process ended")

// Load reads what was synced.
func (x *handle) Load() (map[string][]byte, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range x.d.synced {
		out[k] = append([]byte(nil), v...)
	}
	return out, nil
}

// Commit syncs puts. A process killed meanwhile leaves each of them written or
// not, as chance has it: a torn tail.
func (x *handle) Commit(puts []storage.Put) error {
	if x.calm {
		x.d.mu.Lock()
		defer x.d.mu.Unlock()
		x.d.take(puts)
		return nil
	}
	x.h.awake()
	x.d.mu.Lock()
	t := x.d.Least + time.Duration(x.d.rnd.Int64N(int64(x.d.Most-x.d.Least)+1))
	x.d.mu.Unlock()
	time.Sleep(t)
	dead := x.l.run.Err() != nil
	x.h.awake()
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if x.d.fail {
		x.d.fail = false
		return errors.New("input/output error")
	}
	x.d.Syncs++
	for _, p := range puts {
		if dead && x.d.rnd.IntN(2) == 0 {
			break
		}
		x.d.take([]storage.Put{p})
	}
	if dead {
		return errDead
	}
	return nil
}

// take writes puts, under the lock.
func (d *Disk) take(puts []storage.Put) {
	for _, p := range puts {
		if p.Value == nil {
			delete(d.synced, p.Key)
		} else {
			d.synced[p.Key] = append([]byte(nil), p.Value...)
		}
	}
}

// Close ends the use.
func (x *handle) Close() error { return nil }
