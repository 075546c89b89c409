package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// nearMost is how many targets of a service a gateway keeps proved: each costs it
	// probes, so that with all of them the probes would grow with the square of a
	// deployment (design 12.4).
	nearMost = 24
	// nearTrial is how long a target that has just been taken near is not judged.
	nearTrial = 2 * time.Second
	// nearBad is the suspicion from which another is taken near besides.
	nearBad = SuspectAt
)

// Near tells whether this gateway probes the target, and may choose it.
func (s *Stand) Near() bool { return s.near.Load() }

// nearest picks the stands of one service that this gateway works with: all where they
// are few; else as many as nearMost that are well, up to half of them from the own
// zone, in an order that differs from gateway to gateway and hardly changes when targets
// come and go. Those that are not well stay near besides, for they may come back.
func (r *Roster) nearest(all []*Stand) []*Stand {
	if len(all) <= nearMost {
		return all
	}
	rank := lo.SliceToMap(all, func(s *Stand) (*Stand, uint64) { return s, score(r.Me, s.Key()) })
	slices.SortFunc(all, func(a, b *Stand) int { return cmp.Compare(rank[a], rank[b]) })
	own, rest := lo.FilterReject(all, func(s *Stand, _ int) bool { return s.Zone == r.Zone })
	own, more := lo.Subset(own, 0, nearMost/2), lo.Slice(own, nearMost/2, len(own))
	rest = append(rest, more...)
	slices.SortFunc(rest, func(a, b *Stand) int { return cmp.Compare(rank[a], rank[b]) })
	now := r.Clock.Now()
	var out []*Stand
	well := 0
	for _, s := range append(own, rest...) {
		if well >= nearMost || len(out) >= 3*nearMost {
			break
		}
		out = append(out, s)
		left := s.Leaving.Load() || s.Gone.Load()
		bad := s.Near() && now.Sub(s.nearAt) > nearTrial && s.Det.Suspicion(now) >= nearBad
		if !left && !bad {
			well++
		}
	}
	return out
}

// settle marks which stands are near. One that was not is judged from now on.
func (r *Roster) settle(near map[*Stand]bool) {
	now := r.Clock.Now()
	for _, s := range r.by {
		switch {
		case near[s] && !s.Near():
			s.nearAt = now
			s.Det.Restart(now)
			s.near.Store(true)
		case !near[s]:
			s.near.Store(false)
		}
	}
}
