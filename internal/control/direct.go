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
	// directEvery is how often upgrades under way are looked at.
	directEvery = 100 * time.Millisecond
	// standInAfter is for how long a step must be due for the next controller in rank to take it.
	standInAfter = 600 * time.Millisecond
	// stepTime bounds the deciding of one step.
	stepTime = 2 * time.Second
	// reportGone is how long after its last report a gateway's no longer counts.
	reportGone = 3 * time.Second
)

// upgrades are those that this node knows, by service.
type upgrades struct {
	mu sync.Mutex
	by map[string]*direction
}

// direction is what a controller knows of one service's upgrade. All controllers that get reports keep it, so that
// another one goes on where the one that decides is lost.
type direction struct {
	now      upgrade.Upgrade
	known    time.Time // since when this step is known here
	firstNew time.Time // when the first answer of the new version was reported
	dueAt    time.Time // since when the next step is due; zero is not yet
	judge    *upgrade.Analyzer
	reports  map[string]*heardReport // by gateway
}

// heardReport is a gateway's newest report, with the counts that were judged.
type heardReport struct {
	upgrade.Report
	at       time.Time
	old, new map[string]upgrade.Tally // by route
	targets  map[string]upgrade.Tally
}

// noteUpgrade takes a step in. It runs under the board's lock.
func (n *Node) noteUpgrade(i item.Item) {
	if i.Kind != item.Upgrade || i.Gone {
		return
	}
	u, err := upgrade.FromItem(i)
	if err != nil {
		n.Log.Error("upgrade that can't be read", "step", "apply", "service", i.Name, "err", err)
		return
	}
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	if n.upgrades.by == nil {
		n.upgrades.by = map[string]*direction{}
	}
	d := n.upgrades.by[u.Service]
	if d == nil || d.now.Order != u.Order {
		d = &direction{judge: upgrade.NewAnalyzer(), reports: map[string]*heardReport{}}
		n.upgrades.by[u.Service] = d
	}
	d.now, d.known, d.dueAt = u, n.Clock.Now(), time.Time{}
	if !u.Active() {
		d.reports = map[string]*heardReport{}
	}
	n.Log.Info("upgrade", "step", "upgrade", "service", u.Service, "version", u.To, "phase", u.Phase.String(), "share", u.Share, "reason", u.Reason, "answers", d.judge.NewAnswers(), "routes", d.judge.Routes())
}

// serveReports teaches the desk to take gateways' reports.
func (n *Node) serveReports() {
	link.On(n.Desk, func(_ context.Context, _ link.Who, a upgrade.ReportAsk) (upgrade.ReportTold, error) {
		now := n.Clock.Now()
		n.upgrades.mu.Lock()
		defer n.upgrades.mu.Unlock()
		for _, r := range a.Reports {
			if d := n.upgrades.by[r.Service]; d != nil && d.now.Active() && d.now.Order == r.Order {
				d.take(r, now)
			}
		}
		return upgrade.ReportTold{}, nil
	})
}

// take takes a gateway's report in.
func (d *direction) take(r upgrade.Report, now time.Time) {
	h := d.reports[r.Gateway]
	if h == nil || h.Inc != r.Inc {
		h = &heardReport{old: map[string]upgrade.Tally{}, new: map[string]upgrade.Tally{}, targets: map[string]upgrade.Tally{}}
		d.reports[r.Gateway] = h
	}
	if r.Seq < h.Seq {
		return
	}
	h.Report, h.at = r, now
	// The old version's answers first: the new one's are judged against them.
	for _, c := range r.Routes {
		d.judge.AddOld(c.Route, fresh(h.old, c.Route, c.Old))
	}
	for _, c := range r.Targets {
		d.judge.AddTarget(c.Target, fresh(h.targets, c.Target, c.Tally))
	}
	for _, c := range r.Routes {
		since := fresh(h.new, c.Route, c.New)
		if since.Answers > 0 && d.firstNew.IsZero() {
			d.firstNew = now
		}
		d.judge.AddNew(c.Route, since)
	}
}

