package proxy

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/budget"
	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

func TestAReportCountsRunsAndChangesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		draining, silent := readyRun("a5", "a", 2), readyRun("a4", "a", 2)
		draining.State, silent.Silent = target.Draining, 1
		n, s := testService(readyRun("a1", "a", 2), readyRun("a2", "a", 2), readyRun("a3", "a", 2), silent, draining, readyRun("b1", "b", 2))
		if got, want := n.Report().Runs, (Runs{Known: 6, Ready: 5, Draining: 1, Worked: 5, Suspected: 1, Doubted: 1, PassedOver: 1}); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
		if got := n.Report().ProbeMS; got != 4000 {
			t.Errorf("probes each %d ms", got)
		}
		n.probePacer.current.Store(int64(16 * time.Second))
		if got := n.Report().ProbeMS; got != 16000 {
			t.Errorf("probes each %d ms, want 16000", got)
		}
		// Three of the four available runs are doubted; two are avoided.
		now := n.clock.Now()
		for _, id := range []string{"a1", "a2"} {
			s.endpoints[id].recordFailure(now, now, initialBackoff)
		}
		s.endpoints["b1"].replaced = true
		want := Runs{Known: 6, Ready: 5, Draining: 1, Worked: 5, Suspected: 1, Doubted: 3, PassedOver: 2, Misdirected: 1}
		if got := n.Report().Runs; got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
		for id, e := range s.endpoints {
			if e.overEjectionCap {
				t.Errorf("a report set overEjectionCap of %s", id)
			}
		}
		// A selection avoids the same number.
		s.mu.Lock()
		if bad := s.ejections(now); len(bad) != want.PassedOver {
			t.Errorf("%d avoided by a selection", len(bad))
		}
		s.mu.Unlock()
		time.Sleep(initialBackoff + time.Millisecond)
		if got := n.Report().Runs; got.Doubted != 1 || got.PassedOver != 1 {
			t.Errorf("after the backoff: %+v", got)
		}
	})
}

// Of many services the report lists the few with the least budget left, and only services in use.
func TestAReportTellsWhoseBudgetIsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := testService()
		n.budget = budget.New(0.2, 10*time.Second, 0, n.clock)
		var want []BudgetLeft
		for i := range 9 {
			name := fmt.Sprintf("s%d", i)
			n.ApplyItems([]item.Item{route.Service{Name: name, Version: 1}.Item(),
				route.Route{Name: "r-" + name, Version: 1, Host: "h", Prefix: "/" + name + "/", Repeat: route.Idempotent, Shares: []route.Share{{Service: name, Weight: 1}}}.Item()})
			s := n.services[name]
			for range 100 * (9 - i) {
				s.budget.RecordRequest()
			}
			if i < 8 {
				s.acquire(testExchange(n, s, route.Idempotent))
			}
		}
		r := n.Report()
		for i := range r.Budget {
			name := fmt.Sprintf("s%d", 7-i)
			want = append(want, BudgetLeft{name, n.services[name].budget.Remaining()})
		}
		if len(r.Budget) != maxReportedServices || !reflect.DeepEqual(r.Budget, want) || want[0].Sends == 0 || want[0].Sends >= want[4].Sends {
			t.Errorf("%+v, want %+v", r.Budget, want)
		}
		if r.Routes != 9 || r.Services != 10 || r.Ready || r.Gateways != 1 {
			t.Errorf("%+v", r)
		}
		n.SetSynced(true)
		if r := n.Report(); !r.Synced || !r.Ready {
			t.Errorf("%+v", r)
		}
		time.Sleep(probeAfterUse)
		if r := n.Report(); len(r.Budget) != 0 {
			t.Errorf("budgets of unused services: %+v", r.Budget)
		}
	})
}
