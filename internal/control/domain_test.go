package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
	"walkrudder/internal/route"
)

const (
	// recoveryTime is how long a machine that is back still counts as lost, and downTime for how long a
	// domain is down.
	recoveryTime = 4 * time.Second
	downTime     = 2 * time.Second
	// lossPairs is how many pairs of losses a test draws for each seed.
	lossPairs = 3
)

// Deployments that are to bear the loss of a whole failure domain. The first three machines are the seeds.
var domainShapes = map[string]clusterShape{
	"three regions of two zones": {zones: 6, disks: 6, gateways: 3, tolerance: quorum.Tolerance{Regions: 1},
		layout:  []string{"north-a", "north-b", "south-a", "south-b", "west-a", "west-b"},
		regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south", "west-a": "west", "west-b": "west"}},
	"uneven regions": {zones: 6, disks: 8, gateways: 3, tolerance: quorum.Tolerance{Machines: 1, Regions: 1},
		layout:  []string{"n1", "n1", "n2", "n2", "n3", "n3", "s1", "w1"},
		regions: map[string]string{"n1": "north", "n2": "north", "n3": "north", "s1": "south", "w1": "west"}},
	"zones with two disks": {zones: 3, disks: 6, gateways: 3, tolerance: quorum.Tolerance{Zones: 1},
		layout: []string{"za", "za", "zb", "zb", "zc", "zc"}},
	"two machines or one zone": {zones: 3, disks: 6, gateways: 3, tolerance: quorum.Tolerance{Machines: 2, Zones: 1},
		layout: []string{"za", "za", "za", "zb", "zb", "zc"}},
	"two zones of five": {zones: 5, disks: 7, gateways: 3, tolerance: quorum.Tolerance{Zones: 2},
		layout: []string{"za", "za", "za", "zb", "zc", "zd", "ze"}},
}

// eachDomainShape plays f in worlds of each shape.
func eachDomainShape(t *testing.T, f func(cl *cluster)) {
	for name, s := range domainShapes {
		for seed := range (*seeds + len(domainShapes) - 1) / len(domainShapes) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) { runCluster(t, uint64(seed), s, f) })
		}
	}
}

// toleratedLosses are the sets of machines that the tolerance allows to be lost at once, those of whole domains.
func (cl *cluster) toleratedLosses() (sets [][]*controllerHost) {
	domain := func(label func(*controllerHost) string, most int) {
		names := lo.Uniq(lo.Map(cl.controllers, func(m *controllerHost, _ int) string { return label(m) }))
		for i := range names {
			lost := names[i:min(i+most, len(names))]
			if most > 0 {
				sets = append(sets, lo.Filter(cl.controllers, func(m *controllerHost, _ int) bool { return slices.Contains(lost, label(m)) }))
			}
		}
	}
	domain(func(m *controllerHost) string { return m.zone }, cl.tolerance.Zones)
	domain(func(m *controllerHost) string { return cl.regions[m.zone] }, cl.tolerance.Regions)
	return sets
}

// takeDown ends machines at one moment, with their disks where that is said, and tells how they come back.
func (cl *cluster) takeDown(lost []*controllerHost, disks bool) (back func()) {
	for _, m := range lost {
		m.kill()
		if disks && m.disk != nil {
			m.disk.wipe()
		}
	}
	return func() {
		for _, m := range lost {
			m.boot()
		}
	}
}

// routeChange is a change of one route.
func routeChange(v uint64) Change {
	return Change{Routes: []route.Route{routeTo("r0", v, lo.Ternary(v%2 == 0, "a", "b"))}}
}

// Guards against the loss of one failure domain taking the configuration with it: with one region to be lost at once
// two of three voters stood in one region, and no node read anything back after its loss.
func TestTheConfigurationOutlivesEachDomain(t *testing.T) {
	eachDomainShape(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		time.Sleep(recoveryTime)
		for i, lost := range cl.toleratedLosses() {
			cl.mustApply(routeChange(uint64(2*i+2)), shuffled(cl, cl.controllers))
			back := cl.takeDown(lost, true)
			time.Sleep(downTime)
			cl.mustApply(routeChange(uint64(2*i+3)), shuffled(cl, cl.alive()))
			back()
			time.Sleep(recoveryTime)
			cl.expectAcknowledged(cl.controllers)
		}
		time.Sleep(propagationLimit)
		cl.expectItems(lo.Values(cl.acknowledged), cl.gateways)
	})
}

// Guards against a seat that was lent while its own domain was down standing where the next loss takes it: the seat
// of a zone that was down for some seconds went to another zone and never came back.
func TestADomainIsLostAfterAnotherWasDown(t *testing.T) {
	eachDomainShape(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		time.Sleep(recoveryTime)
		version := uint64(1)
		for range lossPairs {
			first, second := pick(cl, cl.toleratedLosses()), pick(cl, cl.toleratedLosses())
			back := cl.takeDown(first, false)
			time.Sleep(5 * time.Second)
			version++
			cl.mustApply(routeChange(version), shuffled(cl, cl.alive()))
			back()
			time.Sleep(recoveryTime)
			back = cl.takeDown(second, true)
			time.Sleep(downTime)
			back()
			time.Sleep(recoveryTime)
			cl.expectAcknowledged(cl.controllers)
		}
	})
}

// Losses overlap beyond the tolerance, and no more disks are lost than it allows: service may rest, and nothing
// acknowledged is gone when all are back.
func TestDisksOfADomainAreLostWhileAnotherIsDown(t *testing.T) {
	eachDomainShape(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		time.Sleep(recoveryTime)
		version := uint64(1)
		for range lossPairs {
			first, second := pick(cl, cl.toleratedLosses()), pick(cl, cl.toleratedLosses())
			back := cl.takeDown(first, false)
			time.Sleep(5 * time.Second)
			version++
			cl.mustApply(routeChange(version), shuffled(cl, cl.alive()))
			alsoBack := cl.takeDown(lo.Without(second, first...), true)
			time.Sleep(downTime)
			back()
			alsoBack()
			time.Sleep(2 * recoveryTime)
			cl.expectAcknowledged(cl.controllers)
		}
	})
}
