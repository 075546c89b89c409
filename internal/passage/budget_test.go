package passage

import (
	"math/rand/v2"
	"testing"
	"time"
)

// However requests, resends, restarts and joins fall, all gateways together stay
// under a fifth plus seventy in every ten seconds.
func TestBudgetsTogetherKeepThePromise(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		n := 3 + r.IntN(6)
		gateways := func() int { return n + 1 }
		var bs []*Budget
		for range n {
			bs = append(bs, NewBudget(now.Add(-time.Hour), gateways))
		}
		type mark struct {
			at    time.Time
			extra bool
		}
		var all []mark
		given := 0
		for range 20000 {
			now = now.Add(time.Duration(r.IntN(6)) * time.Millisecond)
			i := r.IntN(n)
			switch x := r.IntN(1000); {
			case x == 0:
				// A restart: its predecessor may have spent its part a moment ago.
				bs[i] = NewBudget(now, gateways)
			case x < 400:
				bs[i].First(now)
				all = append(all, mark{now, false})
			default:
				if bs[i].Extra(now) {
					given++
					all = append(all, mark{now, true})
				}
			}
		}
		if given == 0 {
			t.Fatal("no extra send was ever given")
		}
		j, first, extra := 0, 0, 0
		for _, m := range all {
			if m.extra {
				extra++
			} else {
				first++
			}
			for ; m.at.Sub(all[j].at) > 10*time.Second; j++ {
				if all[j].extra {
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
