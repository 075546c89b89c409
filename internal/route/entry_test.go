package route

import (
	"math"
	"math/rand/v2"
	"testing"
)

func newTestEntry(weights ...float64) *Entry {
	r := Route{}
	for i, w := range weights {
		r.Shares = append(r.Shares, Share{string(rune('a' + i)), w})
	}
	return newEntry(r, func(s string) int { return int(s[0]-'a') + 10 })
}

func TestPickFollowsTheWeights(t *testing.T) {
	const draws = 100_000
	rng := rand.New(rand.NewPCG(1, 2))
	for _, weights := range [][]float64{
		{1}, {0}, {90, 10}, {1, 1, 1}, {0, 1}, {1, 0}, {0, 3, 0, 1, 0},
		{math.MaxFloat64, math.MaxFloat64}, {math.SmallestNonzeroFloat64, math.SmallestNonzeroFloat64},
	} {
		e := newTestEntry(weights...)
		count := make([]int, len(weights))
		for range draws {
			count[e.Pick(rng.Uint64())-10]++
		}
		maxWeight, sum := 0.0, 0.0
		for _, w := range weights {
			maxWeight = max(maxWeight, w)
		}
		for _, w := range weights {
			sum += w / maxWeight
		}
		for i, w := range weights {
			p := w / maxWeight / sum
			if len(weights) == 1 {
				p = 1
			}
			dev := 5 * math.Sqrt(draws*p*(1-p))
			if math.Abs(float64(count[i])-draws*p) > dev {
				t.Errorf("weights %v: service %d was selected %d of %d times", weights, i, count[i], draws)
			}
		}
	}
}

// A service with weight 0 must not be selected at the ends of the range either.
func TestPickAtTheEnds(t *testing.T) {
	e := newTestEntry(0, 1, 1, 0)
	for u, want := range map[uint64]int{0: 11, math.MaxUint64: 12, 1<<63 - 1: 11, 1<<63 + 1: 12} {
		if got := e.Pick(u); got != want {
			t.Errorf("%x selects service %d, want %d", u, got, want)
		}
	}
	if e.Services[0] != 10 || len(e.Services) != 4 {
		t.Errorf("services %v", e.Services)
	}
}
