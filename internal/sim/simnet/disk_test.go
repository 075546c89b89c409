package simnet

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/storage"
)

func TestADiskKeepsWhatWasSynced(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		h := New(1, time.Millisecond, 2*time.Millisecond, 0).Host("a", "z")
		d := NewDisk(rand.New(rand.NewPCG(1, 1)), dir)
		p := h.Start(t.Context(), "p")
		x := &Handle{Disk: d, Proc: p}
		at := time.Now()
		if err := x.Commit([]storage.Put{{Key: "k", Value: []byte("v")}}); err != nil || time.Since(at) < 200*time.Microsecond {
			t.Errorf("synced in %v: %v", time.Since(at), err)
		}
		d.SetFailing(true)
		if err := x.Commit([]storage.Put{{Key: "k", Value: []byte("w")}}); !errors.Is(err, errIO) {
			t.Errorf("commit on a failing disk: %v", err)
		}
		d.SetFailing(false)
		// A process that is killed during a sync leaves a prefix of the puts.
		torn := 0
		for range 50 {
			p = h.Start(t.Context(), "p")
			x = &Handle{Disk: d, Proc: p, SkipDelay: true}
			if err := x.Commit([]storage.Put{{Key: "a"}, {Key: "b"}}); err != nil {
				t.Fatal(err)
			}
			x.SkipDelay = false
			done := make(chan error)
			go func() {
				done <- x.Commit([]storage.Put{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}})
			}()
			synctest.Wait()
			p.Kill()
			if err := <-done; !errors.Is(err, errProcessEnded) {
				t.Fatal(err)
			}
			m, _ := x.Load()
			if m["b"] != nil && m["a"] == nil {
				t.Fatal("the second put was written without the first")
			}
			if m["a"] != nil && m["b"] == nil {
				torn++
			}
		}
		if torn == 0 {
			t.Error("no sync was torn")
		}
		if m, _ := x.Load(); string(m["k"]) != "v" {
			t.Errorf("%q was kept", m["k"])
		}
		file := filepath.Join(dir, "f")
		lost := map[int]bool{}
		for range 50 {
			if err := os.WriteFile(file, make([]byte, 1000), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := d.PowerLoss(); err != nil {
				t.Fatal(err)
			}
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			lost[len(b)] = true
		}
		if !lost[0] || !lost[1000] || len(lost) < 5 {
			t.Errorf("a power loss left %v", lost)
		}
		if err := d.Wipe(); err != nil {
			t.Fatal(err)
		}
		if m, _ := x.Load(); len(m) > 0 {
			t.Errorf("%v on a wiped disk", m)
		}
		if _, err := os.Stat(file); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("a file on a wiped disk: %v", err)
		}
	})
}
