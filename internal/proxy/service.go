package proxy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/budget"
	"walkrudder/internal/route"
	"walkrudder/internal/spread"
	"walkrudder/internal/target"
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
	// queueMost bounds the requests that wait for a target of one service.
	queueMost = 256
	// spreadBias is how much a run's place in this node's own order counts, in
	// requests under way: nodes that know nothing of each other begin with others.
	spreadBias = 0.5
	// underWay is how much a request under way at a run counts, in expected times of an
	// answer: more than its own time, for where this node has one there others have some too,
	// and targets slow down when they are nearly full; but with one the own zone's slot still
	// goes before another's (farZone).
	underWay = 1.9
	// connShare is the part of a target's connections that all nodes use together.
	connShare = 0.8
	// freshFor is how long a request that may run once trusts no kept connection of a
	// service, after one died under a request.
	freshFor = 10 * time.Second
	// usedFor is how long after a request a service's runs are probed.
	usedFor = 30 * time.Second
	// waitPart is the part of its aim for which a request waits for room. A refusal is
	// to be back at its caller within a quarter.
	waitPart = 5
	// fewPeers is how many of each rank may wait though it seems in vain.
	fewPeers = 2
	// minRetry is the least that a refused caller is told to wait.
	minRetry = 100 * time.Millisecond
)

// service is the targets of one kind. Its lock is held for a look at some dozens of
// runs and never while anything is waited for.
type service struct {
	name string
	n    *Node
	acct *budget.Account
	// sizes are those of answers of late, by kind of request.
	sizes sizes

	mu      sync.Mutex
	def     route.Service
	all     map[string]*endpoint
	work    []*endpoint // those that this node works with
	queue   waiting
	pace    pace
	limit   limit
	norm    norm
	runs    int     // how many this node works with, of its own zone and of others
	busy    float64 // requests under way, the most of late
	took    time.Duration
	staleAt time.Time
	usedAt  time.Time
	bad     []judged // for use again
}

// judged is a run and its suspicion, without its requests' fates and by them.
type judged struct {
	e      *endpoint
	w, ill float64
}

func newService(n *Node, name string) *service {
	return &service{name: name, n: n, acct: n.budget.Of(name), all: map[string]*endpoint{}, queue: waiting{most: queueMost}, sizes: newSizes(), runs: mostRuns, busy: mostRuns / runsEach}
}

func (s *service) usual() time.Duration { return cmp.Or(s.took, unknownTime) }

// usualWork is how long an answer of the service takes of late.
func (s *service) usualWork() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usual()
}

// maxOpen is how many connections this node may have to one run.
func (s *service) maxOpen() int {
	if s.def.MaxConns <= 0 {
		return 1 << 16
	}
	return max(2, int(connShare*float64(s.def.MaxConns)/float64(max(1, s.n.gateways.Load()))))
}

// define takes the operators' word.
func (s *service) define(d route.Service) {
	s.mu.Lock()
	s.def = d
	s.mu.Unlock()
}

// set takes what is known of runs, merged by the caller.
func (s *service) set(runs []target.Run, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range runs {
		e := s.all[r.ID]
		if e == nil {
			if r.State == target.Ended {
				continue
			}
			e = &endpoint{svc: s, near: r.Zone == s.n.set.Zone, far: s.n.far(r.Zone)}
			s.all[r.ID] = e
		}
		if r.Cold > 0 && e.run.Cold != r.Cold {
			e.coldTill = now.Add(r.Cold)
		}
		if e.gone && r.Seq > e.goneSeq {
			e.gone = false
		}
		if e.run.Addr != "" && e.run.Addr != r.Addr {
			e.closeIdle()
		}
		e.run = r
		switch r.State {
		case target.Ended:
			e.closeIdle()
			delete(s.all, r.ID)
		case target.Draining:
			e.closeIdle()
		}
	}
	s.arrange()
	s.dispatch(now)
}

