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

// UpgradesAsk asks for the newest upgrades of services whose name begins with Prefix.
type UpgradesAsk struct {
	Page
	Prefix string `validate:"max=256"`
}

// UpgradeRow is one service's newest upgrade, as this controller knows it.
type UpgradeRow struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Phase   string `json:"phase"`
	// Share is the part of the requests for the new version, in thousandths.
	Share     int       `json:"share"`
	Ordered   time.Time `json:"ordered"`
	TermMS    int64     `json:"term_ms"`
	ElapsedMS int64     `json:"elapsed_ms"`
	Reason    string    `json:"reason"`
	// DecidedBy is the controller that decides now, as far as this one knows.
	DecidedBy string `json:"decided_by"`
	// Reporting is how many gateways report here, Stopped how many of them have stopped by their own judgement, and Waiting
	// names some that do not go by this step yet, or have requests at old targets.
	Reporting int                     `json:"reporting"`
	Stopped   int                     `json:"stopped"`
	Waiting   []string                `json:"waiting"`
	Routes    []upgrade.RouteEvidence `json:"routes"`
}

type (
	// UpgradeOrderAsk orders an upgrade.
	UpgradeOrderAsk struct{ Order upgrade.Order }
	// UpgradeRevertAsk orders that one under way is taken back.
	UpgradeRevertAsk struct {
		Service string `validate:"required,max=256"`
	}
	// UpgradeTold is what stands after either.
	UpgradeTold struct{ Number uint64 }
)

// upgradeRows lists upgrades.
func (n *Node) upgradeRows(_ context.Context, a UpgradesAsk) (Answer[UpgradeRow], error) {
	p := newPage[UpgradeRow](a.Page)
	ids := lo.Map(n.near(), func(m watch.Member, _ int) string { return m.ID })
	attached := n.teller.Attached()
	for _, u := range n.Upgrades() {
		if strings.HasPrefix(u.Service, a.Prefix) {
			row := n.upgradeRow(u, attached)
			if u.Active() && len(ids) > 0 {
				row.DecidedBy = upgrade.RankControllers(u.Service, ids)[0]
			}
			p.add(u.Service, row)
		}
	}
	return pageOf(n.about(), p, func(_ string, r UpgradeRow) (UpgradeRow, int) {
		return r, len(r.Service) + len(r.Reason) + 64*(1+len(r.Routes))
	}), nil
}

func (n *Node) upgradeRow(u upgrade.Upgrade, attached map[string]string) UpgradeRow {
	row := UpgradeRow{Service: u.Service, From: u.From, To: u.To, Phase: u.Phase.String(), Share: u.Share, Ordered: u.Ordered,
		TermMS: u.Term.Milliseconds(), ElapsedMS: time.Since(u.Ordered).Milliseconds(), Reason: u.Reason}
	n.upgrades.mu.Lock()
	defer n.upgrades.mu.Unlock()
	d := n.upgrades.by[u.Service]
	if d == nil {
		return row
	}
	row.Routes = d.judge.Routes()
	if !u.Active() {
		return row
	}
	now := n.Clock.Now()
	for _, h := range d.reports {
		if now.Sub(h.at) < reportGone {
			row.Reporting++
			row.Stopped += lo.Ternary(h.Stopped, 1, 0)
		}
	}
	for id := range attached {
		if !d.away(id, u.Number, now) {
			row.Waiting = append(row.Waiting, id)
		}
	}
	slices.Sort(row.Waiting)
	row.Waiting = cut(row.Waiting)
	return row
}

// orderUpgrade takes an operator's order over the inner links.
func (n *Node) orderUpgrade(ctx context.Context, a UpgradeOrderAsk) (UpgradeTold, error) {
	if err := n.StartUpgrade(ctx, nil, a.Order); err != nil {
		return UpgradeTold{}, err
	}
	u, err := n.upgradeOf(a.Order.Service)
	return UpgradeTold{u.Number}, err
}

// revertUpgrade takes an operator's order to go back over the inner links.
func (n *Node) revertUpgrade(ctx context.Context, a UpgradeRevertAsk) (UpgradeTold, error) {
	if err := n.RevertUpgrade(ctx, a.Service); err != nil {
		return UpgradeTold{}, err
	}
	u, err := n.upgradeOf(a.Service)
	return UpgradeTold{u.Number}, err
}
