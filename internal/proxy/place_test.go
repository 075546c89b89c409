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

// TestChangeWhileWaiting checks that a request that is queued when a change comes into force
// follows the change: to the route's new service, or to a 404 if the route was deleted.
func TestChangeWhileWaiting(t *testing.T) {
	routeTo := func(version uint64, service string) item.Item {
		return route.Route{Name: "one", Version: version, Host: "h", Prefix: "/one/", Repeat: route.AtMostOnce, AimMS: 2000, Priority: 1,
			Shares: []route.Share{{Service: service, Weight: 1}}}.Item()
	}
	for name, c := range map[string]struct {
		change item.Item
		status int
		runs   int // of the waiting request
	}{
		"moved":   {routeTo(2, "svc2"), 200, 1},
		"dropped": {item.Item{Key: item.Key{Kind: item.Route, Name: "one"}, Version: 2, Gone: true}, 404, 0},
		"as it was": {route.Route{Name: "other", Version: 2, Host: "h", Prefix: "/other/", Repeat: route.AtMostOnce,
			Shares: []route.Share{{Service: "svc2", Weight: 1}}}.Item(), 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newHarness(t, newPipes(), nil)
				l.node.ApplyItems([]item.Item{route.Service{Name: "svc", Version: 1, MaxConns: 1}.Item(), route.Service{Name: "svc2", Version: 1}.Item(), routeTo(1, "svc")})
				l.node.SetSynced(true)
				slow := func(l *harness, c net.Conn, s *receivedRequest) bool {
					time.Sleep(200 * time.Millisecond)
					return serveOK(l, c, s)
				}
				l.startTarget("old", func(r *target.Run) { r.Slots = 1 }, slow)
				l.startTarget("new", func(r *target.Run) { r.Service = "svc2" }, serveOK)
				done := make(chan struct{})
				go func() {
					defer close(done)
					// As many as there is capacity for.
					var busy [2]chan struct{}
					for i := range busy {
						busy[i] = make(chan struct{})
						go func() {
							l.request("/one/x", "busy"+string(rune('0'+i)), 2*time.Second)
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
					l.node.ApplyItems([]item.Item{c.change})
				}()
				g := l.request("/one/x", "waits", 2*time.Second)
				if g.status != c.status || l.runCount("waits") != c.runs {
					t.Errorf("%d, ran %d times", g.status, l.runCount("waits"))
				}
				for _, s := range l.requests() {
					if s.id == "waits" && (s.targetID == "new") != (name == "moved") {
						t.Errorf("sent to %s", s.targetID)
					}
				}
				<-done
				l.close()
			})
		})
	}
}
