package day

import (
	"sync"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/route"
)

// Changes are n changes of one operator, each after the one before was acknowledged.
func Changes(n int, pause time.Duration) Trouble {
	return func(w *World) {
		o := w.operator(w.id("calm"))
		for range n {
			w.oneChange(o)
			time.Sleep(pause/2 + w.within(pause))
		}
	}
}

func (w *World) oneChange(o *operator) {
	if w.chance(2) == 0 {
		o.send(w.shift(), true)
		return
	}
	c, name := w.edit()
	o.watch(name)
	o.send(c, true)
}

// Race has two operators change the same at once.
func Race(n int) Trouble {
	return func(w *World) {
		a, b := w.operator(w.id("race")), w.operator(w.id("race"))
		for range n {
			each([]*operator{a, b}, func(o *operator) { w.oneChange(o) })
			time.Sleep(w.within(time.Second))
		}
	}
}

// Storm sends changes in quick succession, without waiting.
func Storm(n int) Trouble {
	return func(w *World) {
		var wg sync.WaitGroup
		o := w.operator(w.id("storm"))
		for range n {
			c, name := w.edit()
			o.watch(name)
			wg.Go(func() { o.send(c, true) })
			time.Sleep(w.within(200 * time.Millisecond))
		}
		wg.Wait()
	}
}

// Older sends a change, then a newer one, then the first again.
func Older(w *World) {
	o := w.operator(w.id("older"))
	first, name := w.edit()
	o.send(first, true)
	o.watch(name)
	w.oneChange(o)
	o.send(first, true)
}

// Chained sends n pairs of changes, of which the second relies on the first that was just
// acknowledged elsewhere: one that is valid by it alone, and one that it alone makes
// invalid.
func Chained(n int, pause time.Duration) Trouble {
	return func(w *World) {
		o := w.operator(w.id("chain"))
		for range n {
			v := w.nextVersion()
			name := w.id("new")
			o.send(control.Change{Services: []route.Service{{Name: name, Version: v, Health: "/health", Source: []byte(name)}}}, true)
			x := w.added("y-"+name, w.nextVersion())
			x.Shares = []route.Share{only(name)}
			o.send(control.Change{Routes: []route.Route{x}}, true)
			bad := w.added("never", w.nextVersion())
			bad.Prefix = x.Prefix
			o.send(control.Change{Routes: []route.Route{bad}}, false)
			time.Sleep(pause/2 + w.within(pause))
		}
	}
}

// Invalid sends n changes that may not come into force.
func Invalid(n int) Trouble {
	return func(w *World) {
		o := w.operator(w.id("wrong"))
		for range n {
			o.send(w.invalid(), false)
			o.watch("never")
			time.Sleep(w.within(time.Second))
		}
	}
}
