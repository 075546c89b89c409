package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// subsetSize is how many targets of a service a gateway probes. Each costs it probes: if
	// every gateway probed all targets, the probes would grow with the square of the
	// deployment (design 12.4).
	subsetSize = 24
	// subsetGrace is how long a target that has just entered the subset is not judged.
	subsetGrace = 2 * time.Second
	// subsetSuspicion is the suspicion from which on another target is added to the subset.
	subsetSuspicion = SuspicionThreshold
)

// InSubset reports whether this gateway probes the target, and may choose it.
func (t *Target) InSubset() bool { return t.inSubset.Load() }

// chooseSubset picks the targets of one service that this gateway uses: all of them if they are
// few, else subsetSize healthy ones, up to half of them from its own zone. The order differs
// between gateways and hardly changes when targets come and go. Unhealthy targets stay in the
// subset in addition, for they may recover.
func (g *GatewayTable) chooseSubset(all []*Target) []*Target {
	if len(all) <= subsetSize {
		return all
	}
	rank := lo.SliceToMap(all, func(s *Target) (*Target, uint64) { return s, rendezvousScore(g.Self, s.Key()) })
	slices.SortFunc(all, func(a, b *Target) int { return cmp.Compare(rank[a], rank[b]) })
	own, rest := lo.FilterReject(all, func(s *Target, _ int) bool { return s.Zone == g.Zone })
	own, more := lo.Subset(own, 0, subsetSize/2), lo.Slice(own, subsetSize/2, len(own))
	rest = append(rest, more...)
	slices.SortFunc(rest, func(a, b *Target) int { return cmp.Compare(rank[a], rank[b]) })
	now := g.Clock.Now()
	var out []*Target
	healthy := 0
	for _, s := range append(own, rest...) {
		if healthy >= subsetSize || len(out) >= 3*subsetSize {
			break
		}
		out = append(out, s)
		leaving := s.Leaving.Load() || s.Gone.Load()
		suspected := s.InSubset() && now.Sub(s.subsetSince) > subsetGrace && s.Detector.Suspicion(now) >= subsetSuspicion
		if !leaving && !suspected {
			healthy++
		}
	}
	return out
}

// markSubset marks which targets are in the subset. Those that enter it are judged from now on.
func (g *GatewayTable) markSubset(subset map[*Target]bool) {
	now := g.Clock.Now()
	for _, s := range g.targets {
		switch {
		case subset[s] && !s.InSubset():
			s.subsetSince = now
			s.Detector.Restart(now)
			s.inSubset.Store(true)
		case !subset[s]:
			s.inSubset.Store(false)
		}
	}
}
