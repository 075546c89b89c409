package passage

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In every window of ten seconds the extra sends of all gateways together must stay below
// a fifth of the requests plus seventy, for any order of requests, extra sends and restarts.
func TestBudgetsTogetherKeepThePromise(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		n := 3 + r.IntN(6)
		gateways := func() int { return n + 1 }
		var budgets []*Budget
		for range n {
			budgets = append(budgets, NewBudget(now.Add(-time.Hour), gateways))
		}
		type event struct {
			at    time.Time
			extra bool
		}
		var events []event
		granted := 0
		for range 20000 {
			now = now.Add(time.Duration(r.IntN(6)) * time.Millisecond)
			i := r.IntN(n)
			switch x := r.IntN(1000); {
			case x == 0:
				// A restart: the previous run may just have spent its share.
				budgets[i] = NewBudget(now, gateways)
			case x < 400:
				budgets[i].RecordFirst(now)
				events = append(events, event{now, false})
			default:
				if budgets[i].TakeExtra(now) {
					granted++
					events = append(events, event{now, true})
				}
			}
		}
		if granted == 0 {
			t.Fatal("no extra send was ever allowed")
		}
		oldest, first, extra := 0, 0, 0
		for _, m := range events {
			if m.extra {
				extra++
			} else {
				first++
			}
			for ; m.at.Sub(events[oldest].at) > 10*time.Second; oldest++ {
				if events[oldest].extra {
					extra--
				} else {
					first--
				}
			}
			if float64(extra) > 0.2*float64(first)+70 {
				t.Fatalf("seed %d: %d extra sends for %d requests in 10 s", seed, extra, first)
			}
		}
	}
}
