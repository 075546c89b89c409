package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/item"
)

// A follower stands where its last ask said that it was, not where the answer to it leads.
func TestFollowersStandWhereTheyAskedFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.Board.MergeItems([]item.Item{thing("x", 1), thing("y", 1)})
		r := b.ask(t, WatchAsk{Me: asking, Sums: make([]uint64, sumsLen)})
		f := b.Followers()
		if len(f) != 1 || f[0].ID != "f" || f[0].Seen != (Cursor{}) || f[0].Age != 0 || b.Board.End().Items != 2 {
			t.Errorf("%+v", f)
		}
		b.ask(t, WatchAsk{Me: Member{ID: "f", Inc: 1}, Inc: 5, Seen: r.Seen, Wait: time.Second})
		if f := b.Followers(); f[0].Seen.Items != 2 || f[0].Age != time.Second || f[0].Zone != "z" || f[0].Gone() {
			t.Errorf("%+v", f)
		}
		// A place of another life says nothing of this one.
		b.ask(t, WatchAsk{Me: asking, Inc: 4, Seen: Cursor{Items: 1}, Sums: make([]uint64, sumsLen)})
		if f := b.Followers(); f[0].Seen.Items != 0 {
			t.Errorf("%+v", f)
		}
		time.Sleep(gatewayGone)
		if f := b.Followers(); !f[0].Gone() || b.Asks() != 3 {
			t.Errorf("%+v after %d asks", f, b.Asks())
		}
	})
}
