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

// newThreeVoters starts a core of three voters without reconfigurers.
func newThreeVoters(ctx context.Context, t *testing.T) *cluster {
	c := newCluster(ctx, t)
	for _, id := range []string{"a", "b", "c"} {
		c.boot(id, "", nil)
	}
	c.formCore("a", "b", "c")
	return c
}

func TestMergesFromTwoProposersEndAlike(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		var wg sync.WaitGroup
		for i, by := range []string{"a", "b"} {
			wg.Go(func() {
				for k := range 30 {
					// Every third name gets two contents of one version. The other names get
					// two versions, and the proposers alternate in having the higher one.
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
				if o := c.node(id).itemOnDisk(key); supersedes(a, o) || supersedes(o, a) || a.Version == 0 {
					t.Errorf("%s: a holds %v, %s %v", key.Name, a, id, o)
				}
			}
			if k%3 > 0 && a.Version != 6 {
				t.Errorf("%s ended at version %d, want 6", key.Name, a.Version)
			}
		}
		c.checkItemsKept("at the end")
	})
}

func TestEqualVersionOfTwoContents(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		x, y := testItem("k", 3, "one"), testItem("k", 3, "two")
		if x.Compare(y) > 0 {
			x, y = y, x
		}
		p := c.node("a").proposer
		if superseded, err := p.MergeReportingSuperseded(ctx, []item.Item{x}); err != nil || len(superseded) > 0 {
			t.Fatal(superseded, err)
		}
		if superseded, err := p.MergeReportingSuperseded(ctx, []item.Item{x}); err != nil || len(superseded) > 0 {
			t.Error("merging the same item again:", superseded, err)
		}
		if superseded, err := p.MergeReportingSuperseded(ctx, []item.Item{testItem("else", 1, ""), y}); err != nil || len(superseded) > 0 {
			t.Error("merging the content that takes precedence:", superseded, err)
		}
		if superseded, err := p.MergeReportingSuperseded(ctx, []item.Item{testItem("else", 1, ""), x}); err != nil || len(superseded) != 1 || superseded[0] != x.Key {
			t.Error("merging the content that does not take precedence:", superseded, err)
		}
		time.Sleep(time.Second)
		for id, n := range c.runningNodes() {
			if h := n.itemOnDisk(x.Key); string(h.Body) != string(y.Body) {
				t.Errorf("%s holds %s", id, h.Body)
			}
		}
	})
}

func TestOlderCopyChangesNothing(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		c.merge("a", testItem("k", 9, "new"), item.Item{Key: item.Key{Kind: item.Route, Name: "gone"}, Version: 9, Gone: true})
		time.Sleep(time.Second)
		for _, n := range c.runningNodes() {
			n.mu.Lock()
			clear(n.merged)
			n.mu.Unlock()
		}
		superseded, err := c.node("b").proposer.MergeReportingSuperseded(ctx, []item.Item{testItem("k", 8, "old"), testItem("gone", 8, "old")})
		if err != nil || len(superseded) != 2 {
			t.Error(superseded, err)
		}
		time.Sleep(time.Second)
		for id, n := range c.runningNodes() {
			n.mu.Lock()
			if len(n.merged) > 0 {
				t.Errorf("OnMerge of %s was called with %v", id, n.merged)
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
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		n := c.node("a")
		notified := 0
		if err := n.voter.do(ctx, func() {
			n.voter.OnMerge = func(its []item.Item) {
				notified += len(its)
				for _, it := range its {
					if h := n.itemOnDisk(it.Key); h.Version != it.Version {
						t.Errorf("OnMerge was called with %v, the disk holds %v", it, h)
					}
				}
			}
		}); err != nil {
			t.Fatal(err)
		}
		merge := func(it item.Item) error {
			before := notified
			r, err := link.Call[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{Mark{1, n.seat.Disk}, []item.Item{it}})
			if err == nil && (!r.OK || notified != before+1) {
				t.Errorf("answered %+v after OnMerge was called with %d items", r, notified-before)
			}
			return err
		}
		if err := merge(testItem("k", 1, "x")); err != nil {
			t.Fatal(err)
		}
		n.memDisk.setFailing(true)
		if err := merge(testItem("k", 2, "y")); !errors.Is(err, ErrDiskFailed) || notified != 1 {
			t.Errorf("merge on a failed disk: %v; OnMerge was called with %d items", err, notified)
		}
		n.memDisk.setFailing(false)
		if err := merge(testItem("k", 3, "z")); !errors.Is(err, ErrDiskFailed) {
			t.Errorf("merge after a failed sync: %v", err)
		}
		// The other two voters form a majority.
		c.merge("b", testItem("k", 4, "w"))
		c.node("c").memDisk.setFailing(true)
		mergeCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if err := c.node("b").proposer.Merge(mergeCtx, []item.Item{testItem("k", 5, "v")}); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("merge with one working disk of three: %v", err)
		}
	})
}

