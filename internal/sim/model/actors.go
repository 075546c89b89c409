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

// maxChangeAttempts is how many times an operator sends a change that got no conclusive answer.
const maxChangeAttempts = 3

var errConnRefused = errors.New("connection refused")

// callNode runs f against the current process of a node. The call is cancelled when the process
// ends or when the actors' context ends.
func callNode[T any](w *World, actor, id string, f func(ctx context.Context, c *control.Node) (T, error)) (T, error) {
	var zero T
	n := w.nodes[id]
	p := n.current.Load()
	if p == nil {
		return zero, errConnRefused
	}
	n.learnCores()
	callCtx, cancel := context.WithCancel(withActor(p.ctx, actor))
	defer cancel()
	defer context.AfterFunc(w.actorCtx, cancel)()
	got, err := f(callCtx, p.control)
	if p.ctx.Err() != nil {
		return zero, errConnRefused
	}
	return got, err
}

// waitTurn blocks the actor until a step of the schedule wakes it.
func (w *World) waitTurn(who string) { w.waitTurnAndAdvance(who, 0) }

// waitTurnAndAdvance does the same; the waking step advances the model's time by d.
func (w *World) waitTurnAndAdvance(who string, d time.Duration) {
	woken := make(chan struct{})
	w.enqueue(&event{kind: wakeEvent, owner: who, label: "actor", fire: func() {
		w.advance(d)
		close(woken)
	}})
	select {
	case <-woken:
	case <-w.actorCtx.Done():
	}
}

// SubmitChange is an operator: it sends a change to the nodes in turn until one gives a conclusive
// answer, and repeats it once after a confirmation, as a client does whose confirmation was lost.
func SubmitChange(name string, c control.Change, nodes ...string) Actor {
	return Actor{name, func(w *World) {
		items := changeItems(c)
		confirmed := false
		actorCtx := w.actorCtx
		for try := range maxChangeAttempts {
			ps, err := callNode(w, name, nodes[try%len(nodes)], func(ctx context.Context, n *control.Node) ([]route.Problem, error) { return n.Apply(ctx, c) })
			switch {
			case actorCtx.Err() != nil && err != nil:
				return
			case len(ps) > 0 || control.IsConflict(err):
				w.history.recordRefused(items)
				return
			case err == nil:
				w.history.recordConfirmed(items)
				if confirmed {
					return
				}
				confirmed = true
			}
			w.waitTurn(name)
		}
	}}
}

// Script runs several actors one after the other.
func Script(name string, parts ...Actor) Actor {
	return Actor{name, func(w *World) {
		for _, a := range parts {
			if w.actorCtx.Err() != nil {
				return
			}
			a.Do(w)
		}
	}}
}

// Inject is a fault that a script injects as a step of its own.
func Inject(name string, f func(w *World)) Actor {
	return Actor{name, func(w *World) {
		done := make(chan struct{})
		w.enqueue(&event{kind: wakeEvent, owner: "script", label: name, fire: func() { f(w); close(done) }})
		select {
		case <-done:
		case <-w.actorCtx.Done():
		}
	}}
}

// LoseDisk ends the node's process and restarts it on an empty disk.
func LoseDisk(id string) Actor {
	return Inject(id+" loses its disk", func(w *World) { w.nodes[id].loseDisk() })
}

// PowerOff ends every process and starts all again.
func PowerOff() Actor { return Inject("power off everywhere", func(w *World) { w.powerOff(nil) }) }

// TogglePartition cuts a node off from all others, or reconnects it.
func TogglePartition(id string) Actor {
	return Inject(id+" is cut off, or reconnected", func(w *World) { w.togglePartition(w.nodes[id]) })
}

// Partition separates a group of nodes from all others and reconnects all paths within each side.
func Partition(group ...string) Actor {
	return Inject(fmt.Sprint(group, " are cut off from the others"), func(w *World) { w.partition(group) })
}

// Read reads the configuration at a node.
func Read(id string) Actor {
	return Actor{"read at " + id, func(w *World) { w.read(id) }}
}

func (w *World) read(id string) {
	r := w.history.beginRead()
	st, err := callNode(w, "read at "+id, id, func(ctx context.Context, n *control.Node) (control.Configuration, error) { return n.Current(ctx) })
	if err != nil {
		return
	}
	runs := map[string]target.State{}
	_, err = callNode(w, "", id, func(_ context.Context, n *control.Node) (struct{}, error) {
		n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
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

// Leave is a target announcing the end of its run; it tries the nodes in turn.
func Leave(run string, nodes ...string) Actor {
	return Actor{"leave " + run, func(w *World) {
		actorCtx := w.actorCtx
		for _, id := range nodes {
			if actorCtx.Err() != nil {
				return
			}
			_, err := callNode(w, "leave "+run, id, func(ctx context.Context, n *control.Node) (struct{}, error) { return struct{}{}, n.Leave(ctx, run) })
			if err == nil {
				w.history.recordLeave(run)
				return
			}
			w.waitTurn("leave")
		}
	}}
}

// Reconfigure runs a node's reconfigurer, which runs continuously in production.
func Reconfigure(id string) Actor {
	return Actor{"reconfigure at " + id, func(w *World) {
		w.waitTurn("reconfigure")
		w.reconfigure(id)
	}}
}

// reconfigureRounds is how many steps of the reconfigurer one run takes: it acts only after a
// healthy period, and needs further steps after each action.
const reconfigureRounds = 4

func (w *World) reconfigure(id string) {
	for range reconfigureRounds {
		n := w.nodes[id]
		p := n.current.Load()
		if p == nil {
			return
		}
		select {
		case p.reconfigureLock <- struct{}{}:
		case <-p.ctx.Done():
			return
		}
		if p.ctx.Err() != nil {
			return
		}
		w.advance(5 * time.Second)
		n.learnCores()
		p.reconfigurer.Step(withActor(p.ctx, "reconfigure at "+id))
		<-p.reconfigureLock
	}
	if w.coreComplete() {
		for _, n := range w.nodeList {
			n.diskLost.Store(false)
		}
	}
}

// learnCores informs a node of the cores that the others know, as gossip does continuously in production.
func (n *node) learnCores() {
	p := n.current.Load()
	for _, o := range n.w.nodeList {
		if v := o.voter(); v != nil && p != nil && !n.w.cut(o.id, n.id) {
			p.control.Proposer.Learn(v.Core())
		}
	}
}

// changeItems lists the items that a change writes.
func changeItems(c control.Change) (out []item.Item) {
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

// RouteChange is a change of the named routes to the given version and content.
func RouteChange(number uint64, text string, names ...string) control.Change {
	var c control.Change
	for _, name := range names {
		c.Routes = append(c.Routes, route.Route{Name: name, Version: number, Host: "h", Prefix: fmt.Sprintf("/%s/", name), Repeat: route.Idempotent,
			Shares: []route.Share{{Service: serviceName, Weight: 1}}, Source: []byte(text)})
	}
	return c
}

// serviceName is the service that all routes lead to; baseChange declares it.
const serviceName = "s"

func baseChange() control.Change {
	return control.Change{Services: []route.Service{{Name: serviceName, Version: 1, Health: "/h", Source: []byte("{}")}}}
}
