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

// The steps of an upgrade are items whose versions rise by one. Each is decided in the register of
// its name, like a configuration item. If two controllers end an upgrade in different ways, only one
// of them succeeds, even if both believe that they are responsible.

var (
	// ErrUnknownService reports that an order names a service that is not configured.
	ErrUnknownService = errors.New("unknown service")
	// ErrUpgradeInProgress reports that another upgrade of the service is under way.
	ErrUpgradeInProgress = errors.New("another upgrade of the service is under way")
	// ErrNoUpgrade reports that the service was never upgraded.
	ErrNoUpgrade = errors.New("no upgrade of the service")
	// errSuperseded reports that another step was decided in place of the given one.
	errSuperseded = errors.New("another step was decided")
)

// InvalidOrderError reports that the content of an order is invalid.
type InvalidOrderError struct{ Why error }

func (e InvalidOrderError) Error() string { return e.Why.Error() }

// StartUpgrade accepts an upgrade order. It returns nil once a majority of synced disks holds the upgrade. It
// returns InvalidOrderError, ErrUnknownService or ErrUpgradeInProgress only when nothing of the order is in
// force; after any other error the order may still take effect.
func (n *Node) StartUpgrade(ctx context.Context, caller Caller, o upgrade.Order) (err error) {
	defer func() { n.calls.orders.record(IsRefusedOrder(err), err) }()
	if err := o.Validate(); err != nil {
		return InvalidOrderError{err}
	}
	o.Exposure = n.Exposure
	if n.stale(caller) {
		return steperr.Wrap("order", o.Service, ErrStale)
	}
	for {
		if err := n.Mesh.Sync(ctx); err != nil {
			return err
		}
		if !n.hasService(o.Service) {
			return steperr.Wrap("order", o.Service, ErrUnknownService)
		}
		previous, err := n.newestUpgrade(o.Service)
		if err != nil {
			return err
		}
		next, outcome := o.Apply(previous, n.mostCommonVersion(o.Service, o.To), time.Now())
		switch {
		case outcome == upgrade.Conflicting:
			return steperr.Wrap("order", o.Service, ErrUpgradeInProgress)
		case outcome == upgrade.Repeated:
			return n.ensureDurable(ctx, []item.Item{previous.Item()})
		case n.stale(caller):
			return steperr.Wrap("order", o.Service, ErrStale)
		}
		if err := n.decideUpgrade(ctx, next); !errors.Is(err, errSuperseded) {
			return err
		}
	}
}

// IsRefusedOrder reports whether an order was refused for its content or because of an upgrade under way.
func IsRefusedOrder(err error) bool {
	var invalid InvalidOrderError
	return errors.As(err, &invalid) || errors.Is(err, ErrUnknownService) || errors.Is(err, ErrUpgradeInProgress)
}

// Upgrade returns the newest upgrade of a service, including everything that was acknowledged or shown before
// the call.
func (n *Node) Upgrade(ctx context.Context, service string) (u upgrade.Upgrade, err error) {
	defer func() { n.calls.reads.record(errors.Is(err, ErrNoUpgrade), err) }()
	if err := n.Mesh.Sync(ctx); err != nil {
		return u, err
	}
	u, err = n.newestUpgrade(service)
	switch {
	case err != nil:
		return u, err
	case u.Phase == 0:
		return u, steperr.Wrap("read upgrade", service, ErrNoUpgrade)
	}
	return u, n.ensureDurable(ctx, []item.Item{u.Item()})
}

// decideUpgrade gets a step decided and stored by a majority. It returns errSuperseded if another
// step was decided in its place; that step is then known here.
func (n *Node) decideUpgrade(ctx context.Context, u upgrade.Upgrade) error {
	step := u.Item()
	decided, err := n.Proposer.Decide(ctx, []item.Item{step})
	switch {
	case IsConflict(err):
		// The controller that decided the other step may have ended before publishing it. The step is read from its
		// register by proposing an item below all versions, which leaves the register unchanged.
		below := item.Item{Key: step.Key, Gone: true}
		if decided, err = n.Proposer.Decide(ctx, []item.Item{below}); err != nil {
			return err
		}
	case err != nil:
		return err
	}
	if err := n.ensureDurable(ctx, decided); err != nil {
		return err
	}
	if !decided[0].Equal(step) {
		return steperr.Wrap("decide upgrade", u.Service, errSuperseded)
	}
	return nil
}

// newestUpgrade returns the newest upgrade of a service known here; its phase is 0 if there is none.
func (n *Node) newestUpgrade(service string) (u upgrade.Upgrade, err error) {
	n.Replica.WithItems(func(s *item.Set) {
		if i, ok := s.Get(upgrade.Key(service)); ok && !i.Gone {
			u, err = upgrade.FromItem(i)
		}
	})
	return u, err
}

func (n *Node) hasService(name string) (has bool) {
	n.Replica.WithItems(func(s *item.Set) {
		i, ok := s.Get(item.Key{Kind: item.Service, Name: name})
		has = ok && !i.Gone
	})
	return has
}

// mostCommonVersion returns the version that most targets of a service have, ignoring except; "" if there are none.
func (n *Node) mostCommonVersion(service, except string) (most string) {
	counts := map[string]int{}
	n.forEachReadyRun(service, func(r target.Run) { counts[r.Version]++ })
	delete(counts, except)
	for version, count := range counts {
		if count > counts[most] || count == counts[most] && version < most {
			most = version
		}
	}
	return most
}

// forEachReadyRun calls f for each target of a service that is ready and not suspected.
func (n *Node) forEachReadyRun(service string, f func(target.Run)) {
	n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
		for r := range t.All(now) {
			if r.Service == service && r.State == target.Ready && !r.Suspected() {
				f(r)
			}
		}
		return false
	})
}

// RevertUpgrade carries out an operator's order to return to the old version.
func (n *Node) RevertUpgrade(ctx context.Context, service string) error {
	for {
		u, err := n.Upgrade(ctx, service)
		switch {
		case err != nil:
			return err
		case u.Phase == upgrade.Reverted:
			return nil
		case !u.Active():
			return steperr.Wrap("revert", service, fmt.Errorf("the upgrade to %s is %s", u.To, u.Phase))
		}
		if err := n.decideUpgrade(ctx, u.Revert("an operator's order")); !errors.Is(err, errSuperseded) {
			return err
		}
	}
}

// Upgrades returns the newest upgrade known here of each service, in no particular order.
func (n *Node) Upgrades() []upgrade.Upgrade {
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	return lo.Map(lo.Values(n.upgrades.byService), func(d *upgradeState, _ int) upgrade.Upgrade { return d.current })
}
