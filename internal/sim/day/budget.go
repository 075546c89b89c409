package day

import (
	"fmt"
	"slices"
	"time"
)

// CheckBudget checks that in every window the arrivals at a service beyond the first of each request stay
// within a share of its requests plus a fixed slack.
func CheckBudget(r *Record) (out []Violation) {
	versions := sentVersions(r)
	requests, extras := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, q := range r.Requests {
		var to []string
		for _, c := range versions[q.Route] {
			if c.valid {
				to = append(to, c.services...)
			}
		}
		slices.Sort(to)
		for _, s := range slices.Compact(to) {
			requests[s] = append(requests[s], q.Sent)
		}
	}
	for _, as := range arrivalsByRequest(r) {
		slices.SortFunc(as, func(a, b *Arrival) int { return int(a.ArrivedAt - b.ArrivedAt) })
		for _, a := range as[min(1, len(as)):] {
			extras[a.Service] = append(extras[a.Service], a.ArrivedAt)
		}
	}
	w := r.Bounds.BudgetWindow
	for s, extra := range extras {
		slices.Sort(extra)
		all := requests[s]
		slices.Sort(all)
		count := func(from time.Duration) int {
			i, _ := slices.BinarySearch(all, from)
			j, _ := slices.BinarySearch(all, from+w)
			return j - i
		}
		for i := range extra {
			from := extra[i]
			j, _ := slices.BinarySearch(extra, from+w)
			n := j - i
			requestCount := max(count(from), count(from-w), count(from-w/2))
			if allowed := r.Bounds.BudgetRatio*float64(requestCount) + float64(r.Bounds.BudgetSlack); float64(n) > allowed {
				out = append(out, Violation{"BUDGET", from, fmt.Sprintf("%s received %d extra arrivals in %v, %.1f allowed for %d requests", s, n, w, allowed, requestCount)})
				break
			}
		}
	}
	return out
}
