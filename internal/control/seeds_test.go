package control

import (
	"testing"
	"time"
)

// A controller that starts with an empty disk and other seeds than it had finds the core
// through whichever seed is up, though that one may have no disk and follow no seat but
// by what others told it.
func TestAnEmptyDiskFindsTheCoreByOneSeed(t *testing.T) {
	for name, only := range map[string]int{"a controller without a disk": 6, "a voter": 2} {
		t.Run(name, func(t *testing.T) {
			play(t, 9, large, func(w *world) {
				w.order(base(3), w.controllers)
				time.Sleep(3 * time.Second)
				lost, down, other := w.controllers[0], w.controllers[1], w.controllers[5]
				for _, m := range []*controllerHost{lost, down, other} {
					m.kill()
				}
				lost.disk.wipe()
				time.Sleep(12 * time.Second) // the others forget whom they do not need
				w.mu.Lock()
				w.seeds = []string{lost.addr, down.addr, other.addr, w.controllers[only].addr}
				w.mu.Unlock()
				lost.boot()
				w.await("freshness", 3*time.Second, func() bool { return lost.control().Ready() })
				w.await("vote", 15*time.Second, func() bool { return lost.control().votes() > 0 })
				w.order(Change{Drops: []Drop{{Kind: base(1).Routes[0].Item().Kind, Name: "r0", Version: 2}}}, []*controllerHost{lost})
				w.readBack([]*controllerHost{lost})
			})
		})
	}
}

// Seeds that are exchanged while a controller runs are asked at once. Nobody else knows of
// this one, so that it must find the others itself.
func TestNewSeedsAreAskedAtOnce(t *testing.T) {
	play(t, 10, small, func(w *world) {
		w.order(base(3), w.controllers)
		seeds := w.seedList()
		w.mu.Lock()
		w.seeds = []string{"in-nobody", "in-noone"}
		w.mu.Unlock()
		m := w.addController("m9", "z0", true)
		m.boot()
		time.Sleep(3 * time.Second)
		if m.control().Ready() {
			t.Fatal("found the core by no seed")
		}
		m.control().SetSeeds([]string{"in-nobody", seeds[2]})
		w.await("freshness", time.Second, func() bool { return m.control().Ready() })
	})
}
