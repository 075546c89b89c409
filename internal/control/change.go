package control

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/steperr"
)

// Drop takes one item away from Version on.
type Drop struct {
	Kind    item.Kind
	Name    string
	Version uint64
}

// Change is what an operator wants: whole items to be set, and some to be dropped.
type Change struct {
	Routes   []route.Route
	Services []route.Service
	Limits   *route.Limits
	Drops    []Drop
}

// State is what stands.
type State struct {
	Routes   []route.Route
	Services []route.Service
	Limits   *route.Limits
}

// ledger knows which copies were once held by a majority of synced disks.
type ledger struct {
	mu   sync.Mutex
	sure map[item.Key]uint64 // version
}

func (l *ledger) has(i item.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.sure[i.Key]
	return ok && v == i.Version
}

func (l *ledger) note(is []item.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sure == nil {
		l.sure = map[item.Key]uint64{}
	}
	for _, i := range is {
		l.sure[i.Key] = i.Version
	}
}

// items turns the change into items, and tells what is wrong with any by itself.
func (c Change) items() (out []item.Item, ps []route.Problem) {
	for _, s := range c.Services {
		ps = append(ps, s.Check()...)
		out = append(out, s.Item())
	}
	for _, r := range c.Routes {
		ps = append(ps, r.Check()...)
		out = append(out, r.Item())
	}
	if c.Limits != nil {
		ps = append(ps, c.Limits.Check()...)
		out = append(out, c.Limits.Item())
	}
	for i, d := range c.Drops {
		if d.Name == "" || d.Kind != item.Route && d.Kind != item.Service {
			ps = append(ps, route.Problem{Path: fmt.Sprintf("drops/%d", i), Why: "names no route or service"})
		}
		out = append(out, item.Item{Key: item.Key{Kind: d.Kind, Name: d.Name}, Version: d.Version, Gone: true})
	}
	return out, ps
}

// Apply checks a change as a whole and has it held by a majority of synced disks; only
// then is it acknowledged, by no problem and no error. After problems nothing of it was
// stored or shown; after an error it may take effect yet.
//
// All voters are asked for news first, always: the check needs everything acknowledged
// before the call, so that a valid change is not refused for an old view and an invalid
// one does not slip through, and as many voters as that takes are needed for the change
// anyway.
func (n *Node) Apply(ctx context.Context, c Change) (ps []route.Problem, err error) {
	defer func() { n.counts.changes.note(len(ps) > 0, err) }()
	all, ps := c.items()
	if len(ps) > 0 || len(all) == 0 {
		return ps, nil
	}
	// One after the other, so that two changes taken here can't be valid each by
	// itself only.
	select {
	case n.busy <- struct{}{}:
		defer func() { <-n.busy }()
	case <-ctx.Done():
		return nil, steperr.At("apply", "", ctx.Err())
	}
	if err := n.Mesh.Sync(ctx); err != nil {
		return nil, err
	}
	put, ps := n.weigh(all)
	if len(ps) > 0 {
		return ps, nil
	}
	over, err := n.Prop.MergeOver(ctx, put)
	if err != nil {
		return nil, err
	}
	n.ledger.note(lo.Filter(put, func(i item.Item, _ int) bool { return !slices.Contains(over, i.Key) }))
	n.Board.MergeItems(put)
	return nil, nil
}

// weigh checks a change against what stands, and lists what a majority must hold before
// it is acknowledged: the items that take effect, what stands in place of those that
// don't, and the services that the routes among them rely on. What a majority is known
// to hold is left out.
func (n *Node) weigh(all []item.Item) (put []item.Item, ps []route.Problem) {
	n.Board.Items(func(s *item.Set) {
		need := map[item.Key]item.Item{}
		stands := func(k item.Key) {
			if i, ok := s.Get(k); ok && !n.ledger.has(i) {
				need[k] = i
			}
		}
		for _, i := range all {
			// A version not above what stands changes nothing, whatever it holds.
			if old, ok := s.Get(i.Key); ok && i.Version <= old.Version {
				stands(i.Key)
				continue
			}
			put = append(put, i)
		}
		if ps = n.book.Problems(put); len(ps) > 0 {
			return
		}
		for _, i := range put {
			if r, err := route.FromItem(i); i.Kind == item.Route && !i.Gone && err == nil {
				for _, x := range r.Shares {
					stands(item.Key{Kind: item.Service, Name: x.Service})
				}
			}
		}
		for _, i := range put {
			delete(need, i.Key)
		}
		put = append(put, lo.Values(need)...)
	})
	return put, ps
}

// Current is what stands, with everything that was acknowledged before the call.
func (n *Node) Current(ctx context.Context) (st State, err error) {
	defer func() { n.counts.reads.note(false, err) }()
	if err := n.Mesh.Sync(ctx); err != nil {
		return st, err
	}
	n.Board.Items(func(s *item.Set) {
		for i := range s.All() {
			if i.Gone || err != nil {
				continue
			}
			switch i.Kind {
			case item.Route:
				var r route.Route
				r, err = route.FromItem(i)
				st.Routes = append(st.Routes, r)
			case item.Service:
				var x route.Service
				x, err = route.ServiceFromItem(i)
				st.Services = append(st.Services, x)
			case item.Limits:
				var l route.Limits
				l, err = route.LimitsFromItem(i)
				st.Limits = &l
			}
		}
	})
	if err != nil {
		return State{}, steperr.At("current", "", err)
	}
	slices.SortFunc(st.Routes, func(a, b route.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Services, func(a, b route.Service) int { return cmp.Compare(a.Name, b.Name) })
	return st, nil
}
