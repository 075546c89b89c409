package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
)

// Reading a list page by page returns each row once, in order.
func TestPagesMakeTheList(t *testing.T) {
	runCluster(t, 25, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(20), cl.controllers[:1])
		transport := cl.operatorTransport()
		var got []string
		for after, pages := "", 1; ; pages++ {
			a := mustAsk[ItemRow](cl, transport, cl.controllers[0], ItemsAsk{Page: Page{After: after, Most: 7}})
			if a.Total != 23 || len(a.Rows) > 7 {
				t.Fatalf("%d rows of %d", len(a.Rows), a.Total)
			}
			for _, r := range a.Rows {
				got = append(got, r.Kind+"/"+r.Name)
			}
			if after = a.Next; after == "" {
				if pages != 4 {
					t.Errorf("%d pages", pages)
				}
				break
			}
		}
		if len(got) != 23 || !slices.IsSorted(got) || len(lo.Uniq(got)) != 23 {
			t.Errorf("%d: %v", len(got), got)
		}
	})
}

// An answer that would be too large ends before the page is full.
func TestAnswersAreBoundedInBytes(t *testing.T) {
	p := newPageCollector[int](Page{Most: 1000})
	for i := range 1000 {
		p.add(fmt.Sprintf("%04d", i), i)
	}
	a := buildAnswer(About{}, p, func(string, int) (int, int) { return 0, 10000 })
	if len(a.Rows) == 0 || len(a.Rows) > maxAnswerBytes/10000 || a.Next != fmt.Sprintf("%04d", len(a.Rows)-1) || a.Total != 1000 {
		t.Errorf("%d rows, next %q", len(a.Rows), a.Next)
	}
	a = buildAnswer(About{}, p, func(string, int) (int, int) { return 0, 2 * maxAnswerBytes })
	if len(a.Rows) != 1 || a.Next != "0000" {
		t.Errorf("an answer must have at least one row, so that paging makes progress: %+v", a)
	}
}

// However long a list is, little more than one page of it is kept.
func TestAPageKeepsLittle(t *testing.T) {
	p := newPageCollector[int](Page{Most: 5})
	for i := range 3 {
		p.add("0", i) // changed while the list was read
	}
	if p.trim(); p.total != 1 || len(p.rows) != 1 || p.rows[0].value != 2 {
		t.Errorf("%+v of %d", p.rows, p.total)
	}
	for i := range 100000 {
		p.add(fmt.Sprint(i), i)
		if cap(p.rows) > 64 {
			t.Fatalf("%d rows kept for 5", cap(p.rows))
		}
	}
	if p.trim(); p.total != 100000 || len(p.rows) != 6 || p.rows[5].key != "10000" {
		t.Errorf("%+v of %d", p.rows, p.total)
	}
}
