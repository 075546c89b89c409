package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

// An upgrade's steps are items whose versions rise by one. Each is decided in the register of
// its name like an item of the configuration, so of two controllers that end an upgrade in
// two ways one prevails, whoever thinks that it decides.

var (
	// ErrUnknownService says that an order names a service that the configuration does not have.
	ErrUnknownService = errors.New("unknown service")
	// ErrUnderWay says that another upgrade of the service is under way.
	ErrUnderWay = errors.New("another upgrade of the service is under way")
	// ErrNoUpgrade says that there never was an upgrade of the service.
	ErrNoUpgrade = errors.New("no upgrade of the service")
	// errOvertaken says that another step was decided in the place of the one given.
	errOvertaken = errors.New("another step was decided")
)

// InvalidOrderError says what is wrong with an order.
type InvalidOrderError struct{ Why error }

// Error tells it.
func (e InvalidOrderError) Error() string { return e.Why.Error() }

// StartUpgrade takes an order in. It returns once a majority of synced disks holds the upgrade, or
// with InvalidOrderError, ErrUnknownService or ErrUnderWay once it is sure that nothing of the order is
// in force; after another error the order may take effect yet.
func (n *Node) StartUpgrade(ctx context.Context, caller Caller, o upgrade.Order) (err error) {
	defer func() { n.counts.orders.note(IsRefusedOrder(err), err) }()
	if err := o.Check(); err != nil {
		return InvalidOrderError{err}
	}
	o.Exposure = n.Exposure
	if n.stale(caller) {
		return steperr.At("order", o.Service, ErrStale)
	}
	for {
		if err := n.Mesh.Sync(ctx); err != nil {
			return err
		}
		if !n.hasService(o.Service) {
			return steperr.At("order", o.Service, ErrUnknownService)
		}
		was, err := n.upgradeOf(o.Service)
		if err != nil {
			return err
		}
		next, verdict := o.Take(was, n.commonVersion(o.Service, o.To), time.Now())
		switch {
		case verdict == upgrade.Busy:
			return steperr.At("order", o.Service, ErrUnderWay)
		case verdict == upgrade.Repeated:
			return n.secure(ctx, []item.Item{was.Item()})
		case n.stale(caller):
			return steperr.At("order", o.Service, ErrStale)
		}
		if err := n.decideUpgrade(ctx, next); !errors.Is(err, errOvertaken) {
			return err
		}
	}
}

// IsRefusedOrder tells whether an order was refused for what it holds or for what is under way.
func IsRefusedOrder(err error) bool {
	var invalid InvalidOrderError
	return errors.As(err, &invalid) || errors.Is(err, ErrUnknownService) || errors.Is(err, ErrUnderWay)
}

// Upgrade is a service's newest upgrade, with everything that was acknowledged or shown before the
// call.
func (n *Node) Upgrade(ctx context.Context, service string) (u upgrade.Upgrade, err error) {
	defer func() { n.counts.reads.note(errors.Is(err, ErrNoUpgrade), err) }()
	if err := n.Mesh.Sync(ctx); err != nil {
		return u, err
	}
	u, err = n.upgradeOf(service)
	switch {
	case err != nil:
		return u, err
	case u.Phase == 0:
		return u, steperr.At("read upgrade", service, ErrNoUpgrade)
	}
	return u, n.secure(ctx, []item.Item{u.Item()})
}

// decideUpgrade has a step settled and held by a majority. errOvertaken says that another step took its place, which is
// known here by then.
func (n *Node) decideUpgrade(ctx context.Context, u upgrade.Upgrade) error {
	step := u.Item()
	stands, err := n.Prop.Decide(ctx, []item.Item{step})
	switch {
	case IsConflict(err):
		// Whoever decided the other may have ended before showing it: what stands is read from its register, which an
		// item below all versions leaves as it is.
		below := item.Item{Key: step.Key, Gone: true}
		if stands, err = n.Prop.Decide(ctx, []item.Item{below}); err != nil {
			return err
		}
	case err != nil:
		return err
	}
	if err := n.secure(ctx, stands); err != nil {
		return err
	}
	if !stands[0].Equal(step) {
		return steperr.At("decide upgrade", u.Service, errOvertaken)
	}
	return nil
}

// upgradeOf is the newest upgrade of a service known here, of no phase where there is none.
func (n *Node) upgradeOf(service string) (u upgrade.Upgrade, err error) {
	n.Board.WithItems(func(s *item.Set) {
		if i, ok := s.Get(upgrade.Key(service)); ok && !i.Gone {
			u, err = upgrade.FromItem(i)
		}
	})
	return u, err
}

func (n *Node) hasService(name string) (has bool) {
	n.Board.WithItems(func(s *item.Set) {
		i, ok := s.Get(item.Key{Kind: item.Service, Name: name})
		has = ok && !i.Gone
	})
	return has
}

// commonVersion is the version that most targets of a service have, but for one; "" where there are none.
func (n *Node) commonVersion(service, but string) (most string) {
	counts := map[string]int{}
	n.readyRuns(service, func(r target.Run) { counts[r.Version]++ })
	delete(counts, but)
	for version, count := range counts {
		if count > counts[most] || count == counts[most] && version < most {
			most = version
		}
	}
	return most
}

// readyRuns walks through the targets of a service that are ready.
func (n *Node) readyRuns(service string, f func(target.Run)) {
	n.Board.WithRuns(func(t *target.Table, now time.Time) bool {
		for r := range t.All(now) {
			if r.Service == service && r.State == target.Ready && !r.Suspected() {
				f(r)
			}
		}
		return false
	})
}

// RevertUpgrade is an operator's order to go back to the old version.
func (n *Node) RevertUpgrade(ctx context.Context, service string) error {
	for {
		u, err := n.Upgrade(ctx, service)
		switch {
		case err != nil:
			return err
		case u.Phase == upgrade.Reverted:
			return nil
		case !u.Active():
			return steperr.At("revert", service, fmt.Errorf("the upgrade to %s is %s", u.To, u.Phase))
		}
		if err := n.decideUpgrade(ctx, u.Revert("an operator's order")); !errors.Is(err, errOvertaken) {
			return err
		}
	}
}

// Upgrades are the newest upgrades known here, by service.
func (n *Node) Upgrades() []upgrade.Upgrade {
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	return lo.Map(lo.Values(n.upgrades.by), func(d *direction, _ int) upgrade.Upgrade { return d.now })
}
