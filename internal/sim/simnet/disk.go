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
	errDead = errors.New("process ended")
	errDisk = errors.New("input/output error")
)

// Disk outlives the processes on its host. What was synced lasts until it is wiped; what
// a killed process was syncing is torn. Dir has files that nobody syncs; "" is none.
type Disk struct {
	Dir string

	mu          sync.Mutex
	rnd         *rand.Rand
	synced      map[string][]byte
	least, most time.Duration
	fails       bool
}

// NewDisk makes an empty disk.
func NewDisk(rnd *rand.Rand, dir string) *Disk {
	return &Disk{Dir: dir, rnd: rnd, synced: map[string][]byte{}, least: 200 * time.Microsecond, most: 3 * time.Millisecond}
}

// Pace sets how long a sync takes.
func (d *Disk) Pace(least, most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.least, d.most = least, most
}

// Refuse makes every sync fail, or ends that.
func (d *Disk) Refuse(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = on
}

// Refuses tells whether every sync fails now.
func (d *Disk) Refuses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fails
}

// Wipe empties the disk. No process may be using it.
func (d *Disk) Wipe() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = map[string][]byte{}
	return d.files(os.Remove)
}

// PowerLoss takes from each file that nobody synced nothing, its end, or all.
func (d *Disk) PowerLoss() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.files(func(path string) error {
		switch d.rnd.IntN(3) {
		case 0:
			return os.Truncate(path, 0)
		case 1:
			i, err := os.Stat(path)
			if err != nil {
				return err
			}
			return os.Truncate(path, d.rnd.Int64N(i.Size()+1))
		}
		return nil
	})
}

// Holds tells whether a text stands in what was synced.
func (d *Disk) Holds(text string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.synced {
		if bytes.Contains([]byte(k), []byte(text)) || bytes.Contains(v, []byte(text)) {
			return true
		}
	}
	return false
}

func (d *Disk) files(f func(string) error) error {
	if d.Dir == "" {
		return nil
	}
	ps, err := filepath.Glob(filepath.Join(d.Dir, "*"))
	for _, p := range ps {
		err = errors.Join(err, f(p))
	}
	return err
}

// Handle is one process's use of a disk.
type Handle struct {
	D *Disk
	P *Proc
	// Calm is set while the process starts: its first sync takes no time, for the world
	// waits for it.
	Calm bool
}

// Load reads what was synced.
func (x *Handle) Load() (map[string][]byte, error) {
	x.D.mu.Lock()
	defer x.D.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range x.D.synced {
		out[k] = bytes.Clone(v)
	}
	return out, nil
}

// Commit syncs puts.
func (x *Handle) Commit(puts []storage.Put) error {
	d := x.D
	if !x.Calm {
		d.mu.Lock()
		t := d.least + time.Duration(d.rnd.Int64N(int64(d.most-d.least)+1))
		d.mu.Unlock()
		x.P.Awake()
		time.Sleep(t)
		x.P.Awake()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fails {
		return errDisk
	}
	dead := x.P.Dead()
	for _, p := range puts {
		if dead && d.rnd.IntN(2) == 0 {
			break
		}
		if p.Value == nil {
			delete(d.synced, p.Key)
		} else {
			d.synced[p.Key] = bytes.Clone(p.Value)
		}
	}
	if dead {
		return errDead
	}
	return nil
}

// Close ends the use.
func (x *Handle) Close() error { return nil }
