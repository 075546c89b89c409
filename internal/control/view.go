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

// View is the state of a node that is shown to operators.
type View struct {
	Me    watch.Member
	Fresh bool
	// Lag is how old the known state may be: everything acknowledged until Lag ago is known here.
	Lag         time.Duration
	Core        quorum.Core
	Votes       uint64         // the epoch of the core in which the local disk votes; 0 means none
	Controllers []watch.Member // other controllers that answered recently
	Followers   []watch.Member // nodes that polled this one recently
	Gateways    int
	Zones       map[string]int // gateways by zone
	Items       int            // including dropped ones
	Runs        []RunView
}

// RunView is a run as seen by this node.
type RunView struct {
	target.Run
	// Suspicion is the current suspicion level w_d of a run whose heartbeats arrive here;
	// HasSuspicion reports whether they do.
	Suspicion    float64
	HasSuspicion bool
}

// View returns the state of this node.
func (n *Node) View() View {
	v := View{Me: n.selfMember(), Core: n.core(), Votes: n.seatEpoch(), Controllers: n.Mesh.Others(), Followers: n.publisher.FollowerMembers()}
	v.Lag, v.Fresh = n.fresh()
	v.Gateways, v.Zones = n.publisher.Gateways()
	n.Replica.WithItems(func(s *item.Set) { v.Items = s.Len() })
	n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
		for r := range t.All(now) {
			x := RunView{Run: r}
			x.Suspicion, x.HasSuspicion = n.runMonitor.Suspicion(r.ID, now)
			v.Runs = append(v.Runs, x)
		}
		return false
	})
	slices.SortFunc(v.Controllers, func(a, b watch.Member) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Runs, func(a, b RunView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Members returns the nodes known to be up: the available controllers, and all nodes that polled
// this one recently.
func (n *Node) Members() []watch.Member {
	out := n.Mesh.Available()
	for _, a := range n.publisher.FollowerMembers() {
		if !slices.ContainsFunc(out, func(m watch.Member) bool { return m.ID == a.ID }) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b watch.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
