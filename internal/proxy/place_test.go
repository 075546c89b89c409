package proxy

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

// TestChangeWhileWaiting: a request that waits for a place when a change comes into force
// goes by the change: to the route's new service, or nowhere where the route is gone.
func TestChangeWhileWaiting(t *testing.T) {
	one := func(version uint64, service string) item.Item {
		return route.Route{Name: "one", Version: version, Host: "h", Prefix: "/one/", Repeat: route.AtMostOnce, AimMS: 2000, Priority: 1,
			Shares: []route.Share{{Service: service, Weight: 1}}}.Item()
	}
	for name, c := range map[string]struct {
		change item.Item
		status int
		runs   int // of the one that waits
	}{
		"moved":   {one(2, "svc2"), 200, 1},
		"dropped": {item.Item{Key: item.Key{Kind: item.Route, Name: "one"}, Version: 2, Gone: true}, 404, 0},
		"as it was": {route.Route{Name: "other", Version: 2, Host: "h", Prefix: "/other/", Repeat: route.AtMostOnce,
			Shares: []route.Share{{Service: "svc2", Weight: 1}}}.Item(), 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLab(t, newPipes(), nil)
				l.node.TakeItems([]item.Item{route.Service{Name: "svc", Version: 1, MaxConns: 1}.Item(), route.Service{Name: "svc2", Version: 1}.Item(), one(1, "svc")})
				l.node.SetSynced(true)
				slow := func(l *lab, c net.Conn, s *seen) bool {
					time.Sleep(200 * time.Millisecond)
					return sealed(l, c, s)
				}
				l.stand("old", func(r *target.Run) { r.Slots = 1 }, slow)
				l.stand("new", func(r *target.Run) { r.Service = "svc2" }, sealed)
				done := make(chan struct{})
				go func() {
					defer close(done)
					// As many as there is room for.
					var busy [2]chan struct{}
					for i := range busy {
						busy[i] = make(chan struct{})
						go func() {
							l.call("/one/x", "busy"+string(rune('0'+i)), 2*time.Second)
							close(busy[i])
						}()
					}
					for _, b := range busy {
						<-b
					}
				}()
				time.Sleep(20 * time.Millisecond)
				go func() {
					time.Sleep(100 * time.Millisecond)
					l.node.TakeItems([]item.Item{c.change})
				}()
				g := l.call("/one/x", "waits", 2*time.Second)
				if g.status != c.status || l.runs("waits") != c.runs {
					t.Errorf("%d, ran %d times", g.status, l.runs("waits"))
				}
				for _, s := range l.arrivals() {
					if s.id == "waits" && (s.run == "new") != (name == "moved") {
						t.Errorf("sent to %s", s.run)
					}
				}
				<-done
				l.close()
			})
		})
	}
}
