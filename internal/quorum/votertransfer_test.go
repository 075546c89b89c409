package quorum

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"walkrudder/internal/item"
)

// A join that breaks off again and again goes on where it stood: each page crosses once.
func TestAJoinGoesOnWhereItBrokeOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
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
			stands, err := p.Decide(ctx, []item.Item{it})
			if err == nil {
				err = p.Merge(ctx, stands)
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
		pages, left := 0, 0
		c.locked(func() {
			c.dropAsk = func(from, _ string, ask any) bool {
				switch ask.(type) {
				case ListAsk, RecordsAsk, MergedAsk:
					if from != "n3" {
						return false
					}
					if left--; left < 0 {
						return true
					}
					pages++
				}
				return false
			}
		})
		joined, tries := false, 0
		for ; !joined && tries < 40; tries++ {
			c.locked(func() { left = 2 })
			cx, stop := context.WithTimeout(ctx, joinTimeout)
			r, err := (nodeTransport{c, "t"}).Call(cx, "n3", JoinAsk{Next: next, From: core.Seats[:2]})
			stop()
			joined = err == nil && r.(JoinTold).OK
		}
		if !joined || tries < 4 {
			t.Fatalf("joined %v after %d tries", joined, tries)
		}
		t.Logf("%d pages in %d tries", pages, tries)
		// Two voters with 8 MB in merge items, the bodies of whose registers are told besides.
		if pages > 24 {
			t.Errorf("%d pages", pages)
		}
		for _, it := range all {
			if h := c.node("n3").itemOnDisk(it.Key); !h.Same(it) {
				t.Errorf("%v is missing", it.Key)
			}
		}
	})
}

// A record whose body was left out takes that of the merge item, keeps its call only where that is
// the very item, and is refused where nobody told the body.
func TestBodiesThatWereLeftOutAreCompleted(t *testing.T) {
	told := testItem("k", 3, "three")
	bare := told
	bare.Body = nil
	pulled := func(known ...item.Item) *transfer {
		tr := &transfer{records: map[item.Key]record{told.Key: {Decision: Decision{Item: bare, Call: "c"}, bodiless: true}}, merged: map[item.Key]item.Item{}}
		for _, it := range known {
			tr.merged[it.Key] = it
		}
		return tr
	}
	for name, x := range map[string]struct {
		known []item.Item
		want  Decision
		fails bool
	}{
		"the same":  {[]item.Item{told}, Decision{Item: told, Call: "c"}, false},
		"a newer":   {[]item.Item{testItem("k", 4, "four")}, Decision{Item: testItem("k", 4, "four")}, false},
		"an older":  {[]item.Item{testItem("k", 2, "two")}, Decision{}, true},
		"none":      {nil, Decision{}, true},
		"another's": {[]item.Item{testItem("l", 3, "three")}, Decision{}, true},
	} {
		tr := pulled(x.known...)
		err := tr.complete()
		if (err != nil) != x.fails {
			t.Errorf("%s: %v", name, err)
		}
		if got := tr.records[told.Key].Decision; err == nil && (!got.Item.Same(x.want.Item) || got.Call != x.want.Call) {
			t.Errorf("%s: %+v, want %+v", name, got, x.want)
		}
	}
}
