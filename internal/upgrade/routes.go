package upgrade

import (
	"cmp"
	"slices"
)

// RouteEvidence is the state of the comparison on one route.
type RouteEvidence struct {
	Route    string  `json:"route"`
	Old      Tally   `json:"old"`
	New      Tally   `json:"new"`
	Evidence float64 `json:"evidence"` // against the new version, which is degraded when it reaches Enough
	Enough   float64 `json:"enough"`
}

// Routes returns the routes with answers, by name.
func (a *Analyzer) Routes() []RouteEvidence {
	out := make([]RouteEvidence, 0, len(a.routes))
	for name, r := range a.routes {
		out = append(out, RouteEvidence{Route: name, Old: r.old, New: r.new, Evidence: max(r.badSum, r.failureSum), Enough: alarmThreshold})
	}
	slices.SortFunc(out, func(a, b RouteEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return out
}
