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

// ErrCorrupt reports that a file is damaged ahead of values that were synced
// later: its owner must not vote based on what remains of it (design 5.3).
var ErrCorrupt = errors.New("file is corrupt ahead of a later commit")

// commitMarkerKey is the key that each commit writes last. It distinguishes a torn tail
// from damage in the middle of the file (design 5.3).
const commitMarkerKey = "~commit"

// minRewriteSize is the file size above which the file may be rewritten to compact it.
const minRewriteSize = 8 << 20

// BuntDisk is a Disk on a single buntdb file. buntdb ignores errors of its own sync,
// counts trailing zero bytes as part of the file's length, and renames a compacted
// file without having synced it; BuntDisk handles all three itself (design 5.2).
type BuntDisk struct {
	mu            sync.Mutex
	path          string
	db            *buntdb.DB
	syncFile      *os.File // separate descriptor, so that errors of Sync are reported
	commitCount   uint64
	rewrittenSize int64 // file size when opened or after the last rewrite
	failure       error // error that all later commits return
}

// OpenBuntDisk opens or creates the file with the given name in the data folder dir.
func OpenBuntDisk(dir, name string) (*BuntDisk, error) {
	b := &BuntDisk{path: filepath.Join(dir, name)}
	_ = os.Remove(b.path + ".new")
	if err := truncateTornTail(b.path); err != nil {
		return nil, steperr.Wrap("mend file", "", err)
	}
	if err := b.open(); err != nil {
		return nil, steperr.Wrap("open file", "", err)
	}
	return b, nil
}

func (b *BuntDisk) open() error {
	db, err := buntdb.Open(b.path)
	if err != nil {
		return err
	}
	var config buntdb.Config
	if err := db.ReadConfig(&config); err != nil {
		return err
	}
	config.SyncPolicy = buntdb.Always
	config.AutoShrinkDisabled = true
	if err := db.SetConfig(config); err != nil {
		return err
	}
	syncFile, err := os.OpenFile(b.path, os.O_RDWR, 0)
	if err != nil {
		_ = db.Close()
		return err
	}
	// Data that was not synced before a crash may be readable now but lost after the next
	// crash: sync it before anything relies on it.
	if err := syncFile.Sync(); err != nil {
		return err
	}
	if err := syncDir(filepath.Dir(b.path)); err != nil {
		return err
	}
	b.db, b.syncFile = db, syncFile
	if fi, err := syncFile.Stat(); err == nil {
		b.rewrittenSize = fi.Size()
	}
	return db.View(func(tx *buntdb.Tx) error {
		s, err := tx.Get(commitMarkerKey)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		b.commitCount, err = strconv.ParseUint(s, 10, 64)
		return err
	})
}

// truncateTornTail removes a torn tail before buntdb reads the file: trailing zero bytes and
// trailing bytes that are not a complete command. If a later commit follows the damage, it returns
// ErrCorrupt.
func truncateTornTail(path string) error {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	// Values are stored in base64, so a zero byte is never part of a command.
	validLen := len(raw)
	if i := bytes.IndexByte(raw, 0); i >= 0 {
		validLen = i
	}
	if !isLoadable(raw[:validLen]) {
		// If a prefix loads, so do all shorter ones: search for the longest prefix that loads.
		lo, hi := 0, validLen
		for lo < hi {
			mid := (lo + hi + 1) / 2
			if isLoadable(raw[:mid]) {
				lo = mid
			} else {
				hi = mid - 1
			}
		}
		validLen = lo
	}
	if bytes.Contains(raw[validLen:], []byte("\r\n$"+strconv.Itoa(len(commitMarkerKey))+"\r\n"+commitMarkerKey+"\r\n")) {
		return ErrCorrupt
	}
	if validLen == len(raw) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(int64(validLen)); err != nil {
		return err
	}
	return f.Sync()
}

// isLoadable reports whether buntdb can load b, which may end with an incomplete command.
func isLoadable(b []byte) bool {
	db, err := buntdb.Open(":memory:")
	if err != nil {
		return false
	}
	defer db.Close()
	err = db.Load(bytes.NewReader(b))
	return err == nil || errors.Is(err, io.ErrUnexpectedEOF)
}

// Path returns the path of the file.
func (b *BuntDisk) Path() string { return b.path }

