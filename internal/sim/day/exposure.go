package day

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"walkrudder/internal/upgrade"
)

// badResponseLimit is the number of bad responses of a version after which the rollback time starts.
const badResponseLimit = 50

// CheckExposure checks that a bad version receives at most its share of the requests, and none once the rollback time after its bad responses has passed.
func CheckExposure(r *Record) (out []Violation) {
	contacts := newContactHistory(r)
	for _, o := range r.Upgrades {
		if o.Bad {
			out = append(out, exposureViolations(r, contacts, o)...)
		}
	}
	return out
}

func exposureViolations(r *Record, contacts *contactHistory, o *UpgradeOrder) (out []Violation) {
	total, received := 0, 0
	var bad []time.Duration
	var sent []*Arrival
	for _, a := range r.Arrivals {
		if a.Service != o.Service || a.ArrivedAt < o.Sent || a.Misdirected {
			continue
		}
		inTerm := a.ArrivedAt < o.Sent+o.Term
		if inTerm {
			total++
		}
		if a.Version != o.Version {
			continue
		}
		if a.Status >= 500 || a.FinishedAt-a.StartedAt > time.Second {
			bad = append(bad, a.FinishedAt)
		}
		if !contacts.inContact(a.Machine, a.ArrivedAt, a.ArrivedAt) {
			continue
		}
		sent = append(sent, a)
		if inTerm {
			received++
		}
	}
	if allowed := r.Bounds.ExposureShare*float64(total) + float64(r.Bounds.ExposureSlack); float64(received) > allowed {
		out = append(out, Violation{"EXPOSURE", o.Sent, fmt.Sprintf("%s of %s received %d of %d requests, %.0f allowed", o.Version, o.Service, received, total, allowed)})
	}
	slices.Sort(bad)
	for _, a := range sent {
		if at, reached := contacts.badLimitReached(bad, a.ArrivedAt); reached && a.ArrivedAt > at+r.Bounds.Rollback {
			out = append(out, Violation{"EXPOSURE", a.ArrivedAt, fmt.Sprintf("%s sent %s to %s of %s, whose bad response number %d was at %v", a.Machine, a.ID, o.Version, o.Service, badResponseLimit, at)})
		}
	}
	return out
}

// badLimitReached returns when the number of bad responses reached badResponseLimit. Only those since the core was last unstable before
// the given time count.
func (t *contactHistory) badLimitReached(bad []time.Duration, before time.Duration) (at time.Duration, reached bool) {
	from := time.Duration(0)
	for _, x := range t.unstableAt {
		if x <= before {
			from = max(from, x)
		}
	}
	i, _ := slices.BinarySearch(bad, from)
	if i+badResponseLimit > len(bad) {
		return 0, false
	}
	return bad[i+badResponseLimit-1], true
}

// CheckUpgradeHistory checks that the reported state of an upgrade never goes back, and that an acknowledged upgrade is never lost.
func CheckUpgradeHistory(r *Record) (out []Violation) {
	type reading struct {
		UpgradeRead
		order *UpgradeOrder
	}
	var readings []reading
	for _, o := range r.Upgrades {
		for _, x := range o.Reads {
			readings = append(readings, reading{x, o})
		}
	}
	slices.SortFunc(readings, func(a, b reading) int { return cmp.Compare(a.From, b.From) })
	for i, b := range readings {
		if b.order.Acknowledged && b.Phase == 0 {
			out = append(out, Violation{"UPGRADE", b.From, fmt.Sprintf("the upgrade of %s to %s was acknowledged at %v and is unknown", b.order.Service, b.order.Version, b.order.Acked)})
		}
		for _, a := range readings[:i] {
			if a.order.Service == b.order.Service && a.Version == b.Version && a.To < b.From && isInvalidTransition(a.Phase, b.Phase) {
				out = append(out, Violation{"UPGRADE", b.From, fmt.Sprintf("the upgrade of %s to %s was reported as %s at %v, and later as %s", b.order.Service, b.Version, a.Phase, a.To, b.Phase)})
				break
			}
		}
	}
	return out
}

// isInvalidTransition reports whether a phase can't follow another.
func isInvalidTransition(was, is upgrade.Phase) bool {
	ended := was == upgrade.Completed || was == upgrade.Reverted
	return ended && is != was || is < was
}
