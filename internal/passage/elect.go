package passage

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"walkrudder/internal/registry"
)

const (
	// Fresh and suspectAt are what all who read the gateways' proofs go by.
	Fresh     = registry.MaxProofAge
	suspectAt = registry.SuspicionThreshold
	// suspectCap is the share of a service's targets that may be passed over for
	// suspicion together; beyond it the least suspected stay in (design 10.5).
	suspectCap = 0.5
	// farther is how much busier the own zone may be before the next one is used;
	// where there is a map, those beyond count as farther still (design 18).
	farther = 2.0
)

// candidate is a target with what the choice reads of it, taken once.
type candidate struct {
	s *registry.Target
	w float64
}

// elect chooses a target for a service at this instant: proved, not leaving, not
// suspected, with room for one more that is to be done within left; of three drawn at
// random the least busy for its capacity, the own zone first. Suspicion is read fresh
// for every target at every choice. It tells also how much room the targets have in
// all, and whether there was one but for its room.
func (p *Passage) elect(service string, limit float64, tried []*registry.Target, left time.Duration) (s *registry.Target, rooms float64, full bool) {
	now, gateways := p.Clock.Now(), p.Gateways()
	all := p.Roster.Targets(service)
	var ok, bad []candidate
	for _, s := range all {
		if s.Leaving.Load() || s.Gone.Load() || slices.Contains(tried, s) || p.Roster.ProofAge(s, now) >= Fresh {
			continue
		}
		if w := s.Detector.Suspicion(now); w < limit {
			ok = append(ok, candidate{s, w})
		} else {
			bad = append(bad, candidate{s, w})
		}
	}
	// Many suspected at once says more of this node or its network than of them.
	if n := len(all); len(bad) > int(suspectCap*float64(n)) {
		slices.SortFunc(bad, func(a, b candidate) int {
			if a.w < b.w {
				return -1
			}
			return 1
		})
		ok = append(ok, bad[:len(bad)-int(suspectCap*float64(n))]...)
	}
	free := ok[:0]
	for _, c := range ok {
		r := room(c.s, left, gateways)
		rooms += r
		if float64(c.s.InFlight.Load()) < math.Max(1, r) {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return nil, rooms, len(ok) > 0
	}
	ok = free
	a := ok[rand.IntN(len(ok))]
	for range 2 {
		if b := ok[rand.IntN(len(ok))]; p.load(b.s) < p.load(a.s) {
			a = b
		}
	}
	return a.s, rooms, false
}

// load is how busy a target is for its capacity; a target in another zone counts
// as busier.
func (p *Passage) load(s *registry.Target) float64 {
	l := (float64(s.InFlight.Load()) + 1) / float64(max(1, s.Capacity.Load()))
	if s.Zone != p.Zone {
		l *= farther * p.Chart.Far(p.Zone, s.Zone)
	}
	return l
}
