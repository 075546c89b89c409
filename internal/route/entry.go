package route

import "math"

// Entry is a route as the request path reads it: its services are dense indices, as
// names become indices at the door (design 8.5). It is never written to again.
type Entry struct {
	Route
	// Services are the indices of the services of Shares, in their order.
	Services []int
	// upTo holds for each share the last number that falls to it; a share without
	// weight has none. It is empty where one service has all.
	upTo []bound
}

type bound struct {
	last    uint64
	service int
}

// newEntry compiles a route; index yields a service's index.
func newEntry(r Route, index func(service string) int) *Entry {
	e := &Entry{Route: r, Services: make([]int, len(r.Shares))}
	for i, s := range r.Shares {
		e.Services[i] = index(s.Service)
	}
	if len(r.Shares) < 2 {
		return e
	}
	// The largest weight becomes 1, for a sum of very large ones is not finite.
	top := 0.0
	for _, s := range r.Shares {
		top = max(top, s.Weight)
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight / top
	}
	cum := 0.0
	for i, s := range r.Shares {
		if !(s.Weight > 0) {
			continue
		}
		cum += s.Weight / top
		last := uint64(math.MaxUint64)
		if f := cum / sum * (1 << 64); f < 1<<64 {
			last = uint64(f)
		}
		e.upTo = append(e.upTo, bound{last, e.Services[i]})
	}
	if n := len(e.upTo); n > 0 {
		e.upTo[n-1].last = math.MaxUint64
	}
	return e
}

// Pick returns the index of the service that an evenly drawn number falls to, by the
// weights. An entry in a table has one service at least.
func (e *Entry) Pick(u uint64) int {
	for _, b := range e.upTo {
		if u <= b.last {
			return b.service
		}
	}
	return e.Services[0]
}
