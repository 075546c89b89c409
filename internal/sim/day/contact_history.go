package day

import (
	"slices"
	"time"
)

// contactHistory reports when machines were in contact with a stable core. It excuses slightly more than
// the rules do: a fault of a machine counts from its beginning to its end, and core machines that
// are partitioned count as faulty even if they can still reach some others.
type contactHistory struct {
	record    *Record
	byMachine map[string][]*FaultSpan
	// unstableAt are the times at which faults of core machines began or ended, and majorityLost the spans in
	// which no majority of the core was healthy or a core machine was slow.
	unstableAt   []time.Duration
	majorityLost []*FaultSpan
}

func newContactHistory(r *Record) *contactHistory {
	t := &contactHistory{record: r, byMachine: map[string][]*FaultSpan{}}
	var all []*FaultSpan
	for _, s := range r.Faults {
		t.byMachine[s.Machine] = append(t.byMachine[s.Machine], s)
		if slices.Contains(r.CoreMachines, s.Machine) {
			all = append(all, s)
			t.unstableAt = append(t.unstableAt, s.From, s.To)
			if s.Kind == Slow {
				t.majorityLost = append(t.majorityLost, s)
			}
		}
	}
	for _, s := range all {
		// A majority can only be lost at the beginning of a fault.
		faulty := map[string]bool{}
		end := time.Duration(0)
		for _, x := range all {
			if x.From <= s.From && s.From < x.To {
				faulty[x.Machine] = true
			}
			end = max(end, x.To)
		}
		if 2*(len(r.CoreMachines)-len(faulty)) <= len(r.CoreMachines) {
			t.majorityLost = append(t.majorityLost, &FaultSpan{From: s.From, To: t.majorityRegainedAt(all, s.From, end)})
		}
	}
	slices.Sort(t.unstableAt)
	return t
}

// majorityRegainedAt returns when a majority is healthy again.
func (t *contactHistory) majorityRegainedAt(all []*FaultSpan, from, end time.Duration) time.Duration {
	at := end
	for _, s := range all {
		if s.To <= from || s.To >= at {
			continue
		}
		faulty := map[string]bool{}
		for _, x := range all {
			if x.From <= s.To && s.To < x.To {
				faulty[x.Machine] = true
			}
		}
		if 2*(len(t.record.CoreMachines)-len(faulty)) > len(t.record.CoreMachines) {
			at = s.To
		}
	}
	return at
}

// coreStable reports whether the core was stable for a whole span of time.
func (t *contactHistory) coreStable(from, to time.Duration) bool {
	from -= t.record.Bounds.Contact
	i, _ := slices.BinarySearch(t.unstableAt, from)
	if i < len(t.unstableAt) && t.unstableAt[i] <= to {
		return false
	}
	return !t.majorityLostDuring(from, to)
}

// majorityLostDuring reports whether at some time in a span no majority of the core was healthy, or
// a core machine was slow.
func (t *contactHistory) majorityLostDuring(from, to time.Duration) bool {
	return slices.ContainsFunc(t.majorityLost, func(s *FaultSpan) bool { return s.From <= to && from <= s.To })
}

// machineHealthy reports whether the machine itself had no fault in a span and for Bounds.Contact before it.
func (t *contactHistory) machineHealthy(machine string, from, to time.Duration) bool {
	from -= t.record.Bounds.Contact
	return !slices.ContainsFunc(t.byMachine[machine], func(s *FaultSpan) bool { return s.From <= to && from <= s.To })
}

// inContact reports whether a machine was in contact with a stable core for a whole span of time.
func (t *contactHistory) inContact(machine string, from, to time.Duration) bool {
	return t.machineHealthy(machine, from, to) && t.coreStable(from, to)
}
