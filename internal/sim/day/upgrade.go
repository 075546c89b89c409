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
	// firstVersion is the software version of all targets at the start of a day.
	firstVersion = "v1"
	// slowFactor is by how much a slow version multiplies the work time.
	slowFactor = 8
	// upgradePollInterval is how often an operator reads the state of an upgrade.
	upgradePollInterval = 500 * time.Millisecond
	// revertDrainDelay is how long after a reverted upgrade the new targets begin to drain.
	revertDrainDelay = 2 * time.Second
)

// Defect is a defect of a version of a service's software; the zero value is a version without one.
type Defect struct {
	FailRate, SlowRate float64       // shares of its requests
	Route              string        // the only affected route; "" is all
	After              time.Duration // time from a target's start until the defect appears
	UnderLoad          bool          // only while all slots are taken
}

// IsBad reports whether there is a defect.
func (f Defect) IsBad() bool { return f.FailRate > 0 || f.SlowRate > 0 }

// drawDefect draws whether a request fails or is slow because of the target's version.
func (t *Target) drawDefect(path string) (fails, slow bool) {
	f, w := t.defect, t.world
	if !f.IsBad() || f.Route != "" && w.streamOf(path).Route != f.Route || w.now()-t.startedAt < f.After {
		return false, false
	}
	t.mu.Lock()
	busy := t.usedSlots >= w.Deployment.Slots
	t.mu.Unlock()
	if f.UnderLoad && !busy {
		return false, false
	}
	return w.randFloat() < f.FailRate, w.randFloat() < f.SlowRate
}

// UpgradeOrder is an operator's order of an upgrade and the states that were reported for it.
type UpgradeOrder struct {
	Service, Version string
	Bad              bool
	Sent             time.Duration
	Term             time.Duration
	Acknowledged     bool
	Acked            time.Duration
	Reads            []UpgradeRead
	// Reason is why it ended, as reported by the controllers.
	Reason string
}

// UpgradeRead is the reported state of an upgrade. Phase is 0 if there was no upgrade.
type UpgradeRead struct {
	From, To time.Duration
	Version  string
	Phase    upgrade.Phase
}

// Outcome returns when the operator first read that the upgrade had ended, and in which phase.
func (o *UpgradeOrder) Outcome() (time.Duration, upgrade.Phase) {
	for _, r := range o.Reads {
		if r.Version == o.Version && (r.Phase == upgrade.Completed || r.Phase == upgrade.Reverted) {
			return r.To, r.Phase
		}
	}
	return 0, 0
}

// UpgradeService makes an operator order an upgrade of a service, and starts and ends targets according to its reported state.
func UpgradeService(service, version string, defect Defect, term time.Duration) Scenario {
	return func(w *World) {
		o := w.operator("upgrade-" + version)
		x := &UpgradeOrder{Service: service, Version: version, Bad: defect.IsBad(), Sent: w.now(), Term: term}
		w.updateRecord(func(r *Record) { r.Upgrades = append(r.Upgrades, x) })
		if !o.orderUpgrade(x) {
			return
		}
		old := w.targets.ready(service)
		for _, t := range old {
			w.targets.startVersion(service, t.Zone, nil, version, defect)
		}
		w.activities.Go(func() { o.followUpgrade(x, defect) })
	}
}

// orderUpgrade sends an order until it is acknowledged or refused.
func (o *operator) orderUpgrade(x *UpgradeOrder) bool {
	w := o.world
	for until := w.now() + x.Term; !w.isFinished() && w.now() < until; time.Sleep(100 * time.Millisecond) {
		_, err := o.callRandomController(func(ctx context.Context, n *control.Node) (upgrade.Upgrade, error) {
			return upgrade.Upgrade{}, n.StartUpgrade(ctx, nil, upgrade.Order{Service: x.Service, To: x.Version, Term: x.Term})
		})
		if control.IsRefusedOrder(err) {
			return false
		}
		if err == nil {
			w.updateRecord(func(*Record) { x.Acknowledged, x.Acked = true, w.now() })
			return true
		}
	}
	return false
}

// callRandomController makes one call to a random controller.
func (o *operator) callRandomController(f func(context.Context, *control.Node) (upgrade.Upgrade, error)) (upgrade.Upgrade, error) {
	m := pickOne(o.world, o.world.controllers())
	ctx, cancel := context.WithTimeout(o.world.ctx, 1500*time.Millisecond)
	defer cancel()
	return simnet.RemoteCall(ctx, o.proc, m.internalAddr(), func(ctx context.Context, _ *simnet.Proc) (upgrade.Upgrade, error) {
		n := m.controllerNode()
		if n == nil {
			return upgrade.Upgrade{}, net.ErrClosed
		}
		ctx, cancel := context.WithTimeout(ctx, 3500*time.Millisecond)
		defer cancel()
		return f(ctx, n)
	})
}

// followUpgrade reads the state of an upgrade until the day is over and ends targets accordingly: the old ones immediately
// at its completion, without notice, the new ones with a drain some time after it was reverted.
func (o *operator) followUpgrade(x *UpgradeOrder, defect Defect) {
	w, ended := o.world, false
	for !w.isFinished() {
		from := w.now()
		u, err := o.callRandomController(func(ctx context.Context, n *control.Node) (upgrade.Upgrade, error) { return n.Upgrade(ctx, x.Service) })
		if err == nil || errors.Is(err, control.ErrNoUpgrade) {
			w.updateRecord(func(*Record) {
				x.Reads = append(x.Reads, UpgradeRead{from, w.now(), u.To, u.Phase})
				if u.To == x.Version {
					x.Reason = u.Reason
				}
			})
		}
		if err == nil && u.To == x.Version && !ended && !u.Active() {
			ended = true
			w.endTargets(x, u.Phase, defect)
		}
		timer := time.NewTimer(upgradePollInterval)
		select {
		case <-timer.C:
		case <-w.ctx.Done():
		}
		timer.Stop()
	}
}

// endTargets ends the targets that are no longer needed after an upgrade has ended.
func (w *World) endTargets(x *UpgradeOrder, phase upgrade.Phase, defect Defect) {
	if phase == upgrade.Completed {
		w.targets.setVersion(x.Service, x.Version, defect)
		for _, t := range w.targets.ready(x.Service) {
			if t.Version != x.Version {
				w.targets.retire(t.Version)
				w.activities.Go(t.kill)
			}
		}
		return
	}
	w.targets.retire(x.Version)
	time.Sleep(revertDrainDelay)
	for _, t := range w.targets.ready(x.Service) {
		if t.Version == x.Version {
			w.activities.Go(t.drainAndStop)
		}
	}
}
