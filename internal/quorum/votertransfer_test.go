package quorum

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"walkrudder/internal/item"
)

// A join that is interrupted repeatedly continues where it stopped, so each page is sent once.
func TestAJoinGoesOnWhereItBrokeOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(ctx, t)
		for i := range 4 {
			c.boot(fmt.Sprint("n", i), "z", nil)
		}
		core := c.formCore("n0", "n1", "n2")
		p := c.node("n0").proposer
		var all []item.Item
		for i := range 40 {
			all = append(all, testItem(fmt.Sprintf("k%02d", i), 1, string(bytes.Repeat([]byte{byte('a' + i%26)}, 200<<10))))
		}
		for _, it := range all {
			decided, err := p.Decide(ctx, []item.Item{it})
			if err == nil {
				err = p.Merge(ctx, decided)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		next := Core{Epoch: 2, Seats: append(append([]Seat(nil), core.Seats[:2]...), c.node("n3").seat), Before: core.Seats}
		for _, id := range []string{"n0", "n1"} {
			if _, err := (nodeTransport{c, "t"}).Call(ctx, id, SealAsk{Next: next}); err != nil {
				t.Fatal(err)
			}
		}
		pages, pagesLeft := 0, 0
		c.withLock(func() {
			c.dropAsk = func(from, _ string, ask any) bool {
				switch ask.(type) {
				case ListAsk, RecordsAsk, MergedAsk:
					if from != "n3" {
						return false
					}
					if pagesLeft--; pagesLeft < 0 {
						return true
					}
					pages++
				}
				return false
			}
		})
		joined, attempts := false, 0
		for ; !joined && attempts < 40; attempts++ {
			c.withLock(func() { pagesLeft = 2 })
			joinCtx, cancelJoin := context.WithTimeout(ctx, joinTimeout)
			r, err := (nodeTransport{c, "t"}).Call(joinCtx, "n3", JoinAsk{Next: next, From: core.Seats[:2]})
			cancelJoin()
			joined = err == nil && r.(JoinTold).OK
		}
		if !joined || attempts < 4 {
			t.Fatalf("joined %v after %d attempts", joined, attempts)
		}
		t.Logf("%d pages in %d attempts", pages, attempts)
		// Two voters with 8 MB of merge items each; the limit allows for item registers that
		// carry the bodies as well.
		if pages > 24 {
			t.Errorf("%d pages were sent, limit 24", pages)
		}
		for _, it := range all {
			if h := c.node("n3").itemOnDisk(it.Key); !h.Equal(it) {
				t.Errorf("%v is missing after the join", it.Key)
			}
		}
	})
}

// A record whose body was omitted takes the body of the merge item. It keeps its call only if the
// merge item is the same item, and the transfer fails if no source sent the body.
func TestBodiesThatWereLeftOutAreCompleted(t *testing.T) {
	full := testItem("k", 3, "three")
	withoutBody := full
	withoutBody.Body = nil
	newTransfer := func(known ...item.Item) *transfer {
		tr := &transfer{records: map[item.Key]record{full.Key: {Decision: Decision{Item: withoutBody, Call: "c"}, bodyOmitted: true}}, mergeItems: map[item.Key]item.Item{}}
		for _, it := range known {
			tr.mergeItems[it.Key] = it
		}
		return tr
	}
	for name, tc := range map[string]struct {
		known []item.Item
		want  Decision
		fails bool
	}{
		"the same":  {[]item.Item{full}, Decision{Item: full, Call: "c"}, false},
		"a newer":   {[]item.Item{testItem("k", 4, "four")}, Decision{Item: testItem("k", 4, "four")}, false},
		"an older":  {[]item.Item{testItem("k", 2, "two")}, Decision{}, true},
		"none":      {nil, Decision{}, true},
		"another's": {[]item.Item{testItem("l", 3, "three")}, Decision{}, true},
	} {
		tr := newTransfer(tc.known...)
		err := tr.completeBodies()
		if (err != nil) != tc.fails {
			t.Errorf("%s: %v", name, err)
		}
		if got := tr.records[full.Key].Decision; err == nil && (!got.Item.Equal(tc.want.Item) || got.Call != tc.want.Call) {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
}
