package day

import (
	"time"

	"walkrudder/internal/target"
)

// CrashKind is how a target ends without notice.
type CrashKind int

// Kinds of crashes.
const (
	ProcessCrash        CrashKind = iota // its connections are reset and its address refuses new ones
	Unresponsive                         // its host does not respond
	UnresponsiveForGood                  // the same, and it is never replaced
)

// CrashTargets crashes a share of a service's targets; after a time others take their place.
func CrashTargets(service string, share float64, how CrashKind, d time.Duration) Scenario {
	return func(w *World) {
		inParallel(pickShare(w, w.targets.ready(service), share), func(t *Target) {
			endFault := w.beginTargetPathFault(t.ID)
			defer endFault()
			t.host.SetPowerOff(how != ProcessCrash)
			t.kill()
			time.Sleep(d)
			if how != UnresponsiveForGood {
				w.targets.replace(t)
			}
		})
	}
}

// ReplaceTargets replaces the targets of a service one after another.
func ReplaceTargets(service string, pause time.Duration) Scenario {
	return func(w *World) {
		for _, t := range w.targets.ready(service) {
			w.targets.start(t.Service, t.Zone, nil)
			w.activities.Go(t.drainAndStop)
			time.Sleep(pause)
		}
	}
}

// ReuseAddresses ends a share of a service's targets, with a drain or without; after a while targets of
// another service get their addresses.
func ReuseAddresses(service, other string, share float64, drain bool) Scenario {
	return func(w *World) {
		inParallel(pickShare(w, w.targets.ready(service), share), func(t *Target) {
			w.targets.start(t.Service, t.Zone, nil)
			if drain {
				t.drainAndStop()
			} else {
				t.kill()
			}
			time.Sleep(2 * time.Second)
			w.targets.start(other, t.Zone, t.host)
		})
	}
}

// ScaleIn drains and stops a share of a service's targets.
func ScaleIn(service string, share float64) Scenario {
	return func(w *World) {
		inParallel(pickShare(w, w.targets.ready(service), share), func(t *Target) { t.drainAndStop() })
	}
}

// ScaleInWithoutDrain stops a share of a service's targets that never report that they drain: they
// report that they are gone, keep serving for a while, and end.
func ScaleInWithoutDrain(service string, share float64) Scenario {
	return func(w *World) {
		inParallel(pickShare(w, w.targets.ready(service), share), func(t *Target) { t.stopWithoutDrain() })
	}
}

// FaultyTargets injects a fault into a share of a service's targets.
func FaultyTargets(service string, share float64, f TargetFault, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		var ends []func()
		for _, t := range pickShare(w, w.targets.ready(service), share) {
			ends = append(ends, t.injectFault(f))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	})
}

// FlapTargets repeatedly freezes and thaws a share of a service's targets.
func FlapTargets(service string, share float64, d time.Duration) Scenario {
	return func(w *World) {
		until := w.now() + d
		inParallel(pickShare(w, w.targets.ready(service), share), func(t *Target) {
			for w.now() < until && t.currentState() == target.Ready {
				endFault := w.beginTargetPathFault(t.ID)
				t.host.Freeze()
				time.Sleep(300*time.Millisecond + w.randDuration(2*time.Second))
				t.host.Thaw()
				endFault()
				time.Sleep(300*time.Millisecond + w.randDuration(2*time.Second))
			}
		})
	}
}

// ResetTargetConnections resets all connections of a share of a service's targets.
func ResetTargetConnections(service string, share float64) Scenario {
	return func(w *World) {
		for _, t := range pickShare(w, w.targets.ready(service), share) {
			endFault := w.beginTargetPathFault(t.ID)
			t.host.Reset()
			endFault()
		}
	}
}
