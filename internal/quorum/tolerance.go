package quorum

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// maxSeats bounds the number of seats of a core: 2n+1 for n = 16, the largest loss that a Tolerance permits.
	maxSeats = 33
	// extraSeatsFactor bounds the number of seats beyond the minimum, as a multiple of MaxLoss. The
	// extra seats are used where they let the core survive the loss of a domain.
	extraSeatsFactor = 2
)

// Tolerance says how many machines, zones or regions may be lost at once together with their disks
// (design 4.6). The core must survive each kind of loss.
type Tolerance struct {
	Machines int `json:"machines" validate:"min=0,max=16"`
	Zones    int `json:"zones" validate:"min=0,max=16"`
	Regions  int `json:"regions" validate:"min=0,max=16"`
}

// Exposure is, for each kind of failure domain, the number of seats by which the worst loss within a
// tolerance exceeds what a core survives; all zero if the core survives each of them.
type Exposure struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Total returns the sum over all kinds.
func (e Exposure) Total() int { return e.Machines + e.Zones + e.Regions }

// AtMost reports whether e is at most o for each kind.
func (e Exposure) AtMost(o Exposure) bool {
	return e.Machines <= o.Machines && e.Zones <= o.Zones && e.Regions <= o.Regions
}

// ExposureOf computes the exposure of a set of seats. A core stays available, and keeps what was
// acknowledged, as long as a majority of its disks is left.
func (t Tolerance) ExposureOf(seats []Seat) Exposure {
	tolerated := len(seats) - Core{Seats: seats}.QuorumSize()
	excess := func(domains int, label func(Seat) string) int {
		return max(0, seatsInLargest(seats, domains, label)-tolerated)
	}
	return Exposure{Machines: excess(t.Machines, machineOf), Zones: excess(t.Zones, zoneOf), Regions: excess(t.Regions, regionOf)}
}

// MaxLoss returns the number of machines whose loss must be survived, whatever their domains.
func (t Tolerance) MaxLoss() int { return max(t.Machines, t.Zones, t.Regions) }

// MinSeats returns the least odd number of seats that can survive each loss if every zone has machines
// with a disk; zones maps each zone to its region. If no number can, or the zones are not known, it
// returns the number that survives the loss of MaxLoss machines.
func (t Tolerance) MinSeats(zones map[string]string) int {
	minimum := 2*t.MaxLoss() + 1
	for n := minimum; n <= min(maxSeats, minimum+extraSeatsFactor*t.MaxLoss()) && len(zones) > 0; n += 2 {
		if t.Attainable(zones, n).Total() == 0 {
			return n
		}
	}
	return minimum
}

// Attainable returns the lowest exposure of n seats if every zone has machines with a disk; zero
// if the zones are not known.
func (t Tolerance) Attainable(zones map[string]string, n int) Exposure {
	if len(zones) == 0 {
		return Exposure{}
	}
	return t.ExposureOf(t.Choose(seatsInAllZones(zones, n), n))
}

// seatsInAllZones lists n machines in each zone.
func seatsInAllZones(zones map[string]string, n int) (all []Seat) {
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

// countBy counts seats by a label.
func countBy(seats []Seat, label func(Seat) string) map[string]int {
	n := make(map[string]int, len(seats))
	for _, s := range seats {
		n[label(s)]++
	}
	return n
}

// seatsInLargest returns the number of seats in the given number of domains with the most seats.
func seatsInLargest(seats []Seat, domains int, label func(Seat) string) (sum int) {
	if domains == 0 {
		return 0
	}
	var sizes []int
	for _, n := range countBy(seats, label) {
		sizes = append(sizes, n)
	}
	slices.Sort(sizes)
	slices.Reverse(sizes)
	for _, n := range sizes[:min(domains, len(sizes))] {
		sum += n
	}
	return sum
}
