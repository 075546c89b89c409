package day

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
)

// Zoned is a deployment of three zones with two machines with a disk each, of which one zone may be lost.
func Zoned() Shape {
	s := Small()
	s.Disks, s.BearZones = 6, 1
	return s
}

// Regional is a deployment of three regions of two zones, of which one region may be lost. The seeds stand in the
// first two regions.
func Regional() Shape {
	s := Small()
	s.Zones, s.Disks, s.Regions, s.BearRegions = 6, 6, 3, 1
	return s
}

// region is that of a zone, "" where the deployment has none.
func (s Shape) region(zoneName string) string { return s.regions()[zoneName] }

// regions are those of all zones; neighbours share one.
func (s Shape) regions() map[string]string {
	out := map[string]string{}
	for i := range s.Zones * min(1, s.Regions) {
		out[zone(i)] = fmt.Sprintf("region%d", i*s.Regions/s.Zones)
	}
	return out
}

// domain is the one with most voters of those that may be lost at once, or a zone where none may; of several it is drawn.
func (w *World) domain() []*Machine {
	label := func(m *Machine) string { return m.Zone }
	if w.Shape.BearRegions > 0 {
		label = func(m *Machine) string { return w.Shape.region(m.Zone) }
	}
	voters := lo.CountValuesBy(w.voters(), label)
	lost := lo.MaxBy(some(w, w.core(), len(w.core())), func(a, b *Machine) bool { return voters[label(a)] > voters[label(b)] })
	return lo.Filter(w.Machines, func(m *Machine, _ int) bool { return label(m) == label(lost) })
}

// voters are the machines with a seat in the newest core that a controller knows.
func (w *World) voters() []*Machine {
	var core quorum.Core
	for _, m := range w.core() {
		if n := m.node(); n != nil && n.Proposer.Core().Epoch > core.Epoch {
			core = n.Proposer.Core()
		}
	}
	return lo.Filter(w.core(), func(m *Machine, _ int) bool {
		_, votes := core.Seat(m.ID)
		return votes
	})
}

// smallerPart draws the core machines of the smaller side of a cut: less than half, and those of one domain where
// domains may be lost, for machines that are cut off count as lost.
func (w *World) smallerPart() []*Machine {
	if w.Shape.BearZones+w.Shape.BearRegions > 0 {
		return w.losableDisks()
	}
	return some(w, w.core(), (len(w.core())-1)/2)
}

// losableDisks draws the machines whose disks may be lost at once: those of a domain, or so many.
func (w *World) losableDisks() []*Machine {
	if w.Shape.BearZones+w.Shape.BearRegions > 0 {
		return lo.Filter(w.domain(), func(m *Machine, _ int) bool { return m.disk != nil })
	}
	return some(w, w.core(), w.Shape.Bear)
}

// DomainLost takes the power of all machines of a zone, or of a region where one may be lost, and their disks where
// that is said.
func DomainLost(disks bool, d time.Duration) Trouble {
	return func(w *World) {
		each(w.domain(), func(m *Machine) { w.dark(m, disks, d) })
	}
}

// DomainsLostInTurn takes the power of a domain, and, when its machines count as there again, that of
// another one with its disks.
func DomainsLostInTurn(d time.Duration) Trouble {
	return func(w *World) {
		DomainLost(false, d)(w)
		time.Sleep(w.Shape.Bounds.CatchUp)
		DomainLost(true, d)(w)
	}
}

// DomainDownBesideDisks takes the power of a domain and, before it is back, that of another one with its disks: more than
// may be down at once, and no more disks than may be lost.
func DomainDownBesideDisks(d time.Duration) Trouble {
	return func(w *World) {
		first, second := w.domain(), w.domain()
		second = lo.Without(second, first...)
		Together(
			func(w *World) { each(first, func(m *Machine) { w.dark(m, false, 2*d) }) },
			func(w *World) {
				time.Sleep(d)
				each(second, func(m *Machine) { w.dark(m, true, d/2) })
			},
		)(w)
	}
}
