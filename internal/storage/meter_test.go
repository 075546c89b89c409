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
		inner := &slowDisk{delay: 3 * time.Millisecond}
		disk, meter := MeterDisk(inner, clock.Wall{})
		if stats := meter.Stats(); stats != (WriteStats{Name: "disk"}) {
			t.Errorf("before any write: %+v", stats)
		}
		_ = disk.Commit(nil)
		inner.delay = time.Millisecond
		_ = disk.Commit(nil)
		time.Sleep(time.Second)
		want := WriteStats{Name: "disk", Writes: 2, SinceLastSuccess: time.Second, LastDuration: time.Millisecond, LongestDuration: 3 * time.Millisecond}
		if stats := meter.Stats(); stats != want {
			t.Errorf("%+v, want %+v", stats, want)
		}
		// A hanging write is visible while it is in progress, and Stats does not block on it.
		inner.delay, inner.err = time.Minute, errors.New("no space")
		done := make(chan error)
		go func() { done <- disk.Commit(nil) }()
		time.Sleep(10 * time.Second)
		if stats := meter.Stats(); stats.InProgressFor != 10*time.Second || stats.Writes != 2 {
			t.Errorf("%+v", stats)
		}
		if err := <-done; !errors.Is(err, inner.err) {
			t.Errorf("the disk's error was changed to %v", err)
		}
		if stats := meter.Stats(); stats.InProgressFor != 0 || stats.Failures != 1 || stats.LastError != "no space" || stats.SinceLastSuccess != time.Minute+time.Second || stats.LongestDuration != time.Minute {
			t.Errorf("%+v", stats)
		}
	})
}

func TestAMeterKnowsItsFile(t *testing.T) {
	dir := t.TempDir()
	b := openDisk(t, dir)
	defer b.Close()
	d, diskMeter := MeterDisk(b, clock.Wall{})
	if err := d.Commit(onePut("a", "1")); err != nil {
		t.Fatal(err)
	}
	if stats := diskMeter.Stats(); stats.Name != "x.db" || !stats.SizeKnown || stats.Size == 0 || stats.Writes != 1 {
		t.Errorf("%+v", stats)
	}
	j, journalMeter := MeterJournal(OpenJournal(dir, "y"), clock.Wall{})
	if stats := journalMeter.Stats(); stats.Name != "y" || stats.SizeKnown {
		t.Errorf("before the file exists: %+v", stats)
	}
	if j.Append(nil) == nil || j.Replace([][]byte{[]byte("a")}) != nil || j.Append([][]byte{[]byte("b")}) != nil || j.Close() != nil {
		t.Error("the metered journal behaves differently from the journal itself")
	}
	if stats := journalMeter.Stats(); stats.Writes != 3 || stats.Failures != 1 || stats.LastError == "" || stats.Size != 2*10 {
		t.Errorf("%+v", stats)
	}
}
