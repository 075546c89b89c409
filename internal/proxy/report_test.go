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
		drains, silent := at("a5", "a", 2), at("a4", "a", 2)
		drains.State, silent.Silent = target.Draining, 1
		n, s := plan(at("a1", "a", 2), at("a2", "a", 2), at("a3", "a", 2), silent, drains, at("b1", "b", 2))
		if got, want := n.Report().Runs, (Runs{Known: 6, Ready: 5, Draining: 1, Worked: 5, Suspected: 1, Doubted: 1, PassedOver: 1}); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
		if got := n.Report().ProbeMS; got != 4000 {
			t.Errorf("probes each %d ms", got)
		}
		n.rhythm.every.Store(int64(16 * time.Second))
		if got := n.Report().ProbeMS; got != 16000 {
			t.Errorf("probes each %d ms, want 16000", got)
		}
		// Three of four that could be asked are doubted: two are passed over.
		now := n.clock.Now()
		for _, id := range []string{"a1", "a2"} {
			s.all[id].failed(now, now, firstPenalty)
		}
		s.all["b1"].gone = true
		want := Runs{Known: 6, Ready: 5, Draining: 1, Worked: 5, Suspected: 1, Doubted: 3, PassedOver: 2, Misdirected: 1}
		if got := n.Report().Runs; got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
		for id, e := range s.all {
			if e.pardoned {
				t.Errorf("%s was pardoned by a look", id)
			}
		}
		// A choice passes over as many.
		s.mu.Lock()
		if bad := s.judge(now); len(bad) != want.PassedOver {
			t.Errorf("%d passed over by a choice", len(bad))
		}
		s.mu.Unlock()
		time.Sleep(firstPenalty + time.Millisecond)
		if got := n.Report().Runs; got.Doubted != 1 || got.PassedOver != 1 {
			t.Errorf("after the penalty: %+v", got)
		}
	})
}

// Of many services the few are told that have the least left, and only such as are in use.
func TestAReportTellsWhoseBudgetIsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := plan()
		n.budget = budget.New(0.2, 10*time.Second, 0, n.clock)
		var want []Left
		for i := range 9 {
			name := fmt.Sprintf("s%d", i)
			n.TakeItems([]item.Item{route.Service{Name: name, Version: 1}.Item(),
				route.Route{Name: "r-" + name, Version: 1, Host: "h", Prefix: "/" + name + "/", Repeat: route.Idempotent, Shares: []route.Share{{Service: name, Weight: 1}}}.Item()})
			s := n.services[name]
			for range 100 * (9 - i) {
				s.acct.RecordRequest()
			}
			if i < 8 {
				s.acquire(ask(n, s, route.Idempotent))
			}
		}
		r := n.Report()
		for i := range r.Budget {
			name := fmt.Sprintf("s%d", 7-i)
			want = append(want, Left{name, n.services[name].acct.Remaining()})
		}
		if len(r.Budget) != fewServices || !reflect.DeepEqual(r.Budget, want) || want[0].Sends == 0 || want[0].Sends >= want[4].Sends {
			t.Errorf("%+v, want %+v", r.Budget, want)
		}
		if r.Routes != 9 || r.Services != 10 || r.Ready || r.Gateways != 1 {
			t.Errorf("%+v", r)
		}
		n.SetSynced(true)
		if r := n.Report(); !r.Synced || !r.Ready {
			t.Errorf("%+v", r)
		}
		time.Sleep(usedFor)
		if r := n.Report(); len(r.Budget) != 0 {
			t.Errorf("of services that nobody asked for lately: %+v", r.Budget)
		}
	})
}
