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
	// maxNames bounds the number of names in one field of a row.
	maxNames = 8
	// TruncationMark is the last entry of a list of names that was truncated.
	TruncationMark = "..."
)

// ItemsAsk queries the items whose name, or host and path prefix, begins with Prefix.
type ItemsAsk struct {
	Page
	Prefix string `validate:"max=2048"`
}

// States of an item.
const (
	InForce    = "in force"
	Dropped    = "dropped"
	Unreadable = "unreadable" // written by a later release; the previous version stays in effect
)

// ItemRow is one item.
type ItemRow struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	State   string `json:"state"`
	// Place is the host and path prefix of a route, and Services are its destinations.
	Place    string   `json:"place"`
	Services []string `json:"services"`
	// Held reports that this node saw a majority of synced disks hold this version.
	Held bool `json:"held"`
	// Gateways is how many gateways polled this node within the last seconds. Behind is how many of
	// them had not received this version by their last request, and Late names the first of these.
	// A gateway whose last request is old may have switched to another controller.
	Gateways int    `json:"gateways"`
	Behind   int    `json:"behind"`
	Late     []Late `json:"late"`
}

// Late is a gateway that had not received a version of an item when it last polled this node.
type Late struct {
	Gateway string `json:"gateway"`
	AskedMS int64  `json:"asked_ago_ms"`
}

var kindNames = map[item.Kind]string{item.Route: "route", item.Service: "service", item.Limits: "limits", item.Upgrade: "upgrade"}

// itemSortKey is the key by which items are ordered and paged.
func itemSortKey(k item.Key) string { return kindNames[k.Kind] + "/" + k.Name }

// listItems answers an ItemsAsk.
func (n *Node) listItems(ctx context.Context, a ItemsAsk) (r Answer[ItemRow], err error) {
	p := newPageCollector[item.Item](a.Page)
	for from, more := uint64(0), true; more; {
		if ctx.Err() != nil {
			return r, steperr.Wrap("items", n.ID, ctx.Err())
		}
		var got []item.Item
		n.Replica.WithItems(func(s *item.Set) { got, from, more = s.Since(from, scanChunk, 0) })
		for _, i := range got {
			if strings.HasPrefix(i.Name, a.Prefix) || strings.HasPrefix(routePlace(i), a.Prefix) {
				p.add(itemSortKey(i.Key), i)
			}
		}
	}
	p.trim()
	seqs := make(map[item.Key]uint64, len(p.rows))
	n.Replica.WithItems(func(s *item.Set) {
		for _, x := range p.rows {
			seqs[x.value.Key] = s.SeqOf(x.value.Key)
		}
	})
	gateways := n.attachedGateways()
	return buildAnswer(n.about(), p, func(_ string, i item.Item) (ItemRow, int) {
		x := itemRow(i)
		x.Held, x.Gateways = n.durable.has(i), len(gateways)
		for _, f := range gateways {
			if f.Seen.Items >= seqs[i.Key] {
				continue
			}
			if x.Behind++; x.Behind <= maxNames {
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

// attachedGateways returns the gateways that follow this node.
func (n *Node) attachedGateways() (out []watch.Follower) {
	for _, f := range n.publisher.Followers() {
		if f.Kind == watch.Gateway && !f.Gone() {
			out = append(out, f)
		}
	}
	return out
}

// routePlace returns the host and path prefix of an existing route, or "" for any other item.
func routePlace(i item.Item) string {
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
		x.Services = truncateNames(x.Services)
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

// truncateNames limits a list of names to maxNames, and marks the truncation.
func truncateNames(names []string) []string {
	if len(names) > maxNames {
		return append(names[:maxNames:maxNames], TruncationMark)
	}
	return names
}
