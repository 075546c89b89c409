package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
	"walkrudder/internal/watch"
)

const (
	// upgradePollInterval is how often upgrades under way are checked.
	upgradePollInterval = 100 * time.Millisecond
	// takeoverDelay is how long a step must be due before a standby controller decides it, for each
	// rank below the first.
	takeoverDelay = 600 * time.Millisecond
	// stepTimeout bounds the decision of one step.
	stepTimeout = 2 * time.Second
	// reportExpiry is the age from which the last report of a gateway no longer counts.
	reportExpiry = 3 * time.Second
)

// upgradeTracker holds the upgrades known to this node, by service.
type upgradeTracker struct {
	mu        sync.Mutex
	byService map[string]*upgradeState
}

// upgradeState is what a controller knows of the upgrade of one service. Every controller that receives reports
// maintains it, so that another one can continue when the deciding controller is lost.
type upgradeState struct {
	current        upgrade.Upgrade
	currentSince   time.Time // when the current step became known here
	firstNewAnswer time.Time // when the first answer of the new version was reported
	dueSince       time.Time // when the next step became due; zero if it is not due
	analyzer       *upgrade.Analyzer
	reports        map[string]*gatewayReport // by gateway
}

// gatewayReport is the newest report of a gateway, with the counts that were already judged.
type gatewayReport struct {
	upgrade.Report
	receivedAt             time.Time
	oldTallies, newTallies map[string]upgrade.Tally // by route
	targetTallies          map[string]upgrade.Tally
}

// recordUpgrade records a step of an upgrade. It runs under the lock of the replica.
func (n *Node) recordUpgrade(i item.Item) {
	if i.Kind != item.Upgrade || i.Gone {
		return
	}
	u, err := upgrade.FromItem(i)
	if err != nil {
		n.Log.Error("cannot decode the upgrade of a service", "step", "apply", "service", i.Name, "err", err)
		return
	}
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	if n.upgrades.byService == nil {
		n.upgrades.byService = map[string]*upgradeState{}
	}
	d := n.upgrades.byService[u.Service]
	if d == nil || d.current.Order != u.Order {
		d = &upgradeState{analyzer: upgrade.NewAnalyzer(), reports: map[string]*gatewayReport{}}
		n.upgrades.byService[u.Service] = d
	}
	d.current, d.currentSince, d.dueSince = u, n.Clock.Now(), time.Time{}
	if !u.Active() {
		d.reports = map[string]*gatewayReport{}
	}
	n.Log.Info("upgrade", "step", "upgrade", "service", u.Service, "version", u.To, "phase", u.Phase.String(), "share", u.Share, "reason", u.Reason, "answers", d.analyzer.NewAnswers(), "routes", d.analyzer.Routes())
}

// registerReportHandler registers the handler of reports from gateways.
func (n *Node) registerReportHandler() {
	link.Handle(n.Mux, func(_ context.Context, _ link.Identity, a upgrade.ReportAsk) (upgrade.ReportTold, error) {
		now := n.Clock.Now()
		n.upgrades.mu.Lock()
		defer n.upgrades.mu.Unlock()
		for _, r := range a.Reports {
			if d := n.upgrades.byService[r.Service]; d != nil && d.current.Active() && d.current.Order == r.Order {
				d.addReport(r, now)
			}
		}
		return upgrade.ReportTold{}, nil
	})
}

// addReport judges the counts of a gateway's report that were not judged before.
func (d *upgradeState) addReport(r upgrade.Report, now time.Time) {
	h := d.reports[r.Gateway]
	if h == nil || h.Inc != r.Inc {
		h = &gatewayReport{oldTallies: map[string]upgrade.Tally{}, newTallies: map[string]upgrade.Tally{}, targetTallies: map[string]upgrade.Tally{}}
		d.reports[r.Gateway] = h
	}
	if r.Seq < h.Seq {
		return
	}
	h.Report, h.receivedAt = r, now
	// The old version's answers come first, because those of the new version are judged against them.
	for _, c := range r.Routes {
		d.analyzer.AddOld(c.Route, unjudgedDelta(h.oldTallies, c.Route, c.Old))
	}
	for _, c := range r.Targets {
		d.analyzer.AddTarget(c.Target, unjudgedDelta(h.targetTallies, c.Target, c.Tally))
	}
	for _, c := range r.Routes {
		delta := unjudgedDelta(h.newTallies, c.Route, c.New)
		if delta.Answers > 0 && d.firstNewAnswer.IsZero() {
			d.firstNewAnswer = now
		}
		d.analyzer.AddNew(c.Route, delta)
	}
}

