package control

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"walkrudder/internal/watch"
)

// MembersAsk queries the nodes known to this one.
type MembersAsk struct{ Page }

// MemberRow is one node.
type MemberRow struct {
	// ID is "" for a seed or a seat of the core that never answered.
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	Inner string `json:"inner"`
	// AskedMS is the time since the node last polled this one, and AnsweredMS the time since it
	// last answered this one. If only one of them grows, the network is cut in one direction.
	AskedMS    Maybe `json:"asked_ago_ms"`
	AnsweredMS Maybe `json:"answered_ago_ms"`
	// ItemsBehind and RunsBehind are how many changes known here the node had not received from
	// this one by its last request.
	ItemsBehind Maybe `json:"items_behind"`
	RunsBehind  Maybe `json:"runs_behind"`
	// Follows are the controllers that a gateway follows, as far as known here.
	Follows []string `json:"follows"`
	// Votes is the epoch of the core in which the disk of a controller has a seat, as reported by
	// the controller; 0 means none.
	Votes uint64 `json:"votes"`
	Going bool   `json:"going"` // the node is about to stop
}

// listMembers answers a MembersAsk with the controllers and gateways.
func (n *Node) listMembers(_ context.Context, a MembersAsk) (Answer[MemberRow], error) {
	// Read before the followers: the position of the newest change known here. A follower that
	// has received more by then is not behind.
	end := n.Replica.Cursor()
	rows := map[string]*MemberRow{}
	rowFor := func(kind, id, inner string) *MemberRow {
		key := kind + "/" + cmp.Or(id, inner)
		if rows[key] == nil {
			rows[key] = &MemberRow{ID: id, Kind: kind, Inner: inner}
		}
		return rows[key]
	}
	me := n.selfMember()
	self := rowFor(watch.Controller, me.ID, me.Inner)
	self.Zone, self.Votes, self.Going = me.Zone, n.seatEpoch(), n.stopping.Load()
	for _, x := range n.Mesh.Peers() {
		r := rowFor(watch.Controller, x.ID, x.Inner)
		r.Zone, r.Votes, r.Going = x.Zone, x.VotingEpoch, x.Stopping
		if x.Answered {
			r.AnsweredMS = knownValue(float64(x.Age.Milliseconds()))
		}
		for id, zone := range x.Gateways {
			f := rowFor(watch.Gateway, id, "")
			f.Zone = zone
			f.Follows = append(f.Follows, x.ID)
		}
	}
	for _, f := range n.publisher.Followers() {
		r := rowFor(f.Kind, f.ID, f.Inner)
		r.Zone = f.Zone
		r.AskedMS = knownValue(float64(f.Age.Milliseconds()))
		r.ItemsBehind, r.RunsBehind = backlog(end.Items, f.Seen.Items), backlog(end.Runs, f.Seen.Runs)
		if f.Kind == watch.Gateway && !f.Gone() {
			r.Follows = append(r.Follows, me.ID)
		}
	}
	p := newPageCollector[*MemberRow](a.Page)
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		p.add(k, rows[k])
	}
	return buildAnswer(n.about(), p, func(_ string, r *MemberRow) (MemberRow, int) {
		slices.Sort(r.Follows)
		r.Follows = truncateNames(r.Follows)
		size := len(r.ID) + len(r.Zone) + len(r.Inner)
		for _, s := range r.Follows {
			size += len(s)
		}
		return *r, size
	}), nil
}

// backlog returns how many changes up to end are not covered by seen.
func backlog(end, seen uint64) Maybe { return knownValue(float64(end - min(end, seen))) }
