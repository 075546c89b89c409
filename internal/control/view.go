package control

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

// View is what operators are told of a node.
type View struct {
	Me    watch.Member
	Fresh bool
	// Lag is how long ago everything acknowledged until then was known here.
	Lag         time.Duration
	Core        quorum.Core
	Votes       uint64         // the epoch of the core in which the own disk votes; 0 is none
	Controllers []watch.Member // that answer this node
	Askers      []watch.Member // that ask it
	Gateways    int
	Zones       map[string]int // of gateways
	Items       int            // dropped ones too
	Runs        []RunView
}

// RunView is a run as this node sees it.
type RunView struct {
	target.Run
	// Suspicion is w_d now, of a run whose beats come in here; Judged says so.
	Suspicion float64
	Judged    bool
}

// View tells what this node sees.
func (n *Node) View() View {
	v := View{Me: n.me(), Core: n.core(), Votes: n.votes(), Controllers: n.Mesh.Others(), Askers: n.teller.Clients()}
	v.Lag, v.Fresh = n.fresh()
	v.Gateways, v.Zones = n.teller.Gateways()
	n.Board.WithItems(func(s *item.Set) { v.Items = s.Len() })
	n.Board.WithRuns(func(t *target.Table, now time.Time) bool {
		for r := range t.All(now) {
			x := RunView{Run: r}
			x.Suspicion, x.Judged = n.watch.Suspicion(r.ID, now)
			v.Runs = append(v.Runs, x)
		}
		return false
	})
	slices.SortFunc(v.Controllers, func(a, b watch.Member) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Runs, func(a, b RunView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Members are the nodes that this one hears: the controllers that answer, and all that ask.
func (n *Node) Members() []watch.Member {
	out := n.Mesh.Available()
	for _, a := range n.teller.Clients() {
		if !slices.ContainsFunc(out, func(m watch.Member) bool { return m.ID == a.ID }) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b watch.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
