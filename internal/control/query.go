package control

import (
	"context"

	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

// Queries let operators inspect a running node (design 25.7). They cost nothing while unused, and
// hold a lock for a few hundred entries at most. Only the two upgrade orders change anything.
const (
	// scanChunk is the number of entries that are read at once under the lock of a table.
	scanChunk = 256
	// maxConcurrentQueries is how many queries are answered at once; others wait for their turn.
	maxConcurrentQueries = 2
)

func init() {
	link.RegisterPair[ItemsAsk, Answer[ItemRow]]()
	link.RegisterPair[RunsAsk, Answer[RunRow]]()
	link.RegisterPair[MembersAsk, Answer[MemberRow]]()
	link.RegisterPair[DiskAsk, Answer[DiskRow]]()
	link.RegisterPair[CoreAsk, Answer[SeatRow]]()
	link.RegisterPair[CountersAsk, Answer[CounterRow]]()
	link.RegisterPair[UpgradesAsk, Answer[UpgradeRow]]()
	link.RegisterPair[UpgradeOrderAsk, UpgradeTold]()
	link.RegisterPair[UpgradeRevertAsk, UpgradeTold]()
}

// serveQueries registers the handlers of queries.
func (n *Node) serveQueries() {
	registerQuery(n, n.listItems)
	registerQuery(n, n.listRuns)
	registerQuery(n, n.listMembers)
	registerQuery(n, n.listDisks)
	registerQuery(n, n.listSeats)
	registerQuery(n, n.listCounters)
	registerQuery(n, n.listUpgrades)
	registerQuery(n, n.orderUpgrade)
	registerQuery(n, n.revertUpgrade)
}

// registerQuery registers a handler that validates the request, and limits concurrency, before it calls f.
func registerQuery[A, R any](n *Node, f func(context.Context, A) (R, error)) {
	link.Handle(n.Mux, func(ctx context.Context, _ link.Identity, a A) (r R, err error) {
		if err := validate.Struct(a); err != nil {
			n.calls.queries.record(true, nil)
			return r, steperr.Wrap("query", n.ID, err)
		}
		defer func() { n.calls.queries.record(false, err) }()
		select {
		case n.querySlots <- struct{}{}:
			defer func() { <-n.querySlots }()
		case <-ctx.Done():
			return r, steperr.Wrap("query", n.ID, ctx.Err())
		}
		return f(ctx, a)
	})
}

// about describes this node in answers.
func (n *Node) about() About {
	lag, fresh := n.fresh()
	return About{Node: n.ID, Zone: n.Zone, Fresh: fresh, BehindMS: lag.Milliseconds()}
}
