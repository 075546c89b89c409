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

// upgradeAt has a service's upgrade read at a controller, again until it is answered.
func (w *world) upgradeAt(m *controllerHost, service string) upgrade.Upgrade {
	w.t.Helper()
	for range 40 {
		cx, end := context.WithTimeout(w.ctx, 3*time.Second)
		u, err := m.control().Upgrade(cx, service)
		end()
		if err == nil {
			return u
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.t.Fatalf("%s does not tell the upgrade of %s", m.id, service)
	return upgrade.Upgrade{}
}

// Of two orders that are given to two controllers at once one is acknowledged, the other is told that one is under way,
// and all tell the same of it.
func TestOneOfTwoOrdersAtOnceIsTaken(t *testing.T) {
	for seed := range uint64(12) {
		play(t, 900+seed, small, func(w *world) {
			w.order(base(2), w.controllers)
			orders := []upgrade.Order{{Service: "a", To: "v2", Term: time.Hour}, {Service: "a", To: "v3", Term: time.Hour}}
			nodes := mixed(w, w.controllers)
			errs := make([]error, len(orders))
			var both sync.WaitGroup
			for i, o := range orders {
				both.Go(func() {
					cx, end := context.WithTimeout(w.ctx, 3*time.Second)
					defer end()
					errs[i] = nodes[i].control().StartUpgrade(cx, nil, o)
				})
			}
			both.Wait()
			won := 0
			if errs[0] != nil {
				won = 1
			}
			if errs[won] != nil || !errors.Is(errs[1-won], ErrUnderWay) {
				t.Fatalf("%v and %v", errs[0], errs[1])
			}
			for _, m := range w.controllers {
				if u := w.upgradeAt(m, "a"); u.To != orders[won].To || u.Number != 1 {
					t.Errorf("%s tells %+v, acknowledged was %s", m.id, u, orders[won].To)
				}
			}
		})
	}
}

// An order that was decided by a controller which ended before it showed it is found by the next: it is not lost, and
// nothing is decided beside it.
func TestAStepThatNobodyShowedIsFound(t *testing.T) {
	for seed := range uint64(6) {
		play(t, 920+seed, small, func(w *world) {
			w.order(base(2), w.controllers)
			first := w.controllers[0]
			u, _ := upgrade.Order{Service: "a", To: "v2", Term: time.Hour}.Apply(upgrade.Upgrade{}, "v1", time.Now())
			if _, err := first.control().Prop.Decide(w.ctx, []item.Item{u.Item()}); err != nil {
				t.Fatal(err)
			}
			first.kill()
			time.Sleep(time.Second)
			cx, end := context.WithTimeout(w.ctx, 3*time.Second)
			defer end()
			other := w.controllers[1].control()
			if err := other.StartUpgrade(cx, nil, upgrade.Order{Service: "a", To: "v3", Term: time.Hour}); !errors.Is(err, ErrUnderWay) {
				t.Errorf("another order beside it: %v", err)
			}
			if got := w.upgradeAt(w.controllers[2], "a"); got.To != "v2" {
				t.Errorf("%+v stands", got)
			}
		})
	}
}

// An upgrade that two controllers end in two ways at once ends in one, which all tell from then on, also after a loss of
// everything volatile.
func TestAnUpgradeEndsInOneWay(t *testing.T) {
	for seed := range uint64(12) {
		play(t, 940+seed, small, func(w *world) {
			w.order(base(2), w.controllers)
			if err := w.controllers[0].control().StartUpgrade(w.ctx, nil, upgrade.Order{Service: "a", To: "v2", Term: time.Hour}); err != nil {
				t.Fatal(err)
			}
			nodes := mixed(w, w.controllers)
			u := w.upgradeAt(nodes[0], "a")
			w.upgradeAt(nodes[1], "a")
			ends := []upgrade.Upgrade{u.Complete(nil), u.Revert("for a test")}
			errs := make([]error, len(ends))
			var both sync.WaitGroup
			for i, end := range ends {
				both.Go(func() { errs[i] = nodes[i].control().decideUpgrade(w.ctx, end) })
			}
			both.Wait()
			won := 0
			if errs[0] != nil {
				won = 1
			}
			if errs[won] != nil || !errors.Is(errs[1-won], errOvertaken) {
				t.Fatalf("%v and %v", errs[0], errs[1])
			}
			for _, m := range w.controllers {
				m.kill()
			}
			time.Sleep(time.Second)
			for _, m := range w.controllers {
				m.boot()
			}
			time.Sleep(5 * time.Second)
			for _, m := range w.controllers {
				if got := w.upgradeAt(m, "a"); got.Phase != ends[won].Phase || got.Number != 2 {
					t.Errorf("%s tells %+v, decided was %s", m.id, got, ends[won].Phase)
				}
			}
		})
	}
}

// An operator takes an upgrade back; one that has ended stays as it ended.
func TestAnOperatorTakesAnUpgradeBack(t *testing.T) {
	play(t, 960, small, func(w *world) {
		w.order(base(2), w.controllers)
		n := w.controllers[0].control()
		if err := n.RevertUpgrade(w.ctx, "a"); !errors.Is(err, ErrNoUpgrade) {
			t.Errorf("none: %v", err)
		}
		if err := n.StartUpgrade(w.ctx, nil, upgrade.Order{Service: "a", To: "v2", Term: time.Hour}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := w.controllers[3].control().RevertUpgrade(w.ctx, "a"); err != nil {
				t.Error(err)
			}
		}
		u := w.upgradeAt(w.controllers[1], "a")
		if u.Phase != upgrade.Reverted || !u.IsDenied("v2") {
			t.Errorf("%+v", u)
		}
		rows, err := w.controllers[1].control().upgradeRows(w.ctx, UpgradesAsk{})
		if err != nil || len(rows.Rows) != 1 || rows.Rows[0].Phase != "reverted" || rows.Rows[0].Reason == "" {
			t.Errorf("%+v, %v", rows, err)
		}
	})
}
