package model

import (
	"slices"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
)

// oneZone is where nodes stand in a scenario without zones.
const oneZone = "z"

// zone is that of the i-th node.
func (s Scenario) zone(i int) string {
	if i < len(s.Zones) {
		return s.Zones[i]
	}
	return oneZone
}

// tolerance is what may be lost at once.
func (w *World) tolerance() quorum.Tolerance {
	if w.scenario.Tolerance == (quorum.Tolerance{}) {
		return quorum.Tolerance{Machines: (w.scenario.Seats - 1) / 2}
	}
	return w.scenario.Tolerance
}

// zones are those of the nodes.
func (w *World) zones() []string {
	return lo.Uniq(lo.Map(w.list, func(n *node, _ int) string { return n.zone }))
}

// in lists the nodes of a zone.
func (w *World) in(zone string) []*node {
	return lo.Filter(w.list, func(n *node, _ int) bool { return n.zone == zone })
}

// bears tells whether the nodes may be without what they held at once: so many machines, or so many zones.
func (w *World) bears(without []*node) bool {
	zones := lo.Uniq(lo.Map(without, func(n *node, _ int) string { return n.zone }))
	return len(without) <= w.tolerance().Machines || len(zones) <= w.tolerance().Zones
}

// without are the nodes that are without what they held. A lost disk counts, a seat's or not, until a
// reconfigurer has looked after the core: the users give a machine some seconds after its return.
func (w *World) without() (without []*node) {
	core := w.core()
	for _, n := range w.list {
		votes := true
		if s, has := core.Seat(n.id); has {
			_, votes = w.votes(core, s)
		}
		if !votes || n.lost.Load() {
			without = append(without, n)
		}
	}
	return without
}

// bearsLoss tells whether disks may be lost now.
func (w *World) bearsLoss(lost ...*node) bool {
	return w.bears(lo.Uniq(slices.Concat(lost, w.without())))
}

// zoneLosses are the zones that may be lost now with all disks in them.
func (w *World) zoneLosses() (out []choice) {
	for _, zone := range w.zones() {
		if lost := w.in(zone); w.bearsLoss(lost...) {
			out = append(out, choice{"zone " + zone + " loses its disks and starts", func() {
				w.left.Zones--
				w.loseAll(lost)
			}})
		}
	}
	return out
}

// loseAll ends the processes of nodes at one moment, and starts others on empty disks.
func (w *World) loseAll(lost []*node) {
	w.crash(0, lost...)
	for _, n := range lost {
		n.lost.Store(true)
		n.disk.wipe()
		n.boot()
	}
}

// exposedCore is what a core is exposed to.
type exposedCore struct {
	epoch    uint64
	exposure quorum.Exposure
}

// inspectExposure checks that no core is exposed to more than the one before it.
func (w *World) inspectExposure() {
	core := w.core()
	if core.Epoch <= w.exposed.epoch {
		return // the nodes that know a newer one may be down
	}
	before := w.exposed
	w.exposed = exposedCore{core.Epoch, w.tolerance().ExposureOf(core.Seats)}
	if before.epoch > 0 && !w.exposed.exposure.AtMost(before.exposure) {
		w.history.note("the core of epoch %d is exposed to more than that of epoch %d: %+v, before %+v", core.Epoch, before.epoch, w.exposed.exposure, before.exposure)
	}
}

// inspectPlacement checks that the core bears as much as the machines allow. It is asked for once all is well.
func (w *World) inspectPlacement() {
	core := w.core()
	var all []quorum.Seat
	for _, n := range w.list {
		all = append(all, n.voter().Seat())
	}
	size := max(len(core.Seats), w.scenario.Size)
	if size > len(all) {
		size = len(core.Seats)
	}
	t := w.tolerance()
	if got, want := t.ExposureOf(core.Seats), t.ExposureOf(t.Choose(all, size)); got.Total() > want.Total() {
		w.history.note("the core of epoch %d is exposed to %+v, and need not be to more than %+v: %v", core.Epoch, got, want, core.Seats)
	}
}