// arrange chooses the runs that this node works with, in its own order.
func (s *service) arrange() {
	var near, rest []*endpoint
	for _, e := range s.all {
		if e.run.State != target.Ready {
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
	for i, at := range spread.Order(s.n.set.ID, ids) {
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
		if e.takes() {
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

// grant is a place for one request at a run, from at on; none where e is nil.
type grant struct {
	e  *endpoint
	at time.Time
}

// hold counts a request at a run.
func (s *service) hold(e *endpoint, now time.Time) grant {
	e.starts = append(e.starts, now)
	s.limit.begin()
	return grant{e, now}
}

// take chooses a run at once, or none.
func (s *service) take(x *exchange) grant {
	now := s.n.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue.list) > 0 {
		// Who waits goes first.
		return grant{}
	}
	if e, _ := s.pick(now, x); e != nil {
		return s.hold(e, now)
	}
	return grant{}
}

// acquire chooses a run, and waits for room where none has any: in all no longer than
// is worth a refusal still early in the aim, and a quarter of the time left. Where it has none to give, retry is when room is likely.
func (s *service) acquire(x *exchange) (g grant, retry time.Duration) {
	now := s.n.clock.Now()
	left := x.deadline.Sub(now)
	limit := left / 4
	if x.aim > 0 {
		limit = min(limit, x.aim/waitPart-now.Sub(x.came))
	}
	s.mu.Lock()
	s.usedAt = now
	s.pace.fade(now)
	s.pace.asked++
	if len(s.queue.list) > 0 {
		s.dispatch(now)
	}
	e, known := s.pick(now, x)
	if e != nil {
		g = s.hold(e, now)
		s.mu.Unlock()
		return g, 0
	}
	w := &waiter{x: x, rank: x.priority, came: now, got: make(chan grant, 1), index: -1}
	before, peers := s.queue.ahead(w)
	// Who would wait in vain is told so at once, but for some of each rank: the turn of
	// the longest waiting may come to them.
	out := w
	if known && limit > 0 && (s.eta(now, before) <= limit || peers < fewPeers) {
		out = s.queue.push(w)
	}
	if out == w {
		retry = s.retry(now, left)
		s.mu.Unlock()
		return g, retry
	}
	if out != nil {
		out.got <- grant{}
	}
	s.mu.Unlock()
	s.n.stats.waited.Add(1)
	c, stop := s.n.clock.After(limit)
	select {
	case g = <-w.got:
		stop()
	case <-c:
	case <-s.n.lastCall:
		stop()
	}
	if g.e != nil {
		return g, 0
	}
	now = s.n.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.remove(w) {
		select {
		case g = <-w.got:
			if g.e != nil {
				return g, 0
			}
		default:
		}
	}
	return g, s.retry(now, x.deadline.Sub(now))
}

// eta is how long a request waits that so many go before: by what was done in the last second
// or, where that is more, by what the runs at hand should do for this node.
func (s *service) eta(now time.Time, before int) time.Duration {
	slots := 0.0
	for _, e := range s.work {
		if e.near && e.takes() && e.suspicion(now) < suspectAt {
			slots += float64(e.slots())
		}
	}
	should := slots / s.usual().Seconds() / float64(max(1, s.n.gatewaysNear.Load()))
	rate := max(s.pace.rate(now), should, 1)
	return time.Duration(float64(before+1) / rate * float64(time.Second))
}

// retry is what a refused caller is told: when room is likely, later the more ask for
// each that is done, and in time for a try that can still succeed.
func (s *service) retry(now time.Time, left time.Duration) time.Duration {
	eta := s.eta(now, len(s.queue.list))
	d := time.Duration(float64(max(eta, minRetry)) * s.pace.crowd(now))
	return min(d, max(minRetry, left/3))
}

// dispatch hands free room to those who wait, in their order.
func (s *service) dispatch(now time.Time) {
	var kept []*waiter
	for len(s.queue.list) > 0 && len(kept) < 4 {
		w := s.queue.next()
		s.queue.remove(w)
		e, _ := s.pick(now, w.x)
		if e == nil {
			kept = append(kept, w)
			continue
		}
		s.queue.given++
		w.got <- s.hold(e, now)
	}
	for _, w := range kept {
		s.queue.push(w)
	}
}

// release ends the counting of a request at a run, notes what it showed, and hands
// the room on.
func (s *service) release(g grant, o outcome, took, aim time.Duration) {
	e, began := g.e, g.at
	now := s.n.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(e.starts, began.Equal); i >= 0 {
		e.starts = slices.Delete(e.starts, i, i+1)
	}
	s.limit.end(now, o == turnedAway || o == reset || o == stale, aim > 0 && took > aim)
	if !s.n.noFates {
		e.met(now, began, o, took)
	} else if o == erred {
		o = answered
	}
	switch o {
	case erred:
		e.cleared()
		s.pace.fade(now)
		s.pace.done++
	case answered:
		e.answered(now, took)
		e.prove(now)
		w := slower / 4
		if s.took == 0 {
			w = 1
		}
		s.took += time.Duration(w * float64(took-s.took))
		s.pace.fade(now)
		s.pace.done++
	case turnedAway:
		e.cleared()
		e.fullTill = now.Add(max(20*time.Millisecond, s.usual()/2))
	case misdirected:
		e.gone, e.goneSeq = true, e.run.Seq
		e.closeIdle()
	case unreachable, mute:
		e.failed(now, began, firstPenalty)
		e.closeIdle()
	case spoilt, reset:
		e.failed(now, began, shortPenalty)
		e.closeIdle()
	case stale:
		s.staleAt = now
		e.closeIdle()
	}
	if len(s.queue.list) > 0 {
		s.dispatch(now)
	}
}
