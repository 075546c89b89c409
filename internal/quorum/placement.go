package quorum

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// placementScore rates a set of seats; a lower score is better. Exposure is compared first.
type placementScore struct {
	exposure Exposure
	// The concentrations are the sums of the squares of the seat counts per domain, lowest for an even
	// spread. They guide the search when no single move lowers the exposure.
	regionConcentration, zoneConcentration int
}

func (t Tolerance) scorePlacement(seats []Seat) placementScore {
	p := placementScore{exposure: t.ExposureOf(seats)}
	if t.Regions > 0 {
		p.regionConcentration = sumOfSquares(countBy(seats, regionOf))
	}
	if t.Zones > 0 {
		p.zoneConcentration = sumOfSquares(countBy(seats, zoneOf))
	}
	return p
}

func sumOfSquares(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n * n
	}
	return sum
}

// compare orders scores, the better one first.
func (p placementScore) compare(o placementScore) int {
	return cmp.Or(cmp.Compare(p.exposure.Total(), o.exposure.Total()), cmp.Compare(p.regionConcentration+p.zoneConcentration, o.regionConcentration+o.zoneConcentration))
}

// seatMove transfers a seat from one machine to another.
type seatMove struct{ from, to Seat }

// apply returns the seats after the move.
func (m seatMove) apply(seats []Seat) []Seat {
	next := slices.Clone(seats)
	for i, s := range next {
		if s.ID == m.from.ID {
			next[i] = m.to
		}
	}
	return next
}

// bestMove finds the move from a seat to a spare machine that yields the best score, if one
// improves on the present score without raising the exposure to any kind of loss.
func (t Tolerance) bestMove(seats, spare []Seat) (best seatMove, found bool) {
	present := t.scorePlacement(seats)
	bestScore := present
	for _, out := range seats {
		for _, in := range spare {
			m := seatMove{out, in}
			if p := t.scorePlacement(m.apply(seats)); p.compare(bestScore) < 0 && p.exposure.AtMost(present.exposure) {
				best, bestScore, found = m, p, true
			}
		}
	}
	return best, found
}

// Replacement picks the spare machine that takes over the seat of out. No exposure may exceed that of the present
// seats, since the disk of out may come back. Among equal candidates it prefers the domains with the fewest of the
// other seats.
func (t Tolerance) Replacement(seats []Seat, out Seat, spares []Seat) (Seat, bool) {
	present := t.ExposureOf(seats)
	after := func(in Seat) Exposure { return t.ExposureOf(seatMove{out, in}.apply(seats)) }
	candidates := lo.Filter(spares, func(in Seat, _ int) bool { return after(in).AtMost(present) })
	if len(candidates) == 0 {
		return Seat{}, false
	}
	labels := []func(Seat) string{zoneOf}
	if t.Regions > 0 {
		labels = []func(Seat) string{regionOf, zoneOf}
	}
	remaining := excluding(seats, []Seat{out})
	return slices.MinFunc(candidates, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(after(a).Total(), after(b).Total()), compareOccupancy(remaining, a, b, labels))
	}), true
}

// chooseAdditional picks n spare machines for additional seats, or none if there are fewer than n.
func (t Tolerance) chooseAdditional(seats, spares []Seat, n int) (added []Seat) {
	if len(spares) < n {
		return nil
	}
	for range n {
		all := slices.Concat(seats, added)
		best := slices.MinFunc(excluding(spares, added), func(a, b Seat) int {
			return cmp.Or(t.scorePlacement(append(slices.Clone(all), a)).compare(t.scorePlacement(append(slices.Clone(all), b))), compareOccupancy(all, a, b, []func(Seat) string{zoneOf}))
		})
		added = append(added, best)
	}
	return added
}

// Choose picks n of all machines so that the core satisfies the tolerance, as far as
// these machines allow.
func (t Tolerance) Choose(all []Seat, n int) []Seat {
	chosen := t.optimize(pickSpread(all, n, zoneOf), all)
	if t.Regions > 0 {
		if o := t.optimize(pickSpread(all, n, regionOf, zoneOf), all); t.scorePlacement(o).compare(t.scorePlacement(chosen)) < 0 {
			chosen = o
		}
	}
	slices.SortFunc(chosen, byID)
	return chosen
}

// optimize moves seats until the exposure is zero or no move improves the score.
func (t Tolerance) optimize(seats, all []Seat) []Seat {
	for t.ExposureOf(seats).Total() > 0 {
		m, found := t.bestMove(seats, excluding(all, seats))
		if !found {
			break
		}
		seats = m.apply(seats)
	}
	return seats
}

// excluding returns the machines of all that have none of the seats.
func excluding(all, seats []Seat) (remaining []Seat) {
	for _, s := range all {
		if !slices.ContainsFunc(seats, func(o Seat) bool { return o.ID == s.ID }) {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// pickSpread picks n machines one by one, each from the domain with the fewest machines picked so far, by the first
// label and then by the following ones.
func pickSpread(all []Seat, n int, labels ...func(Seat) string) (picked []Seat) {
	rest := slices.Clone(all)
	for len(picked) < n && len(rest) > 0 {
		best := slices.MinFunc(rest, func(a, b Seat) int { return compareOccupancy(picked, a, b, labels) })
		picked = append(picked, best)
		rest = excluding(rest, []Seat{best})
	}
	return picked
}

// compareOccupancy compares two machines by the number of seats in their domains, then by their IDs.
func compareOccupancy(seats []Seat, a, b Seat, labels []func(Seat) string) int {
	for _, label := range labels {
		n := countBy(seats, label)
		if c := cmp.Compare(n[label(a)], n[label(b)]); c != 0 {
			return c
		}
	}
	return byID(a, b)
}

// UpdateDomains returns the seats with the domains that their machines report now: a node may have moved, and a core
// formed by an older release has no regions. A seat without report and region gets the region reported for its zone.
func UpdateDomains(seats []Seat, contacts []DiskContact) []Seat {
	out := slices.Clone(seats)
	for i := range out {
		out[i] = updateDomains(out[i], contacts)
	}
	return out
}

func updateDomains(s Seat, contacts []DiskContact) Seat {
	for _, h := range contacts {
		if h.Seat.ID == s.ID {
			s.Zone, s.Region = h.Seat.Zone, cmp.Or(h.Seat.Region, s.Region)
			return s
		}
	}
	for _, h := range contacts {
		if s.Region == "" && h.Seat.Zone == s.Zone {
			s.Region = h.Seat.Region
		}
	}
	return s
}
