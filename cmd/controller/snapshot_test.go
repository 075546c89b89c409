package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/storage"
)

// coreDataDirs creates the data folders of a core of three voters that hold the given items.
func coreDataDirs(t *testing.T, items []item.Item) (dirs []string) {
	t.Helper()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	core := quorum.Core{Epoch: 1}
	var muxes []*link.Mux
	var disks []*storage.BuntDisk
	var stopped []chan struct{}
	for _, id := range []string{"a", "b", "c"} {
		dir := t.TempDir()
		d, err := storage.OpenBuntDisk(dir, dataFile)
		if err != nil {
			t.Fatal(err)
		}
		v, err := quorum.NewVoter(quorum.Seat{ID: id, Addr: id}, d, "disk-"+id, nil, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		mux, done := link.NewMux(), make(chan struct{})
		v.Serve(mux)
		go func() {
			defer close(done)
			v.Run(ctx)
		}()
		core.Seats = append(core.Seats, v.Seat())
		dirs, muxes, disks, stopped = append(dirs, dir), append(muxes, mux), append(disks, d), append(stopped, done)
	}
	for i, mux := range muxes {
		for _, ask := range []any{quorum.FormAsk{By: "a", Core: core}, quorum.FormAsk{By: "a", Core: core, Seal: true},
			quorum.MergeAsk{Mark: quorum.Mark{Epoch: 1, Disk: core.Seats[i].Disk}, Items: items}} {
			if _, err := mux.Dispatch(ctx, link.Identity{ID: "t"}, ask); err != nil {
				t.Fatal(err)
			}
		}
	}
	end()
	for i, d := range disks {
		<-stopped[i]
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return dirs
}

func snapshotCommand(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = runSnapshot(args, &o, &e)
	return code, o.String(), e.String()
}

func TestASnapshotIsTakenCheckedAndRestored(t *testing.T) {
	items := []item.Item{
		{Key: item.Key{Kind: item.Route, Name: "r"}, Version: 7, Body: []byte("{}")},
		{Key: item.Key{Kind: item.Route, Name: "old"}, Version: 9, Gone: true},
		{Key: item.Key{Kind: item.Service, Name: "s"}, Version: 3, Body: []byte("{}")},
		{Key: item.Key{Kind: item.Departure, Name: "i-1"}, Version: 2, Body: []byte("x")},
	}
	dirs := coreDataDirs(t, items)
	path := filepath.Join(t.TempDir(), "snapshot")
	if code, _, errs := snapshotCommand("take", path, "--data", dirs[0]); code != 1 || !strings.Contains(errs, "too few disks") {
		t.Errorf("one disk of three: %d, %s", code, errs)
	}
	code, out, errs := snapshotCommand("take", path, "--data", dirs[0], "--data", dirs[2])
	if code != 0 {
		t.Fatalf("take: %d, %s", code, errs)
	}
	for _, want := range []string{"epoch 1, disks of a, c", "routes: 1, and 1 dropped; newest version 9", "services: 1, and 0 dropped; newest version 3"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not printed: %s", want, out)
		}
	}
	if code, checked, errs := snapshotCommand("check", path); code != 0 || checked != out {
		t.Errorf("check: %d, %s, %s", code, checked, errs)
	}
	empty := t.TempDir()
	if code, _, errs := snapshotCommand("restore", path, "--data", empty); code != 0 {
		t.Fatalf("restore: %d, %s", code, errs)
	}
	d, err := storage.OpenBuntDisk(empty, dataFile)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	v, err := quorum.NewVoter(quorum.Seat{ID: "new", Addr: "new"}, d, "fresh", nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if v.Seat().Disk != "fresh" || v.Core().Epoch != 0 {
		t.Errorf("a restored disk has seat %v and core %v", v.Seat(), v.Core())
	}
	versions := map[string]uint64{}
	for _, it := range v.LoadedMergeItems() {
		versions[it.Name] = it.Version
	}
	if len(versions) != 3 || versions["r"] != 7 || versions["old"] != 9 || versions["s"] != 3 {
		t.Errorf("restored: %v", versions)
	}
}

func TestSnapshotsRefuseWhatIsWrong(t *testing.T) {
	dirs := coreDataDirs(t, nil)
	path := filepath.Join(t.TempDir(), "snapshot")
	if code, _, errs := snapshotCommand("take", path, "--data", dirs[0], "--data", dirs[1]); code != 0 {
		t.Fatal(errs)
	}
	damaged := filepath.Join(t.TempDir(), "damaged")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)/2] ^= 1
	if err := os.WriteFile(damaged, b, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		code    int
		message string
		args    []string
	}{
		"no verb":            {2, "must be given", nil},
		"no folder":          {2, "required", []string{"take", path}},
		"a file that stands": {1, "exists", []string{"take", path, "--data", dirs[0], "--data", dirs[1]}},
		"no such folder":     {1, "no such", []string{"take", path + "2", "--data", dirs[0] + "x"}},
		"damaged":            {1, "damaged", []string{"check", damaged}},
		"damaged, restored":  {1, "damaged", []string{"restore", damaged, "--data", t.TempDir()}},
		"a folder in use":    {1, "not empty", []string{"restore", path, "--data", dirs[0]}},
	} {
		if code, _, errs := snapshotCommand(c.args...); code != c.code || !strings.Contains(errs, c.message) {
			t.Errorf("%s: %d, %s", name, code, errs)
		}
	}
}
