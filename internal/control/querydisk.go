package control

import (
	"context"
	"time"

	"walkrudder/internal/storage"
)

// DiskAsk queries the files of a controller.
type DiskAsk struct{ Page }

// DiskRow is one file.
type DiskRow struct {
	File  string `json:"file"`
	Bytes Maybe  `json:"bytes"`
	// Synced reports that a write is durable when it returns.
	Synced   bool   `json:"synced"`
	Writes   uint64 `json:"writes"`
	Failures uint64 `json:"failures"`
	// LastMS is the time since the last successful write ended, TookMS its duration, and
	// LongestMS the duration of the longest write.
	LastMS    Maybe   `json:"last_ago_ms"`
	TookMS    float64 `json:"took_ms"`
	LongestMS float64 `json:"longest_ms"`
	// UnderWayMS is how long the current write has lasted.
	UnderWayMS Maybe  `json:"under_way_ms"`
	Error      string `json:"error"`
}

// ms returns a duration in milliseconds, to the microsecond.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// diskRows returns the files of this node; none if it has no disk.
func (n *Node) diskRows() []DiskRow {
	out := []DiskRow{}
	for _, m := range []*storage.Meter{n.diskMeter, n.journalMeter} {
		if m == nil {
			continue
		}
		f := m.Stats()
		r := DiskRow{File: f.Name, Synced: m == n.diskMeter, Writes: f.Writes, Failures: f.Failures, TookMS: ms(f.LastDuration), LongestMS: ms(f.LongestDuration), Error: f.LastError}
		if f.SizeKnown {
			r.Bytes = knownValue(float64(f.Size))
		}
		if f.Writes > f.Failures {
			r.LastMS = knownValue(float64(f.SinceLastSuccess.Milliseconds()))
		}
		if f.InProgressFor > 0 {
			r.UnderWayMS = knownValue(ms(f.InProgressFor))
		}
		out = append(out, r)
	}
	return out
}

// listDisks answers a DiskAsk.
func (n *Node) listDisks(_ context.Context, a DiskAsk) (Answer[DiskRow], error) {
	p := newPageCollector[DiskRow](a.Page)
	for _, r := range n.diskRows() {
		p.add(r.File, r)
	}
	return buildAnswer(n.about(), p, func(_ string, r DiskRow) (DiskRow, int) { return r, len(r.File) + len(r.Error) }), nil
}
