package storage

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// slowDisk takes a while for each commit, and fails when told to.
type slowDisk struct {
	Disk
	takes time.Duration
	err   error
}

func (d *slowDisk) Commit([]Put) error {
	time.Sleep(d.takes)
	return d.err
}

func TestAMeterTellsOfWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &slowDisk{takes: 3 * time.Millisecond}
		d, m := MeterDisk(in, clock.Wall{})
		if f := m.Figures(); f != (Figures{Name: "disk"}) {
			t.Errorf("before any write: %+v", f)
		}
		_ = d.Commit(nil)
		in.takes = time.Millisecond
		_ = d.Commit(nil)
		time.Sleep(time.Second)
		want := Figures{Name: "disk", Writes: 2, Last: time.Second, Took: time.Millisecond, Longest: 3 * time.Millisecond}
		if f := m.Figures(); f != want {
			t.Errorf("%+v, want %+v", f, want)
		}
		// A write that hangs shows while it does, and a meter does not wait for it.
		in.takes, in.err = time.Minute, errors.New("no space")
		done := make(chan error)
		go func() { done <- d.Commit(nil) }()
		time.Sleep(10 * time.Second)
		if f := m.Figures(); f.Busy != 10*time.Second || f.Writes != 2 {
			t.Errorf("%+v", f)
		}
		if err := <-done; !errors.Is(err, in.err) {
			t.Errorf("the disk's error became %v", err)
		}
		if f := m.Figures(); f.Busy != 0 || f.Failures != 1 || f.Err != "no space" || f.Last != time.Minute+time.Second || f.Longest != time.Minute {
			t.Errorf("%+v", f)
		}
	})
}

func TestAMeterKnowsItsFile(t *testing.T) {
	dir := t.TempDir()
	b := open(t, dir)
	defer b.Close()
	d, m := MeterDisk(b, clock.Wall{})
	if err := d.Commit(put("a", "1")); err != nil {
		t.Fatal(err)
	}
	if f := m.Figures(); f.Name != "x.db" || !f.Sized || f.Size == 0 || f.Writes != 1 {
		t.Errorf("%+v", f)
	}
	j, n := MeterJournal(OpenJournal(dir, "y"), clock.Wall{})
	if f := n.Figures(); f.Name != "y" || f.Sized {
		t.Errorf("before there is a file: %+v", f)
	}
	if j.Append(nil) == nil || j.Replace([][]byte{[]byte("a")}) != nil || j.Append([][]byte{[]byte("b")}) != nil || j.Close() != nil {
		t.Error("the journal behaves in another way")
	}
	if f := n.Figures(); f.Writes != 3 || f.Failures != 1 || f.Err == "" || f.Size != 2*10 {
		t.Errorf("%+v", f)
	}
}
