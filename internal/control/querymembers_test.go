package control

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/watch"
)

func TestMembersTellWhoIsThere(t *testing.T) {
	runCluster(t, 27, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(2), cl.controllers[:1])
		time.Sleep(6 * time.Second)
		transport, m := cl.operatorTransport(), cl.controllers[0]
		ask := func() map[string]MemberRow {
			a := mustAsk[MemberRow](cl, transport, m, MembersAsk{})
			return lo.SliceToMap(a.Rows, func(r MemberRow) (string, MemberRow) { return firstNonEmpty(r.ID, r.Inner), r })
		}
		got := ask()
		if len(got) != len(cl.controllers)+len(cl.gateways) {
			t.Fatalf("%d members: %+v", len(got), got)
		}
		for _, o := range cl.controllers {
			r := got[o.id]
			if r.Kind != watch.Controller || r.Zone != o.zone || r.Inner != o.addr || (r.Votes > 0) != (o.disk != nil) || r.Going {
				t.Errorf("%+v", r)
			}
			if o != m && (!r.AskedMS.Known || !r.AnsweredMS.Known || r.AnsweredMS.Value > 2000 || r.ItemsBehind != knownValue(0)) {
				t.Errorf("%+v", r)
			}
		}
		for _, x := range cl.gateways {
			if r := got[x.id]; r.Kind != watch.Gateway || r.Zone != x.zone || len(r.Follows) != 2 || r.Inner != "" {
				t.Errorf("%+v", r)
			}
		}
		// A cut of one direction shows in one value alone.
		o := cl.controllers[3]
		cl.net.cut(o.addr, m.addr, false)
		time.Sleep(3 * time.Second)
		cl.net.healAll()
		if r := ask()[o.id]; r.AnsweredMS.Value < 2000 || r.AskedMS.Value < 2000 {
			t.Errorf("neither requests nor answers arrived: %+v", r)
		}
		time.Sleep(3 * time.Second)
		cl.net.cut(m.addr, o.addr, false)
		time.Sleep(1500 * time.Millisecond)
		if r := ask()[o.id]; r.AnsweredMS.Value < 900 || r.AskedMS.Value > 1200 {
			t.Errorf("requests arrive, answers do not: %+v", r)
		}
		cl.net.healAll()
		// A dead gateway is no longer a follower.
		cl.gateways[0].kill()
		time.Sleep(4 * time.Second)
		if r, ok := ask()[cl.gateways[0].id]; ok && len(r.Follows) > 0 {
			t.Errorf("dead for 4 s, still a follower: %+v", r)
		}
		o.control().Stop()
		time.Sleep(time.Second)
		if r := ask()[o.id]; !r.Going {
			t.Errorf("not reported as stopping: %+v", r)
		}
	})
}

func firstNonEmpty(a, b string) string { return lo.Ternary(a != "", a, b) }

// A seed that never answered is listed by its address.
func TestMembersTellOfSeedsThatNeverAnswered(t *testing.T) {
	runCluster(t, 28, smallCluster, func(cl *cluster) {
		m := cl.controllers[0]
		m.control().SetSeeds(append(cl.seedList(), "in-nobody"))
		time.Sleep(time.Second)
		a := mustAsk[MemberRow](cl, cl.operatorTransport(), m, MembersAsk{})
		r, ok := lo.Find(a.Rows, func(r MemberRow) bool { return r.Inner == "in-nobody" })
		if !ok || r.ID != "" || r.AnsweredMS.Known || r.AskedMS.Known {
			t.Errorf("%v %+v", ok, r)
		}
	})
}
