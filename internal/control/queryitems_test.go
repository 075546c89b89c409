package control

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/watch"
)

func TestItemsTellWhatStandsAndWhoHasIt(t *testing.T) {
	runCluster(t, 24, smallCluster, func(cl *cluster) {
		transport, m, o := cl.operatorTransport(), cl.controllers[0], cl.controllers[1]
		time.Sleep(6 * time.Second) // gateways that started at any controller have moved to one of their zone
		cl.mustApply(baseChange(5), []*controllerHost{m})
		cl.mustApply(Change{Drops: []Drop{{Kind: item.Route, Name: "r0", Version: 2}}}, []*controllerHost{m})
		time.Sleep(propagationLimit)
		by := func(rows []ItemRow) map[string]ItemRow {
			return lo.SliceToMap(rows, func(r ItemRow) (string, ItemRow) { return r.Kind + "/" + r.Name, r })
		}
		a := mustAsk[ItemRow](cl, transport, m, ItemsAsk{})
		if a.Node != m.id || a.Zone != m.zone || !a.Fresh || a.Total != 8 || len(a.Rows) != 8 || a.Next != "" {
			t.Fatalf("%+v", a)
		}
		if !slices.IsSortedFunc(a.Rows, func(x, y ItemRow) int { return strings.Compare(x.Kind+"/"+x.Name, y.Kind+"/"+y.Name) }) {
			t.Errorf("rows are not sorted: %+v", a.Rows)
		}
		all := by(a.Rows)
		if r := all["route/r0"]; r.State != Dropped || r.Version != 2 || r.Place != "" || !r.Held {
			t.Errorf("%+v", r)
		}
		if r := all["route/r1"]; r.State != InForce || r.Version != 1 || r.Place != "h.example/r1/" || !slices.Equal(r.Services, []string{"a"}) || !r.Held || r.Gateways == 0 || r.Behind > 0 {
			t.Errorf("%+v", r)
		}
		if r := by(mustAsk[ItemRow](cl, transport, o, ItemsAsk{}).Rows)["route/r1"]; r.Held || r.State != InForce {
			t.Errorf("a controller that did not receive the change from its caller: %+v", r)
		}
		for prefix, want := range map[string]int{"r1": 1, "h.example/r": 4, "h.example/r3/": 1, "limits": 1, "none": 0, "": 8} {
			if a := mustAsk[ItemRow](cl, transport, m, ItemsAsk{Prefix: prefix}); len(a.Rows) != want || a.Total != want {
				t.Errorf("%q: %d rows, total %d, want %d", prefix, len(a.Rows), a.Total, want)
			}
		}
		// A frozen gateway counts as behind until it resumes.
		frozen, ok := lo.Find(cl.gateways, func(x *gatewayHost) bool {
			return lo.ContainsBy(m.control().attachedGateways(), func(f watch.Follower) bool { return f.ID == x.id })
		})
		if !ok {
			t.Fatal("no gateway follows the controller")
		}
		frozen.freeze()
		cl.mustApply(Change{Routes: nil, Drops: []Drop{{Kind: item.Route, Name: "r1", Version: 7}}}, []*controllerHost{m})
		time.Sleep(500 * time.Millisecond)
		a = mustAsk[ItemRow](cl, transport, m, ItemsAsk{Prefix: "r"})
		if r := by(a.Rows)["route/r1"]; r.Version != 7 || r.Behind != 1 || len(r.Late) != 1 || r.Late[0].Gateway != frozen.id || r.Late[0].AskedMS < 400 || r.Gateways < 1 {
			t.Errorf("%s is frozen: %+v", frozen.id, r)
		}
		if r := by(a.Rows)["route/r2"]; r.Behind > 0 {
			t.Errorf("behind on an older change: %+v", r)
		}
		frozen.thaw()
		time.Sleep(propagationLimit)
		if r := by(mustAsk[ItemRow](cl, transport, m, ItemsAsk{}).Rows)["route/r1"]; r.Behind > 0 {
			t.Errorf("%s has caught up: %+v", frozen.id, r)
		}
	})
}
