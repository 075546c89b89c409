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

// Drop deletes one item. Version is the version of the deletion, like that of an item that is set.
type Drop struct {
	Kind    item.Kind
	Name    string
	Version uint64
}

// Change is a set of edits by an operator: whole items to set, and items to delete.
type Change struct {
	Routes   []route.Route
	Services []route.Service
	Limits   *route.Limits
	Drops    []Drop
}

// Configuration is the configuration in force.
type Configuration struct {
	Routes   []route.Route
	Services []route.Service
	Limits   *route.Limits
}

// durableVersions records the item versions known to be held by a majority of synced disks.
type durableVersions struct {
	mu       sync.Mutex
	versions map[item.Key]uint64
}

func (l *durableVersions) has(i item.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.versions[i.Key]
	return ok && v >= i.Version
}

func (l *durableVersions) record(is []item.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions == nil {
		l.versions = map[item.Key]uint64{}
	}
	for _, i := range is {
		l.versions[i.Key] = max(l.versions[i.Key], i.Version)
	}
}

// items converts the change to items, and returns the problems that each item has by itself.
func (c Change) items() (out []item.Item, problems []route.Problem) {
	for _, s := range c.Services {
		problems = append(problems, s.Check()...)
		out = append(out, s.Item())
	}
	for _, r := range c.Routes {
		problems = append(problems, r.Check()...)
		out = append(out, r.Item())
	}
	if c.Limits != nil {
		problems = append(problems, c.Limits.Check()...)
		out = append(out, c.Limits.Item())
	}
	for i, d := range c.Drops {
		if d.Name == "" || d.Kind != item.Route && d.Kind != item.Service {
			problems = append(problems, route.Problem{Path: fmt.Sprintf("drops/%d", i), Reason: "names no route or service"})
		}
		out = append(out, item.Item{Key: item.Key{Kind: d.Kind, Name: d.Name}, Version: d.Version, Gone: true})
	}
	return out, problems
}

// Apply validates a change as a whole, has one content decided for each of its versions, and
// has the items stored by a majority of synced disks. Only then is the change acknowledged: no
// problems and no error are returned. If problems or a conflict (IsConflict) are returned,
// nothing of the change is or will be in force. After any other error it may still take effect.
//
// Apply always fetches the latest changes from the voters first. Validation needs everything that
// was acknowledged before the call: with an outdated view, a valid change could be refused or an
// invalid one accepted. The change needs as many voters anyway.
func (n *Node) Apply(ctx context.Context, c Change) (problems []route.Problem, err error) {
	return n.ApplyFor(ctx, nil, c)
}

// Caller is the party that waits for the outcome of a change.
type Caller interface {
	// Left reports whether the caller no longer waits.
	Left() bool
}

// ErrStale reports that a change was not carried out, because its caller may have given it up and
// sent it to another node.
var ErrStale = errors.New("the caller may have sent this elsewhere: not carried out here")

// ApplyFor is Apply for a caller that may disconnect. A nil caller never does.
func (n *Node) ApplyFor(ctx context.Context, caller Caller, c Change) (problems []route.Problem, err error) {
	defer func() { n.calls.changes.record(len(problems) > 0 || IsConflict(err), err) }()
	all, problems := c.items()
	if len(problems) > 0 || len(all) == 0 {
		return problems, nil
	}
	if n.stale(caller) {
		return nil, steperr.Wrap("apply", "", ErrStale)
	}
	// Changes are serialized: two concurrent changes could each be valid alone but not
	// together.
	select {
	case n.changeSlot <- struct{}{}:
		defer func() { <-n.changeSlot }()
	case <-ctx.Done():
		return nil, steperr.Wrap("apply", "", ctx.Err())
	}
	if err := n.Mesh.Sync(ctx); err != nil {
		return nil, err
	}
	check := n.checkChange(all)
	switch {
	case len(check.problems) > 0:
		return n.refuse(ctx, all, check.problems)
	case check.inForce:
		return nil, nil
	case n.stale(caller):
		return nil, steperr.Wrap("apply", "", ErrStale)
	}
	decided, err := n.Proposer.Decide(ctx, all)
	if err != nil {
		return nil, err
	}
	return nil, n.ensureDurable(ctx, append(decided, check.dependencies...))
}

// staleAfterPause is how long changes are refused after a long pause of this process, because they
// may have been queued in its sockets during the pause.
const staleAfterPause = time.Second

