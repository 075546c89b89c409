package storage

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/buntdb"

	"walkrudder/internal/steperr"
)

// ErrSpoiled says that a file holds damage before values that were synced
// later: its owner must not vote on what is left of it (design 5.3).
var ErrSpoiled = errors.New("file damaged in the middle")

// mark is written last in every commit's key space; it lets a torn tail be told
// from damage in the middle (design 5.3).
const mark = "~commit"

// shrinkAt is the file size at which a rewrite is first considered.
const shrinkAt = 8 << 20

// Bunt is a Disk on one buntdb file. buntdb drops the errors of its own sync,
// takes trailing zero bytes for part of the file's length, and renames a shrunk
// file that was never synced; Bunt answers for all three itself (design 5.2).
type Bunt struct {
	mu   sync.Mutex
	path string
	db   *buntdb.DB
	own  *os.File // our own descriptor: its Sync errors are seen
	n    uint64
	size int64 // size after the last rewrite
	bad  error
}

// OpenBunt opens or creates the file name in the data folder dir.
func OpenBunt(dir, name string) (*Bunt, error) {
	b := &Bunt{path: filepath.Join(dir, name)}
	_ = os.Remove(b.path + ".new")
	if err := mend(b.path); err != nil {
		return nil, steperr.Wrap("mend file", "", err)
	}
	if err := b.open(); err != nil {
		return nil, steperr.Wrap("open file", "", err)
	}
	return b, nil
}

func (b *Bunt) open() error {
	db, err := buntdb.Open(b.path)
	if err != nil {
		return err
	}
	var c buntdb.Config
	if err := db.ReadConfig(&c); err != nil {
		return err
	}
	c.SyncPolicy = buntdb.Always
	c.AutoShrinkDisabled = true
	if err := db.SetConfig(c); err != nil {
		return err
	}
	own, err := os.OpenFile(b.path, os.O_RDWR, 0)
	if err != nil {
		_ = db.Close()
		return err
	}
	// What survived a crash unsynced may be read now and gone after the next:
	// sync before anything is built on it.
	if err := own.Sync(); err != nil {
		return err
	}
	if err := syncDir(filepath.Dir(b.path)); err != nil {
		return err
	}
	b.db, b.own = db, own
	if fi, err := own.Stat(); err == nil {
		b.size = fi.Size()
	}
	return db.View(func(tx *buntdb.Tx) error {
		s, err := tx.Get(mark)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		b.n, err = strconv.ParseUint(s, 10, 64)
		return err
	})
}

// mend cuts a torn tail off before buntdb sees it: zero bytes at the end, and
// bytes at the end that are no command. Damage followed by a later commit is
// ErrSpoiled.
func mend(path string) error {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	// Values are kept in base64: a zero byte is never part of a command.
	good := len(raw)
	if i := bytes.IndexByte(raw, 0); i >= 0 {
		good = i
	}
	if !loads(raw[:good]) {
		// loads is monotone in the length: find the longest prefix that loads.
		lo, hi := 0, good
		for lo < hi {
			m := (lo + hi + 1) / 2
			if loads(raw[:m]) {
				lo = m
			} else {
				hi = m - 1
			}
		}
		good = lo
	}
	if bytes.Contains(raw[good:], []byte("\r\n$"+strconv.Itoa(len(mark))+"\r\n"+mark+"\r\n")) {
		return ErrSpoiled
	}
	if good == len(raw) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(int64(good)); err != nil {
		return err
	}
	return f.Sync()
}

// loads tells whether buntdb takes b, perhaps with an unfinished last command.
func loads(b []byte) bool {
	db, err := buntdb.Open(":memory:")
	if err != nil {
		return false
	}
	defer db.Close()
	err = db.Load(bytes.NewReader(b))
	return err == nil || errors.Is(err, io.ErrUnexpectedEOF)
}

// Path is the file's.
func (b *Bunt) Path() string { return b.path }

// Load reads all values.
func (b *Bunt) Load() (map[string][]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string][]byte{}
	var bad error
	err := b.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(k, v string) bool {
			if k != mark {
				out[k], bad = base64.StdEncoding.DecodeString(v)
			}
			return bad == nil
		})
	})
	return out, steperr.Wrap("load", "", errors.Join(err, bad))
}

// roomEvery is how often a write is tried that found no room on the disk, and roomFor how long.
const (
	roomEvery = 100 * time.Millisecond
	roomFor   = 30 * time.Second
)

// Commit writes puts in one transaction and syncs it. A disk without room is like one that hangs: the transaction was
// taken back whole, nothing was synced, and it waits until there is room.
func (b *Bunt) Commit(puts []Put) error {
	for until := time.Now().Add(roomFor); ; time.Sleep(roomEvery) {
		err := b.tryCommit(puts, time.Now().Before(until))
		if !errors.Is(err, errNoRoom) {
			return err
		}
	}
}

// errNoRoom says that a transaction found no room and was taken back.
var errNoRoom = errors.New("no room on the disk")

// tryCommit is one try. again says that there will be another one if there is no room.
func (b *Bunt) tryCommit(puts []Put, again bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bad != nil {
		return b.bad
	}
	err := b.commit(puts)
	switch {
	case again && errors.Is(err, errNoRoom):
		return err
	case errors.Is(err, errNoRoom):
		b.bad = steperr.New("sync", "", "%v, for %v", err, roomFor)
		return b.bad
	case err != nil:
		// A failed sync may have dropped the pages; what a later sync says of
		// them is worth nothing (design 5.2).
		b.bad = steperr.Wrap("sync", "", err)
		return b.bad
	}
	return nil
}

func (b *Bunt) commit(puts []Put) error {
	b.n++
	err := b.db.Update(func(tx *buntdb.Tx) error {
		for _, p := range puts {
			if p.Value == nil {
				if _, err := tx.Delete(p.Key); err != nil && !errors.Is(err, buntdb.ErrNotFound) {
					return err
				}
				continue
			}
			if _, _, err := tx.Set(p.Key, base64.StdEncoding.EncodeToString(p.Value), nil); err != nil {
				return err
			}
		}
		_, _, err := tx.Set(mark, strconv.FormatUint(b.n, 10), nil)
		return err
	})
	if noRoom(err) {
		return errors.Join(errNoRoom, err)
	}
	if err != nil {
		return err
	}
	if err := b.own.Sync(); err != nil {
		return err
	}
	fi, err := b.own.Stat()
	if err != nil {
		return err
	}
	if fi.Size() > shrinkAt && fi.Size() > 2*b.size {
		return b.rewrite()
	}
	return nil
}

// rewrite puts the live values in a new file, synced before it takes the old
// one's name.
func (b *Bunt) rewrite() error {
	tmp := b.path + ".new"
	if err := b.save(tmp); noRoom(err) {
		// What was committed is synced in the old file, which goes on.
		return os.Remove(tmp)
	} else if err != nil {
		return err
	}
	if err := b.db.Close(); err != nil {
		return err
	}
	if err := b.own.Close(); err != nil {
		return err
	}
	if err := os.Rename(tmp, b.path); err != nil {
		return err
	}
	if err := syncDir(filepath.Dir(b.path)); err != nil {
		return err
	}
	return b.open()
}

// save writes the live values to a new file, and syncs it.
func (b *Bunt) save(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := b.db.Save(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return errors.Join(f.Sync(), f.Close())
}

// noRoom tells whether a write found no room: on the disk, or by a limit of the user or the process.
func noRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Close ends the use of the file.
func (b *Bunt) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bad == nil {
		b.bad = steperr.New("close", "", "disk closed")
	}
	return errors.Join(b.db.Close(), b.own.Close())
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