// Load returns all stored values.
func (b *BuntDisk) Load() (map[string][]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := map[string][]byte{}
	var decodeErr error
	err := b.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(k, v string) bool {
			if k != commitMarkerKey {
				values[k], decodeErr = base64.StdEncoding.DecodeString(v)
			}
			return decodeErr == nil
		})
	})
	return values, steperr.Wrap("load", "", errors.Join(err, decodeErr))
}

// A write that fails for lack of disk space is retried every noSpaceRetryInterval, for at most noSpaceRetryLimit.
const (
	noSpaceRetryInterval = 100 * time.Millisecond
	noSpaceRetryLimit    = 30 * time.Second
)

// Commit writes puts in one transaction and syncs it. If the disk is full, the transaction is rolled back as a whole
// and nothing is synced, so Commit retries until there is space, as it would wait for a disk that hangs.
func (b *BuntDisk) Commit(puts []Put) error {
	for deadline := time.Now().Add(noSpaceRetryLimit); ; time.Sleep(noSpaceRetryInterval) {
		err := b.tryCommit(puts, time.Now().Before(deadline))
		if !errors.Is(err, errNoSpace) {
			return err
		}
	}
}

// errNoSpace reports that a transaction was rolled back because the disk was full.
var errNoSpace = errors.New("no space on the disk")

// tryCommit makes one attempt. retryNoSpace means that the caller retries if there is no space, so the disk has not failed.
func (b *BuntDisk) tryCommit(puts []Put, retryNoSpace bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure != nil {
		return b.failure
	}
	err := b.commit(puts)
	switch {
	case retryNoSpace && errors.Is(err, errNoSpace):
		return err
	case errors.Is(err, errNoSpace):
		b.failure = steperr.New("sync", "", "%v, for %v", err, noSpaceRetryLimit)
		return b.failure
	case err != nil:
		// A failed sync may have dropped the dirty pages; the result of a later sync
		// says nothing about them (design 5.2).
		b.failure = steperr.Wrap("sync", "", err)
		return b.failure
	}
	return nil
}

func (b *BuntDisk) commit(puts []Put) error {
	b.commitCount++
	err := b.db.Update(func(tx *buntdb.Tx) error {
		for _, put := range puts {
			if put.Value == nil {
				if _, err := tx.Delete(put.Key); err != nil && !errors.Is(err, buntdb.ErrNotFound) {
					return err
				}
				continue
			}
			if _, _, err := tx.Set(put.Key, base64.StdEncoding.EncodeToString(put.Value), nil); err != nil {
				return err
			}
		}
		_, _, err := tx.Set(commitMarkerKey, strconv.FormatUint(b.commitCount, 10), nil)
		return err
	})
	if isNoSpace(err) {
		return errors.Join(errNoSpace, err)
	}
	if err != nil {
		return err
	}
	if err := b.syncFile.Sync(); err != nil {
		return err
	}
	fi, err := b.syncFile.Stat()
	if err != nil {
		return err
	}
	if fi.Size() > minRewriteSize && fi.Size() > 2*b.rewrittenSize {
		return b.rewrite()
	}
	return nil
}

// rewrite compacts the file: it writes the live values to a new file and syncs that before
// it replaces the old file.
func (b *BuntDisk) rewrite() error {
	newPath := b.path + ".new"
	if err := b.saveTo(newPath); isNoSpace(err) {
		// The old file holds all commits, synced, and stays in use.
		return os.Remove(newPath)
	} else if err != nil {
		return err
	}
	if err := b.db.Close(); err != nil {
		return err
	}
	if err := b.syncFile.Close(); err != nil {
		return err
	}
	if err := os.Rename(newPath, b.path); err != nil {
		return err
	}
	if err := syncDir(filepath.Dir(b.path)); err != nil {
		return err
	}
	return b.open()
}

// saveTo writes the live values to a new file and syncs it.
func (b *BuntDisk) saveTo(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := b.db.Save(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return errors.Join(f.Sync(), f.Close())
}

// isNoSpace reports whether a write failed for lack of space: on the disk, or by a limit of the user or the process.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Close closes the file; later commits fail.
func (b *BuntDisk) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == nil {
		b.failure = steperr.New("close", "", "disk closed")
	}
	return errors.Join(b.db.Close(), b.syncFile.Close())
}

func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
