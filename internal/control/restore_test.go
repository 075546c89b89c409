package control

import (
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/route"
	"walkrudder/internal/sim/simnet"
)

// storeItems writes items to the disks of controllers that have not started yet.
func (cl *cluster) storeItems(items []item.Item) {
	for _, m := range cl.controllers {
		if m.disk == nil {
			continue
		}
		proc := m.Start(cl.ctx, "")
		if err := quorum.StoreItems(&simnet.Handle{Disk: m.disk.Disk, Proc: proc, SkipDelay: true}, items); err != nil {
			cl.t.Fatal(err)
		}
		proc.Kill()
	}
}

// A system that starts on restored disks serves the whole configuration, accepts newer changes, and does
// not go back to older versions, including those of dropped items.
func TestASystemStartsOnARestoredConfiguration(t *testing.T) {
	service := route.Service{Name: "s", Version: 3, Health: "/h", Source: []byte("{}")}
	old := sampleRoute("r", 7)
	items := []item.Item{service.Item(), old.Item(), {Key: item.Key{Kind: item.Route, Name: "gone"}, Version: 9, Gone: true}}
	runClusterOn(t, 1, smallCluster, func(cl *cluster) { cl.storeItems(items) }, func(cl *cluster) {
		time.Sleep(3 * time.Second)
		cl.recordAcknowledged(items)
		cl.expectAcknowledged(cl.controllers)
		for _, m := range cl.controllers {
			for _, r := range []route.Route{sampleRoute("r", 5), sampleRoute("gone", 8)} {
				if _, err := m.control().Apply(cl.ctx, Change{Routes: []route.Route{r}}); err != nil {
					t.Errorf("an older version of %s at %s: %v", r.Name, m.id, err)
				}
			}
		}
		cl.expectAcknowledged(cl.controllers)
		cl.mustApply(Change{Routes: []route.Route{sampleRoute("r", 11)}}, cl.controllers)
		cl.expectAcknowledged(cl.controllers)
	})
}

// sampleRoute returns a route to the service s.
func sampleRoute(name string, version uint64) route.Route {
	return route.Route{Name: name, Version: version, Host: "h", Prefix: "/" + name + "/", Repeat: route.Idempotent,
		Shares: []route.Share{{Service: "s", Weight: 1}}, Source: []byte(name)}
}
