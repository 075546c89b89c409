package day

import (
	"slices"
	"time"
)

// touch answers whether machines were in touch. It excuses a little more than the rules
// do: a trouble of a machine counts from its beginning to its end, and core machines that
// are cut off count as troubled, whoever they could still reach.
type touch struct {
	r  *Record
	by map[string][]*Span
	// core are the moments at which the core was unsettled, and lost the times in which
	// no majority of it was well.
	core []time.Duration
	lost []*Span
}

func newTouch(r *Record) *touch {
	t := &touch{r: r, by: map[string][]*Span{}}
	var all []*Span
	for _, s := range r.Spans {
		t.by[s.Machine] = append(t.by[s.Machine], s)
		if slices.Contains(r.Core, s.Machine) {
			all = append(all, s)
			t.core = append(t.core, s.From, s.To)
			if s.Kind == Slow {
				t.lost = append(t.lost, s)
			}
		}
	}
	for _, s := range all {
		// A majority can only be lost when some trouble begins.
		bad := map[string]bool{}
		end := time.Duration(0)
		for _, x := range all {
			if x.From <= s.From && s.From < x.To {
				bad[x.Machine] = true
			}
			end = max(end, x.To)
		}
		if 2*(len(r.Core)-len(bad)) <= len(r.Core) {
			t.lost = append(t.lost, &Span{From: s.From, To: t.regained(all, s.From, end)})
		}
	}
	slices.Sort(t.core)
	return t
}

// regained is when a majority is well again.
func (t *touch) regained(all []*Span, from, end time.Duration) time.Duration {
	at := end
	for _, s := range all {
		if s.To <= from || s.To >= at {
			continue
		}
		bad := map[string]bool{}
		for _, x := range all {
			if x.From <= s.To && s.To < x.To {
				bad[x.Machine] = true
			}
		}
		if 2*(len(t.r.Core)-len(bad)) > len(t.r.Core) {
			at = s.To
		}
	}
	return at
}

// settled tells whether the core was settled in all of a time.
func (t *touch) settled(from, to time.Duration) bool {
	from -= t.r.Bounds.Contact
	i, _ := slices.BinarySearch(t.core, from)
	if i < len(t.core) && t.core[i] <= to {
		return false
	}
	return !t.lacking(from, to)
}

// lacking tells whether no majority of the core was well at some moment of a time, or
// one of it was slowed.
func (t *touch) lacking(from, to time.Duration) bool {
	return slices.ContainsFunc(t.lost, func(s *Span) bool { return s.From <= to && from <= s.To })
}

// calm tells whether the machine itself had no trouble in a time and contact before it.
func (t *touch) calm(machine string, from, to time.Duration) bool {
	from -= t.r.Bounds.Contact
	return !slices.ContainsFunc(t.by[machine], func(s *Span) bool { return s.From <= to && from <= s.To })
}

// in tells whether a machine was in touch in all of a time.
func (t *touch) in(machine string, from, to time.Duration) bool {
	return t.calm(machine, from, to) && t.settled(from, to)
}
