package proxy

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/route"
	"walkrudder/internal/spread"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

const (
	// maxSubset and minSubset bound the endpoints of a service that a node sends to, counted
	// separately for its own zone and for all other zones. Each endpoint costs health probes, and
	// fewer endpoints mean better connection reuse. minSubset applies while load is low.
	maxSubset, minSubset = 24, 12
	// subsetPerRequest is the number of endpoints wanted per request in flight. loadDecay is the
	// factor by which the remembered peak of requests in flight shrinks every probeTick.
	subsetPerRequest, loadDecay = 2, 0.95
	// newConnCost is added to the score of an endpoint without a usable idle connection: besides
	// the time to connect, a new connection may hold a slot at the target, and it is paid for.
	newConnCost = 150 * time.Millisecond
	// orderWeight is the weight of an endpoint's position in this node's own order, in requests
	// in flight. It makes nodes that know nothing of each other start with different endpoints.
	orderWeight = 0.5
	// inFlightWeight is the weight of a request in flight at an endpoint, in expected latencies.
	// It is above 1 because other nodes are likely to have requests there too, and targets slow
	// down when nearly full. It is low enough that with one request in flight a slot of the own
	// zone still beats one of another zone (sameRegionDistance).
	inFlightWeight = 1.9
)

// rebuildSubsets selects the endpoints that this node sends to, by zone and traffic class.
func (s *service) rebuildSubsets() {
	var local, remote, canaries []*endpoint
	for _, e := range s.endpoints {
		e.trafficClass = s.upgrade.versions.Class(e.run.Version)
		switch {
		case e.run.State != target.Ready || e.trafficClass == upgrade.NoTraffic:
			e.closeIdle()
			continue
		case e.trafficClass == upgrade.CanaryTraffic:
			canaries = append(canaries, e)
			continue
		}
		if e.sameZone {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	previous := s.subset
	s.subset = append(s.subsetOf(local), s.subsetOf(remote)...)
	s.canaries = s.upgrade.canarySubset(canaries)
	for _, e := range previous {
		// An endpoint that was outside the subset was not probed meanwhile.
		e.probed = e.probed && slices.Contains(s.subset, e)
	}
}

// subsetOf orders the candidates by this node's own order and returns the first subsetSize.
func (s *service) subsetOf(candidates []*endpoint) []*endpoint {
	slices.SortFunc(candidates, func(a, b *endpoint) int { return cmp.Compare(a.run.ID, b.run.ID) })
	ids := make([]string, len(candidates))
	for i, e := range candidates {
		ids[i] = e.run.ID
	}
	subset := make([]*endpoint, 0, min(len(candidates), s.subsetSize))
	for i, index := range spread.Rank(s.node.settings.ID, ids) {
		if i == s.subsetSize {
			break
		}
		candidates[index].rank = float64(i) / float64(min(len(candidates), s.subsetSize))
		subset = append(subset, candidates[index])
	}
	return subset
}

// resizeSubset adapts the subset size to the number of requests in flight: it grows at once and
// shrinks slowly, by at least a quarter at a time, except for the last step down to minSubset.
func (s *service) resizeSubset() {
	s.recentPeak = max(loadDecay*s.recentPeak, float64(s.limit.inFlight))
	slots := 0
	for _, e := range s.endpoints {
		if e.available() && e.trafficClass != upgrade.CanaryTraffic {
			slots += e.slots()
		}
	}
	s.limit.share = float64(slots) / float64(max(1, s.node.gateways.Load()))
	size := min(maxSubset, max(minSubset, int(subsetPerRequest*s.recentPeak+1)))
	if size > s.subsetSize || size <= s.subsetSize*3/4 || size == minSubset && size < s.subsetSize {
		s.subsetSize = size
		s.rebuildSubsets()
	}
}

// ejections returns the endpoints that must not be chosen now: at most half of all, because a
// fault on this node is more likely when more fail at once; beyond that the least suspected stay
// in use. If more than half would be ejected or are on probation, passive health is ignored: then
// the whole service is in that state.
func (s *service) ejections(now time.Time) []ejectionCandidate {
	ejected := s.ejectionScratch[:0]
	available := 0
	for _, e := range s.subset {
		if !e.available() {
			continue
		}
		available++
		e.overEjectionCap, e.ignorePassive = false, false
		active := e.activeSuspicion(now)
		if passive := e.passiveSuspicion(now); max(active, passive) >= suspicionThreshold || e.onProbation() {
			ejected = append(ejected, ejectionCandidate{e, active, passive})
		}
	}
	s.ejectionScratch = ejected
	ignorePassive := 2*len(ejected) > available
	ejected = slices.DeleteFunc(ejected, func(j ejectionCandidate) bool {
		j.e.ignorePassive = ignorePassive
		return j.active < suspicionThreshold && (ignorePassive || j.passive < suspicionThreshold)
	})
	if !ignorePassive {
		for i, j := range ejected {
			ejected[i].active = max(j.active, j.passive)
		}
	}
	if maxEjected := available / 2; len(ejected) > maxEjected {
		slices.SortStableFunc(ejected, func(a, b ejectionCandidate) int { return cmp.Compare(b.active, a.active) })
		for _, j := range ejected[maxEjected:] {
			j.e.overEjectionCap = true
		}
		ejected = ejected[:maxEjected]
	}
	return ejected
}

// pick chooses an endpoint for a request. Endpoints in the own zone with a slot that this node
// has not filled come first; among equals, the lowest expected latency wins. known reports
// whether any endpoint might take the request at all.
func (s *service) pick(now time.Time, x *exchange) (best *endpoint, known bool) {
	if !s.limit.allows() {
		return nil, true
	}
	if e := s.pickCanary(now, x); e != nil {
		return e, true
	}
	ejected := s.ejections(now)
	bestTier, bestScore := 0, 0.0
	for _, e := range s.subset {
		if !e.available() || x.atMostOnce && e.onProbation() || x.hasTried(e) || slices.ContainsFunc(ejected, func(j ejectionCandidate) bool { return j.e == e }) {
			continue
		}
		known = true
		tier := e.tier(now, x)
		if tier < 0 {
			continue
		}
		score := (1 + inFlightWeight*float64(len(e.inFlight)) + orderWeight*e.rank) * float64(e.expectedLatency(now)) * e.zoneFactor
		if !e.hasIdleConn(now, x.atMostOnce) {
			score += float64(newConnCost)
		}
		if best == nil || tier < bestTier || tier == bestTier && score < bestScore {
			best, bestTier, bestScore = e, tier, score
		}
	}
	return best, known
}

// tier ranks an endpoint for a request, lower being better; -1 means that it has no capacity.
// Traffic between zones is expensive, most of all for downloads, so downloads fill the own zone
// first. For other requests the zones of a region count as one, and distance only adds to the
// expected latency (zoneFactor): otherwise a zone that lost a third of its targets would be
// full beside one that is half empty.
func (e *endpoint) tier(now time.Time, x *exchange) int {
	slots := e.slots()
	level := 0
	switch {
	case e.headroom(now, slots) > 0:
	case e.headroom(now, slots+1) > 0:
		level = 1
	case !x.atMostOnce && e.headroom(now, 2*slots) > 0:
		level = 2
	default:
		return -1
	}
	order := [2][3]int{{2, 3, 5}, {0, 1, 4}}
	if x.kind == route.Download {
		order = [2][3]int{{3, 4, 5}, {0, 1, 2}}
	}
	if e.sameZone || x.kind != route.Download && e.zoneFactor <= sameRegionDistance {
		return order[1][level]
	}
	return order[0][level]
}
