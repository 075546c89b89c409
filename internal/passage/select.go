package passage

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"walkrudder/internal/registry"
)

const (
	// MaxProofAge and defaultSuspicion are common to all readers of the gateways' identity proofs.
	MaxProofAge      = registry.MaxProofAge
	defaultSuspicion = registry.SuspicionThreshold
	// maxSuspectedShare is the share of a service's targets that may be excluded for
	// suspicion at once; beyond it the least suspected stay eligible (design 10.5).
	maxSuspectedShare = 0.5
	// zonePenalty is how many times busier the local zone may be before another zone is
	// used; with a zone map, more distant zones get a higher penalty (design 18).
	zonePenalty = 2.0
)

// candidate is a target with its suspicion, read once per selection.
type candidate struct {
	target    *registry.Target
	suspicion float64
}

// selectTarget selects a target of a service. Eligible are targets that are proved, not
// leaving, not suspected, and have capacity for one more send to finish within remaining.
// Of three eligible targets drawn at random it takes the least loaded for its capacity,
// preferring the local zone. The suspicion of every target is read anew at each selection.
// It also returns the total concurrency limit of the targets, and whether capacity was all
// that was missing.
func (p *Pipeline) selectTarget(service string, limit float64, tried []*registry.Target, remaining time.Duration) (s *registry.Target, totalLimit float64, full bool) {
	now, gateways := p.Clock.Now(), p.Gateways()
	all := p.Targets.Targets(service)
	var eligible, suspected []candidate
	for _, s := range all {
		if s.Leaving.Load() || s.Gone.Load() || slices.Contains(tried, s) || p.Targets.ProofAge(s, now) >= MaxProofAge {
			continue
		}
		if w := s.Detector.Suspicion(now); w < limit {
			eligible = append(eligible, candidate{s, w})
		} else {
			suspected = append(suspected, candidate{s, w})
		}
	}
	// Many suspected targets at once point to this node or its network rather than to them.
	if n := len(all); len(suspected) > int(maxSuspectedShare*float64(n)) {
		slices.SortFunc(suspected, func(best, b candidate) int {
			if best.suspicion < b.suspicion {
				return -1
			}
			return 1
		})
		eligible = append(eligible, suspected[:len(suspected)-int(maxSuspectedShare*float64(n))]...)
	}
	free := eligible[:0]
	for _, c := range eligible {
		targetLimit := concurrencyLimit(c.target, remaining, gateways)
		totalLimit += targetLimit
		if float64(c.target.InFlight.Load()) < math.Max(1, targetLimit) {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return nil, totalLimit, len(eligible) > 0
	}
	eligible = free
	best := eligible[rand.IntN(len(eligible))]
	for range 2 {
		if b := eligible[rand.IntN(len(eligible))]; p.relativeLoad(b.target) < p.relativeLoad(best.target) {
			best = b
		}
	}
	return best.target, totalLimit, false
}

// relativeLoad is a target's load relative to its capacity; a target in another zone
// counts as busier.
func (p *Pipeline) relativeLoad(s *registry.Target) float64 {
	load := (float64(s.InFlight.Load()) + 1) / float64(max(1, s.Capacity.Load()))
	if s.Zone != p.Zone {
		load *= zonePenalty * p.ZoneMap.RelativeDistance(p.Zone, s.Zone)
	}
	return load
}
