package route

import "math"

// Entry is the compiled form of a route for the request path: it refers to its services by dense
// indices, since names are translated to indices when they enter the process (design 8.5). It is
// immutable.
type Entry struct {
	Route
	// Services are the indices of the services of Shares, in their order.
	Services []int
	// bounds holds, for each share with a weight above 0, the largest number that selects it. It is
	// empty if one service gets all requests.
	bounds []shareBound
}

type shareBound struct {
	last    uint64 // largest number that selects the service
	service int    // index of the service
}

// newEntry compiles a route; index returns the index of a service.
func newEntry(r Route, index func(service string) int) *Entry {
	e := &Entry{Route: r, Services: make([]int, len(r.Shares))}
	for i, s := range r.Shares {
		e.Services[i] = index(s.Service)
	}
	if len(r.Shares) < 2 {
		return e
	}
	// Weights are scaled by the largest one, since the sum of very large weights is not finite.
	maxWeight := 0.0
	for _, s := range r.Shares {
		maxWeight = max(maxWeight, s.Weight)
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight / maxWeight
	}
	cum := 0.0
	for i, s := range r.Shares {
		if !(s.Weight > 0) {
			continue
		}
		cum += s.Weight / maxWeight
		last := uint64(math.MaxUint64)
		if f := cum / sum * (1 << 64); f < 1<<64 {
			last = uint64(f)
		}
		e.bounds = append(e.bounds, shareBound{last, e.Services[i]})
	}
	if n := len(e.bounds); n > 0 {
		e.bounds[n-1].last = math.MaxUint64
	}
	return e
}

// Pick returns the index of the service that the uniformly distributed number u selects, by
// weight. An entry in a table has at least one service.
func (e *Entry) Pick(u uint64) int {
	for _, b := range e.bounds {
		if u <= b.last {
			return b.service
		}
	}
	return e.Services[0]
}
