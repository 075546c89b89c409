package main

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is what one process has used so far.
type Usage struct {
	CPU  time.Duration // user and system
	RSS  int64         // bytes, now
	Heap int64         // bytes of live and dead objects, now
	GC   int64         // collections
	At   int64         // wall time in nanoseconds
}

func use() Usage {
	u := Usage{At: time.Now().UnixNano(), RSS: rss()}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.GC = int64(m.HeapAlloc), int64(m.NumGC)
	return u
}

func rss() int64 {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	return field(string(b), "VmRSS:")
}

// field reads a size in kB.
func field(status, name string) int64 {
	for l := range strings.Lines(status) {
		if v, ok := strings.CutPrefix(l, name); ok {
			if f := strings.Fields(v); len(f) > 0 {
				k, _ := strconv.ParseInt(f[0], 10, 64)
				return k << 10
			}
		}
	}
	return 0
}

// Spent is what a process used between two looks.
type Spent struct {
	Core float64 // part of a core
	RSS  int64
}

func spent(a, b Usage) Spent {
	if b.At <= a.At {
		return Spent{RSS: b.RSS}
	}
	return Spent{float64(b.CPU-a.CPU) / float64(b.At-a.At), b.RSS}
}
