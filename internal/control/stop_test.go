package control

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

// A controller that is about to stop sends everybody on before it is gone, and answers until
// then.
func TestAPlannedStopIsToldAtOnce(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(1), w.controllers)
		time.Sleep(6 * time.Second) // gateways are at the controllers of their zones by now
		for range 3 {
			m := pick(w, lo.Filter(w.controllers, func(m *controllerHost, _ int) bool { return w.following(m) > 0 }))
			others := lo.Without(w.controllers, m)
			if !lo.EveryBy(w.controllers, func(m *controllerHost) bool { return m.control().Ready() }) {
				t.Fatal("not all are ready")
			}
			m.control().Stop()
			if m.control().Ready() {
				t.Error("still ready")
			}
			time.Sleep(200 * time.Millisecond)
			for _, x := range w.gateways {
				if f := x.subscriber().Following(); f.ID == m.id || !x.subscriber().Fresh() {
					t.Errorf("%s follows %s, fresh %v, while %s stops", x.id, f.ID, x.subscriber().Fresh(), m.id)
				}
			}
			for _, service := range []string{"a", "b", "c", "d"} {
				for _, o := range w.controllers {
					if h, ok := o.control().HomeMember(service, m.zone); !ok || h.ID == m.id {
						t.Errorf("%s names %s for later beats, which stops", o.id, h.ID)
					}
				}
			}
			if err := w.beat(m, target.Heartbeat{ID: "i-" + m.id, Service: "a", Addr: "10.0.0.1:80", Zone: m.zone, Slots: 2, Seq: 1, Draining: true}); err != nil {
				t.Errorf("a controller that stops does not hold a leaving: %v", err)
			}
			w.drained("i-"+m.id, target.Draining, w.gateways)
			time.Sleep(100 * time.Millisecond)
			m.kill()
			// Nobody notices the end.
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				for _, x := range w.gateways {
					if !x.subscriber().Fresh() {
						t.Errorf("%s is not fresh after %s ended", x.id, m.id)
					}
				}
			}
			m.boot()
			w.await("return", 8*time.Second, func() bool { return m.control().Ready() })
			w.await("return of the others' trust", 5*time.Second, func() bool {
				return lo.EveryBy(others, func(o *controllerHost) bool {
					return lo.ContainsBy(o.control().Mesh.Available(), func(x watch.Member) bool { return x.ID == m.id })
				})
			})
			time.Sleep(6 * time.Second)
		}
	})
}
