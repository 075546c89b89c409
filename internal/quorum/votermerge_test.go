package quorum

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
)

// three is a city of three voters without stewards.
func three(ctx context.Context, t *testing.T) *cluster {
	c := newCluster(ctx, t)
	for _, id := range []string{"a", "b", "c"} {
		c.boot(id, "", nil)
	}
	c.formCore("a", "b", "c")
	return c
}

func TestMergesFromTwoProposersEndAlike(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		var wg sync.WaitGroup
		for i, by := range []string{"a", "b"} {
			wg.Go(func() {
				for k := range 30 {
					// Every third name has one version of two contents, the rest two
					// versions, of which now one proposer has the higher, now the other.
					v := uint64(5)
					if k%3 > 0 {
						v += uint64((k + i) % 2)
					}
					it := testItem(fmt.Sprint("k", k), v, fmt.Sprint(by, k))
					if k%7 == 0 && i == 1 {
						it.Gone, it.Body = true, nil
					}
					c.merge(by, it)
				}
			})
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		for k := range 30 {
			key := item.Key{Kind: item.Route, Name: fmt.Sprint("k", k)}
			a := c.node("a").itemOnDisk(key)
			for _, id := range []string{"b", "c"} {
				if o := c.node(id).itemOnDisk(key); newer(a, o) || newer(o, a) || a.Version == 0 {
					t.Errorf("%s: a holds %v, %s %v", key.Name, a, id, o)
				}
			}
			if k%3 > 0 && a.Version != 6 {
				t.Errorf("%s ended at version %d", key.Name, a.Version)
			}
		}
		c.checkKept("at the end")
	})
}

func TestEqualVersionOfTwoContents(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		x, y := testItem("k", 3, "one"), testItem("k", 3, "two")
		if x.Compare(y) > 0 {
			x, y = y, x
		}
		p := c.node("a").proposer
		if over, err := p.MergeReportingSuperseded(ctx, []item.Item{x}); err != nil || len(over) > 0 {
			t.Fatal(over, err)
		}
		if over, err := p.MergeReportingSuperseded(ctx, []item.Item{x}); err != nil || len(over) > 0 {
			t.Error("the same again:", over, err)
		}
		if over, err := p.MergeReportingSuperseded(ctx, []item.Item{testItem("else", 1, ""), y}); err != nil || len(over) > 0 {
			t.Error("the content that stands:", over, err)
		}
		if over, err := p.MergeReportingSuperseded(ctx, []item.Item{testItem("else", 1, ""), x}); err != nil || len(over) != 1 || over[0] != x.Key {
			t.Error("the content that does not stand:", over, err)
		}
		time.Sleep(time.Second)
		for id, n := range c.all() {
			if h := n.itemOnDisk(x.Key); string(h.Body) != string(y.Body) {
				t.Errorf("%s holds %s", id, h.Body)
			}
		}
	})
}

func TestOlderCopyChangesNothing(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		c.merge("a", testItem("k", 9, "new"), item.Item{Key: item.Key{Kind: item.Route, Name: "gone"}, Version: 9, Gone: true})
		time.Sleep(time.Second)
		for _, n := range c.all() {
			n.mu.Lock()
			clear(n.merged)
			n.mu.Unlock()
		}
		over, err := c.node("b").proposer.MergeReportingSuperseded(ctx, []item.Item{testItem("k", 8, "old"), testItem("gone", 8, "old")})
		if err != nil || len(over) != 2 {
			t.Error(over, err)
		}
		time.Sleep(time.Second)
		for id, n := range c.all() {
			n.mu.Lock()
			if len(n.merged) > 0 {
				t.Errorf("%s was told %v", id, n.merged)
			}
			n.mu.Unlock()
			if h := n.itemOnDisk(item.Key{Kind: item.Route, Name: "k"}); string(h.Body) != "new" {
				t.Errorf("%s holds %v", id, h)
			}
			if h := n.itemOnDisk(item.Key{Kind: item.Route, Name: "gone"}); !h.Gone || h.Version != 9 {
				t.Errorf("%s holds %v", id, h)
			}
		}
	})
}

