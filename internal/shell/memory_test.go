package shell

import (
	"runtime/debug"
	"testing"
)

// TestMemory: a process collects garbage by the settings of its machine, and by none of
// the machine's where that is not known.
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
	if got := debug.SetGCPercent(100); got != gcPercent {
		t.Errorf("collected at %d, want %d", got, gcPercent)
	}
	if got := debug.SetMemoryLimit(-1); got != 60<<20 {
		t.Errorf("limit %d of 100 MB", got)
	}
}
