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
	// maxQueued bounds the requests that wait for a target of one service.
	maxQueued = 256
	// connFraction is the fraction of a target's connection limit that all nodes together use.
	connFraction = 0.8
	// distrustIdleFor is how long requests that must run at most once avoid idle connections of a
	// service after one failed during a request.
	distrustIdleFor = 10 * time.Second
	// probeAfterUse is how long after its last request a service's endpoints are probed.
	probeAfterUse = 30 * time.Second
)

// service is a group of targets that serve the same routes. Its lock is held only while
// some dozens of endpoints are examined, never while waiting for anything.
type service struct {
	name   string
	node   *Node
	budget *budget.Account
	// sizes holds recent answer sizes by kind of request.
	sizes meanSizes

	mu        sync.Mutex
	config    route.Service
	endpoints map[string]*endpoint
	subset    []*endpoint // endpoints that this node sends to
	canaries  []*endpoint // endpoints of a new version that get a share of the requests
	upgrade   upgradeState
	// canaryScratch is a buffer for pickCanary.
	canaryScratch   []*endpoint
	queue           waitQueue
	rates           requestRates
	limit           concurrencyLimit
	baseline        serviceBaseline
	subsetSize      int                 // most endpoints in use, counted separately for the own and all other zones
	recentPeak      float64             // decaying maximum of the requests in flight
	latency         time.Duration       // moving average of valid answers; 0 means unknown
	lastStaleConn   time.Time           // when a reused connection last failed during a request
	lastUsed        time.Time           // when a request last needed a target
	ejectionScratch []ejectionCandidate // buffer for ejections
}

// ejectionCandidate is an endpoint with its active and passive suspicion.
type ejectionCandidate struct {
	e               *endpoint
	active, passive float64
}

func newService(n *Node, name string) *service {
	return &service{name: name, node: n, budget: n.budget.ForService(name), endpoints: map[string]*endpoint{}, queue: waitQueue{capacity: maxQueued}, sizes: newMeanSizes(), subsetSize: maxSubset, recentPeak: maxSubset / subsetPerRequest}
}

func (s *service) typicalLatencyLocked() time.Duration { return cmp.Or(s.latency, defaultLatency) }

// typicalLatency is the recent average latency of the service.
func (s *service) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.typicalLatencyLocked()
}

// maxConns is how many connections this node may open to one endpoint.
func (s *service) maxConns() int {
	if s.config.MaxConns <= 0 {
		return 1 << 16
	}
	return max(2, int(connFraction*float64(s.config.MaxConns)/float64(max(1, s.node.gateways.Load()))))
}

// setConfig replaces the operators' settings of the service.
func (s *service) setConfig(d route.Service) {
	s.mu.Lock()
	s.config = d
	s.mu.Unlock()
}

// update applies new states of targets, already merged by the caller.
func (s *service) update(runs []target.Run, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range runs {
		e := s.endpoints[r.ID]
		if e == nil {
			if r.State == target.Ended {
				continue
			}
			e = &endpoint{svc: s, sameZone: r.Zone == s.node.settings.Zone, zoneFactor: s.node.distanceTo(r.Zone)}
			s.endpoints[r.ID] = e
		}
		if r.Cold > 0 && e.run.Cold != r.Cold {
			e.coldUntil = now.Add(r.Cold)
		}
		if e.replaced && r.Seq > e.replacedSeq {
			e.replaced = false
		}
		if e.run.Addr != "" && e.run.Addr != r.Addr {
			e.closeIdle()
		}
		e.run = r
		switch r.State {
		case target.Ended:
			e.closeIdle()
			delete(s.endpoints, r.ID)
		case target.Draining:
			e.closeIdle()
		}
	}
	s.upgrade.versions.Observe(s.versionCounts(), now)
	s.rebuildSubsets()
	s.dispatch(now)
}
