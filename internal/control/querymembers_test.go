package control

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/watch"
)

func TestMembersTellWhoIsThere(t *testing.T) {
	play(t, 27, small, func(w *world) {
		w.order(base(2), w.controllers[:1])
		time.Sleep(6 * time.Second)
		l, m := w.operator(), w.controllers[0]
		ask := func() map[string]MemberRow {
			a := look[MemberRow](w, l, m, MembersAsk{})
			return lo.SliceToMap(a.Rows, func(r MemberRow) (string, MemberRow) { return cmpOr(r.ID, r.Inner), r })
		}
		got := ask()
		if len(got) != len(w.controllers)+len(w.gateways) {
			t.Fatalf("%d members: %+v", len(got), got)
		}
		for _, o := range w.controllers {
			r := got[o.id]
			if r.Kind != watch.Controller || r.Zone != o.zone || r.Inner != o.addr || (r.Votes > 0) != (o.disk != nil) || r.Going {
				t.Errorf("%+v", r)
			}
			if o != m && (!r.AskedMS.Known || !r.AnsweredMS.Known || r.AnsweredMS.Value > 2000 || r.ItemsBehind != some(0)) {
				t.Errorf("%+v", r)
			}
		}
		for _, x := range w.gateways {
			if r := got[x.id]; r.Kind != watch.Gateway || r.Zone != x.zone || len(r.Follows) != 2 || r.Inner != "" {
				t.Errorf("%+v", r)
			}
		}
		// A way that is cut shows on its side alone.
		o := w.controllers[3]
		w.net.cut(o.addr, m.addr, false)
		time.Sleep(3 * time.Second)
		w.net.mend()
		if r := ask()[o.id]; r.AnsweredMS.Value < 2000 || r.AskedMS.Value < 2000 {
			t.Errorf("neither its asks nor its answers came: %+v", r)
		}
		time.Sleep(3 * time.Second)
		w.net.cut(m.addr, o.addr, false)
		time.Sleep(1500 * time.Millisecond)
		if r := ask()[o.id]; r.AnsweredMS.Value < 900 || r.AskedMS.Value > 1200 {
			t.Errorf("its asks come, answers do not: %+v", r)
		}
		w.net.mend()
		// A dead gateway is no longer a follower, and is forgotten.
		w.gateways[0].kill()
		time.Sleep(4 * time.Second)
		if r, ok := ask()[w.gateways[0].id]; ok && len(r.Follows) > 0 {
			t.Errorf("dead for 4 s: %+v", r)
		}
		o.control().Stop()
		time.Sleep(time.Second)
		if r := ask()[o.id]; !r.Going {
			t.Errorf("stops: %+v", r)
		}
	})
}

func cmpOr(a, b string) string { return lo.Ternary(a != "", a, b) }

// A seed that never answered is shown by its address.
func TestMembersTellOfSeedsThatNeverAnswered(t *testing.T) {
	play(t, 28, small, func(w *world) {
		m := w.controllers[0]
		m.control().SetSeeds(append(w.seedList(), "in-nobody"))
		time.Sleep(time.Second)
		a := look[MemberRow](w, w.operator(), m, MembersAsk{})
		r, ok := lo.Find(a.Rows, func(r MemberRow) bool { return r.Inner == "in-nobody" })
		if !ok || r.ID != "" || r.AnsweredMS.Known || r.AskedMS.Known {
			t.Errorf("%v %+v", ok, r)
		}
	})
}