// unjudgedDelta returns the part of a count that was not judged yet, and marks the whole count as judged.
func unjudgedDelta(judged map[string]upgrade.Tally, name string, count upgrade.Tally) upgrade.Tally {
	delta := count.Sub(judged[name])
	judged[name] = count
	return delta
}

// hasSwitched reports whether a gateway applies a step and has no requests under way at old targets.
func (d *upgradeState) hasSwitched(gateway string, step uint64, now time.Time) bool {
	h := d.reports[gateway]
	return h != nil && now.Sub(h.receivedAt) < reportExpiry && h.Number == step && h.OldUnderWay == 0
}

// runUpgrades advances the upgrades for which this node is responsible, until ctx ends.
func (n *Node) runUpgrades(ctx context.Context) {
	clock.Every(ctx, n.Clock, upgradePollInterval, func() {
		for _, u := range n.Upgrades() {
			if rank, ok := n.upgradeRank(u.Service); ok && u.Active() {
				n.advanceUpgrade(ctx, u, time.Duration(rank)*takeoverDelay)
			}
		}
	})
}

// upgradeRank is the rank of this node among the controllers responsible for the upgrade of a service, as far as it
// knows: rank 0 decides, the others are standbys.
func (n *Node) upgradeRank(service string) (rank int, ok bool) {
	if _, fresh := n.fresh(); !fresh {
		return 0, false
	}
	ids := lo.Map(n.availableControllers(), func(m watch.Member, _ int) string { return m.ID })
	rank = slices.Index(upgrade.RankControllers(service, ids), n.ID)
	return rank, rank >= 0 && rank < upgrade.CoordinatorsPerService
}

// advanceUpgrade decides the next step of an upgrade, if the step has been due for the given time.
func (n *Node) advanceUpgrade(ctx context.Context, u upgrade.Upgrade, wait time.Duration) {
	next, due := u.NextStep(n.upgradeEvidence(u))
	if !n.stepDueFor(u, due, wait) {
		return
	}
	stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := n.decideUpgrade(stepCtx, next); err != nil && !errors.Is(err, errSuperseded) && ctx.Err() == nil {
		n.Log.Warn("cannot decide the next step of an upgrade", "step", "upgrade", "service", u.Service, "phase", next.Phase.String(), "share", next.Share, "err", err)
	}
}

// stepDueFor records whether a step is due, and reports whether it has been due for the given time.
func (n *Node) stepDueFor(u upgrade.Upgrade, due bool, wait time.Duration) bool {
	now := n.Clock.Now()
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	d := n.upgrades.byService[u.Service]
	if d == nil || d.current.Number != u.Number || !due {
		if d != nil {
			d.dueSince = time.Time{}
		}
		return false
	}
	if d.dueSince.IsZero() {
		d.dueSince = now
	}
	return now.Sub(d.dueSince) >= wait
}

// upgradeEvidence collects the evidence for the next step of an upgrade under way.
func (n *Node) upgradeEvidence(u upgrade.Upgrade) upgrade.Evidence {
	now := n.Clock.Now()
	e := upgrade.Evidence{Elapsed: time.Since(u.Ordered)}
	n.forEachReadyRun(u.Service, func(r target.Run) {
		if r.Version == u.To {
			e.NewSlots += r.Slots
			return
		}
		if u.IsDenied(r.Version) {
			return
		}
		e.OldSlots += r.Slots
		if !slices.Contains(e.OldVersions, r.Version) {
			e.OldVersions = append(e.OldVersions, r.Version)
		}
	})
	slices.Sort(e.OldVersions)
	attached := n.publisher.Attached()
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	d := n.upgrades.byService[u.Service]
	if d == nil || d.current.Number != u.Number {
		return e
	}
	e.SinceStep = now.Sub(d.currentSince)
	if !d.firstNewAnswer.IsZero() {
		e.SinceFirstAnswer = now.Sub(d.firstNewAnswer)
	}
	e.EnoughAnswers = d.analyzer.EnoughAnswers()
	e.DegradedRoute, e.Degraded = d.analyzer.DegradedRoute()
	e.OldDrained = len(attached) > 0
	for id := range attached {
		e.OldDrained = e.OldDrained && d.hasSwitched(id, u.Number, now)
	}
	for _, h := range d.reports {
		if now.Sub(h.receivedAt) < reportExpiry {
			e.Gateways++
			e.Stopped += lo.Ternary(h.Stopped, 1, 0)
		}
	}
	return e
}
