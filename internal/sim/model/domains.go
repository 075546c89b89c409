package model

import (
	"slices"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
)

// defaultZone is the zone of all nodes in a scenario without zones.
const defaultZone = "z"

// zone returns the zone of the i-th node.
func (s Scenario) zone(i int) string {
	if i < len(s.Zones) {
		return s.Zones[i]
	}
	return defaultZone
}

// tolerance returns what may be lost at once.
func (w *World) tolerance() quorum.Tolerance {
	if w.scenario.Tolerance == (quorum.Tolerance{}) {
		return quorum.Tolerance{Machines: (w.scenario.Seats - 1) / 2}
	}
	return w.scenario.Tolerance
}

// zones lists the zones of the nodes.
func (w *World) zones() []string {
	return lo.Uniq(lo.Map(w.nodeList, func(n *node, _ int) string { return n.zone }))
}

// nodesIn lists the nodes of a zone.
func (w *World) nodesIn(zone string) []*node {
	return lo.Filter(w.nodeList, func(n *node, _ int) bool { return n.zone == zone })
}

// tolerates reports whether all these nodes may lack their data at once: the tolerance allows either
// that many machines or that many zones.
func (w *World) tolerates(lacking []*node) bool {
	zones := lo.Uniq(lo.Map(lacking, func(n *node, _ int) string { return n.zone }))
	return len(lacking) <= w.tolerance().Machines || len(zones) <= w.tolerance().Zones
}

// degradedNodes lists the nodes that lack data they held. A lost disk counts, whether it has a seat or
// not, until a reconfigurer has restored the core: the requirements allow for some seconds between the
// return of a machine and the next loss.
func (w *World) degradedNodes() (degraded []*node) {
	core := w.core()
	for _, n := range w.nodeList {
		votes := true
		if s, has := core.Seat(n.id); has {
			_, votes = w.inspectSeat(core, s)
		}
		if !votes || n.diskLost.Load() {
			degraded = append(degraded, n)
		}
	}
	return degraded
}

// toleratesLoss reports whether these nodes may lose their disks now.
func (w *World) toleratesLoss(lost ...*node) bool {
	return w.tolerates(lo.Uniq(slices.Concat(lost, w.degradedNodes())))
}

// zoneLosses lists, as steps, the zones that may now be lost with all their disks.
func (w *World) zoneLosses() (out []choice) {
	for _, zone := range w.zones() {
		if lost := w.nodesIn(zone); w.toleratesLoss(lost...) {
			out = append(out, choice{"zone " + zone + " loses its disks and starts", func() {
				w.remaining.ZoneLosses--
				w.loseDisks(lost)
			}})
		}
	}
	return out
}

// loseDisks ends the processes of several nodes at one moment and restarts them on empty disks.
func (w *World) loseDisks(lost []*node) {
	w.crash(0, lost...)
	for _, n := range lost {
		n.diskLost.Store(true)
		n.disk.wipe()
		n.boot()
	}
}

// coreExposure is the exposure of one core to failures.
type coreExposure struct {
	epoch    uint64
	exposure quorum.Exposure
}

// checkExposure checks that no core has a greater exposure than the core before it.
func (w *World) checkExposure() {
	core := w.core()
	if core.Epoch <= w.lastExposure.epoch {
		return // the nodes that know a newer core may be down
	}
	before := w.lastExposure
	w.lastExposure = coreExposure{core.Epoch, w.tolerance().ExposureOf(core.Seats)}
	if before.epoch > 0 && !w.lastExposure.exposure.AtMost(before.exposure) {
		w.history.addViolation("the core of epoch %d is exposed to more than that of epoch %d: %+v, before %+v", core.Epoch, before.epoch, w.lastExposure.exposure, before.exposure)
	}
}

// checkPlacement checks that the core's exposure is as low as the machines allow. It holds only in a healthy system.
func (w *World) checkPlacement() {
	core := w.core()
	var all []quorum.Seat
	for _, n := range w.nodeList {
		all = append(all, n.voter().Seat())
	}
	size := max(len(core.Seats), w.scenario.Size)
	if size > len(all) {
		size = len(core.Seats)
	}
	t := w.tolerance()
	if got, want := t.ExposureOf(core.Seats), t.ExposureOf(t.Choose(all, size)); got.Total() > want.Total() {
		w.history.addViolation("the core of epoch %d is exposed to %+v, and need not be to more than %+v: %v", core.Epoch, got, want, core.Seats)
	}
}
