package shell

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// TestMemory checks that the GC percentage follows the heap size, that the memory limit follows
// the machine's memory, and that no limit is set if that is unknown.
func TestMemory(t *testing.T) {
	gc, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(gc)
		debug.SetMemoryLimit(limit)
	}()
	TuneGC(0)
	if got := debug.SetMemoryLimit(-1); got != limit {
		t.Errorf("limit %d without a machine's memory, was %d", got, limit)
	}
	TuneGC(100)
	if got := debug.SetMemoryLimit(-1); got != 60<<20 {
		t.Errorf("limit %d of 100 MB", got)
	}
	// reaches runs collections until the percentage is want; it is adjusted after each of them.
	reaches := func(want int64) bool {
		for range 1000 {
			runtime.GC()
			if gcPercent.Load() == want {
				return true
			}
			runtime.Gosched()
		}
		return false
	}
	if !reaches(smallHeapGCPercent) {
		t.Errorf("small heap: GC percentage %d", gcPercent.Load())
	}
	held := make([]byte, 2*largeHeapFrom)
	if !reaches(defaultGCPercent) {
		t.Errorf("large heap: GC percentage %d", gcPercent.Load())
	}
	runtime.KeepAlive(held)
	held = nil
	if !reaches(smallHeapGCPercent) {
		t.Errorf("heap that is small again: GC percentage %d", gcPercent.Load())
	}
}

func TestPercentFor(t *testing.T) {
	for _, c := range []struct {
		live     uint64
		is, want int64
	}{
		{0, defaultGCPercent, smallHeapGCPercent}, {smallHeapBelow - 1, defaultGCPercent, smallHeapGCPercent},
		{smallHeapBelow, defaultGCPercent, defaultGCPercent}, {smallHeapBelow, smallHeapGCPercent, smallHeapGCPercent},
		{largeHeapFrom - 1, smallHeapGCPercent, smallHeapGCPercent}, {largeHeapFrom, smallHeapGCPercent, defaultGCPercent},
	} {
		if got := gcPercentFor(c.live, c.is); got != c.want {
			t.Errorf("%d bytes at %d: %d, want %d", c.live, c.is, got, c.want)
		}
	}
}
