package shell

import "runtime/debug"

const (
	// gcPercent is by how much the heap may grow until it is collected again. These
	// processes hold little and make little garbage: at the library's 100 a third of their
	// memory was garbage that nobody had got round to.
	gcPercent = 40
	// softPart is the part of a machine's memory from which on it is collected harder.
	softPart = 0.6
)

// Memory sets garbage collection for a process on a machine with so many MB; 0 is not known.
func Memory(mb int) {
	debug.SetGCPercent(gcPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(softPart * float64(int64(mb)<<20)))
	}
}