func TestMergeIsSyncedBeforeItIsTold(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		n := c.node("a")
		told := 0
		if err := n.voter.do(ctx, func() {
			n.voter.OnMerge = func(its []item.Item) {
				told += len(its)
				for _, it := range its {
					if h := n.itemOnDisk(it.Key); h.Version != it.Version {
						t.Errorf("told of %v, the disk holds %v", it, h)
					}
				}
			}
		}); err != nil {
			t.Fatal(err)
		}
		ask := func(it item.Item) error {
			before := told
			r, err := link.Ask[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{Mark{1, n.seat.Disk}, []item.Item{it}})
			if err == nil && (!r.OK || told != before+1) {
				t.Errorf("answered %+v after %d items were told", r, told-before)
			}
			return err
		}
		if err := ask(testItem("k", 1, "x")); err != nil {
			t.Fatal(err)
		}
		n.mem.breaks(true)
		if err := ask(testItem("k", 2, "y")); !errors.Is(err, ErrBad) || told != 1 {
			t.Errorf("%v on a disk that failed, %d told", err, told)
		}
		n.mem.breaks(false)
		if err := ask(testItem("k", 3, "z")); !errors.Is(err, ErrBad) {
			t.Errorf("%v after a failed sync", err)
		}
		// The other two are a majority.
		c.merge("b", testItem("k", 4, "w"))
		c.node("c").mem.breaks(true)
		cx, end := context.WithTimeout(ctx, time.Second)
		defer end()
		if err := c.node("b").proposer.Merge(cx, []item.Item{testItem("k", 5, "v")}); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("%v with one disk of three", err)
		}
	})
}

func TestMergeIsForOneEpochAndDisk(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		for name, m := range map[string]Mark{"another disk": {1, "other"}, "no disk": {1, ""}, "another epoch": {2, c.node("a").seat.Disk}} {
			r, err := link.Ask[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{m, []item.Item{testItem("k", 1, "x")}})
			if err != nil || r.OK || c.node("a").itemOnDisk(item.Key{Kind: item.Route, Name: "k"}).Version > 0 {
				t.Errorf("%s: %+v %v", name, r, err)
			}
		}
	})
}

// Registers and merge items do not show in each other's place, whatever their names.
func TestRegistersAndMergeItemsStayApart(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		p := c.node("a").proposer
		it := testItem("x", 4, "merged")
		c.merge("a", it)
		if _, err := p.Change(ctx, mergeKey(it.Key), func(v []byte) ([]byte, error) {
			if v != nil {
				t.Errorf("the register shows %q", v)
			}
			return []byte("register"), nil
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		var keys []string
		if err := p.List(ctx, "", "", func(k string, v []byte) error {
			keys = append(keys, k+"="+string(v))
			return nil
		}); err != nil || strings.Join(keys, ",") != mergeKey(it.Key)+"=register" {
			t.Error(keys, err)
		}
		// An item that one voter lacks is no register to be mended.
		c.locked(func() { c.dropAsk = func(_, to string, ask any) bool { _, m := ask.(MergeAsk); return m && to == "c" } })
		c.merge("a", testItem("y", 1, "b"))
		time.Sleep(2 * time.Second)
		c.locked(func() { c.dropAsk = nil })
		if n, err := p.RepairCopies(ctx); n != 0 || err != nil {
			t.Errorf("the sweep mended %d, %v", n, err)
		}
		for _, id := range []string{"a", "b", "c"} {
			m := c.kill(id)
			n := c.boot(id, "", m)
			if h := n.itemOnDisk(it.Key); string(h.Body) != "merged" || len(n.voter.Merged()) == 0 {
				t.Errorf("%s holds %v after a restart, tells %v", id, h, n.voter.Merged())
			}
		}
		q := c.node("b").proposer
		q.Learn(c.core())
		if v, err := q.Read(ctx, mergeKey(it.Key)); string(v) != "register" || err != nil {
			t.Errorf("the register after a restart: %q %v", v, err)
		}
	})
}

