package day

import (
	"fmt"
	"sync"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/route"
)

// ApplyChanges makes n changes by one operator, each after the previous one was acknowledged.
func ApplyChanges(n int, pause time.Duration) Scenario {
	return func(w *World) {
		o := w.operator(w.newID("calm"))
		for range n {
			w.sendRandomChange(o)
			time.Sleep(pause/2 + w.randDuration(pause))
		}
	}
}

func (w *World) sendRandomChange(o *operator) {
	if w.randIntN(2) == 0 {
		o.sendToAny(w.rerouteChange(), true)
		return
	}
	c, name := w.randomEdit()
	o.probeRepeatedly(name)
	o.sendToAny(c, true)
}

// ConcurrentChanges makes two operators change the configuration at the same time.
func ConcurrentChanges(n int) Scenario {
	return func(w *World) {
		a, b := w.operator(w.newID("race")), w.operator(w.newID("race"))
		for range n {
			inParallel([]*operator{a, b}, func(o *operator) { w.sendRandomChange(o) })
			time.Sleep(w.randDuration(time.Second))
		}
	}
}

// ConflictingVersions makes two operators concurrently send different contents of the same version of a route, n times.
func ConflictingVersions(n int) Scenario {
	return func(w *World) {
		a, b := w.operator(w.newID("one")), w.operator(w.newID("one"))
		for range n {
			name, v := fmt.Sprintf("x%d", w.randIntN(3)), w.nextVersion()
			a.probeRepeatedly(name)
			operators := []*operator{a, b}
			services := []string{"orders", "archive"}
			var wg sync.WaitGroup
			for i, o := range operators {
				x := w.extraRoute(name, v)
				x.Shares = []route.Share{singleShare(services[i])}
				x.Source = []byte(services[i])
				c := control.Change{Routes: []route.Route{x}}
				change := o.recordChange(c, true)
				w.updateRecord(func(*Record) { change.Contested = true })
				wg.Go(func() { o.sendUntil(change, c, w.controllers(), w.now()+maxSendTime) })
			}
			wg.Wait()
			time.Sleep(w.randDuration(time.Second))
		}
	}
}

// LoseAcks loses a share of the acknowledgements to operators, who then resend the same change to
// any machine.
func LoseAcks(share float64, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		set := func(share float64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ackLossRate = share
		}
		set(share)
		return func() { set(0) }
	})
}

// drawAckLoss reports whether the current acknowledgement is lost.
func (w *World) drawAckLoss() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackLossRate > 0 && w.rng.Float64() < w.ackLossRate
}

// ReadConfiguration makes an operator read the configuration n times from random machines.
func ReadConfiguration(n int, pause time.Duration) Scenario {
	return func(w *World) {
		o := w.operator(w.newID("asker"))
		for range n {
			o.recordRead(pickOne(w, w.controllers()))
			time.Sleep(pause/2 + w.randDuration(pause))
		}
	}
}

// ChangeStorm sends changes in quick succession without waiting for acknowledgements.
func ChangeStorm(n int) Scenario {
	return func(w *World) {
		var wg sync.WaitGroup
		o := w.operator(w.newID("storm"))
		for range n {
			c, name := w.randomEdit()
			o.probeRepeatedly(name)
			wg.Go(func() { o.sendToAny(c, true) })
			time.Sleep(w.randDuration(200 * time.Millisecond))
		}
		wg.Wait()
	}
}

// ResendOlderChange sends a change, then a newer one, then the first one again.
func ResendOlderChange(w *World) {
	o := w.operator(w.newID("older"))
	first, name := w.randomEdit()
	o.sendToAny(first, true)
	o.probeRepeatedly(name)
	w.sendRandomChange(o)
	o.sendToAny(first, true)
}

// DependentChanges sends n series of changes, each dependent on the one that was acknowledged just before, possibly
// by another controller: a route that is valid only because of a new service, and a route that is invalid only
// because of that first route.
func DependentChanges(n int, pause time.Duration) Scenario {
	return func(w *World) {
		o := w.operator(w.newID("chain"))
		for range n {
			v := w.nextVersion()
			name := w.newID("new")
			o.sendToAny(control.Change{Services: []route.Service{{Name: name, Version: v, Health: "/health", Source: []byte(name)}}}, true)
			x := w.extraRoute("y-"+name, w.nextVersion())
			x.Shares = []route.Share{singleShare(name)}
			o.sendToAny(control.Change{Routes: []route.Route{x}}, true)
			bad := w.extraRoute("never", w.nextVersion())
			bad.Prefix = x.Prefix
			o.sendToAny(control.Change{Routes: []route.Route{bad}}, false)
			time.Sleep(pause/2 + w.randDuration(pause))
		}
	}
}

// InvalidChanges sends n changes that must not take effect.
func InvalidChanges(n int) Scenario {
	return func(w *World) {
		o := w.operator(w.newID("wrong"))
		for range n {
			o.sendToAny(w.invalidChange(), false)
			o.probeRepeatedly("never")
			time.Sleep(w.randDuration(time.Second))
		}
	}
}
