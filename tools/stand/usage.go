package stand

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource use of one process.
type Usage struct {
	CPU time.Duration
	RSS int64 // peak, in bytes
}

// tickHZ is the number of ticks per second in which /proc counts process times. It is fixed on Linux.
const tickHZ = 100

// Usage reads the resource use of the node's process; ok is false if it does not run.
func (n *Node) Usage() (u Usage, ok bool) {
	pid := n.Pid()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if pid == 0 || err != nil {
		return u, false
	}
	// The process name may contain spaces; the fields after it don't.
	f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(f) < 13 {
		return u, false
	}
	for _, s := range f[11:13] {
		k, _ := strconv.ParseInt(s, 10, 64)
		u.CPU += time.Duration(k) * time.Second / tickHZ
	}
	raw, _ = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, l := range strings.Split(string(raw), "\n") {
		if v, is := strings.CutPrefix(l, "VmHWM:"); is {
			k, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			u.RSS = k << 10
		}
	}
	return u, true
}

// Spread holds the minimum, median and maximum of some figures.
type Spread struct {
	N                int
	Min, Median, Max float64
}

// SpreadOf returns the spread of xs, converted by f.
func SpreadOf[T cmp.Ordered](xs []T, f func(T) float64) (s Spread) {
	if s.N = len(xs); s.N == 0 {
		return s
	}
	xs = slices.Clone(xs)
	slices.Sort(xs)
	return Spread{len(xs), f(xs[0]), f(xs[len(xs)/2]), f(xs[len(xs)-1])}
}

func (s Spread) String() string {
	return fmt.Sprintf("%.1f (%.1f to %.1f, %d)", s.Median, s.Min, s.Max, s.N)
}
