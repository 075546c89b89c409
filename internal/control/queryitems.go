package control

import (
	"context"
	"strings"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/steperr"
	"walkrudder/internal/upgrade"
	"walkrudder/internal/watch"
)

const (
	// mostNames bounds the names in one field of a row.
	mostNames = 8
	// More stands in a list of names that was cut.
	More = "..."
)

// ItemsAsk asks for the items whose name begins with Prefix, or whose host and path do.
type ItemsAsk struct {
	Page
	Prefix string `validate:"max=2048"`
}

// The states of an item.
const (
	InForce    = "in force"
	Dropped    = "dropped"
	Unreadable = "unreadable" // from a later release: what stood before still does
)

// ItemRow is one item.
type ItemRow struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	State   string `json:"state"`
	// Place is a route's host and path prefix, and Services are where it leads.
	Place    string   `json:"place"`
	Services []string `json:"services"`
	// Held says that this node saw a majority of synced disks hold this version.
	Held bool `json:"held"`
	// Gateways is how many gateways asked this node within the last seconds, and Behind how many
	// of them had not yet heard of this version then; Late names the first of these. One
	// whose ask is old may have gone to another controller.
	Gateways int    `json:"gateways"`
	Behind   int    `json:"behind"`
	Late     []Late `json:"late"`
}

// Late is a gateway that had not heard of something when it asked last.
type Late struct {
	Gateway string `json:"gateway"`
	AskedMS int64  `json:"asked_ago_ms"`
}

var kindNames = map[item.Kind]string{item.Route: "route", item.Service: "service", item.Limits: "limits", item.Upgrade: "upgrade"}

// itemKey orders items, and names them in a Page.
func itemKey(k item.Key) string { return kindNames[k.Kind] + "/" + k.Name }

// items lists items.
func (n *Node) items(ctx context.Context, a ItemsAsk) (r Answer[ItemRow], err error) {
	p := newPage[item.Item](a.Page)
	for from, more := uint64(0), true; more; {
		if ctx.Err() != nil {
			return r, steperr.At("items", n.ID, ctx.Err())
		}
		var got []item.Item
		n.Board.WithItems(func(s *item.Set) { got, from, more = s.Since(from, chunk, 0) })
		for _, i := range got {
			if strings.HasPrefix(i.Name, a.Prefix) || strings.HasPrefix(placeOf(i), a.Prefix) {
				p.add(itemKey(i.Key), i)
			}
		}
	}
	p.trim()
	seqs := make(map[item.Key]uint64, len(p.rows))
	n.Board.WithItems(func(s *item.Set) {
		for _, x := range p.rows {
			seqs[x.of.Key] = s.SeqOf(x.of.Key)
		}
	})
	gateways := n.attached()
	return pageOf(n.about(), p, func(_ string, i item.Item) (ItemRow, int) {
		x := itemRow(i)
		x.Held, x.Gateways = n.ledger.has(i), len(gateways)
		for _, f := range gateways {
			if f.Seen.Items >= seqs[i.Key] {
				continue
			}
			if x.Behind++; x.Behind <= mostNames {
				x.Late = append(x.Late, Late{f.ID, f.Age.Milliseconds()})
			}
		}
		size := len(x.Name) + len(x.Place)
		for _, s := range x.Services {
			size += len(s)
		}
		for _, l := range x.Late {
			size += len(l.Gateway)
		}
		return x, size
	}), nil
}

// attached are the gateways that follow this node.
func (n *Node) attached() (out []watch.Follower) {
	for _, f := range n.teller.Followers() {
		if f.Kind == watch.Gateway && !f.Gone() {
			out = append(out, f)
		}
	}
	return out
}

// placeOf is a standing route's host and path prefix, "" for anything else.
func placeOf(i item.Item) string {
	if i.Kind != item.Route || i.Gone {
		return ""
	}
	r, err := route.FromItem(i)
	if err != nil {
		return ""
	}
	return r.Host + r.Prefix
}

func itemRow(i item.Item) ItemRow {
	x := ItemRow{Kind: kindNames[i.Kind], Name: i.Name, Version: i.Version, State: InForce}
	if i.Gone {
		x.State = Dropped
		return x
	}
	var err error
	switch i.Kind {
	case item.Route:
		var r route.Route
		r, err = route.FromItem(i)
		x.Place = r.Host + r.Prefix
		for _, s := range r.Shares {
			x.Services = append(x.Services, s.Service)
		}
		x.Services = cut(x.Services)
	case item.Service:
		_, err = route.ServiceFromItem(i)
	case item.Limits:
		_, err = route.LimitsFromItem(i)
	case item.Upgrade:
		_, err = upgrade.FromItem(i)
	}
	if err != nil {
		x.State = Unreadable
	}
	return x
}

// cut bounds a list of names, and shows that it did.
func cut(names []string) []string {
	if len(names) > mostNames {
		return append(names[:mostNames:mostNames], More)
	}
	return names
}
