package day

import (
	"fmt"
	"slices"
)

// Drain: nothing is sent to a target that said that it leaves, from a bound after the
// acknowledgement on.
func Drain(r *Record) (out []Breach) {
	t := newTouch(r)
	first := map[string]*Leaving{}
	for _, l := range r.Leavings {
		if o := first[l.Run]; l.Acknowledged && t.in(l.By, l.Acked, l.Acked) && (o == nil || l.Acked < o.Acked) {
			first[l.Run] = l
		}
	}
	for _, a := range r.Arrivals {
		l := first[a.Run]
		if l == nil || a.Misdirected || a.At <= l.Acked+r.Bounds.Drain || !t.in(a.Machine, a.At, a.At) {
			continue
		}
		if slices.ContainsFunc(r.Harmed[a.Run], func(s *Span) bool { return s.From <= a.At && a.At-r.Bounds.Contact <= s.To }) {
			continue
		}
		out = append(out, Breach{"DRAIN", a.At, fmt.Sprintf("%s sent %s to %s, %v after %s acknowledged its leaving (state %d) at %v", a.Machine, a.ID, a.Run, a.At-l.Acked, l.By, l.State, l.Acked)})
	}
	return out
}
