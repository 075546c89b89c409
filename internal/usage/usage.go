// Package usage reports the resources that this process uses, for operators.
package usage

import "runtime/metrics"

// Usage is the resource usage of a process.
type Usage struct {
	// Heap is the number of bytes in objects, including garbage not swept yet. Held is all
	// memory obtained from the system, less what was returned to it.
	Heap       uint64 `json:"heap_bytes"`
	Held       uint64 `json:"held_bytes"`
	Goroutines uint64 `json:"goroutines"`
}

// Now reads the current usage. Unlike runtime.ReadMemStats, it does not stop the world.
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
