package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
)

func machine() Machine {
	m := Machine{CPUs: runtime.NumCPU()}
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		f := strings.Fields(string(b))
		m.Load = strings.Join(f[:min(3, len(f))], " ")
	}
	return m
}

func (t Times) String() string {
	if t.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", t.P50, t.P99, t.Worst, t.N)
}

// markdown writes a case's figures as tables.
func markdown(out io.Writer, r Report) {
	p := func(f string, a ...any) { _, _ = fmt.Fprintf(out, f, a...) }
	c := r.Case
	p("\n## %s\n\n%d gateways, %d targets, %d routes, %d services, %d controllers; beats each %v, homes %v; load before %s; first configuration acknowledged in %.0f ms.\n",
		c.Name, c.Gateways, c.Targets, c.Routes, c.Services, c.Controllers, c.Every, c.Homes, r.Machine.Load, float64(r.First.Milliseconds()))
	p("From their start on all gateways were told %v.\n", r.Start)
	if r.Err != "" {
		p("\nfailed: %s\n", r.Err)
	}
	for _, w := range r.Windows {
		p("\n%s, %.1f s\n\n| role | nodes | %% of a core | most | MB | most | B/s in | B/s out |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n", w.Name, w.Seconds)
		for _, k := range slices.Sorted(maps.Keys(w.Roles)) {
			x := w.Roles[k]
			p("| %s | %d | %.3f | %.3f | %.1f | %.1f | %.0f | %.0f |\n", k, x.Nodes, 100*x.Core, 100*x.MostCore, x.RSS, x.MostRSS, x.In, x.Out)
		}
		p("\nat one controller, a second: ")
		for i, k := range slices.Sorted(maps.Keys(w.Messages)) {
			if i > 0 {
				p("; ")
			}
			p("%s %.1f (%.0f B)", k, w.Messages[k][0], w.Messages[k][1])
		}
		p("\n")
		if w.Acked.N > 0 || w.Failed > 0 {
			p("\nms, half / 99 in 100 / worst (number): acknowledged %v; from there to the last gateway %v; from the call to the last gateway %v, to each %v; %d failed, %d never seen\n", w.Acked, w.LastSeen, w.Whole, w.Each, w.Failed, w.Missing)
		}
		for _, k := range slices.Sorted(maps.Keys(w.Took)) {
			p("%s: %v ms; ", k, w.Took[k])
		}
		p("%v\n", w.Counts)
	}
	if len(r.Events) > 0 {
		p("\n| s | what | |\n| --- | --- | --- |\n")
		for _, e := range r.Events {
			p("| %.2f | %s | %.4g |\n", e.After, e.What, e.Value)
		}
	}
}
