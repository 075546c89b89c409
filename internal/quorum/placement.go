package quorum

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// placement is how good a set of seats is: the less the better, in this order.
type placement struct {
	exposure Exposure
	// regions and zones are the sums of the squares of the seats in each: least where they are spread
	// evenly. They lead on where one move alone does not lower the exposure.
	regions, zones int
}

func (t Tolerance) place(seats []Seat) placement {
	p := placement{exposure: t.Expose(seats)}
	if t.Regions > 0 {
		p.regions = squares(count(seats, regionOf))
	}
	if t.Zones > 0 {
		p.zones = squares(count(seats, zoneOf))
	}
	return p
}

func squares(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n * n
	}
	return sum
}

// compare orders placements.
func (p placement) compare(o placement) int {
	return cmp.Or(cmp.Compare(p.exposure.Total(), o.exposure.Total()), cmp.Compare(p.regions+p.zones, o.regions+o.zones))
}

// move is a seat that passes on.
type move struct{ out, in Seat }

// apply yields the seats after the move.
func (m move) apply(seats []Seat) []Seat {
	next := slices.Clone(seats)
	for i, s := range next {
		if s.ID == m.out.ID {
			next[i] = m.in
		}
	}
	return next
}

// improve finds the move from seats to a machine of spare that makes the placement best, if one makes
// it better and raises the exposure to no kind of loss.
func (t Tolerance) improve(seats, spare []Seat) (best move, found bool) {
	now := t.place(seats)
	least := now
	for _, out := range seats {
		for _, in := range spare {
			m := move{out, in}
			if p := t.place(m.apply(seats)); p.compare(least) < 0 && p.exposure.Within(now.exposure) {
				best, least, found = m, p, true
			}
		}
	}
	return best, found
}

// StandBy picks the machine that is to have the seat of out: one of spares with which the core bears no less
// than with out, whose disk may come back. Where several do, it stands where the fewest of the other seats do.
func (t Tolerance) StandBy(seats []Seat, out Seat, spares []Seat) (Seat, bool) {
	now := t.Expose(seats)
	after := func(in Seat) Exposure { return t.Expose(move{out, in}.apply(seats)) }
	fit := lo.Filter(spares, func(in Seat, _ int) bool { return after(in).Within(now) })
	if len(fit) == 0 {
		return Seat{}, false
	}
	labels := []func(Seat) string{zoneOf}
	if t.Regions > 0 {
		labels = []func(Seat) string{regionOf, zoneOf}
	}
	stay := without(seats, []Seat{out})
	return slices.MinFunc(fit, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(after(a).Total(), after(b).Total()), fewer(stay, a, b, labels))
	}), true
}

// add picks n machines of spares to have seats beside those given, or none where there are fewer.
func (t Tolerance) add(seats, spares []Seat, n int) (added []Seat) {
	if len(spares) < n {
		return nil
	}
	for range n {
		all := slices.Concat(seats, added)
		best := slices.MinFunc(without(spares, added), func(a, b Seat) int {
			return cmp.Or(t.place(append(slices.Clone(all), a)).compare(t.place(append(slices.Clone(all), b))), fewer(all, a, b, []func(Seat) string{zoneOf}))
		})
		added = append(added, best)
	}
	return added
}

// Choose takes n of all machines so that the core bears what the tolerance asks, as far as
// these machines allow.
func (t Tolerance) Choose(all []Seat, n int) []Seat {
	out := t.improved(fill(all, n, zoneOf), all)
	if t.Regions > 0 {
		if o := t.improved(fill(all, n, regionOf, zoneOf), all); t.place(o).compare(t.place(out)) < 0 {
			out = o
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// improved moves seats for as long as that makes the placement better.
func (t Tolerance) improved(seats, all []Seat) []Seat {
	for t.Expose(seats).Total() > 0 {
		m, found := t.improve(seats, without(all, seats))
		if !found {
			break
		}
		seats = m.apply(seats)
	}
	return seats
}

// without lists those of all that have none of the seats.
func without(all, seats []Seat) (rest []Seat) {
	for _, s := range all {
		if !slices.ContainsFunc(seats, func(o Seat) bool { return o.ID == s.ID }) {
			rest = append(rest, s)
		}
	}
	return rest
}

// fill takes n machines one by one, each from a domain that has the fewest of those taken: by the first
// label, then by the next.
func fill(all []Seat, n int, labels ...func(Seat) string) (out []Seat) {
	rest := slices.Clone(all)
	for len(out) < n && len(rest) > 0 {
		best := slices.MinFunc(rest, func(a, b Seat) int { return fewer(out, a, b, labels) })
		out = append(out, best)
		rest = without(rest, []Seat{best})
	}
	return out
}

// fewer compares two machines by how many of the seats stand in their domains, then by their IDs.
func fewer(seats []Seat, a, b Seat, labels []func(Seat) string) int {
	for _, label := range labels {
		n := count(seats, label)
		if c := cmp.Compare(n[label(a)], n[label(b)]); c != 0 {
			return c
		}
	}
	return byID(a, b)
}

// Located is seats where their machines say that they stand: a node may have moved, and a core that an
// older release formed has no regions. A seat that was not heard is taken to be in the region of its zone.
func Located(seats []Seat, heard []Heard) []Seat {
	out := slices.Clone(seats)
	for i := range out {
		out[i] = located(out[i], heard)
	}
	return out
}

func located(s Seat, heard []Heard) Seat {
	for _, h := range heard {
		if h.Seat.ID == s.ID {
			s.Zone, s.Region = h.Seat.Zone, cmp.Or(h.Seat.Region, s.Region)
			return s
		}
	}
	for _, h := range heard {
		if s.Region == "" && h.Seat.Zone == s.Zone {
			s.Region = h.Seat.Region
		}
	}
	return s
}
