package control

import (
	"context"

	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

// Queries let operators look into a running node (design 25.7). But for the two orders of upgrades a query changes nothing,
// costs nothing while nobody asks, and holds a lock for some hundred entries at most.
const (
	// chunk is how many entries are looked at in one go under a table's lock.
	chunk = 256
	// mostQueries is how many are answered at once; others wait for their turn.
	mostQueries = 2
)

func init() {
	link.Pair[ItemsAsk, Answer[ItemRow]]()
	link.Pair[RunsAsk, Answer[RunRow]]()
	link.Pair[MembersAsk, Answer[MemberRow]]()
	link.Pair[DiskAsk, Answer[DiskRow]]()
	link.Pair[CoreAsk, Answer[SeatRow]]()
	link.Pair[CountersAsk, Answer[CounterRow]]()
	link.Pair[UpgradesAsk, Answer[UpgradeRow]]()
	link.Pair[UpgradeOrderAsk, UpgradeTold]()
	link.Pair[UpgradeRevertAsk, UpgradeTold]()
}

// serveQueries teaches the desk to answer them.
func (n *Node) serveQueries() {
	query(n, n.items)
	query(n, n.runs)
	query(n, n.memberRows)
	query(n, n.disks)
	query(n, n.coreRows)
	query(n, n.counters)
	query(n, n.upgradeRows)
	query(n, n.orderUpgrade)
	query(n, n.revertUpgrade)
}

// query checks an ask before it is answered.
func query[A, R any](n *Node, f func(context.Context, A) (R, error)) {
	link.On(n.Desk, func(ctx context.Context, _ link.Who, a A) (r R, err error) {
		if err := check.Struct(a); err != nil {
			n.counts.queries.note(true, nil)
			return r, steperr.Wrap("query", n.ID, err)
		}
		defer func() { n.counts.queries.note(false, err) }()
		select {
		case n.asked <- struct{}{}:
			defer func() { <-n.asked }()
		case <-ctx.Done():
			return r, steperr.Wrap("query", n.ID, ctx.Err())
		}
		return f(ctx, a)
	})
}

// about is this node, as answers name it.
func (n *Node) about() About {
	lag, fresh := n.fresh()
	return About{Node: n.ID, Zone: n.Zone, Fresh: fresh, BehindMS: lag.Milliseconds()}
}
