package control

import (
	"context"
	"time"

	"walkrudder/internal/storage"
)

// DiskAsk asks for a controller's files.
type DiskAsk struct{ Page }

// DiskRow is one file.
type DiskRow struct {
	File  string `json:"file"`
	Bytes Maybe  `json:"bytes"`
	// Synced says that a write is on the disk when it is done.
	Synced   bool   `json:"synced"`
	Writes   uint64 `json:"writes"`
	Failures uint64 `json:"failures"`
	// LastMS is how long ago the last write that went well ended, TookMS how long it
	// took, and LongestMS the longest one.
	LastMS    Maybe   `json:"last_ago_ms"`
	TookMS    float64 `json:"took_ms"`
	LongestMS float64 `json:"longest_ms"`
	// UnderWayMS is for how long the write under way has lasted.
	UnderWayMS Maybe  `json:"under_way_ms"`
	Error      string `json:"error"`
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// diskRows are the files of this node; none where it has no disk.
func (n *Node) diskRows() []DiskRow {
	out := []DiskRow{}
	for _, m := range []*storage.Meter{n.diskMeter, n.notesMeter} {
		if m == nil {
			continue
		}
		f := m.Figures()
		r := DiskRow{File: f.Name, Synced: m == n.diskMeter, Writes: f.Writes, Failures: f.Failures, TookMS: ms(f.Took), LongestMS: ms(f.Longest), Error: f.Err}
		if f.Sized {
			r.Bytes = some(float64(f.Size))
		}
		if f.Writes > f.Failures {
			r.LastMS = some(float64(f.Last.Milliseconds()))
		}
		if f.Busy > 0 {
			r.UnderWayMS = some(ms(f.Busy))
		}
		out = append(out, r)
	}
	return out
}

// disks lists them.
func (n *Node) disks(_ context.Context, a DiskAsk) (Answer[DiskRow], error) {
	p := newPage[DiskRow](a.Page)
	for _, r := range n.diskRows() {
		p.add(r.File, r)
	}
	return pageOf(n.about(), p, func(_ string, r DiskRow) (DiskRow, int) { return r, len(r.File) + len(r.Error) }), nil
}
