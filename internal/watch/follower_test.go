package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/item"
)

// A follower's cursor is the one that its last request sent, not the one of the answer.
func TestFollowersStandWhereTheyAskedFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPublisher()
		b.Replica.MergeItems([]item.Item{testItem("x", 1), testItem("y", 1)})
		r := b.ask(t, WatchAsk{Me: testGateway, Sums: make([]uint64, sumsLen)})
		f := b.Followers()
		if len(f) != 1 || f[0].ID != "f" || f[0].Seen != (Cursor{}) || f[0].Age != 0 || b.Replica.Cursor().Items != 2 {
			t.Errorf("%+v", f)
		}
		b.ask(t, WatchAsk{Me: Member{ID: "f", Inc: 1}, Inc: 5, Seen: r.Seen, Wait: time.Second})
		if f := b.Followers(); f[0].Seen.Items != 2 || f[0].Age != time.Second || f[0].Zone != "z" || f[0].Gone() {
			t.Errorf("%+v", f)
		}
		// A cursor for another incarnation does not apply to this one.
		b.ask(t, WatchAsk{Me: testGateway, Inc: 4, Seen: Cursor{Items: 1}, Sums: make([]uint64, sumsLen)})
		if f := b.Followers(); f[0].Seen.Items != 0 {
			t.Errorf("%+v", f)
		}
		time.Sleep(gatewayTimeout)
		if f := b.Followers(); !f[0].Gone() || b.PollCount() != 3 {
			t.Errorf("%+v after %d requests", f, b.PollCount())
		}
	})
}