func TestMergeIsBounded(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		c := three(ctx, t)
		p := c.node("a").proposer
		for name, it := range map[string]item.Item{
			"name": testItem(strings.Repeat("n", maxMergeName+1), 1, ""),
			"body": {Key: item.Key{Kind: item.Route, Name: "k"}, Version: 1, Body: make([]byte, MaxValue+1)},
		} {
			if err := p.Merge(ctx, []item.Item{it}); err == nil {
				t.Errorf("too long a %s was taken", name)
			}
			if _, err := link.Ask[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{Mark{1, c.node("a").seat.Disk}, []item.Item{it}}); err == nil {
				t.Errorf("a voter took too long a %s", name)
			}
		}
		v := c.node("a").voter
		if err := v.do(ctx, func() {
			for i := len(v.merged); i < maxMerged-1; i++ {
				v.merged[item.Key{Kind: item.Service, Name: fmt.Sprint(i)}] = item.Item{}
			}
		}); err != nil {
			t.Fatal(err)
		}
		ask := func(its ...item.Item) error {
			_, err := link.Ask[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{Mark{1, c.node("a").seat.Disk}, its})
			return err
		}
		if err := ask(testItem("last", 1, "")); err != nil {
			t.Error("the last place:", err)
		}
		if err := ask(testItem("more", 1, "")); err == nil {
			t.Error("the table grew past its bound")
		}
		if err := ask(testItem("last", 2, "")); err != nil {
			t.Error("a newer version in a full table:", err)
		}
	})
}

// A joiner takes the newest copy that any of the sealed holds, all pages of them,
// and keeps what it holds itself if that is newer.
func TestJoinerTakesTheNewestOfAllPages(t *testing.T) {
	for _, turn := range []bool{false, true} {
		in(t, func(ctx context.Context, t *testing.T) {
			c := three(ctx, t)
			old := c.core()
			only := func(id string, its ...item.Item) {
				if r, err := link.Ask[MergeTold](ctx, nodeTransport{c, "t"}, id, MergeAsk{Mark{1, c.node(id).seat.Disk}, its}); err != nil || !r.OK {
					t.Fatal(r, err)
				}
			}
			var all []item.Item
			for i := range 30 {
				all = append(all, testItem(fmt.Sprint("large", i), 1, strings.Repeat("x", 300_000)))
			}
			c.merge("a", all...)
			x1, x2, y1, y2 := testItem("x", 1, "old"), testItem("x", 2, "new"), testItem("y", 1, "old"), testItem("y", 2, "new")
			only("a", x2, y1)
			only("b", x1, y2)
			d := c.boot("d", "", nil)
			if err := d.voter.do(ctx, func() { d.voter.take(testItem("own", 9, "kept")); d.voter.take(testItem("x", 1, "old")) }); err != nil {
				t.Fatal(err)
			}
			only("a", testItem("own", 8, "older"))
			next := Core{Epoch: 2, Before: old.Seats, Seats: []Seat{old.Seats[0], old.Seats[1], d.seat}}
			for _, s := range []string{"a", "b"} {
				if r, err := link.Ask[SealTold](ctx, nodeTransport{c, "t"}, s, SealAsk{next}); err != nil || !r.OK {
					t.Fatal(r, err)
				}
			}
			pages := 0
			c.locked(func() {
				c.dropAsk = func(from, _ string, ask any) bool {
					if _, ok := ask.(MergedAsk); ok {
						pages++
					}
					return false
				}
			})
			from := []Seat{old.Seats[0], old.Seats[1]}
			if turn {
				from[0], from[1] = from[1], from[0]
			}
			if r, err := link.Ask[JoinTold](ctx, nodeTransport{c, "t"}, "d", JoinAsk{next, from}); err != nil || !r.OK || r.Items < len(all)+2 {
				t.Fatal(r, err)
			}
			if pages < 8 {
				t.Errorf("%d pages", pages)
			}
			for _, it := range append(all, x2, y2, testItem("own", 9, "kept")) {
				if h := d.itemOnDisk(it.Key); newer(it, h) || newer(h, it) {
					t.Errorf("%s: holds version %d", it.Name, h.Version)
				}
			}
			c.checkKept("after the join", append(all, x2, y2)...)
		})
	}
}
