package model

import (
	"context"
	"errors"
	"fmt"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

// tries is how often an operator sends an order that got no clear answer.
const tries = 3

var errDown = errors.New("connection refused")

// at runs f at a node's process, and gives up when that ends.
func at[T any](w *World, actor, id string, f func(ctx context.Context, c *control.Node) (T, error)) (T, error) {
	var none T
	n := w.nodes[id]
	p := n.now.Load()
	if p == nil {
		return none, errDown
	}
	n.learn()
	patient, end := context.WithCancel(byActor(p.ctx, actor))
	defer end()
	defer context.AfterFunc(w.patience, end)()
	got, err := f(patient, p.control)
	if p.ctx.Err() != nil {
		return none, errDown
	}
	return got, err
}

// pause lets a step decide when an actor goes on.
func (w *World) pause(who string) { w.pauseFor(who, 0) }

// pauseFor does so, and has a time pass in that step.
func (w *World) pauseFor(who string, d time.Duration) {
	woken := make(chan struct{})
	w.add(&event{kind: wakeEvent, owner: who, what: "actor", fire: func() {
		w.pass(d)
		close(woken)
	}})
	select {
	case <-woken:
	case <-w.patience.Done():
	}
}

// Order is an operator's: it is sent to one node after the other until there is a clear answer,
// and once more after a confirmation, as if that had been lost.
func Order(name string, c control.Change, nodes ...string) Actor {
	return Actor{name, func(w *World) {
		items := itemsOf(c)
		confirmed := false
		patience := w.patience
		for try := range tries {
			ps, err := at(w, name, nodes[try%len(nodes)], func(ctx context.Context, n *control.Node) ([]route.Problem, error) { return n.Apply(ctx, c) })
			switch {
			case patience.Err() != nil && err != nil:
				return
			case len(ps) > 0 || control.IsConflict(err):
				w.history.refuse(items)
				return
			case err == nil:
				w.history.confirm(items)
				if confirmed {
					return
				}
				confirmed = true
			}
			w.pause(name)
		}
	}}
}

// Script is an actor that does things one after the other.
func Script(name string, parts ...Actor) Actor {
	return Actor{name, func(w *World) {
		for _, a := range parts {
			if w.patience.Err() != nil {
				return
			}
			a.Do(w)
		}
	}}
}

// Happen is a trouble that a script brings about, between two steps.
func Happen(name string, f func(w *World)) Actor {
	return Actor{name, func(w *World) {
		done := make(chan struct{})
		w.add(&event{kind: wakeEvent, owner: "script", what: name, fire: func() { f(w); close(done) }})
		select {
		case <-done:
		case <-w.patience.Done():
		}
	}}
}

// Lose empties a node's disk.
func Lose(id string) Actor {
	return Happen(id+" loses its disk", func(w *World) { w.nodes[id].lose() })
}

// PowerOff ends every process and starts all again.
func PowerOff() Actor { return Happen("power off everywhere", func(w *World) { w.powerOff(nil) }) }

// TurnCut cuts a node off from all others, or joins it again.
func TurnCut(id string) Actor {
	return Happen(id+" is cut off, or joined again", func(w *World) { w.turnCut(w.nodes[id]) })
}

// Split cuts a group of nodes from all others, and joins all ways within the two halves.
func Split(group ...string) Actor {
	return Happen(fmt.Sprint(group, " are cut from the others"), func(w *World) { w.split(group) })
}

// Read reads the configuration at a node.
func Read(id string) Actor {
	return Actor{"read at " + id, func(w *World) { w.read(id) }}
}

func (w *World) read(id string) {
	r := w.history.beginRead()
	st, err := at(w, "read at "+id, id, func(ctx context.Context, n *control.Node) (control.Configuration, error) { return n.Current(ctx) })
	if err != nil {
		return
	}
	runs := map[string]target.State{}
	_, err = at(w, "", id, func(_ context.Context, n *control.Node) (struct{}, error) {
		n.Board.WithRuns(func(t *target.Table, now time.Time) bool {
			for x := range t.All(now) {
				runs[x.ID] = x.State
			}
			return false
		})
		return struct{}{}, nil
	})
	if err == nil {
		w.history.endRead(id, r, st, runs)
	}
}

// Leave is a target's word that its run ends, sent to one node after the other.
func Leave(run string, nodes ...string) Actor {
	return Actor{"leave " + run, func(w *World) {
		patience := w.patience
		for _, id := range nodes {
			if patience.Err() != nil {
				return
			}
			_, err := at(w, "leave "+run, id, func(ctx context.Context, n *control.Node) (struct{}, error) { return struct{}{}, n.Leave(ctx, run) })
			if err == nil {
				w.history.leave(run)
				return
			}
			w.pause("leave")
		}
	}}
}

// Reconfigure has a node look after the seats, as it does all the time.
func Reconfigure(id string) Actor {
	return Actor{"reconfigure at " + id, func(w *World) {
		w.pause("reconfigure")
		w.reconfigure(id)
	}}
}

// looks is how often a node looks after the seats: it acts only after it has been well for a
// while, and again after what it did.
const looks = 4

func (w *World) reconfigure(id string) {
	for range looks {
		n := w.nodes[id]
		p := n.now.Load()
		if p == nil {
			return
		}
		select {
		case p.turn <- struct{}{}:
		case <-p.ctx.Done():
			return
		}
		if p.ctx.Err() != nil {
			return
		}
		w.pass(5 * time.Second)
		n.learn()
		p.reconf.Step(byActor(p.ctx, "reconfigure at "+id))
		<-p.turn
	}
	if w.complete() {
		for _, n := range w.list {
			n.lost.Store(false)
		}
	}
}

// learn has a node hear of the cores that the others know, as it does all the time.
func (n *node) learn() {
	p := n.now.Load()
	for _, o := range n.w.list {
		if v := o.voter(); v != nil && p != nil && !n.w.cut(o.id, n.id) {
			p.control.Proposer.Learn(v.Core())
		}
	}
}

// itemsOf are the items of a change.
func itemsOf(c control.Change) (out []item.Item) {
	for _, s := range c.Services {
		out = append(out, s.Item())
	}
	for _, r := range c.Routes {
		out = append(out, r.Item())
	}
	for _, d := range c.Drops {
		out = append(out, item.Item{Key: item.Key{Kind: d.Kind, Name: d.Name}, Version: d.Version, Gone: true})
	}
	return out
}

// To is a change of routes, by name, version and content.
func To(number uint64, text string, names ...string) control.Change {
	var c control.Change
	for _, name := range names {
		c.Routes = append(c.Routes, route.Route{Name: name, Version: number, Host: "h", Prefix: fmt.Sprintf("/%s/", name), Repeat: route.Idempotent,
			Shares: []route.Share{{Service: service, Weight: 1}}, Source: []byte(text)})
	}
	return c
}

// service is what all routes lead to; base declares it.
const service = "s"

func base() control.Change {
	return control.Change{Services: []route.Service{{Name: service, Version: 1, Health: "/h", Source: []byte("{}")}}}
}
