package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// randomLayout returns a random tolerance and machines with a disk: uneven zones, uneven regions, zones without disks.
func randomLayout(r *rand.Rand) (t Tolerance, all []Seat) {
	t = Tolerance{Machines: r.IntN(3), Zones: r.IntN(3), Regions: r.IntN(2)}
	zones := 1 + r.IntN(6)
	regions := 1 + r.IntN(4)
	for z := range zones {
		region := fmt.Sprintf("r%d", r.IntN(regions))
		for range r.IntN(4) {
			all = append(all, Seat{ID: fmt.Sprintf("m%02d", len(all)), Zone: fmt.Sprintf("z%d", z), Region: region})
		}
	}
	return t, all
}

// bestExposure returns the lowest exposure over all choices of n machines.
func (t Tolerance) bestExposure(all, chosen []Seat, n int) int {
	if n == 0 {
		return t.ExposureOf(chosen).Total()
	}
	best := maxSeats * maxSeats
	for i := 0; i+n <= len(all); i++ {
		best = min(best, t.bestExposure(all[i+1:], append(chosen, all[i]), n-1))
	}
	return best
}

// The seats chosen for a first core have the lowest exposure that the machines allow. Guards against a choice that put
// two seats in one region, where they were lost at once together with the configuration.
func TestChosenSeatsBearWhatTheMachinesAllow(t *testing.T) {
	tried := 0
	for seed := range uint64(4000) {
		r := rand.New(rand.NewPCG(seed, 34))
		tolerance, all := randomLayout(r)
		n := min(tolerance.MinSeats(nil), len(all))
		if n == 0 || len(all) > 12 {
			continue
		}
		tried++
		got := tolerance.Choose(all, n)
		if len(got) != n {
			t.Fatalf("seed %d: %d seats chosen, want %d", seed, len(got), n)
		}
		if e, want := tolerance.ExposureOf(got).Total(), tolerance.bestExposure(all, nil, n); e != want {
			t.Errorf("seed %d: %+v of %v: chosen %v exposed by %d, the best choice by %d", seed, tolerance, all, got, e, want)
		}
	}
	t.Logf("%d layouts", tried)
}

// From any seats, single moves lead to the lowest exposure that the machines allow; no move raises the exposure to any
// kind of loss, and the moves come to an end.
func TestSeatsAreMovedUntilTheCoreBearsWhatTheMachinesAllow(t *testing.T) {
	maxMoves := 0
	for seed := range uint64(4000) {
		r := rand.New(rand.NewPCG(seed, 35))
		tolerance, all := randomLayout(r)
		n := min(tolerance.MinSeats(nil), len(all))
		if n == 0 || len(all) > 12 {
			continue
		}
		seats := make([]Seat, n)
		for i, k := range r.Perm(len(all))[:n] {
			seats[i] = all[k]
		}
		moves := 0
		for tolerance.ExposureOf(seats).Total() > 0 {
			m, found := tolerance.bestMove(seats, excluding(all, seats))
			if !found {
				break
			}
			if next := m.apply(seats); tolerance.ExposureOf(next).AtMost(tolerance.ExposureOf(seats)) {
				seats = next
			} else {
				t.Fatalf("seed %d: the move %v exposes more", seed, m)
			}
			if moves++; moves > n {
				t.Fatalf("seed %d: %d moves of %d seats", seed, moves, n)
			}
		}
		maxMoves = max(maxMoves, moves)
		if e, want := tolerance.ExposureOf(seats).Total(), tolerance.bestExposure(all, nil, n); e != want {
			t.Errorf("seed %d: %+v of %v: exposed by %d, the best choice by %d", seed, tolerance, all, e, want)
		}
	}
	t.Logf("%d moves at most", maxMoves)
}

// The number of seats is the least that survives the required losses, and the minimum if no number does.
func TestSeatsOfATolerance(t *testing.T) {
	zones := func(regions ...int) map[string]string {
		out := map[string]string{}
		for r, n := range regions {
			for z := range n {
				out[fmt.Sprintf("z%d-%d", r, z)] = fmt.Sprint("r", r)
			}
		}
		return out
	}
	for _, x := range []struct {
		tolerance Tolerance
		zones     map[string]string
		want      int
		survives  bool
	}{
		{Tolerance{}, zones(3), 1, true},
		{Tolerance{Machines: 2}, nil, 5, true},
		{Tolerance{Machines: 1, Zones: 1}, zones(3), 3, true},
		{Tolerance{Zones: 1}, zones(2), 3, false},
		{Tolerance{Machines: 3, Zones: 2}, zones(5), 9, true},
		{Tolerance{Regions: 1}, zones(3, 3), 3, false},
		{Tolerance{Regions: 1}, zones(4, 1, 1), 3, true},
		{Tolerance{Regions: 1}, zones(20, 20), 3, false},
		{Tolerance{Machines: 16}, zones(3, 3), maxSeats, true},
	} {
		got := x.tolerance.MinSeats(x.zones)
		if survives := x.tolerance.Attainable(x.zones, got).Total() == 0; got != x.want || survives != x.survives {
			t.Errorf("%+v in %d zones: %d seats that survive it: %v, want %d, %v", x.tolerance, len(x.zones), got, survives, x.want, x.survives)
		}
	}
}
