package control

import (
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/target"
)

// Report is what a controller tells people of itself in one log line.
type Report struct {
	About
	Epoch uint64 `json:"epoch"`
	Seats int    `json:"seats"`
	Votes uint64 `json:"votes"` // the epoch in which the own disk has a seat; 0 is none
	// Controllers are the other controllers that answered lately, and Gateways all gateways known.
	Controllers int `json:"controllers"`
	Gateways    int `json:"gateways"`
	Items       int `json:"items"` // dropped ones too
	// Runs are those known, by state; Suspected are counted besides.
	Runs      map[string]int    `json:"runs"`
	Suspected int               `json:"suspected"`
	Files     []DiskRow         `json:"files"`
	Counters  map[string]uint64 `json:"counters"`
}

// Report tells what this node sees.
func (n *Node) Report() Report {
	c := n.core()
	r := Report{About: n.about(), Epoch: c.Epoch, Seats: len(c.Seats), Votes: n.votes(), Controllers: len(n.Mesh.Others()), Runs: map[string]int{},
		Files: n.diskRows(), Counters: map[string]uint64{}}
	r.Gateways, _ = n.teller.Gateways()
	n.Board.WithItems(func(s *item.Set) { r.Items = s.Len() })
	for from, more := uint64(0), true; more; {
		var got []target.Run
		n.Board.WithRuns(func(t *target.Table, now time.Time) bool {
			got, from, more = t.Since(from, chunk, 0, now)
			return false
		})
		for _, x := range got {
			r.Runs[stateNames[x.State]]++
			if x.State != target.Ended && x.Suspected() {
				r.Suspected++
			}
		}
	}
	for _, x := range n.counterRows() {
		r.Counters[x.Name] = x.Value
	}
	return r
}
