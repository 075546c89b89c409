package proxy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/item"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

const (
	// slowFraction is the fraction of the old version's answers on a route that exceed the bound for slow answers.
	// quantileStep is the relative step by which one answer moves the bound.
	slowFraction = 0.1
	quantileStep = 0.08
	// minBoundAnswers is the number of answers of the old version that the bound needs.
	minBoundAnswers = 5
	// minSlowBound is the lowest bound for slow answers.
	minSlowBound = 50 * time.Millisecond
	// minCanariesPerZone is the least number of targets of a new version that are tried in each zone.
	minCanariesPerZone = 2
)

// upgradeState is a service's state of an upgrade. The service's lock guards it.
type upgradeState struct {
	versions       upgrade.VersionRouting
	analyzer       *upgrade.Analyzer
	routes         map[string]*upgrade.RouteCount
	targets        map[string]upgrade.Tally // of the new version
	changedTargets map[string]bool          // targets whose tally changed since the last report
	slowBounds     map[string]slowBound     // by route
}

// applyUpgrades applies updates of upgrades to their services. The caller holds the node's lock.
func (n *Node) applyUpgrades(items []item.Item) {
	for _, i := range items {
		if i.Kind != item.Upgrade || i.Gone {
			continue
		}
		u, err := upgrade.FromItem(i)
		if err != nil {
			n.warnLimited("unreadable upgrade item", "step", "news", "service", i.Name, "err", err)
			continue
		}
		if s := n.service(i.Name); s != nil {
			s.applyUpgrade(u)
		}
	}
}

func (s *service) applyUpgrade(u upgrade.Upgrade) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.upgrade.versions.Upgrade()
	if !s.upgrade.versions.ApplyUpgrade(u) {
		return
	}
	if u.Order != previous.Order || s.upgrade.analyzer == nil {
		s.upgrade.analyzer, s.upgrade.routes = upgrade.NewAnalyzer(), map[string]*upgrade.RouteCount{}
		s.upgrade.targets, s.upgrade.changedTargets = map[string]upgrade.Tally{}, map[string]bool{}
	}
	s.node.log.Info("upgrade", "step", "upgrade", "service", s.name, "version", u.To, "phase", u.Phase.String(), "share", u.Share, "reason", u.Reason)
	s.rebuildSubsets()
	s.dispatch(s.node.clock.Now())
}

// confirmVersions records that this node knows all changes acknowledged until asOf.
func (n *Node) confirmVersions(asOf time.Time) {
	for _, s := range n.allServices() {
		s.mu.Lock()
		if s.upgrade.versions.Confirm(asOf) {
			s.rebuildSubsets()
			s.dispatch(n.clock.Now())
		}
		s.mu.Unlock()
	}
}

// versionCounts returns the number of ready targets by version.
func (s *service) versionCounts() map[string]int {
	counts := map[string]int{}
	for _, e := range s.endpoints {
		if e.run.State == target.Ready {
			counts[e.run.Version]++
		}
	}
	return counts
}

// canarySubset selects the targets of the new version that are tried. While the share is small these are few, and the same
// at every gateway, so that each gets as much load as a target of the old version and shows how it behaves under it.
func (m *upgradeState) canarySubset(canaries []*endpoint) []*endpoint {
	u := m.versions.Upgrade()
	if u.Phase != upgrade.Canary {
		return canaries
	}
	zones := map[string][]*endpoint{}
	for _, e := range canaries {
		zones[e.run.Zone] = append(zones[e.run.Zone], e)
	}
	out := canaries[:0]
	for _, es := range zones {
		slices.SortFunc(es, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.run.ID), xxhash.Sum64String(b.run.ID)), cmp.Compare(a.run.ID, b.run.ID))
		})
		most := max(minCanariesPerZone, int(math.Ceil(float64(len(es)*u.Share)/upgrade.FullShare)))
		out = append(out, es[:min(most, len(es))]...)
	}
	return out
}

// pickCanary chooses a target of the new version for a request that falls into its share, or returns nil. All gateways use
// the same few targets without knowing each other's load, so it takes the better of two random choices.
func (s *service) pickCanary(now time.Time, x *exchange) *endpoint {
	if len(s.canaries) == 0 || x.versionDraw >= s.upgrade.versions.Share() || s.node.controlLost() || x.anySent() {
		return nil
	}
	candidates, bestTier := s.canaryScratch[:0], 0
	for _, e := range s.canaries {
		if !e.available() || x.hasTried(e) || x.atMostOnce && e.onProbation() || e.suspicion(now) >= suspicionThreshold {
			continue
		}
		tier := e.tier(now, x)
		if tier < 0 || len(candidates) > 0 && tier > bestTier {
			continue
		}
		if tier < bestTier {
			candidates = candidates[:0]
		}
		candidates, bestTier = append(candidates, e), tier
	}
	s.canaryScratch = candidates
	if len(candidates) == 0 {
		return nil
	}
	first, second := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	score := func(e *endpoint) float64 { return float64(1+len(e.inFlight)) * float64(e.expectedLatency(now)) }
	if score(second) < score(first) {
		return second
	}
	return first
}

