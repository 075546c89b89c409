package storage

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// slowDisk delays each commit and fails it if err is set.
type slowDisk struct {
	Disk
	delay time.Duration
	err   error
}

func (d *slowDisk) Commit([]Put) error {
	time.Sleep(d.delay)
	return d.err
}

func TestAMeterTellsOfWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &slowDisk{delay: 3 * time.Millisecond}
		d, m := MeterDisk(in, clock.Wall{})
		if f := m.Stats(); f != (WriteStats{Name: "disk"}) {
			t.Errorf("before any write: %+v", f)
		}
		_ = d.Commit(nil)
		in.delay = time.Millisecond
		_ = d.Commit(nil)
		time.Sleep(time.Second)
		want := WriteStats{Name: "disk", Writes: 2, SinceLastSuccess: time.Second, LastDuration: time.Millisecond, LongestDuration: 3 * time.Millisecond}
		if f := m.Stats(); f != want {
			t.Errorf("%+v, want %+v", f, want)
		}
		// A hanging write is visible while it is in progress, and Stats does not block on it.
		in.delay, in.err = time.Minute, errors.New("no space")
		done := make(chan error)
		go func() { done <- d.Commit(nil) }()
		time.Sleep(10 * time.Second)
		if f := m.Stats(); f.InProgressFor != 10*time.Second || f.Writes != 2 {
			t.Errorf("%+v", f)
		}
		if err := <-done; !errors.Is(err, in.err) {
			t.Errorf("the disk's error was changed to %v", err)
		}
		if f := m.Stats(); f.InProgressFor != 0 || f.Failures != 1 || f.LastError != "no space" || f.SinceLastSuccess != time.Minute+time.Second || f.LongestDuration != time.Minute {
			t.Errorf("%+v", f)
		}
	})
}

func TestAMeterKnowsItsFile(t *testing.T) {
	dir := t.TempDir()
	b := openDisk(t, dir)
	defer b.Close()
	d, m := MeterDisk(b, clock.Wall{})
	if err := d.Commit(onePut("a", "1")); err != nil {
		t.Fatal(err)
	}
	if f := m.Stats(); f.Name != "x.db" || !f.SizeKnown || f.Size == 0 || f.Writes != 1 {
		t.Errorf("%+v", f)
	}
	j, n := MeterJournal(OpenJournal(dir, "y"), clock.Wall{})
	if f := n.Stats(); f.Name != "y" || f.SizeKnown {
		t.Errorf("before the file exists: %+v", f)
	}
	if j.Append(nil) == nil || j.Replace([][]byte{[]byte("a")}) != nil || j.Append([][]byte{[]byte("b")}) != nil || j.Close() != nil {
		t.Error("the metered journal behaves differently from the journal itself")
	}
	if f := n.Stats(); f.Writes != 3 || f.Failures != 1 || f.LastError == "" || f.Size != 2*10 {
		t.Errorf("%+v", f)
	}
}
