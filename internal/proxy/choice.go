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
	// mostRuns is how many runs of its own zone, and how many of all others, a node works
	// with at most, and fewRuns with how many while it has little to do: each costs probes,
	// and the fewer they are the more use their connections are.
	mostRuns, fewRuns = 24, 12
	// runsEach is how many runs there are to be for each request under way, and calmer by
	// how much in each look (probeTick) what was under way is forgotten.
	runsEach, calmer = 2, 0.95
	// freshCost is what a new connection counts in a choice: besides its own time it may
	// hold a slot at the target, and it is paid for.
	freshCost = 150 * time.Millisecond
	// spreadBias is how much a run's place in this node's own order counts, in
	// requests under way: nodes that know nothing of each other begin with others.
	spreadBias = 0.5
	// underWay is how much a request under way at a run counts, in expected times of an
	// answer: more than its own time, for where this node has one there others have some too,
	// and targets slow down when they are nearly full; but with one the own zone's slot still
	// goes before another's (farZone).
	underWay = 1.9
)

// arrange chooses the runs that this node works with, in its own order.
func (s *service) arrange() {
	var near, rest, trial []*endpoint
	for _, e := range s.all {
		e.lane = s.moves.versions.Class(e.run.Version)
		switch {
		case e.run.State != target.Ready || e.lane == upgrade.Excluded:
			e.closeIdle()
			continue
		case e.lane == upgrade.Candidate:
			trial = append(trial, e)
			continue
		}
		if e.near {
			near = append(near, e)
		} else {
			rest = append(rest, e)
		}
	}
	was := s.work
	s.work = append(s.first(near), s.first(rest)...)
	s.trial = s.moves.few(trial)
	for _, e := range was {
		// Whoever comes back was not looked at meanwhile.
		e.probed = e.probed && slices.Contains(s.work, e)
	}
}

func (s *service) first(es []*endpoint) []*endpoint {
	slices.SortFunc(es, func(a, b *endpoint) int { return cmp.Compare(a.run.ID, b.run.ID) })
	ids := make([]string, len(es))
	for i, e := range es {
		ids[i] = e.run.ID
	}
	out := make([]*endpoint, 0, min(len(es), s.runs))
	for i, at := range spread.Rank(s.n.set.ID, ids) {
		if i == s.runs {
			break
		}
		es[at].rank = float64(i) / float64(min(len(es), s.runs))
		out = append(out, es[at])
	}
	return out
}

// fit lets the number of runs that this node works with follow what it has under way:
// up at once, down slowly and, but for the last step, by no less than a quarter.
func (s *service) fit() {
	s.busy = max(calmer*s.busy, float64(s.limit.under))
	slots := 0
	for _, e := range s.all {
		if e.takes() && e.lane != upgrade.Candidate {
			slots += e.slots()
		}
	}
	s.limit.share = float64(slots) / float64(max(1, s.n.gateways.Load()))
	want := min(mostRuns, max(fewRuns, int(runsEach*s.busy+1)))
	if want > s.runs || want <= s.runs*3/4 || want == fewRuns && want < s.runs {
		s.runs = want
		s.arrange()
	}
}

// judge marks whom to pass over: at most half of the runs together, for where more go
// silent at once the fault is likelier here; beyond that the least suspected stay. Where
// more than half are to be passed over or on trial, the fates of requests count for
// nothing: so the service is now.
func (s *service) judge(now time.Time) []judged {
	bad := s.bad[:0]
	n := 0
	for _, e := range s.work {
		if !e.takes() {
			continue
		}
		n++
		e.pardoned, e.excused = false, false
		w := e.presumed(now)
		if ill := e.illness(now); max(w, ill) >= suspectAt || e.onTrial() {
			bad = append(bad, judged{e, w, ill})
		}
	}
	s.bad = bad
	excused := 2*len(bad) > n
	bad = slices.DeleteFunc(bad, func(j judged) bool {
		j.e.excused = excused
		return j.w < suspectAt && (excused || j.ill < suspectAt)
	})
	if !excused {
		for i, j := range bad {
			bad[i].w = max(j.w, j.ill)
		}
	}
	if most := n / 2; len(bad) > most {
		slices.SortStableFunc(bad, func(a, b judged) int { return cmp.Compare(b.w, a.w) })
		for _, j := range bad[most:] {
			j.e.pardoned = true
		}
		bad = bad[:most]
	}
	return bad
}

// pick chooses a run for a request: in the own zone, and with a slot that this node
// has not filled, before all others; then by how long an answer is likely to take.
// known tells whether there is any run at all that might take it.
func (s *service) pick(now time.Time, x *exchange) (best *endpoint, known bool) {
	if !s.limit.room() {
		return nil, true
	}
	if e := s.pickTrial(now, x); e != nil {
		return e, true
	}
	bad := s.judge(now)
	bestTier, bestScore := 0, 0.0
	for _, e := range s.work {
		if !e.takes() || x.once && e.onTrial() || x.didTry(e) || slices.ContainsFunc(bad, func(j judged) bool { return j.e == e }) {
			continue
		}
		known = true
		tier := e.tier(now, x)
		if tier < 0 {
			continue
		}
		score := (1 + underWay*float64(len(e.starts)) + spreadBias*e.rank) * float64(e.expected(now)) * e.far
		if !e.warm(now, x.once) {
			score += float64(freshCost)
		}
		if best == nil || tier < bestTier || tier == bestTier && score < bestScore {
			best, bestTier, bestScore = e, tier, score
		}
	}
	return best, known
}

// tier ranks a run for a request; -1 is one without room. Bytes between zones are
// dear, those of downloads most of all, so these fill the own zone up first. For others
// the zones of a region are one, only that a run far off counts as slower (far): a zone
// that lost a third of its runs would else be full beside one that is half empty.
func (e *endpoint) tier(now time.Time, x *exchange) int {
	slots := e.slots()
	level := 0
	switch {
	case e.room(now, slots) > 0:
	case e.room(now, slots+1) > 0:
		level = 1
	case !x.once && e.room(now, 2*slots) > 0:
		level = 2
	default:
		return -1
	}
	order := [2][3]int{{2, 3, 5}, {0, 1, 4}}
	if x.kind == route.Download {
		order = [2][3]int{{3, 4, 5}, {0, 1, 2}}
	}
	if e.near || x.kind != route.Download && e.far <= farZone {
		return order[1][level]
	}
	return order[0][level]
}
