package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/upgrade"
	"walkrudder/internal/watch"
)

// UpgradesAsk queries the newest upgrade of each service whose name begins with Prefix.
type UpgradesAsk struct {
	Page
	Prefix string `validate:"max=256"`
}

// UpgradeRow is the newest upgrade of one service, as known to this controller.
type UpgradeRow struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Phase   string `json:"phase"`
	// Share is the share of the requests for the new version, in thousandths.
	Share     int       `json:"share"`
	Ordered   time.Time `json:"ordered"`
	TermMS    int64     `json:"term_ms"`
	ElapsedMS int64     `json:"elapsed_ms"`
	Reason    string    `json:"reason"`
	// DecidedBy is the controller that decides the steps now, as far as this one knows.
	DecidedBy string `json:"decided_by"`
	// Reporting is how many gateways report to this controller, and Stopped how many of them have
	// stopped sending to the new version on their own. Waiting names some gateways that do not apply
	// this step yet or have requests in progress at old targets.
	Reporting int                     `json:"reporting"`
	Stopped   int                     `json:"stopped"`
	Waiting   []string                `json:"waiting"`
	Routes    []upgrade.RouteEvidence `json:"routes"`
}

type (
	// UpgradeOrderAsk orders an upgrade.
	UpgradeOrderAsk struct{ Order upgrade.Order }
	// UpgradeRevertAsk orders the upgrade under way to be reverted.
	UpgradeRevertAsk struct {
		Service string `validate:"required,max=256"`
	}
	// UpgradeTold holds the number of the upgrade's newest step after either order.
	UpgradeTold struct{ Number uint64 }
)

// listUpgrades answers an UpgradesAsk.
func (n *Node) listUpgrades(_ context.Context, a UpgradesAsk) (Answer[UpgradeRow], error) {
	p := newPageCollector[UpgradeRow](a.Page)
	ids := lo.Map(n.availableControllers(), func(m watch.Member, _ int) string { return m.ID })
	attached := n.publisher.Attached()
	for _, u := range n.Upgrades() {
		if strings.HasPrefix(u.Service, a.Prefix) {
			row := n.upgradeRow(u, attached)
			if u.Active() && len(ids) > 0 {
				row.DecidedBy = upgrade.RankControllers(u.Service, ids)[0]
			}
			p.add(u.Service, row)
		}
	}
	return buildAnswer(n.about(), p, func(_ string, r UpgradeRow) (UpgradeRow, int) {
		return r, len(r.Service) + len(r.Reason) + 64*(1+len(r.Routes))
	}), nil
}

func (n *Node) upgradeRow(u upgrade.Upgrade, attached map[string]string) UpgradeRow {
	row := UpgradeRow{Service: u.Service, From: u.From, To: u.To, Phase: u.Phase.String(), Share: u.Share, Ordered: u.Ordered,
		TermMS: u.Term.Milliseconds(), ElapsedMS: time.Since(u.Ordered).Milliseconds(), Reason: u.Reason}
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	d := n.upgrades.byService[u.Service]
	if d == nil {
		return row
	}
	row.Routes = d.analyzer.Routes()
	if !u.Active() {
		return row
	}
	now := n.Clock.Now()
	for _, h := range d.reports {
		if now.Sub(h.receivedAt) < reportExpiry {
			row.Reporting++
			row.Stopped += lo.Ternary(h.Stopped, 1, 0)
		}
	}
	for id := range attached {
		if !d.hasSwitched(id, u.Number, now) {
			row.Waiting = append(row.Waiting, id)
		}
	}
	slices.Sort(row.Waiting)
	row.Waiting = truncateNames(row.Waiting)
	return row
}

// orderUpgrade handles an operator's order that arrives over the internal links.
func (n *Node) orderUpgrade(ctx context.Context, a UpgradeOrderAsk) (UpgradeTold, error) {
	if err := n.StartUpgrade(ctx, nil, a.Order); err != nil {
		return UpgradeTold{}, err
	}
	u, err := n.newestUpgrade(a.Order.Service)
	return UpgradeTold{u.Number}, err
}

// revertUpgrade handles an operator's order to revert that arrives over the internal links.
func (n *Node) revertUpgrade(ctx context.Context, a UpgradeRevertAsk) (UpgradeTold, error) {
	if err := n.RevertUpgrade(ctx, a.Service); err != nil {
		return UpgradeTold{}, err
	}
	u, err := n.newestUpgrade(a.Service)
	return UpgradeTold{u.Number}, err
}
