package passage

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"walkrudder/internal/registry"
)

const (
	// MaxProofAge bounds the age of the identity proof of a target that is selected.
	MaxProofAge = registry.MaxProofAge
	// defaultSuspicion is the suspicion level from which a target is not selected, unless its
	// service sets another.
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

// selectTarget selects a target of a service. Eligible are targets that have a recent identity
// proof, are neither leaving nor suspected, and have capacity for one more send to finish
// within remaining. Of three eligible targets drawn at random it selects the one with the
// least relativeLoad. The suspicion of every target is read anew at each selection. It also
// returns the total concurrency limit of the targets; atCapacity means that only capacity was
// missing.
func (p *Pipeline) selectTarget(service string, suspicionLimit float64, tried []*registry.Target, remaining time.Duration) (target *registry.Target, totalLimit float64, atCapacity bool) {
	now, gateways := p.Clock.Now(), p.Gateways()
	all := p.Targets.Targets(service)
	var eligible, suspected []candidate
	for _, t := range all {
		if t.Leaving.Load() || t.Gone.Load() || slices.Contains(tried, t) || p.Targets.ProofAge(t, now) >= MaxProofAge {
			continue
		}
		if suspicion := t.Detector.Suspicion(now); suspicion < suspicionLimit {
			eligible = append(eligible, candidate{t, suspicion})
		} else {
			suspected = append(suspected, candidate{t, suspicion})
		}
	}
	// Many suspected targets at once point to this node or its network rather than to them.
	if n := len(all); len(suspected) > int(maxSuspectedShare*float64(n)) {
		slices.SortFunc(suspected, func(a, b candidate) int {
			if a.suspicion < b.suspicion {
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

// relativeLoad returns a target's load relative to its capacity; a target in another zone
// counts as busier, so that the local zone is preferred.
func (p *Pipeline) relativeLoad(target *registry.Target) float64 {
	load := (float64(target.InFlight.Load()) + 1) / float64(max(1, target.Capacity.Load()))
	if target.Zone != p.Zone {
		load *= zonePenalty * p.ZoneMap.RelativeDistance(p.Zone, target.Zone)
	}
	return load
}
