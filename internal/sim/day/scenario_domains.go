package day

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
)

// ZoneTolerantDeployment has three zones with two disk machines each, of which one zone may be lost.
func ZoneTolerantDeployment() Deployment {
	s := SmallDeployment()
	s.Disks, s.MaxLostZones = 6, 1
	return s
}

// RegionTolerantDeployment has three regions of two zones each, of which one region may be lost. The seeds are in
// the first two regions.
func RegionTolerantDeployment() Deployment {
	s := SmallDeployment()
	s.Zones, s.Disks, s.Regions, s.MaxLostRegions = 6, 6, 3, 1
	return s
}

// region returns the region of a zone, or "" if the deployment has none.
func (s Deployment) region(zoneName string) string { return s.regions()[zoneName] }

// regions returns the regions of all zones; neighbouring zones share one.
func (s Deployment) regions() map[string]string {
	out := map[string]string{}
	for i := range s.Zones * min(1, s.Regions) {
		out[zone(i)] = fmt.Sprintf("region%d", i*s.Regions/s.Zones)
	}
	return out
}

// pickDomain returns the machines of the failure domain with the most voters: a region if regions may be lost, else a zone. Ties are broken at random.
func (w *World) pickDomain() []*Machine {
	label := func(m *Machine) string { return m.Zone }
	if w.Deployment.MaxLostRegions > 0 {
		label = func(m *Machine) string { return w.Deployment.region(m.Zone) }
	}
	voters := lo.CountValuesBy(w.voters(), label)
	lost := lo.MaxBy(pickN(w, w.coreMachines(), len(w.coreMachines())), func(a, b *Machine) bool { return voters[label(a)] > voters[label(b)] })
	return lo.Filter(w.Machines, func(m *Machine, _ int) bool { return label(m) == label(lost) })
}

// voters returns the machines with a seat in the newest core configuration known to any controller.
func (w *World) voters() []*Machine {
	var core quorum.Core
	for _, m := range w.coreMachines() {
		if n := m.controllerNode(); n != nil && n.Proposer.Core().Epoch > core.Epoch {
			core = n.Proposer.Core()
		}
	}
	return lo.Filter(w.coreMachines(), func(m *Machine, _ int) bool {
		_, votes := core.Seat(m.ID)
		return votes
	})
}

// pickMinority returns random core machines for the smaller side of a partition: fewer than half, and those of one domain if
// domains may be lost, since partitioned machines count as lost.
func (w *World) pickMinority() []*Machine {
	if w.Deployment.MaxLostZones+w.Deployment.MaxLostRegions > 0 {
		return w.pickLosableDisks()
	}
	return pickN(w, w.coreMachines(), (len(w.coreMachines())-1)/2)
}

// pickLosableDisks returns random machines whose disks may be lost at once: those of a domain, or MaxLostMachines of them.
func (w *World) pickLosableDisks() []*Machine {
	if w.Deployment.MaxLostZones+w.Deployment.MaxLostRegions > 0 {
		return lo.Filter(w.pickDomain(), func(m *Machine, _ int) bool { return m.disk != nil })
	}
	return pickN(w, w.coreMachines(), w.Deployment.MaxLostMachines)
}

// LoseDomain cuts the power of all machines of a zone, or of a region if one may be lost, and erases their disks if
// that is set.
func LoseDomain(disks bool, d time.Duration) Scenario {
	return func(w *World) {
		inParallel(w.pickDomain(), func(m *Machine) { w.powerOff(m, disks, d) })
	}
}

// LoseDomainsInTurn cuts the power of a domain and, once its machines count as recovered, that of
// another one, whose disks are erased.
func LoseDomainsInTurn(d time.Duration) Scenario {
	return func(w *World) {
		LoseDomain(false, d)(w)
		time.Sleep(w.Deployment.Bounds.CatchUp)
		LoseDomain(true, d)(w)
	}
}

// LoseDomainWhileAnotherDown cuts the power of a domain and, before it is back, that of another one, whose disks are erased:
// more machines may be down at once than tolerated, but not more disks are lost.
func LoseDomainWhileAnotherDown(d time.Duration) Scenario {
	return func(w *World) {
		first, second := w.pickDomain(), w.pickDomain()
		second = lo.Without(second, first...)
		Parallel(
			func(w *World) { inParallel(first, func(m *Machine) { w.powerOff(m, false, 2*d) }) },
			func(w *World) {
				time.Sleep(d)
				inParallel(second, func(m *Machine) { w.powerOff(m, true, d/2) })
			},
		)(w)
	}
}
