package control

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"walkrudder/internal/watch"
)

// MembersAsk asks for the nodes that this one knows.
type MembersAsk struct{ Page }

// MemberRow is one node.
type MemberRow struct {
	// ID is "" for a seed or a seat that never answered.
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	Inner string `json:"inner"`
	// AskedMS is how long ago it asked this node for news, AnsweredMS how long ago it
	// answered this one: where only one of them grows, one way is cut.
	AskedMS    Maybe `json:"asked_ago_ms"`
	AnsweredMS Maybe `json:"answered_ago_ms"`
	// ItemsBehind and RunsBehind are how many changes known here it had not heard from
	// this node when it asked last.
	ItemsBehind Maybe `json:"items_behind"`
	RunsBehind  Maybe `json:"runs_behind"`
	// Follows are the controllers that a gateway follows, as far as known here.
	Follows []string `json:"follows"`
	// Votes is the epoch of the core in which a controller's disk has a seat, as it said; 0 is
	// none.
	Votes uint64 `json:"votes"`
	Going bool   `json:"going"`
}

// memberRows lists controllers and gateways.
func (n *Node) memberRows(_ context.Context, a MembersAsk) (Answer[MemberRow], error) {
	// Where everything known here ends is taken first: who has heard more by then is
	// not behind.
	end := n.Board.Cursor()
	rows := map[string]*MemberRow{}
	at := func(kind, id, inner string) *MemberRow {
		key := kind + "/" + cmp.Or(id, inner)
		if rows[key] == nil {
			rows[key] = &MemberRow{ID: id, Kind: kind, Inner: inner}
		}
		return rows[key]
	}
	me := n.me()
	self := at(watch.Controller, me.ID, me.Inner)
	self.Zone, self.Votes, self.Going = me.Zone, n.votes(), n.stop.Load()
	for _, x := range n.Mesh.Peers() {
		r := at(watch.Controller, x.ID, x.Inner)
		r.Zone, r.Votes, r.Going = x.Zone, x.VotingEpoch, x.Stopping
		if x.Answered {
			r.AnsweredMS = some(float64(x.Age.Milliseconds()))
		}
		for id, zone := range x.Gateways {
			f := at(watch.Gateway, id, "")
			f.Zone = zone
			f.Follows = append(f.Follows, x.ID)
		}
	}
	for _, f := range n.teller.Followers() {
		r := at(f.Kind, f.ID, f.Inner)
		r.Zone = f.Zone
		r.AskedMS = some(float64(f.Age.Milliseconds()))
		r.ItemsBehind, r.RunsBehind = behind(end.Items, f.Seen.Items), behind(end.Runs, f.Seen.Runs)
		if f.Kind == watch.Gateway && !f.Gone() {
			r.Follows = append(r.Follows, me.ID)
		}
	}
	p := newPage[*MemberRow](a.Page)
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		p.add(k, rows[k])
	}
	return pageOf(n.about(), p, func(_ string, r *MemberRow) (MemberRow, int) {
		slices.Sort(r.Follows)
		r.Follows = cut(r.Follows)
		size := len(r.ID) + len(r.Zone) + len(r.Inner)
		for _, s := range r.Follows {
			size += len(s)
		}
		return *r, size
	}), nil
}

func behind(end, seen uint64) Maybe { return some(float64(end - min(end, seen))) }
