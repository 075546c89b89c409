package shell

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// TestMemory: a process collects garbage by its heap and by its machine's memory, and by
// none of a machine's where that is not known.
func TestMemory(t *testing.T) {
	gc, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(gc)
		debug.SetMemoryLimit(limit)
	}()
	Memory(0)
	if got := debug.SetMemoryLimit(-1); got != limit {
		t.Errorf("limit %d without a machine's memory, was %d", got, limit)
	}
	Memory(100)
	if got := debug.SetMemoryLimit(-1); got != 60<<20 {
		t.Errorf("limit %d of 100 MB", got)
	}
	// reaches collects until the percentage is the one wanted, which is looked at after each
	// collection.
	reaches := func(want int64) bool {
		for range 1000 {
			runtime.GC()
			if percent.Load() == want {
				return true
			}
			runtime.Gosched()
		}
		return false
	}
	if !reaches(smallPercent) {
		t.Errorf("a small heap is collected at %d", percent.Load())
	}
	held := make([]byte, 2*largeFrom)
	if !reaches(usualPercent) {
		t.Errorf("a large heap is collected at %d", percent.Load())
	}
	runtime.KeepAlive(held)
	held = nil
	if !reaches(smallPercent) {
		t.Errorf("a heap that is small again is collected at %d", percent.Load())
	}
}

func TestPercentFor(t *testing.T) {
	for _, c := range []struct {
		live     uint64
		is, want int64
	}{
		{0, usualPercent, smallPercent}, {smallBelow - 1, usualPercent, smallPercent},
		{smallBelow, usualPercent, usualPercent}, {smallBelow, smallPercent, smallPercent},
		{largeFrom - 1, smallPercent, smallPercent}, {largeFrom, smallPercent, usualPercent},
	} {
		if got := percentFor(c.live, c.is); got != c.want {
			t.Errorf("%d bytes at %d: %d, want %d", c.live, c.is, got, c.want)
		}
	}
}
