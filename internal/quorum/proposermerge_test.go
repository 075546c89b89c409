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
		c.set(func() {
			c.drop = func(_, to string, ask any) bool {
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
			all = append(all, thing(fmt.Sprint("k", i), 1, strings.Repeat("x", 100_000)))
		}
		all = append(all, thing("large", 1, strings.Repeat("x", MaxValueBytes)))
		c.merge("a", all...)
		time.Sleep(time.Second)
		if asks < 5 || asks > 8 || largest > MaxValueBytes {
			t.Errorf("%d asks, the largest of %d bytes", asks, largest)
		}
		c.kept("after all chunks", all...)
		asks = 0
		c.merge("a")
		if asks > 0 {
			t.Error("nothing was sent")
		}
	})
}

// A merge that meets a newer core goes there at once.
func TestMergeFollowsTheCore(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		d := c.boot("d", "", nil)
		old := c.node("a").p.Core()
		next := Core{Epoch: 2, Before: old.Seats, Seats: []Seat{old.Seats[0], old.Seats[1], d.seat}}
		for _, s := range []string{"a", "b"} {
			if r, err := link.Ask[SealTold](ctx, port{c, "t"}, s, SealAsk{next}); err != nil || !r.OK {
				t.Fatal(r, err)
			}
		}
		if r, err := link.Ask[JoinTold](ctx, port{c, "t"}, "d", JoinAsk{next, old.Seats[:2]}); err != nil || !r.OK {
			t.Fatal(r, err)
		}
		// c does not answer: the round must not wait for it.
		c.node("c").freeze(time.Minute)
		p := NewProposer("late", port{c, "t"}, ice{n: c.node("a")})
		p.Learn(old)
		at := time.Now()
		if err := p.Merge(ctx, []item.Item{thing("k", 1, "x")}); err != nil || time.Since(at) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(at))
		}
		if p.Core().Epoch != 2 || c.holders(thing("k", 1, "x")) < 2 {
			t.Errorf("epoch %d, %d hold it", p.Core().Epoch, c.holders(thing("k", 1, "x")))
		}
	})
}

func TestMergeEndsWithItsContext(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newThreeVoters(ctx, t)
		c.kill("b")
		c.kill("c")
		try := func(p *Proposer, want error) {
			cx, end := context.WithTimeout(ctx, 400*time.Millisecond)
			defer end()
			at := time.Now()
			err := p.Merge(cx, []item.Item{thing("k", 1, "x")})
			if !errors.Is(err, want) || !errors.Is(err, ErrNoQuorum) || time.Since(at) > 450*time.Millisecond {
				t.Errorf("%v after %v", err, time.Since(at))
			}
		}
		try(c.node("a").p, ErrNoQuorum)
		try(NewProposer("new", port{c, "t"}, ice{n: c.node("a")}), ErrNoCore)
	})
}
