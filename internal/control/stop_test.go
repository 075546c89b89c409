package control

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

// A stopping controller moves its followers and targets to other controllers before it ends, and answers until
// then.
func TestAPlannedStopIsToldAtOnce(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		time.Sleep(6 * time.Second) // gateways are at the controllers of their zones by now
		for range 3 {
			m := pick(cl, lo.Filter(cl.controllers, func(m *controllerHost, _ int) bool { return cl.followerCount(m) > 0 }))
			others := lo.Without(cl.controllers, m)
			if !lo.EveryBy(cl.controllers, func(m *controllerHost) bool { return m.control().Ready() }) {
				t.Fatal("not all are ready")
			}
			m.control().Stop()
			if m.control().Ready() {
				t.Error("still ready")
			}
			time.Sleep(200 * time.Millisecond)
			for _, x := range cl.gateways {
				if f := x.subscriber().Following(); f.ID == m.id || !x.subscriber().Fresh() {
					t.Errorf("%s follows %s, fresh %v, while %s stops", x.id, f.ID, x.subscriber().Fresh(), m.id)
				}
			}
			for _, service := range []string{"a", "b", "c", "d"} {
				for _, o := range cl.controllers {
					if h, ok := o.control().HomeMember(service, m.zone); !ok || h.ID == m.id {
						t.Errorf("%s names %s, which is stopping, as home", o.id, h.ID)
					}
				}
			}
			if err := cl.sendHeartbeat(m, target.Heartbeat{ID: "i-" + m.id, Service: "a", Addr: "10.0.0.1:80", Zone: m.zone, Slots: 2, Seq: 1, Draining: true}); err != nil {
				t.Errorf("a stopping controller does not store a departure: %v", err)
			}
			cl.expectState("i-"+m.id, target.Draining, cl.gateways)
			time.Sleep(100 * time.Millisecond)
			m.kill()
			// The end of the process has no visible effect.
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				for _, x := range cl.gateways {
					if !x.subscriber().Fresh() {
						t.Errorf("%s is not fresh after %s ended", x.id, m.id)
					}
				}
			}
			m.boot()
			cl.await("return", 8*time.Second, func() bool { return m.control().Ready() })
			cl.await("acceptance by the other controllers", 5*time.Second, func() bool {
				return lo.EveryBy(others, func(o *controllerHost) bool {
					return lo.ContainsBy(o.control().Mesh.Available(), func(x watch.Member) bool { return x.ID == m.id })
				})
			})
			time.Sleep(6 * time.Second)
		}
	})
}
