package storage

import (
	"errors"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
)

// limitFileSize limits the size of files for this process until the returned function is called.
func limitFileSize(t *testing.T, maxSize int64) (restore func()) {
	t.Helper()
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &previous); err != nil {
		t.Fatal(err)
	}
	signal.Ignore(syscall.SIGXFSZ)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(maxSize), Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &previous); err != nil {
			t.Error(err)
		}
		signal.Reset(syscall.SIGXFSZ)
	}
}

// Guards against incident 40, last part: a voter whose disk was full exited, was restarted, and exited again.
func TestADiskWithoutRoomIsWaitedFor(t *testing.T) {
	dir := t.TempDir()
	b := openDisk(t, dir)
	if err := b.Commit(onePut("a", "1")); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(b.Path())
	if err != nil {
		t.Fatal(err)
	}
	restore := limitFileSize(t, info.Size()+10)
	large := strings.Repeat("x", 500)
	for range 3 {
		if err := b.tryCommit(onePut("b", large), true); !errors.Is(err, errNoSpace) {
			t.Fatalf("disk full: %v", err)
		}
	}
	if got := loadStrings(t, b); got["a"] != "1" || got["b"] != "" {
		t.Errorf("disk full: contains %v", got)
	}
	restore()
	if err := b.Commit(onePut("b", large)); err != nil {
		t.Fatalf("space available again: %v", err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	b = openDisk(t, dir)
	if got := loadStrings(t, b); got["a"] != "1" || got["b"] != large {
		t.Errorf("after a restart: contains %v", got)
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
}

// A disk that stays full for too long counts as failed, as after any other error.
func TestADiskThatStaysWithoutRoomFails(t *testing.T) {
	b := openDisk(t, t.TempDir())
	restore := limitFileSize(t, 10)
	err := b.tryCommit(onePut("b", strings.Repeat("x", 500)), false)
	restore()
	if err == nil {
		t.Fatal("committed on a full disk")
	}
	if retryErr := b.Commit(onePut("a", "1")); retryErr == nil {
		t.Error("a failed disk was written to again")
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
}
