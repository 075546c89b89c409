package day

import (
	"fmt"
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

// RaceOneVersion has two operators send n times two contents of one version of a route at once.
func RaceOneVersion(n int) Trouble {
	return func(w *World) {
		a, b := w.operator(w.id("one")), w.operator(w.id("one"))
		for range n {
			name, v := fmt.Sprintf("x%d", w.chance(3)), w.nextVersion()
			a.watch(name)
			orders := []*operator{a, b}
			services := []string{"orders", "archive"}
			var wg sync.WaitGroup
			for i, o := range orders {
				x := w.added(name, v)
				x.Shares = []route.Share{only(services[i])}
				x.Source = []byte(services[i])
				c := control.Change{Routes: []route.Route{x}}
				order := o.begin(c, true)
				w.note(func(*Record) { order.Contested = true })
				wg.Go(func() { o.press(order, c, w.controllers(), w.now()+pressTime) })
			}
			wg.Wait()
			time.Sleep(w.within(time.Second))
		}
	}
}

// AcksLost loses a part of the acknowledgements to operators for a while, who send the same
// again, to any machine.
func AcksLost(part float64, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		set := func(part float64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ackLoss = part
		}
		set(part)
		return func() { set(0) }
	})
}

// losesAck tells whether an acknowledgement is lost now.
func (w *World) losesAck() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackLoss > 0 && w.rnd.Float64() < w.ackLoss
}

// Reads has an operator ask for what stands, n times, at any machine.
func Reads(n int, pause time.Duration) Trouble {
	return func(w *World) {
		o := w.operator(w.id("asker"))
		for range n {
			o.ask(pick(w, w.controllers()))
			time.Sleep(pause/2 + w.within(pause))
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
