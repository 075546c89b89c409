package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/upgrade"
)

// mustReadUpgrade reads a service's upgrade from a controller, retrying until it is answered.
func (cl *cluster) mustReadUpgrade(m *controllerHost, service string) upgrade.Upgrade {
	cl.t.Helper()
	for range 40 {
		callCtx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
		u, err := m.control().Upgrade(callCtx, service)
		cancel()
		if err == nil {
			return u
		}
		time.Sleep(250 * time.Millisecond)
	}
	cl.t.Fatalf("%s does not return the upgrade of %s", m.id, service)
	return upgrade.Upgrade{}
}

// Of two concurrent orders at two controllers one is acknowledged, the other is refused because an upgrade is under way,
// and all controllers return the acknowledged one.
func TestOneOfTwoOrdersAtOnceIsTaken(t *testing.T) {
	for seed := range uint64(12) {
		runCluster(t, 900+seed, smallCluster, func(cl *cluster) {
			cl.mustApply(baseChange(2), cl.controllers)
			orders := []upgrade.Order{{Service: "a", To: "v2", Term: time.Hour}, {Service: "a", To: "v3", Term: time.Hour}}
			nodes := shuffled(cl, cl.controllers)
			errs := make([]error, len(orders))
			var both sync.WaitGroup
			for i, o := range orders {
				both.Go(func() {
					callCtx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
					defer cancel()
					errs[i] = nodes[i].control().StartUpgrade(callCtx, nil, o)
				})
			}
			both.Wait()
			won := 0
			if errs[0] != nil {
				won = 1
			}
			if errs[won] != nil || !errors.Is(errs[1-won], ErrUpgradeInProgress) {
				t.Fatalf("%v and %v", errs[0], errs[1])
			}
			for _, m := range cl.controllers {
				if u := cl.mustReadUpgrade(m, "a"); u.To != orders[won].To || u.Number != 1 {
					t.Errorf("%s returns %+v, acknowledged was %s", m.id, u, orders[won].To)
				}
			}
		})
	}
}

// An order that was decided by a controller which ended before publishing it is found by the next controller: it is not
// lost, and no other order is decided in addition.
func TestAStepThatNobodyShowedIsFound(t *testing.T) {
	for seed := range uint64(6) {
		runCluster(t, 920+seed, smallCluster, func(cl *cluster) {
			cl.mustApply(baseChange(2), cl.controllers)
			first := cl.controllers[0]
			u, _ := upgrade.Order{Service: "a", To: "v2", Term: time.Hour}.Apply(upgrade.Upgrade{}, "v1", time.Now())
			if _, err := first.control().Proposer.Decide(cl.ctx, []item.Item{u.Item()}); err != nil {
				t.Fatal(err)
			}
			first.kill()
			time.Sleep(time.Second)
			callCtx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
			defer cancel()
			other := cl.controllers[1].control()
			if err := other.StartUpgrade(callCtx, nil, upgrade.Order{Service: "a", To: "v3", Term: time.Hour}); !errors.Is(err, ErrUpgradeInProgress) {
				t.Errorf("another order in addition: %v", err)
			}
			if got := cl.mustReadUpgrade(cl.controllers[2], "a"); got.To != "v2" {
				t.Errorf("%+v is in force", got)
			}
		})
	}
}

// When two controllers concurrently end an upgrade in different ways, it ends in one of them. All controllers return that
// one from then on, also after all processes were lost.
func TestAnUpgradeEndsInOneWay(t *testing.T) {
	for seed := range uint64(12) {
		runCluster(t, 940+seed, smallCluster, func(cl *cluster) {
			cl.mustApply(baseChange(2), cl.controllers)
			if err := cl.controllers[0].control().StartUpgrade(cl.ctx, nil, upgrade.Order{Service: "a", To: "v2", Term: time.Hour}); err != nil {
				t.Fatal(err)
			}
			nodes := shuffled(cl, cl.controllers)
			u := cl.mustReadUpgrade(nodes[0], "a")
			cl.mustReadUpgrade(nodes[1], "a")
			ends := []upgrade.Upgrade{u.Complete(nil), u.Revert("for a test")}
			errs := make([]error, len(ends))
			var both sync.WaitGroup
			for i, end := range ends {
				both.Go(func() { errs[i] = nodes[i].control().decideUpgrade(cl.ctx, end) })
			}
			both.Wait()
			won := 0
			if errs[0] != nil {
				won = 1
			}
			if errs[won] != nil || !errors.Is(errs[1-won], errSuperseded) {
				t.Fatalf("%v and %v", errs[0], errs[1])
			}
			for _, m := range cl.controllers {
				m.kill()
			}
			time.Sleep(time.Second)
			for _, m := range cl.controllers {
				m.boot()
			}
			time.Sleep(5 * time.Second)
			for _, m := range cl.controllers {
				if got := cl.mustReadUpgrade(m, "a"); got.Phase != ends[won].Phase || got.Number != 2 {
					t.Errorf("%s returns %+v, decided was %s", m.id, got, ends[won].Phase)
				}
			}
		})
	}
}

// An operator reverts an upgrade; one that has ended keeps its outcome.
func TestAnOperatorTakesAnUpgradeBack(t *testing.T) {
	runCluster(t, 960, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(2), cl.controllers)
		n := cl.controllers[0].control()
		if err := n.RevertUpgrade(cl.ctx, "a"); !errors.Is(err, ErrNoUpgrade) {
			t.Errorf("revert without an upgrade: %v", err)
		}
		if err := n.StartUpgrade(cl.ctx, nil, upgrade.Order{Service: "a", To: "v2", Term: time.Hour}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := cl.controllers[3].control().RevertUpgrade(cl.ctx, "a"); err != nil {
				t.Error(err)
			}
		}
		u := cl.mustReadUpgrade(cl.controllers[1], "a")
		if u.Phase != upgrade.Reverted || !u.IsDenied("v2") {
			t.Errorf("%+v", u)
		}
		rows, err := cl.controllers[1].control().listUpgrades(cl.ctx, UpgradesAsk{})
		if err != nil || len(rows.Rows) != 1 || rows.Rows[0].Phase != "reverted" || rows.Rows[0].Reason == "" {
			t.Errorf("%+v, %v", rows, err)
		}
	})
}
