package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
)

// stale are the ways in which a copy of an order reaches a node after the order was refused elsewhere.
var stale = map[string]struct {
	hold   func(m *controllerHost) // the node, before the copy comes
	let    func(m *controllerHost)
	caller Caller
}{
	"in the socket of a node that stands still": {func(m *controllerHost) { m.freeze() }, func(m *controllerHost) { m.thaw() }, nil},
	"from a caller that has gone meanwhile":     {func(*controllerHost) {}, func(*controllerHost) {}, left{}},
}

// left is a caller that has gone.
type left struct{}

func (left) Left() bool { return true }

// Guards against an order that was refused coming into force later by another copy of it: the operator sent it to a node that
// stood still, had it refused by a second node, and mended its cause before the first one woke.
func TestARefusedOrderStaysRefused(t *testing.T) {
	for name, x := range stale {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				play(t, uint64(seed), small, func(w *world) {
					w.order(base(2), w.controllers)
					first, second := w.controllers[5], w.controllers[1]
					time.Sleep(catchUp)
					bad := Change{Routes: []route.Route{routeTo("new", 20, "beta")}}
					x.hold(first)
					copied := make(chan error, 1)
					release := make(chan struct{})
					go func() {
						first.awake()
						<-release
						cx, end := context.WithTimeout(w.ctx, 3500*time.Millisecond)
						defer end()
						_, err := first.control().ApplyFor(cx, x.caller, bad)
						copied <- err
					}()
					if ps, err := w.apply(second, bad); len(ps) == 0 || err != nil {
						t.Fatalf("%v %v, want a refusal", ps, err)
					}
					w.order(Change{Services: []route.Service{service("beta", 30)}}, w.controllers[:3])
					time.Sleep(3 * time.Second)
					x.let(first)
					close(release)
					if err := <-copied; !errors.Is(err, ErrStale) {
						t.Errorf("the copy: %v", err)
					}
					time.Sleep(bound)
					for _, g := range w.gateways {
						if i := g.item(item.Key{Kind: item.Route, Name: "new"}); i.Version > 0 {
							t.Errorf("%s has the refused route in force", g.id)
						}
					}
					// The same order, given anew, is taken: by another node, and by the same one soon after.
					w.order(bad, []*controllerHost{second})
					time.Sleep(2 * time.Second)
					w.order(Change{Routes: []route.Route{routeTo("new", 21, "beta")}}, []*controllerHost{first})
				})
			}
		})
	}
}
