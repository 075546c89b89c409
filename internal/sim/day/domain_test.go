package day

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against the loss of a zone or a region taking the configuration, or more than a moment of service, with it.
func TestDomainDays(t *testing.T) {
	domains := map[string]struct {
		length time.Duration
		served float64
		what   Trouble
	}{
		"a domain lost with its disks":          {40 * s, .7, Together(DomainLost(true, 3*s), Changes(8, s), Reads(30, s))},
		"one after the other":                   {50 * s, .6, Together(DomainsLostInTurn(6*s), Changes(12, s), RaceOneVersion(6), Reads(35, s))},
		"one down beside the disks of another":  {50 * s, .3, Together(DomainDownBesideDisks(5*s), Changes(12, s), Reads(35, s))},
		"disks of a domain lost and all killed": {45 * s, .4, Together(Changes(4, s), At(15*s, Closes(DisksLost, 3*s)))},
		"disks of a domain lost, all dark":      {45 * s, .4, Together(RaceOneVersion(6), At(15*s, Closes(DisksAndPower, 3*s)))},
	}
	for kind, shape := range map[string]Shape{"zones": Zoned(), "regions": Regional()} {
		for i, name := range slices.Sorted(maps.Keys(domains)) {
			if raced && i%3 != 0 {
				continue
			}
			d := domains[name]
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				play(t, 1, shape, d.length, d.served, At(3*s, d.what))
			})
		}
	}
}
