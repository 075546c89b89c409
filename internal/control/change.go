package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
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

// ledger knows of which items a majority of synced disks holds a copy at least as new.
type ledger struct {
	mu   sync.Mutex
	sure map[item.Key]uint64 // version
}

func (l *ledger) has(i item.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.sure[i.Key]
	return ok && v >= i.Version
}

func (l *ledger) note(is []item.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sure == nil {
		l.sure = map[item.Key]uint64{}
	}
	for _, i := range is {
		l.sure[i.Key] = max(l.sure[i.Key], i.Version)
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

// Apply checks a change as a whole, has one content settled for each of its versions, and
// has the items held by a majority of synced disks; only then is it acknowledged, by no
// problem and no error. After problems, and after a conflict (IsConflict), nothing of it was
// or will be in force; after another error it may take effect yet.
//
// All voters are asked for news first, always: the check needs everything acknowledged
// before the call, so that a valid change is not refused for an old view and an invalid
// one does not slip through, and as many voters as that takes are needed for the change
// anyway.
func (n *Node) Apply(ctx context.Context, c Change) (ps []route.Problem, err error) {
	return n.ApplyFor(ctx, nil, c)
}

// Caller is whoever waits for the outcome of a change.
type Caller interface {
	// Left tells whether it does so no more.
	Left() bool
}

// ErrStale says that a change was not carried out since its caller may have given it up and sent it elsewhere.
var ErrStale = errors.New("the caller may have sent this elsewhere: not carried out here")

// ApplyFor applies a change for a caller that may leave; nil is one that never does.
func (n *Node) ApplyFor(ctx context.Context, caller Caller, c Change) (ps []route.Problem, err error) {
	defer func() { n.counts.changes.note(len(ps) > 0 || IsConflict(err), err) }()
	all, ps := c.items()
	if len(ps) > 0 || len(all) == 0 {
		return ps, nil
	}
	if n.stale(caller) {
		return nil, steperr.At("apply", "", ErrStale)
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
	w := n.weigh(all)
	switch {
	case len(w.problems) > 0:
		return n.refuse(ctx, all, w.problems)
	case w.stands:
		return nil, nil
	case n.stale(caller):
		return nil, steperr.At("apply", "", ErrStale)
	}
	decided, err := n.Prop.Decide(ctx, all)
	if err != nil {
		return nil, err
	}
	return nil, n.secure(ctx, append(decided, w.support...))
}

// wakeTime is for how long after a long pause of this process changes are not carried out: they may have lain in
// its sockets meanwhile.
const wakeTime = time.Second

// stale tells whether a change may be a copy that its caller has given up: it was refused elsewhere by
// now, perhaps, and its cause mended.
func (n *Node) stale(caller Caller) bool {
	return n.pause.ResumedWithin(wakeTime) || caller != nil && caller.Left()
}

// IsConflict tells whether a change was refused because another content of the version of
// one of its items is settled.
func IsConflict(err error) bool {
	var conflict quorum.ConflictError
	return errors.As(err, &conflict)
}

// refuse refuses a change for its problems, unless an earlier try of it may have got through:
// then it may be in force, and there is no clear answer.
func (n *Node) refuse(ctx context.Context, all []item.Item, ps []route.Problem) ([]route.Problem, error) {
	found, err := n.Prop.Trace(ctx, all)
	switch {
	case err != nil:
		return nil, err
	case found:
		return nil, steperr.At("apply", "", quorum.ErrPartialConflict)
	}
	return ps, nil
}

// secure has a majority of synced disks hold settled items, and shows them.
func (n *Node) secure(ctx context.Context, items []item.Item) error {
	need := lo.Filter(items, func(i item.Item, _ int) bool { return !n.ledger.has(i) })
	if len(need) == 0 {
		return nil
	}
	if err := n.Prop.Merge(ctx, need); err != nil {
		return err
	}
	n.ledger.note(need)
	n.Board.MergeItems(need)
	return nil
}

// weighed is what a check of a change against what stands has shown.
type weighed struct {
	problems []route.Problem
	// stands says that all of it is in force and held by a majority.
	stands bool
	// support are the services that its routes rely on.
	support []item.Item
}

// weigh checks a change against what stands.
func (n *Node) weigh(all []item.Item) (w weighed) {
	n.Board.Items(func(s *item.Set) {
		var put []item.Item
		w.stands = true
		for _, i := range all {
			old, ok := s.Get(i.Key)
			w.stands = w.stands && ok && old.Same(i) && n.ledger.has(i)
			// A version not above what stands changes nothing, whatever it holds.
			if !ok || i.Version > old.Version {
				put = append(put, i)
			}
		}
		if w.problems = n.book.Problems(put); len(w.problems) > 0 {
			return
		}
		given := lo.SliceToMap(put, func(i item.Item) (item.Key, bool) { return i.Key, true })
		for _, i := range put {
			r, err := route.FromItem(i)
			if i.Kind != item.Route || i.Gone || err != nil {
				continue
			}
			for _, x := range r.Shares {
				k := item.Key{Kind: item.Service, Name: x.Service}
				if service, ok := s.Get(k); ok && !given[k] {
					given[k] = true
					w.support = append(w.support, service)
				}
			}
		}
	})
	return w
}

// Current is what stands, with everything that was acknowledged or shown to a reader before
// the call.
func (n *Node) Current(ctx context.Context) (st State, err error) {
	defer func() { n.counts.reads.note(false, err) }()
	if err := n.Mesh.Sync(ctx); err != nil {
		return st, err
	}
	var all []item.Item
	n.Board.Items(func(s *item.Set) { all = slices.Collect(s.All()) })
	// What this answer shows must be shown by every later one: a majority is to hold it.
	if err := n.secure(ctx, all); err != nil {
		return st, err
	}
	for _, i := range all {
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
	if err != nil {
		return State{}, steperr.At("current", "", err)
	}
	slices.SortFunc(st.Routes, func(a, b route.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Services, func(a, b route.Service) int { return cmp.Compare(a.Name, b.Name) })
	return st, nil
}
