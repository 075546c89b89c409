package day

import (
	"context"
	"errors"
	"net"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/upgrade"
)

const (
	// firstVersion is that of all targets at a day's start.
	firstVersion = "v1"
	// slowFlaw is how many times as long a slow version works.
	slowFlaw = 8
	// askEvery is how often an operator asks how an upgrade goes.
	askEvery = 500 * time.Millisecond
	// revertPause is how long after a reverted upgrade the new targets begin to leave.
	revertPause = 2 * time.Second
)

// Flaw is what is wrong with a version of a service's software; the zero value is a good one.
type Flaw struct {
	Fails, Slow float64       // parts of its requests
	Route       string        // the only route that shows it; "" is all
	After       time.Duration // from so long after a target's start
	UnderLoad   bool          // only while all slots are taken
}

// Bad tells whether there is any.
func (f Flaw) Bad() bool { return f.Fails > 0 || f.Slow > 0 }

// ails draws how a request goes at a target by its version.
func (t *Target) ails(path string) (fails, slow bool) {
	f, w := t.flaw, t.w
	if !f.Bad() || f.Route != "" && w.streamOf(path).Route != f.Route || w.now()-t.started < f.After {
		return false, false
	}
	t.mu.Lock()
	busy := t.active >= w.Shape.Slots
	t.mu.Unlock()
	if f.UnderLoad && !busy {
		return false, false
	}
	return w.real() < f.Fails, w.real() < f.Slow
}

// UpgradeOrder is an operator's order of an upgrade, with what was told of it.
type UpgradeOrder struct {
	Service, Version string
	Bad              bool
	Sent             time.Duration
	Term             time.Duration
	Acknowledged     bool
	Acked            time.Duration
	Reads            []UpgradeRead
	// Reason is why it ended, by its controllers' word.
	Reason string
}

// UpgradeRead is an answer to an operator who asked how an upgrade goes. Phase is 0 where there was none.
type UpgradeRead struct {
	From, To time.Duration
	Version  string
	Phase    upgrade.Phase
}

// Ended is when the operator was first told of an end, and of which.
func (o *UpgradeOrder) Ended() (time.Duration, upgrade.Phase) {
	for _, r := range o.Reads {
		if r.Version == o.Version && (r.Phase == upgrade.Completed || r.Phase == upgrade.Reverted) {
			return r.To, r.Phase
		}
	}
	return 0, 0
}

// Upgraded has an operator order an upgrade of a service, and its targets go by what is told of it.
func Upgraded(service, version string, flaw Flaw, term time.Duration) Trouble {
	return func(w *World) {
		o := w.operator("upgrade-" + version)
		x := &UpgradeOrder{Service: service, Version: version, Bad: flaw.Bad(), Sent: w.now(), Term: term}
		w.note(func(r *Record) { r.Upgrades = append(r.Upgrades, x) })
		if !o.orderUpgrade(x) {
			return
		}
		old := w.herd.of(service)
		for _, t := range old {
			w.herd.startAs(service, t.Zone, nil, version, flaw)
		}
		w.wg.Go(func() { o.followUpgrade(x, flaw) })
	}
}

// orderUpgrade has an order acknowledged, as press does with a change.
func (o *operator) orderUpgrade(x *UpgradeOrder) bool {
	w := o.w
	for until := w.now() + x.Term; !w.over() && w.now() < until; time.Sleep(100 * time.Millisecond) {
		_, err := o.upgradeCall(func(cx context.Context, n *control.Node) (upgrade.Upgrade, error) {
			return upgrade.Upgrade{}, n.StartUpgrade(cx, nil, upgrade.Order{Service: x.Service, To: x.Version, Term: x.Term})
		})
		if control.IsRefusedOrder(err) {
			return false
		}
		if err == nil {
			w.note(func(*Record) { x.Acknowledged, x.Acked = true, w.now() })
			return true
		}
	}
	return false
}

// upgradeCall makes one call at some controller.
func (o *operator) upgradeCall(f func(context.Context, *control.Node) (upgrade.Upgrade, error)) (upgrade.Upgrade, error) {
	m := pick(o.w, o.w.controllers())
	cx, end := context.WithTimeout(o.w.ctx, 1500*time.Millisecond)
	defer end()
	return simnet.RemoteCall(cx, o.p, m.innerAddr(), func(cx context.Context, _ *simnet.Proc) (upgrade.Upgrade, error) {
		n := m.node()
		if n == nil {
			return upgrade.Upgrade{}, net.ErrClosed
		}
		cx, end := context.WithTimeout(cx, 3500*time.Millisecond)
		defer end()
		return f(cx, n)
	})
}

// followUpgrade asks how an upgrade goes until the day is over, and ends targets by the answers: the old ones at the moment
// of its completion, without a word, the new ones in order some time after it was reverted.
func (o *operator) followUpgrade(x *UpgradeOrder, flaw Flaw) {
	w, ended := o.w, false
	for !w.over() {
		from := w.now()
		u, err := o.upgradeCall(func(cx context.Context, n *control.Node) (upgrade.Upgrade, error) { return n.Upgrade(cx, x.Service) })
		if err == nil || errors.Is(err, control.ErrNoUpgrade) {
			w.note(func(*Record) {
				x.Reads = append(x.Reads, UpgradeRead{from, w.now(), u.To, u.Phase})
				if u.To == x.Version {
					x.Reason = u.Reason
				}
			})
		}
		if err == nil && u.To == x.Version && !ended && !u.Active() {
			ended = true
			w.endTargets(x, u.Phase, flaw)
		}
		timer := time.NewTimer(askEvery)
		select {
		case <-timer.C:
		case <-w.ctx.Done():
		}
		timer.Stop()
	}
}

// endTargets ends those targets that an upgrade's end leaves without work.
func (w *World) endTargets(x *UpgradeOrder, phase upgrade.Phase, flaw Flaw) {
	if phase == upgrade.Completed {
		w.herd.setVersion(x.Service, x.Version, flaw)
		for _, t := range w.herd.of(x.Service) {
			if t.Version != x.Version {
				w.herd.retire(t.Version)
				w.wg.Go(t.kill)
			}
		}
		return
	}
	w.herd.retire(x.Version)
	time.Sleep(revertPause)
	for _, t := range w.herd.of(x.Service) {
		if t.Version == x.Version {
			w.wg.Go(t.leave)
		}
	}
}