func TestMergeIsForOneEpochAndDisk(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		for name, m := range map[string]Mark{"another disk": {1, "other"}, "no disk": {1, ""}, "another epoch": {2, c.node("a").seat.Disk}} {
			r, err := link.Call[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{m, []item.Item{testItem("k", 1, "x")}})
			if err != nil || r.OK || c.node("a").itemOnDisk(item.Key{Kind: item.Route, Name: "k"}).Version > 0 {
				t.Errorf("%s: %+v %v", name, r, err)
			}
		}
	})
}

// Keyed registers and merge items never appear in each other's place, whatever their names.
func TestRegistersAndMergeItemsStayApart(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		p := c.node("a").proposer
		it := testItem("x", 4, "merged")
		c.merge("a", it)
		if _, err := p.Change(ctx, mergeDiskKey(it.Key), func(v []byte) ([]byte, error) {
			if v != nil {
				t.Errorf("the register of a merge item's disk key holds %q", v)
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
		}); err != nil || strings.Join(keys, ",") != mergeDiskKey(it.Key)+"=register" {
			t.Error(keys, err)
		}
		// A merge item that one voter lacks is not a register to repair.
		c.withLock(func() { c.dropAsk = func(_, to string, ask any) bool { _, m := ask.(MergeAsk); return m && to == "c" } })
		c.merge("a", testItem("y", 1, "b"))
		time.Sleep(2 * time.Second)
		c.withLock(func() { c.dropAsk = nil })
		if n, err := p.RepairCopies(ctx); n != 0 || err != nil {
			t.Errorf("the repair changed %d registers, %v", n, err)
		}
		for _, id := range []string{"a", "b", "c"} {
			m := c.kill(id)
			n := c.boot(id, "", m)
			if h := n.itemOnDisk(it.Key); string(h.Body) != "merged" || len(n.voter.LoadedMergeItems()) == 0 {
				t.Errorf("%s holds %v after a restart, loaded %v", id, h, n.voter.LoadedMergeItems())
			}
		}
		q := c.node("b").proposer
		q.Learn(c.core())
		if v, err := q.Read(ctx, mergeDiskKey(it.Key)); string(v) != "register" || err != nil {
			t.Errorf("the register after a restart holds %q, %v", v, err)
		}
	})
}

