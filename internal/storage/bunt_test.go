package storage

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func onePut(k, v string) []Put { return []Put{{Key: k, Value: []byte(v)}} }

func openDisk(t *testing.T, dir string) *BuntDisk {
	t.Helper()
	b, err := OpenBuntDisk(dir, "x.db")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func loadStrings(t *testing.T, b *BuntDisk) map[string]string {
	t.Helper()
	m, err := b.Load()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for k, v := range m {
		out[k] = string(v)
	}
	return out
}

// threeCommits writes three commits and returns the bytes of the file and its length after
// the second commit.
func threeCommits(t *testing.T) (raw []byte, secondEnd int) {
	t.Helper()
	dir := t.TempDir()
	b := openDisk(t, dir)
	for i, p := range [][]Put{onePut("a", "1\x00\r\n*3"), onePut("b", "2"), onePut("c", "3")} {
		if err := b.Commit(p); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			fi, err := os.Stat(filepath.Join(dir, "x.db"))
			if err != nil {
				t.Fatal(err)
			}
			secondEnd = int(fi.Size())
		}
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "x.db"))
	if err != nil {
		t.Fatal(err)
	}
	return raw, secondEnd
}

// commitAfterReopen opens a file with these bytes, commits one more value, and opens it again:
// values that are written after a torn tail was removed must be durable too.
func commitAfterReopen(t *testing.T, raw []byte) (map[string]string, error) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "x.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := OpenBuntDisk(dir, "x.db")
	if err != nil {
		return nil, err
	}
	if err := b.Commit(onePut("z", "26")); err != nil {
		t.Fatal(err)
	}
	_ = b.Close()
	b = openDisk(t, dir)
	defer b.Close()
	m := loadStrings(t, b)
	if m["z"] != "26" {
		t.Fatalf("the value written after the torn tail was removed is lost: %v", m)
	}
	return m, nil
}

func TestTornTailKeepsWhatWasSynced(t *testing.T) {
	raw, second := threeCommits(t)
	for n := second; n <= len(raw); n++ {
		for name, tail := range map[string][]byte{"cut": nil, "zeros": make([]byte, 50), "garbage": []byte("\xfe#7$*%%")} {
			m, err := commitAfterReopen(t, append(bytes.Clone(raw[:n]), tail...))
			if err != nil {
				t.Fatalf("%s at %d of %d: %v", name, n, len(raw), err)
			}
			if m["a"] != "1\x00\r\n*3" || m["b"] != "2" {
				t.Fatalf("%s at %d of %d: synced values are lost: %v", name, n, len(raw), m)
			}
		}
	}
}

func TestDamageBeforeALaterCommitIsTold(t *testing.T) {
	raw, second := threeCommits(t)
	for _, b := range []byte{0, '#'} {
		bad := bytes.Clone(raw)
		for i := second - 20; i < second-5; i++ {
			bad[i] = b
		}
		if _, err := commitAfterReopen(t, bad); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("damage by %q in the middle: %v, want ErrCorrupt", b, err)
		}
	}
}

func TestRewriteKeepsLiveValues(t *testing.T) {
	dir := t.TempDir()
	b := openDisk(t, dir)
	big := bytes.Repeat([]byte("v"), 1<<20)
	for i := range 20 {
		if err := b.Commit([]Put{{Key: "big", Value: big}, {Key: fmt.Sprint(i), Value: []byte{byte(i)}}, {Key: "0"}}); err != nil {
			t.Fatal(err)
		}
	}
	if fi, _ := os.Stat(filepath.Join(dir, "x.db")); fi.Size() > 3*minRewriteSize {
		t.Fatalf("file has grown to %d bytes", fi.Size())
	}
	_ = b.Close()
	b = openDisk(t, dir)
	defer b.Close()
	m := loadStrings(t, b)
	if len(m) != 20 || m["big"] != string(big) || m["19"] != "\x13" {
		t.Fatalf("%d values after the rewrite, want 20", len(m))
	}
}

func TestFailedSyncEndsTheDisk(t *testing.T) {
	b := openDisk(t, t.TempDir())
	if err := b.Commit(onePut("a", "1")); err != nil {
		t.Fatal(err)
	}
	// Closing the separate descriptor makes its sync fail, as on a bad disk.
	_ = b.syncFile.Close()
	if b.Commit(onePut("b", "2")) == nil {
		t.Fatal("a failed sync was not reported")
	}
	b.syncFile, _ = os.OpenFile(b.path, os.O_RDWR, 0)
	if b.Commit(onePut("c", "3")) == nil {
		t.Fatal("a failed disk was written to again")
	}
}
