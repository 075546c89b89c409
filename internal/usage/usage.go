// Package usage tells what this process takes of its machine, for people.
package usage

import "runtime/metrics"

// Usage is what a process takes.
type Usage struct {
	// Heap are the bytes of objects, garbage that was not swept yet among them, and Held
	// all that the runtime has from the system, without what it gave back.
	Heap       uint64 `json:"heap_bytes"`
	Held       uint64 `json:"held_bytes"`
	Goroutines uint64 `json:"goroutines"`
}

// Now reads it. It stops nothing, as runtime.ReadMemStats does.
func Now() Usage {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(s)
	at := func(i int) uint64 {
		if s[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return s[i].Value.Uint64()
	}
	return Usage{Heap: at(0), Held: at(1) - min(at(1), at(2)), Goroutines: at(3)}
}