func TestMergeIsBounded(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		p := c.node("a").proposer
		for name, it := range map[string]item.Item{
			"name": testItem(strings.Repeat("n", maxMergeNameBytes+1), 1, ""),
			"body": {Key: item.Key{Kind: item.Route, Name: "k"}, Version: 1, Body: make([]byte, MaxValueBytes+1)},
		} {
			if err := p.Merge(ctx, []item.Item{it}); err == nil {
				t.Errorf("a %s above the limit was accepted", name)
			}
			if _, err := link.Call[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{Mark{1, c.node("a").seat.Disk}, []item.Item{it}}); err == nil {
				t.Errorf("a voter accepted a %s above the limit", name)
			}
		}
		v := c.node("a").voter
		if err := v.do(ctx, func() {
			for i := len(v.mergeItems); i < maxMergeItems-1; i++ {
				v.mergeItems[item.Key{Kind: item.Service, Name: fmt.Sprint(i)}] = item.Item{}
			}
		}); err != nil {
			t.Fatal(err)
		}
		merge := func(its ...item.Item) error {
			_, err := link.Call[MergeTold](ctx, nodeTransport{c, "t"}, "a", MergeAsk{Mark{1, c.node("a").seat.Disk}, its})
			return err
		}
		if err := merge(testItem("last", 1, "")); err != nil {
			t.Error("the last item below the limit was refused:", err)
		}
		if err := merge(testItem("more", 1, "")); err == nil {
			t.Error("the number of merge items exceeded its limit")
		}
		if err := merge(testItem("last", 2, "")); err != nil {
			t.Error("a newer version of an item was refused at the limit:", err)
		}
	})
}

// A joining voter takes the newest copy that any sealed voter holds, over all pages, and keeps its
// own copy if that is newer.
func TestJoinerTakesTheNewestOfAllPages(t *testing.T) {
	for _, reversed := range []bool{false, true} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newThreeVoters(ctx, t)
			old := c.core()
			mergeAt := func(id string, its ...item.Item) {
				if r, err := link.Call[MergeTold](ctx, nodeTransport{c, "t"}, id, MergeAsk{Mark{1, c.node(id).seat.Disk}, its}); err != nil || !r.OK {
					t.Fatal(r, err)
				}
			}
			var all []item.Item
			for i := range 30 {
				all = append(all, testItem(fmt.Sprint("large", i), 1, strings.Repeat("x", 300_000)))
			}
			c.merge("a", all...)
			x1, x2, y1, y2 := testItem("x", 1, "old"), testItem("x", 2, "new"), testItem("y", 1, "old"), testItem("y", 2, "new")
			mergeAt("a", x2, y1)
			mergeAt("b", x1, y2)
			d := c.boot("d", "", nil)
			if err := d.voter.do(ctx, func() {
				d.voter.applyMergeItem(testItem("own", 9, "kept"))
				d.voter.applyMergeItem(testItem("x", 1, "old"))
			}); err != nil {
				t.Fatal(err)
			}
			mergeAt("a", testItem("own", 8, "older"))
			next := Core{Epoch: 2, Before: old.Seats, Seats: []Seat{old.Seats[0], old.Seats[1], d.seat}}
			for _, s := range []string{"a", "b"} {
				if r, err := link.Call[SealTold](ctx, nodeTransport{c, "t"}, s, SealAsk{next}); err != nil || !r.OK {
					t.Fatal(r, err)
				}
			}
			pages := 0
			c.withLock(func() {
				c.dropAsk = func(from, _ string, ask any) bool {
					if _, ok := ask.(MergedAsk); ok {
						pages++
					}
					return false
				}
			})
			from := []Seat{old.Seats[0], old.Seats[1]}
			if reversed {
				from[0], from[1] = from[1], from[0]
			}
			if r, err := link.Call[JoinTold](ctx, nodeTransport{c, "t"}, "d", JoinAsk{next, from}); err != nil || !r.OK || r.Items < len(all)+2 {
				t.Fatal(r, err)
			}
			if pages < 8 {
				t.Errorf("%d pages", pages)
			}
			for _, it := range append(all, x2, y2, testItem("own", 9, "kept")) {
				if h := d.itemOnDisk(it.Key); supersedes(it, h) || supersedes(h, it) {
					t.Errorf("%s: d holds version %d", it.Name, h.Version)
				}
			}
			c.checkItemsKept("after the join", append(all, x2, y2)...)
		})
	}
}