// fresh is what of a count was not judged yet, and notes that it is now.
func fresh(judged map[string]upgrade.Tally, name string, count upgrade.Tally) upgrade.Tally {
	since := count.Sub(judged[name])
	judged[name] = count
	return since
}

// away tells whether a gateway goes by a step, and has nothing under way at old targets.
func (d *direction) away(gateway string, step uint64, now time.Time) bool {
	h := d.reports[gateway]
	return h != nil && now.Sub(h.at) < reportGone && h.Number == step && h.OldUnderWay == 0
}

// directUpgrades takes the next steps of the upgrades that this node decides, until ctx ends.
func (n *Node) directUpgrades(ctx context.Context) {
	clock.Every(ctx, n.Clock, directEvery, func() {
		for _, u := range n.Upgrades() {
			if rank, ok := n.rank(u.Service); ok && u.Active() {
				n.direct(ctx, u, time.Duration(rank)*standInAfter)
			}
		}
	})
}

// rank is this node's place among the controllers that look after a service's upgrade, as far as it knows: the first
// decides, the others stand in.
func (n *Node) rank(service string) (rank int, ok bool) {
	if _, fresh := n.fresh(); !fresh {
		return 0, false
	}
	ids := lo.Map(n.near(), func(m watch.Member, _ int) string { return m.ID })
	rank = slices.Index(upgrade.RankControllers(service, ids), n.ID)
	return rank, rank >= 0 && rank < upgrade.CoordinatorsPerService
}

// direct takes the next step of an upgrade, if it has been time for one for a while.
func (n *Node) direct(ctx context.Context, u upgrade.Upgrade, wait time.Duration) {
	next, due := u.NextStep(n.evidence(u))
	if !n.dueFor(u, due, wait) {
		return
	}
	cx, end := context.WithTimeout(ctx, stepTime)
	defer end()
	if err := n.decideUpgrade(cx, next); err != nil && !errors.Is(err, errOvertaken) && ctx.Err() == nil {
		n.Log.Warn("a step of an upgrade was not decided", "step", "upgrade", "service", u.Service, "phase", next.Phase.String(), "share", next.Share, "err", err)
	}
}

// dueFor notes whether a step is due, and tells whether it has been for so long.
func (n *Node) dueFor(u upgrade.Upgrade, due bool, wait time.Duration) bool {
	now := n.Clock.Now()
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	d := n.upgrades.by[u.Service]
	if d == nil || d.now.Number != u.Number || !due {
		if d != nil {
			d.dueAt = time.Time{}
		}
		return false
	}
	if d.dueAt.IsZero() {
		d.dueAt = now
	}
	return now.Sub(d.dueAt) >= wait
}

// evidence is what is known of an upgrade under way.
func (n *Node) evidence(u upgrade.Upgrade) upgrade.Evidence {
	now := n.Clock.Now()
	e := upgrade.Evidence{Elapsed: time.Since(u.Ordered)}
	n.readyRuns(u.Service, func(r target.Run) {
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
	attached := n.teller.Attached()
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	d := n.upgrades.by[u.Service]
	if d == nil || d.now.Number != u.Number {
		return e
	}
	e.SinceStep = now.Sub(d.known)
	if !d.firstNew.IsZero() {
		e.SinceFirstAnswer = now.Sub(d.firstNew)
	}
	e.EnoughAnswers = d.judge.EnoughAnswers()
	e.DegradedRoute, e.Degraded = d.judge.DegradedRoute()
	e.OldDrained = len(attached) > 0
	for id := range attached {
		e.OldDrained = e.OldDrained && d.away(id, u.Number, now)
	}
	for _, h := range d.reports {
		if now.Sub(h.at) < reportGone {
			e.Gateways++
			e.Stopped += lo.Ternary(h.Stopped, 1, 0)
		}
	}
	return e
}
