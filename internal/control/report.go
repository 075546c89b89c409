package control

import (
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/target"
)

// Report is the state of a controller that it logs in one line for operators.
type Report struct {
	About
	Epoch uint64 `json:"epoch"`
	Seats int    `json:"seats"`
	Votes uint64 `json:"votes"` // the epoch of the core in which the local disk has a seat; 0 means none
	// Controllers are the other controllers that answered recently, and Gateways all known gateways.
	Controllers int `json:"controllers"`
	Gateways    int `json:"gateways"`
	Items       int `json:"items"` // including dropped ones
	// Runs counts the known runs by state; Suspected counts the suspected ones among those that have not ended.
	Runs      map[string]int    `json:"runs"`
	Suspected int               `json:"suspected"`
	Files     []DiskRow         `json:"files"`
	Counters  map[string]uint64 `json:"counters"`
}

// Report summarizes the state of this node.
func (n *Node) Report() Report {
	c := n.core()
	r := Report{About: n.about(), Epoch: c.Epoch, Seats: len(c.Seats), Votes: n.seatEpoch(), Controllers: len(n.Mesh.Others()), Runs: map[string]int{},
		Files: n.diskRows(), Counters: map[string]uint64{}}
	r.Gateways, _ = n.publisher.Gateways()
	n.Replica.WithItems(func(s *item.Set) { r.Items = s.Len() })
	for from, more := uint64(0), true; more; {
		var got []target.Run
		n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
			got, from, more = t.Since(from, scanChunk, 0, now)
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
