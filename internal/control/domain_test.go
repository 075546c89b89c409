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
	// recoveryTime is how long a machine that has returned still counts as lost, and downTime is how long a
	// domain is down.
	recoveryTime = 4 * time.Second
	downTime     = 2 * time.Second
	// lossPairs is the number of pairs of losses that a test draws for each seed.
	lossPairs = 3
)

// domainClusterShapes are deployments that must tolerate the loss of a whole failure domain. The first three machines are the seeds.
var domainClusterShapes = map[string]clusterShape{
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

// eachDomainClusterShape runs f in clusters of each shape.
func eachDomainClusterShape(t *testing.T, f func(cl *cluster)) {
	for name, s := range domainClusterShapes {
		for seed := range (*seeds + len(domainClusterShapes) - 1) / len(domainClusterShapes) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) { runCluster(t, uint64(seed), s, f) })
		}
	}
}

// toleratedLosses returns the sets of machines whose loss at once the tolerance allows. Each consists of whole domains.
func (cl *cluster) toleratedLosses() (sets [][]*controllerHost) {
	addLosses := func(label func(*controllerHost) string, count int) {
		names := lo.Uniq(lo.Map(cl.controllers, func(m *controllerHost, _ int) string { return label(m) }))
		for i := range names {
			lost := names[i:min(i+count, len(names))]
			if count > 0 {
				sets = append(sets, lo.Filter(cl.controllers, func(m *controllerHost, _ int) bool { return slices.Contains(lost, label(m)) }))
			}
		}
	}
	addLosses(func(m *controllerHost) string { return m.zone }, cl.tolerance.Zones)
	addLosses(func(m *controllerHost) string { return cl.regions[m.zone] }, cl.tolerance.Regions)
	return sets
}

// takeDown kills machines at the same moment, with their disks if disks is set, and returns a function that starts them again.
func (cl *cluster) takeDown(lost []*controllerHost, disks bool) (restart func()) {
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

// Guards against losing the configuration with one failure domain: with a tolerance of one region, two of three
// voters were in one region, and no node could read anything after the loss of that region.
func TestTheConfigurationOutlivesEachDomain(t *testing.T) {
	eachDomainClusterShape(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		time.Sleep(recoveryTime)
		for i, lost := range cl.toleratedLosses() {
			cl.mustApply(routeChange(uint64(2*i+2)), shuffled(cl, cl.controllers))
			restart := cl.takeDown(lost, true)
			time.Sleep(downTime)
			cl.mustApply(routeChange(uint64(2*i+3)), shuffled(cl, cl.alive()))
			restart()
			time.Sleep(recoveryTime)
			cl.expectAcknowledged(cl.controllers)
		}
		time.Sleep(propagationLimit)
		cl.expectItems(lo.Values(cl.acknowledged), cl.gateways)
	})
}

// Guards against a seat staying where the next loss takes it: the seat of a zone that was down for some seconds
// moved to another zone, and never moved back.
func TestADomainIsLostAfterAnotherWasDown(t *testing.T) {
	eachDomainClusterShape(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		time.Sleep(recoveryTime)
		version := uint64(1)
		for range lossPairs {
			first, second := pick(cl, cl.toleratedLosses()), pick(cl, cl.toleratedLosses())
			restart := cl.takeDown(first, false)
			time.Sleep(5 * time.Second)
			version++
			cl.mustApply(routeChange(version), shuffled(cl, cl.alive()))
			restart()
			time.Sleep(recoveryTime)
			restart = cl.takeDown(second, true)
			time.Sleep(downTime)
			restart()
			time.Sleep(recoveryTime)
			cl.expectAcknowledged(cl.controllers)
		}
	})
}

// Losses overlap beyond the tolerance, but no more disks are lost than it allows: the service may be unavailable, and
// nothing acknowledged is lost when all machines are back.
func TestDisksOfADomainAreLostWhileAnotherIsDown(t *testing.T) {
	eachDomainClusterShape(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		time.Sleep(recoveryTime)
		version := uint64(1)
		for range lossPairs {
			first, second := pick(cl, cl.toleratedLosses()), pick(cl, cl.toleratedLosses())
			restartFirst := cl.takeDown(first, false)
			time.Sleep(5 * time.Second)
			version++
			cl.mustApply(routeChange(version), shuffled(cl, cl.alive()))
			restartSecond := cl.takeDown(lo.Without(second, first...), true)
			time.Sleep(downTime)
			restartFirst()
			restartSecond()
			time.Sleep(2 * recoveryTime)
			cl.expectAcknowledged(cl.controllers)
		}
	})
}
