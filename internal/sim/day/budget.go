package day

import (
	"fmt"
	"slices"
	"time"
)

// Budget: in every window a service gets no more arrivals beyond the first of each
// request than a part of its requests and some slack.
func Budget(r *Record) (out []Breach) {
	by := copies(r)
	asked, more := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, q := range r.Requests {
		var to []string
		for _, c := range by[q.Route] {
			if c.valid {
				to = append(to, c.services...)
			}
		}
		slices.Sort(to)
		for _, s := range slices.Compact(to) {
			asked[s] = append(asked[s], q.Sent)
		}
	}
	for _, as := range arrivalsOf(r) {
		slices.SortFunc(as, func(a, b *Arrival) int { return int(a.At - b.At) })
		for _, a := range as[min(1, len(as)):] {
			more[a.Service] = append(more[a.Service], a.At)
		}
	}
	w := r.Bounds.BudgetWindow
	for s, extra := range more {
		slices.Sort(extra)
		all := asked[s]
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
			owed := max(count(from), count(from-w), count(from-w/2))
			if most := r.Bounds.BudgetRatio*float64(owed) + float64(r.Bounds.BudgetSlack); float64(n) > most {
				out = append(out, Breach{"BUDGET", from, fmt.Sprintf("%s got %d more arrivals in %v, %.1f allowed for %d requests", s, n, w, most, owed)})
				break
			}
		}
	}
	return out
}
