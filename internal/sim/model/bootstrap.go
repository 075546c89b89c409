package model

import (
	"fmt"
	"time"
)

const (
	// bootstrapSteps is how many steps of the bootstrapper one actor takes, and bootstrapInterval the
	// time between two of them.
	bootstrapSteps    = 6
	bootstrapInterval = time.Second
	// maxFormRounds bounds the rounds in which a healthy system must form its first core.
	maxFormRounds = 12
)

// Bootstrap runs a node's bootstrapper until the node knows a core. The bootstrapper looks for a core
// and forms the first one if that is the node's task.
func Bootstrap(id string) Actor {
	return Actor{"bootstrap at " + id, func(w *World) {
		actorCtx := w.actorCtx
		for range bootstrapSteps {
			if actorCtx.Err() != nil {
				return
			}
			w.waitTurnAndAdvance("bootstrap "+id, bootstrapInterval)
			p := w.nodes[id].current.Load()
			if p == nil {
				continue
			}
			p.bootstrapper.Step(withActor(p.ctx, "bootstrap at "+id))
			// The in-memory state of a process that has ended meanwhile does not count.
			if p.ctx.Err() == nil && p.control.Proposer.Core().Epoch > 0 {
				return
			}
		}
	}}
}

// formFirstCore runs all bootstrappers until every node knows a core.
func (w *World) formFirstCore() bool {
	for range maxFormRounds {
		known := true
		for _, n := range w.nodeList {
			w.startActor(Actor{fmt.Sprint("bootstrap at ", n.id), func(w *World) {
				p := n.current.Load()
				p.bootstrapper.Step(withActor(p.ctx, "bootstrap at "+n.id))
			}})
			if !w.runUntilIdle() {
				return false
			}
			known = known && n.current.Load().control.Proposer.Core().Epoch > 0
		}
		if known {
			return true
		}
		w.advance(bootstrapInterval)
	}
	return false
}