// recordForUpgrade counts the outcome of a request on a route at a target.
func (s *service) recordForUpgrade(route string, e *endpoint, o outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.upgrade
	u := m.versions.Upgrade()
	isNew := u.Active() && e.run.Version == u.To
	bound := m.slowBounds[route]
	slow := took > max(bound.at, minSlowBound)
	if o == outcomeAnswered && !isNew {
		m.updateSlowBound(route, took)
	}
	cold := isNew && s.node.clock.Now().Before(e.coldUntil)
	bad, counts := badAnswer(o, slow, cold)
	// While the bound for slow answers is unknown, only failures count.
	if !u.Active() || !counts || o != outcomeServerError && bound.answers < minBoundAnswers {
		return
	}
	t := upgrade.Tally{Answers: 1}
	if bad {
		t.Bad = 1
	}
	if o == outcomeServerError {
		t.Failed = 1
	}
	count := m.routes[route]
	if count == nil {
		count = &upgrade.RouteCount{Route: route}
		m.routes[route] = count
	}
	if !isNew {
		count.Old = count.Old.Add(t)
		m.analyzer.AddOld(route, t)
		return
	}
	count.New = count.New.Add(t)
	m.targets[e.run.ID] = m.targets[e.run.ID].Add(t)
	m.changedTargets[e.run.ID] = true
	m.analyzer.AddTarget(e.run.ID, t)
	m.analyzer.AddNew(route, t)
	if worst, isBad := m.analyzer.DegradedRoute(); isBad && m.versions.StopLocally() {
		s.node.log.Warn("gateway stopped sending requests to a bad new version", "step", "upgrade", "service", s.name, "version", u.To, "route", worst)
		s.rebuildSubsets()
	}
}

// slowBound is the latency from which an answer on a route counts as slow.
type slowBound struct {
	at      time.Duration
	answers int // answers of the old version that the bound is based on
}

// updateSlowBound moves a route's bound for slow answers with an answer of the old version: up for a slower one and down for
// others, so that a slowFraction of them exceed it. It tracks the old version's present latency, with queueing at targets and
// links included.
func (m *upgradeState) updateSlowBound(route string, took time.Duration) {
	if m.slowBounds == nil {
		m.slowBounds = map[string]slowBound{}
	}
	b := m.slowBounds[route]
	switch {
	case b.answers == 0:
		b.at = 2 * took
	case took > b.at:
		b.at += time.Duration(quantileStep * (1 - slowFraction) * float64(b.at))
	default:
		b.at -= time.Duration(quantileStep * slowFraction * float64(b.at))
	}
	b.answers++
	m.slowBounds[route] = b
}

// badAnswer reports whether an outcome counts against a version, and whether it counts at all. Connect failures, resets and
// malformed answers are attributed to the machine; a target that has just started is expected to be slow.
func badAnswer(o outcome, slow, cold bool) (bad, counts bool) {
	switch o {
	case outcomeServerError:
		return true, true
	case outcomeAnswered:
		return slow && !cold, !cold || !slow
	case outcomeSilent, outcomeCanceled:
		return true, slow && !cold
	}
	return false, false
}

// UpgradeReports returns this node's reports on the upgrades in progress.
func (n *Node) UpgradeReports() (out []upgrade.Report) {
	for _, s := range n.allServices() {
		if r, ok := s.upgradeReport(); ok {
			r.Gateway = n.settings.ID
			out = append(out, r)
		}
	}
	return out
}

func (s *service) upgradeReport() (r upgrade.Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upgrade.versions.Upgrade()
	if !u.Active() {
		return r, false
	}
	r = upgrade.Report{Service: s.name, Order: u.Order, Number: u.Number, Stopped: s.upgrade.versions.Stopped()}
	for _, e := range s.endpoints {
		if e.run.Version != u.To {
			r.OldUnderWay += len(e.inFlight)
		}
	}
	for _, count := range s.upgrade.routes {
		r.Routes = append(r.Routes, *count)
	}
	for id := range s.upgrade.changedTargets {
		r.Targets = append(r.Targets, upgrade.TargetCount{Target: id, Tally: s.upgrade.targets[id]})
	}
	clear(s.upgrade.changedTargets)
	return r, true
}
