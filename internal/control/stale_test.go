package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
)

// staleCopies are the ways in which a copy of a change reaches a node after another node refused the change.
var staleCopies = map[string]struct {
	freeze func(m *controllerHost) // before the copy arrives
	thaw   func(m *controllerHost)
	caller Caller
}{
	"in the socket of a node that stands still": {func(m *controllerHost) { m.freeze() }, func(m *controllerHost) { m.thaw() }, nil},
	"from a caller that has gone meanwhile":     {func(*controllerHost) {}, func(*controllerHost) {}, departedCaller{}},
}

// departedCaller is a caller that has disconnected.
type departedCaller struct{}

func (departedCaller) Left() bool { return true }

// Guards against a refused change coming into force later through another copy of it. The operator sent
// it to a node that was paused, a second node refused it, and the operator fixed the cause before the
// first node resumed.
func TestARefusedOrderStaysRefused(t *testing.T) {
	for name, x := range staleCopies {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				runCluster(t, uint64(seed), smallCluster, func(cl *cluster) {
					cl.mustApply(baseChange(2), cl.controllers)
					first, second := cl.controllers[5], cl.controllers[1]
					time.Sleep(recoveryTime)
					bad := Change{Routes: []route.Route{routeTo("new", 20, "beta")}}
					x.freeze(first)
					copied := make(chan error, 1)
					release := make(chan struct{})
					go func() {
						first.waitWhileFrozen()
						<-release
						callCtx, cancel := context.WithTimeout(cl.ctx, 3500*time.Millisecond)
						defer cancel()
						_, err := first.control().ApplyFor(callCtx, x.caller, bad)
						copied <- err
					}()
					if ps, err := cl.apply(second, bad); len(ps) == 0 || err != nil {
						t.Fatalf("%v %v, want a refusal", ps, err)
					}
					cl.mustApply(Change{Services: []route.Service{testService("beta", 30)}}, cl.controllers[:3])
					time.Sleep(3 * time.Second)
					x.thaw(first)
					close(release)
					if err := <-copied; !errors.Is(err, ErrStale) {
						t.Errorf("the copy: %v", err)
					}
					time.Sleep(propagationLimit)
					for _, g := range cl.gateways {
						if i := g.item(item.Key{Kind: item.Route, Name: "new"}); i.Version > 0 {
							t.Errorf("%s has the refused route in force", g.id)
						}
					}
					// The same change, sent again, is accepted by another node, and soon after by the same one.
					cl.mustApply(bad, []*controllerHost{second})
					time.Sleep(2 * time.Second)
					cl.mustApply(Change{Routes: []route.Route{routeTo("new", 21, "beta")}}, []*controllerHost{first})
				})
			}
		})
	}
}
