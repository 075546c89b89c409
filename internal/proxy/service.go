package proxy

import (
	"cmp"
	"sync"
	"time"

	"walkrudder/internal/budget"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

const (
	// queueMost bounds the requests that wait for a target of one service.
	queueMost = 256
	// connShare is the part of a target's connections that all nodes use together.
	connShare = 0.8
	// freshFor is how long a request that may run once trusts no kept connection of a
	// service, after one died under a request.
	freshFor = 10 * time.Second
	// usedFor is how long after a request a service's runs are probed.
	usedFor = 30 * time.Second
)

// service is the targets of one kind. Its lock is held for a look at some dozens of
// runs and never while anything is waited for.
type service struct {
	name string
	n    *Node
	acct *budget.Account
	// sizes are those of answers of late, by kind of request.
	sizes sizes

	mu    sync.Mutex
	def   route.Service
	all   map[string]*endpoint
	work  []*endpoint // those that this node works with
	trial []*endpoint // those of a new version that get a share of the requests
	moves upgrading
	// trialOpen is for use again.
	trialOpen []*endpoint
	queue     waiting
	pace      pace
	limit     limit
	norm      norm
	runs      int     // how many this node works with, of its own zone and of others
	busy      float64 // requests under way, the most of late
	took      time.Duration
	staleAt   time.Time
	usedAt    time.Time
	bad       []judged // for use again
}

// judged is a run and its suspicion, without its requests' fates and by them.
type judged struct {
	e      *endpoint
	w, ill float64
}

func newService(n *Node, name string) *service {
	return &service{name: name, n: n, acct: n.budget.ForService(name), all: map[string]*endpoint{}, queue: waiting{most: queueMost}, sizes: newSizes(), runs: mostRuns, busy: mostRuns / runsEach}
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
	s.moves.versions.Observe(s.versionCounts(), now)
	s.arrange()
	s.dispatch(now)
}
