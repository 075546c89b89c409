package quorum

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// mostSeats bounds the seats of a core.
	mostSeats = 33
	// moreSeats is how many times the loss to be borne a core may have seats beyond the least number, where
	// that many bear a domain that the least number does not.
	moreSeats = 2
)

// Tolerance says what may be lost at once with its disks: so many machines, or zones, or
// regions (design 4.6).
type Tolerance struct {
	Machines int `json:"machines" validate:"min=0,max=16"`
	Zones    int `json:"zones" validate:"min=0,max=16"`
	Regions  int `json:"regions" validate:"min=0,max=16"`
}

// Exposure is by how many seats the worst loss that a tolerance allows exceeds what a core bears,
// for each kind of failure domain; all zero where the core bears each of them.
type Exposure struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Total is the sum over all kinds.
func (e Exposure) Total() int { return e.Machines + e.Zones + e.Regions }

// Within tells whether e is at most o for each kind.
func (e Exposure) Within(o Exposure) bool {
	return e.Machines <= o.Machines && e.Zones <= o.Zones && e.Regions <= o.Regions
}

// Expose judges a set of seats. A core of N seats goes on, and holds what was acknowledged, as long as
// a majority of its disks is left.
func (t Tolerance) Expose(seats []Seat) Exposure {
	bearable := len(seats) - Core{Seats: seats}.QuorumSize()
	excess := func(domains int, label func(Seat) string) int {
		return max(0, fullest(seats, domains, label)-bearable)
	}
	return Exposure{Machines: excess(t.Machines, machineOf), Zones: excess(t.Zones, zoneOf), Regions: excess(t.Regions, regionOf)}
}

// Most is how many machines may be lost at once, as far as that does not depend on where they stand.
func (t Tolerance) Most() int { return max(t.Machines, t.Zones, t.Regions) }

// Seats is the least odd number of seats that can bear each loss where machines with a disk stand in all
// of zones, a table of their regions. Where no number can, or the zones are not known, it is what bears the
// loss of as many machines.
func (t Tolerance) Seats(zones map[string]string) int {
	least := 2*t.Most() + 1
	for n := least; n <= min(mostSeats, least+moreSeats*t.Most()) && len(zones) > 0; n += 2 {
		if t.Attainable(zones, n).Total() == 0 {
			return n
		}
	}
	return least
}

// Attainable is the least exposure of n seats where machines with a disk stand in all of zones; none
// where the zones are not known.
func (t Tolerance) Attainable(zones map[string]string, n int) Exposure {
	if len(zones) == 0 {
		return Exposure{}
	}
	return t.Expose(t.Choose(everywhere(zones, n), n))
}

// everywhere lists n machines in each zone.
func everywhere(zones map[string]string, n int) (all []Seat) {
	for zone, region := range zones {
		for i := range n {
			all = append(all, Seat{ID: fmt.Sprintf("%s-%02d", zone, i), Zone: zone, Region: region})
		}
	}
	slices.SortFunc(all, byID)
	return all
}

func machineOf(s Seat) string { return s.ID }
func zoneOf(s Seat) string    { return s.Zone }
func regionOf(s Seat) string  { return s.Region }

func byID(a, b Seat) int { return cmp.Compare(a.ID, b.ID) }

// count counts seats by a label.
func count(seats []Seat, label func(Seat) string) map[string]int {
	n := make(map[string]int, len(seats))
	for _, s := range seats {
		n[label(s)]++
	}
	return n
}

// fullest is how many seats stand in the fullest domains of a kind together.
func fullest(seats []Seat, domains int, label func(Seat) string) (sum int) {
	if domains == 0 {
		return 0
	}
	var sizes []int
	for _, n := range count(seats, label) {
		sizes = append(sizes, n)
	}
	slices.Sort(sizes)
	slices.Reverse(sizes)
	for _, n := range sizes[:min(domains, len(sizes))] {
		sum += n
	}
	return sum
}
