package day

import (
	"time"

	"walkrudder/internal/target"
)

// Ending is how a target ends that says nothing.
type Ending int

// Endings.
const (
	Crash Ending = iota // its connections are reset, and its address refuses
	Dark                // nothing answers
	Gone                // as dark, and it never comes back
)

// Crashed ends a part of a service's targets; after a time others take their place.
func Crashed(service string, part float64, how Ending, d time.Duration) Trouble {
	return func(w *World) {
		each(share(w, w.herd.of(service), part), func(t *Target) {
			over := w.harm(t.ID)
			defer over()
			t.host.SetPowerOff(how != Crash)
			t.kill()
			time.Sleep(d)
			if how != Gone {
				w.herd.startLike(t)
			}
		})
	}
}

// Release replaces the targets of a service one after the other.
func Release(service string, pause time.Duration) Trouble {
	return func(w *World) {
		for _, t := range w.herd.of(service) {
			w.herd.start(t.Service, t.Zone, nil)
			w.wg.Go(t.leave)
			time.Sleep(pause)
		}
	}
}

// Reused ends a part of a service's targets, in order or not; after a while others of
// another service get their addresses.
func Reused(service, other string, part float64, inOrder bool) Trouble {
	return func(w *World) {
		each(share(w, w.herd.of(service), part), func(t *Target) {
			w.herd.start(t.Service, t.Zone, nil)
			if inOrder {
				t.leave()
			} else {
				t.kill()
			}
			time.Sleep(2 * time.Second)
			w.herd.start(other, t.Zone, t.host)
		})
	}
}

// ScaleIn empties a part of a service's targets and takes them away.
func ScaleIn(service string, part float64) Trouble {
	return func(w *World) {
		each(share(w, w.herd.of(service), part), func(t *Target) { t.leave() })
	}
}

// ScaleInUnsaid takes a part of a service's targets away that never say that they drain: they
// say that they are gone, serve on, and end.
func ScaleInUnsaid(service string, part float64) Trouble {
	return func(w *World) {
		each(share(w, w.herd.of(service), part), func(t *Target) { t.leaveUnsaid() })
	}
}

// Faulty has a part of a service's targets behave by a fault.
func Faulty(service string, part float64, f Fault, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		var ends []func()
		for _, t := range share(w, w.herd.of(service), part) {
			ends = append(ends, t.faulty(f))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	})
}

// Flapping freezes and thaws a part of a service's targets again and again.
func Flapping(service string, part float64, d time.Duration) Trouble {
	return func(w *World) {
		until := w.now() + d
		each(share(w, w.herd.of(service), part), func(t *Target) {
			for w.now() < until && t.now() == target.Ready {
				over := w.harm(t.ID)
				t.host.Freeze()
				time.Sleep(300*time.Millisecond + w.within(2*time.Second))
				t.host.Thaw()
				over()
				time.Sleep(300*time.Millisecond + w.within(2*time.Second))
			}
		})
	}
}

// TargetsReset resets all connections of a part of a service's targets.
func TargetsReset(service string, part float64) Trouble {
	return func(w *World) {
		for _, t := range share(w, w.herd.of(service), part) {
			over := w.harm(t.ID)
			t.host.Reset()
			over()
		}
	}
}
