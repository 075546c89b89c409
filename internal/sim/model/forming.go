package model

import (
	"fmt"
	"time"
)

const (
	// bootSteps is how many looks a bootstrapper takes in one go, and bootPause the time that
	// passes between two.
	bootSteps = 6
	bootPause = time.Second
	// formRounds bounds the looks of all nodes by which a first core must stand once all is well.
	formRounds = 12
)

// Bootstrap has a node look for the core, and form the first one if that is its part, as it does
// all the time until it knows one.
func Bootstrap(id string) Actor {
	return Actor{"bootstrap at " + id, func(w *World) {
		patience := w.patience
		for range bootSteps {
			if patience.Err() != nil {
				return
			}
			w.pauseFor("bootstrap "+id, bootPause)
			p := w.nodes[id].now.Load()
			if p == nil {
				continue
			}
			p.boots.Step(byActor(p.ctx, "bootstrap at "+id))
			// What a process that ended meanwhile had in memory counts for nothing.
			if p.ctx.Err() == nil && p.control.Proposer.Core().Epoch > 0 {
				return
			}
		}
	}}
}

// formAtLast has all nodes look for the core until each knows one.
func (w *World) formAtLast() bool {
	for range formRounds {
		known := true
		for _, n := range w.list {
			w.begin(Actor{fmt.Sprint("bootstrap at ", n.id), func(w *World) {
				p := n.now.Load()
				p.boots.Step(byActor(p.ctx, "bootstrap at "+n.id))
			}})
			if !w.drive() {
				return false
			}
			known = known && n.now.Load().control.Proposer.Core().Epoch > 0
		}
		if known {
			return true
		}
		w.pass(bootPause)
	}
	return false
}
