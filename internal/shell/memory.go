package shell

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
)

const (
	// smallHeapGCPercent and defaultGCPercent are the GC percentages for small and other heaps.
	// A small heap holds little and produces little garbage; at the default percentage, a third
	// of its memory is garbage not yet collected. A large heap is large because much data comes
	// in, and collecting it as often takes the CPU time that the work needs: with the small
	// percentage, seven controllers with 680 gateways did not complete their start.
	smallHeapGCPercent, defaultGCPercent = 40, 100
	// smallHeapBelow and largeHeapFrom bound small and large heaps, in bytes of live data.
	smallHeapBelow, largeHeapFrom = 8 << 20, 16 << 20
	// softLimitShare is the share of the machine's memory used as the soft memory limit, above
	// which garbage is collected more often.
	softLimitShare = 0.6
)

// TuneGC configures garbage collection for a machine with mb MB of memory; 0 means unknown.
func TuneGC(mb int) {
	gcPercent.Store(smallHeapGCPercent)
	debug.SetGCPercent(smallHeapGCPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(int64(mb)<<20)))
	}
	watchOnce.Do(watchHeap)
}

var (
	gcPercent atomic.Int64
	watchOnce sync.Once
)

// gcPercentFor returns the GC percentage for a heap with live bytes after its last collection.
// Between the two bounds the current percentage is kept.
func gcPercentFor(live uint64, current int64) int64 {
	switch {
	case live >= largeHeapFrom:
		return defaultGCPercent
	case live < smallHeapBelow:
		return smallHeapGCPercent
	}
	return current
}

// sentinel is allocated as garbage, so that its finalizer runs after each collection. It has a
// pointer field to keep it out of the tiny allocator, which frees its objects in blocks.
type sentinel struct{ _ *sentinel }

// watchHeap adjusts the GC percentage after each collection. It costs nothing between them.
func watchHeap() {
	runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
		s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(s)
		current := gcPercent.Load()
		if want := gcPercentFor(s[0].Value.Uint64(), current); want != current {
			gcPercent.Store(want)
			debug.SetGCPercent(int(want))
		}
		watchHeap()
	})
}
