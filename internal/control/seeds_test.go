package control

import (
	"testing"
	"time"
)

// A controller that starts with an empty disk and other seeds than before finds the core through
// whichever seed is up, even if that seed has no disk and knows the seats only from other
// controllers.
func TestAnEmptyDiskFindsTheCoreByOneSeed(t *testing.T) {
	for name, only := range map[string]int{"a controller without a disk": 6, "a voter": 2} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 9, largeCluster, func(cl *cluster) {
				cl.mustApply(baseChange(3), cl.controllers)
				time.Sleep(3 * time.Second)
				lost, down, other := cl.controllers[0], cl.controllers[1], cl.controllers[5]
				for _, m := range []*controllerHost{lost, down, other} {
					m.kill()
				}
				lost.disk.wipe()
				time.Sleep(12 * time.Second) // the others forget nodes that they do not need
				cl.mu.Lock()
				cl.seeds = []string{lost.addr, down.addr, other.addr, cl.controllers[only].addr}
				cl.mu.Unlock()
				lost.boot()
				cl.await("freshness", 3*time.Second, func() bool { return lost.control().Ready() })
				cl.await("vote", 15*time.Second, func() bool { return lost.control().seatEpoch() > 0 })
				cl.mustApply(Change{Drops: []Drop{{Kind: baseChange(1).Routes[0].Item().Kind, Name: "r0", Version: 2}}}, []*controllerHost{lost})
				cl.expectAcknowledged([]*controllerHost{lost})
			})
		})
	}
}

// Seeds that are replaced while a controller runs are asked at once. No other node knows this
// controller, so it must find the others itself.
func TestNewSeedsAreAskedAtOnce(t *testing.T) {
	runCluster(t, 10, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		seeds := cl.seedList()
		cl.mu.Lock()
		cl.seeds = []string{"in-nobody", "in-noone"}
		cl.mu.Unlock()
		m := cl.addController("m9", "z0", true)
		m.boot()
		time.Sleep(3 * time.Second)
		if m.control().Ready() {
			t.Fatal("found the core without a working seed")
		}
		m.control().SetSeeds([]string{"in-nobody", seeds[2]})
		cl.await("freshness", time.Second, func() bool { return m.control().Ready() })
	})
}
