package quorum

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
)

func TestMergeIsSentInChunks(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		asks, largest := 0, 0
		c.withLock(func() {
			c.dropAsk = func(_, to string, ask any) bool {
				if a, ok := ask.(MergeAsk); ok && to == "b" {
					n := 0
					for _, it := range a.Items {
						n += len(it.Body)
					}
					asks, largest = asks+1, max(largest, n)
				}
				return false
			}
		})
		var all []item.Item
		for i := range 50 {
			all = append(all, testItem(fmt.Sprint("k", i), 1, strings.Repeat("x", 100_000)))
		}
		all = append(all, testItem("large", 1, strings.Repeat("x", MaxValueBytes)))
		c.merge("a", all...)
		time.Sleep(time.Second)
		if asks < 5 || asks > 8 || largest > MaxValueBytes {
			t.Errorf("%d asks, the largest of %d bytes", asks, largest)
		}
		c.checkItemsKept("after all chunks", all...)
		asks = 0
		c.merge("a")
		if asks > 0 {
			t.Error("a merge of no items sent requests")
		}
	})
}

// A merge that meets a newer core retries there at once.
func TestMergeFollowsTheCore(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		d := c.boot("d", "", nil)
		old := c.node("a").proposer.Core()
		next := Core{Epoch: 2, Before: old.Seats, Seats: []Seat{old.Seats[0], old.Seats[1], d.seat}}
		for _, s := range []string{"a", "b"} {
			if r, err := link.Call[SealTold](ctx, nodeTransport{c, "t"}, s, SealAsk{next}); err != nil || !r.OK {
				t.Fatal(r, err)
			}
		}
		if r, err := link.Call[JoinTold](ctx, nodeTransport{c, "t"}, "d", JoinAsk{next, old.Seats[:2]}); err != nil || !r.OK {
			t.Fatal(r, err)
		}
		// c does not answer: the merge must not wait for it.
		c.node("c").freeze(time.Minute)
		p := NewProposer("late", nodeTransport{c, "t"}, freezableClock{node: c.node("a")})
		p.Learn(old)
		start := time.Now()
		if err := p.Merge(ctx, []item.Item{testItem("k", 1, "x")}); err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		if p.Core().Epoch != 2 || c.countHolders(testItem("k", 1, "x")) < 2 {
			t.Errorf("epoch %d, %d hold it", p.Core().Epoch, c.countHolders(testItem("k", 1, "x")))
		}
	})
}

func TestMergeEndsWithItsContext(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		c.kill("b")
		c.kill("c")
		try := func(p *Proposer, want error) {
			shortCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
			defer cancel()
			start := time.Now()
			err := p.Merge(shortCtx, []item.Item{testItem("k", 1, "x")})
			if !errors.Is(err, want) || !errors.Is(err, ErrNoQuorum) || time.Since(start) > 450*time.Millisecond {
				t.Errorf("%v after %v", err, time.Since(start))
			}
		}
		try(c.node("a").proposer, ErrNoQuorum)
		try(NewProposer("new", nodeTransport{c, "t"}, freezableClock{node: c.node("a")}), ErrNoCore)
	})
}
