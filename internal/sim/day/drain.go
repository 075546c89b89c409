package day

import (
	"fmt"
	"slices"
)

// CheckDrain checks that nothing is sent to a target later than Bounds.Drain after its departure was
// acknowledged.
func CheckDrain(r *Record) (out []Violation) {
	contacts := newContactHistory(r)
	firstAcked := map[string]*Departure{}
	for _, l := range r.Departures {
		if o := firstAcked[l.Run]; l.Acknowledged && contacts.inContact(l.AckedBy, l.AckedAt, l.AckedAt) && (o == nil || l.AckedAt < o.AckedAt) {
			firstAcked[l.Run] = l
		}
	}
	for _, a := range r.Arrivals {
		l := firstAcked[a.Run]
		if l == nil || a.Misdirected || a.ArrivedAt <= l.AckedAt+r.Bounds.Drain || !contacts.inContact(a.Machine, a.ArrivedAt, a.ArrivedAt) {
			continue
		}
		if slices.ContainsFunc(r.TargetPathFaults[a.Run], func(s *FaultSpan) bool { return s.From <= a.ArrivedAt && a.ArrivedAt-r.Bounds.Contact <= s.To }) {
			continue
		}
		out = append(out, Violation{"DRAIN", a.ArrivedAt, fmt.Sprintf("%s sent %s to %s, %v after %s acknowledged its departure (state %d) at %v", a.Machine, a.ID, a.Run, a.ArrivedAt-l.AckedAt, l.AckedBy, l.State, l.AckedAt)})
	}
	return out
}
