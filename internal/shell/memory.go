package shell

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
)

const (
	// smallPercent and usualPercent are by how much a small and any other heap may grow
	// until it is collected again. A small one holds little and makes little garbage: at the
	// usual percentage a third of its memory is garbage that nobody has got round to. A large
	// one is large because much comes in, and collecting it as often takes the time that the
	// work needs: seven controllers before 680 gateways did not get through their start so.
	smallPercent, usualPercent = 40, 100
	// smallBelow and largeFrom are when a heap begins to be small, and large.
	smallBelow, largeFrom = 8 << 20, 16 << 20
	// softPart is the part of a machine's memory from which on it is collected harder.
	softPart = 0.6
)

// Memory sets garbage collection for a process on a machine with so many MB; 0 is not known.
func Memory(mb int) {
	percent.Store(smallPercent)
	debug.SetGCPercent(smallPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(softPart * float64(int64(mb)<<20)))
	}
	watch.Do(watchHeap)
}

var (
	percent atomic.Int64
	watch   sync.Once
)

// percentFor is the percentage for a heap that held so much when it was collected last.
func percentFor(live uint64, is int64) int64 {
	switch {
	case live >= largeFrom:
		return usualPercent
	case live < smallBelow:
		return smallPercent
	}
	return is
}

// sentinel is garbage at once, so that its finalizer runs after each collection. Its pointer
// keeps it out of the blocks that tiny objects share, which are freed together.
type sentinel struct{ _ *sentinel }

// watchHeap looks at the heap after each collection, and costs nothing between them.
func watchHeap() {
	runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
		s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(s)
		is := percent.Load()
		if want := percentFor(s[0].Value.Uint64(), is); want != is {
			percent.Store(want)
			debug.SetGCPercent(int(want))
		}
		watchHeap()
	})
}
