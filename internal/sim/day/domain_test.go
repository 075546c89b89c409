package day

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against the loss of a zone or region losing configuration or interrupting service for more than a moment.
func TestDomainDays(t *testing.T) {
	domains := map[string]struct {
		length   time.Duration
		served   float64
		scenario Scenario
	}{
		"a domain lost with its disks":          {40 * sec, .7, Parallel(LoseDomain(true, 3*sec), ApplyChanges(8, sec), ReadConfiguration(30, sec))},
		"one after the other":                   {50 * sec, .6, Parallel(LoseDomainsInTurn(6*sec), ApplyChanges(12, sec), ConflictingVersions(6), ReadConfiguration(35, sec))},
		"one down beside the disks of another":  {50 * sec, .3, Parallel(LoseDomainWhileAnotherDown(5*sec), ApplyChanges(12, sec), ReadConfiguration(35, sec))},
		"disks of a domain lost and all killed": {45 * sec, .4, Parallel(ApplyChanges(4, sec), StartAt(15*sec, FailAllMachines(DisksLostAllKilled, 3*sec)))},
		"disks of a domain lost, all dark":      {45 * sec, .4, Parallel(ConflictingVersions(6), StartAt(15*sec, FailAllMachines(DisksLostAllLosePower, 3*sec)))},
	}
	for kind, deployment := range map[string]Deployment{"zones": ZoneTolerantDeployment(), "regions": RegionTolerantDeployment()} {
		for i, name := range slices.Sorted(maps.Keys(domains)) {
			if raceEnabled && i%3 != 0 {
				continue
			}
			d := domains[name]
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				runAndCheck(t, 1, deployment, d.length, d.served, StartAt(3*sec, d.scenario))
			})
		}
	}
}
