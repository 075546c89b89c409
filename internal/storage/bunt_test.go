package storage

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func put(k, v string) []Put { return []Put{{Key: k, Value: []byte(v)}} }

func open(t *testing.T, dir string) *Bunt {
	t.Helper()
	b, err := OpenBunt(dir, "x.db")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func load(t *testing.T, b *Bunt) map[string]string {
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

// filled writes three commits and tells the file's bytes and its length after
// the second.
func filled(t *testing.T) (raw []byte, second int) {
	t.Helper()
	dir := t.TempDir()
	b := open(t, dir)
	for i, p := range [][]Put{put("a", "1\x00\r\n*3"), put("b", "2"), put("c", "3")} {
		if err := b.Commit(p); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			fi, err := os.Stat(filepath.Join(dir, "x.db"))
			if err != nil {
				t.Fatal(err)
			}
			second = int(fi.Size())
		}
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "x.db"))
	if err != nil {
		t.Fatal(err)
	}
	return raw, second
}

// reopen opens a file with these bytes, writes once more, and opens it again:
// what is written after a mend must last too.
func reopen(t *testing.T, raw []byte) (map[string]string, error) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "x.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := OpenBunt(dir, "x.db")
	if err != nil {
		return nil, err
	}
	if err := b.Commit(put("z", "26")); err != nil {
		t.Fatal(err)
	}
	_ = b.Close()
	b = open(t, dir)
	defer b.Close()
	m := load(t, b)
	if m["z"] != "26" {
		t.Fatalf("what was written after the mend is gone: %v", m)
	}
	return m, nil
}

func TestTornTailKeepsWhatWasSynced(t *testing.T) {
	raw, second := filled(t)
	for n := second; n <= len(raw); n++ {
		for name, tail := range map[string][]byte{"cut": nil, "zeros": make([]byte, 50), "garbage": []byte("\xfe#7$*%%")} {
			m, err := reopen(t, append(bytes.Clone(raw[:n]), tail...))
			if err != nil {
				t.Fatalf("%s at %d of %d: %v", name, n, len(raw), err)
			}
			if m["a"] != "1\x00\r\n*3" || m["b"] != "2" {
				t.Fatalf("%s at %d of %d: synced values gone: %v", name, n, len(raw), m)
			}
		}
	}
}

func TestDamageBeforeALaterCommitIsTold(t *testing.T) {
	raw, second := filled(t)
	for _, b := range []byte{0, '#'} {
		bad := bytes.Clone(raw)
		for i := second - 20; i < second-5; i++ {
			bad[i] = b
		}
		if _, err := reopen(t, bad); !errors.Is(err, ErrSpoiled) {
			t.Fatalf("damage by %q in the middle: %v, want ErrSpoiled", b, err)
		}
	}
}

func TestRewriteKeepsLiveValues(t *testing.T) {
	dir := t.TempDir()
	b := open(t, dir)
	big := bytes.Repeat([]byte("v"), 1<<20)
	for i := range 20 {
		if err := b.Commit([]Put{{Key: "big", Value: big}, {Key: fmt.Sprint(i), Value: []byte{byte(i)}}, {Key: "0"}}); err != nil {
			t.Fatal(err)
		}
	}
	if fi, _ := os.Stat(filepath.Join(dir, "x.db")); fi.Size() > 3*shrinkAt {
		t.Fatalf("file has grown to %d", fi.Size())
	}
	_ = b.Close()
	b = open(t, dir)
	defer b.Close()
	m := load(t, b)
	if len(m) != 20 || m["big"] != string(big) || m["19"] != "\x13" {
		t.Fatalf("%d values after the rewrite, want 20", len(m))
	}
}

func TestFailedSyncEndsTheDisk(t *testing.T) {
	b := open(t, t.TempDir())
	if err := b.Commit(put("a", "1")); err != nil {
		t.Fatal(err)
	}
	// Our own descriptor is closed under it: its sync fails, as a bad disk's does.
	_ = b.own.Close()
	if b.Commit(put("b", "2")) == nil {
		t.Fatal("a failed sync was not told")
	}
	b.own, _ = os.OpenFile(b.path, os.O_RDWR, 0)
	if b.Commit(put("c", "3")) == nil {
		t.Fatal("a disk that failed once was written again")
	}
}