// stale reports whether a change may be a copy that its caller has given up. Another node may have
// refused the change since, and the cause of the refusal may have been fixed.
func (n *Node) stale(caller Caller) bool {
	return n.pauses.ResumedWithin(staleAfterPause) || caller != nil && caller.Left()
}

// IsConflict reports whether a change was refused because different content was already decided
// for the version of one of its items.
func IsConflict(err error) bool {
	var conflict quorum.ConflictError
	return errors.As(err, &conflict)
}

// refuse refuses a change for its problems, unless an earlier attempt may have succeeded: the
// change may then be in force, and the outcome is reported as unknown.
func (n *Node) refuse(ctx context.Context, all []item.Item, problems []route.Problem) ([]route.Problem, error) {
	found, err := n.Proposer.Trace(ctx, all)
	switch {
	case err != nil:
		return nil, err
	case found:
		return nil, steperr.Wrap("apply", "", quorum.ErrPartialConflict)
	}
	return problems, nil
}

// ensureDurable gets decided items stored by a majority of synced disks, and publishes them. It
// skips the items that a majority is known to hold already.
func (n *Node) ensureDurable(ctx context.Context, items []item.Item) error {
	missing := lo.Filter(items, func(i item.Item, _ int) bool { return !n.durable.has(i) })
	if len(missing) == 0 {
		return nil
	}
	if err := n.Proposer.Merge(ctx, missing); err != nil {
		return err
	}
	n.durable.record(missing)
	n.Replica.MergeItems(missing)
	return nil
}

// changeCheck is the result of checking a change against the configuration in force.
type changeCheck struct {
	problems []route.Problem
	// inForce reports that the whole change is in force and held by a majority.
	inForce bool
	// dependencies are the services that the routes of the change refer to.
	dependencies []item.Item
}

// checkChange checks a change against the configuration in force.
func (n *Node) checkChange(all []item.Item) (result changeCheck) {
	n.Replica.WithItems(func(s *item.Set) {
		var newer []item.Item
		result.inForce = true
		for _, i := range all {
			old, ok := s.Get(i.Key)
			result.inForce = result.inForce && ok && old.Equal(i) && n.durable.has(i)
			// A version not above the one in force changes nothing, whatever its content.
			if !ok || i.Version > old.Version {
				newer = append(newer, i)
			}
		}
		if result.problems = n.routeValidator.Validate(newer); len(result.problems) > 0 {
			return
		}
		included := lo.SliceToMap(newer, func(i item.Item) (item.Key, bool) { return i.Key, true })
		for _, i := range newer {
			r, err := route.FromItem(i)
			if i.Kind != item.Route || i.Gone || err != nil {
				continue
			}
			for _, x := range r.Shares {
				k := item.Key{Kind: item.Service, Name: x.Service}
				if service, ok := s.Get(k); ok && !included[k] {
					included[k] = true
					result.dependencies = append(result.dependencies, service)
				}
			}
		}
	})
	return result
}

// Current returns the configuration in force, including everything that was acknowledged or shown
// to a reader before the call.
func (n *Node) Current(ctx context.Context) (config Configuration, err error) {
	defer func() { n.calls.reads.record(false, err) }()
	if err := n.Mesh.Sync(ctx); err != nil {
		return config, err
	}
	var all []item.Item
	n.Replica.WithItems(func(s *item.Set) { all = slices.Collect(s.All()) })
	// Every later read must show what this one shows, so a majority must hold it first.
	if err := n.ensureDurable(ctx, all); err != nil {
		return config, err
	}
	for _, i := range all {
		if i.Gone || err != nil {
			continue
		}
		switch i.Kind {
		case item.Route:
			var r route.Route
			r, err = route.FromItem(i)
			config.Routes = append(config.Routes, r)
		case item.Service:
			var x route.Service
			x, err = route.ServiceFromItem(i)
			config.Services = append(config.Services, x)
		case item.Limits:
			var l route.Limits
			l, err = route.LimitsFromItem(i)
			config.Limits = &l
		}
	}
	if err != nil {
		return Configuration{}, steperr.Wrap("current", "", err)
	}
	slices.SortFunc(config.Routes, func(a, b route.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Services, func(a, b route.Service) int { return cmp.Compare(a.Name, b.Name) })
	return config, nil
}
