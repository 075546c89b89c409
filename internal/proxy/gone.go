package proxy

import (
	"context"
	"time"

	"walkrudder/internal/peer"
)

// gonePeriod is how often the connections of callers whose requests are under way are looked at.
// A look takes one system call a request, so what is answered sooner costs none or one.
const gonePeriod = 200 * time.Millisecond

// watchCallers ends the requests of callers that left, until ctx ends. A caller that closed its
// connection reads no answer any more; a target need not work for it.
func (n *Node) watchCallers(ctx context.Context) {
	for n.clock.Sleep(ctx, gonePeriod) == nil {
		if n.stats.inside.Load() > 0 {
			n.endForGone()
		}
	}
}

// endForGone looks once at every caller that waits for an answer.
func (n *Node) endForGone() {
	n.cm.Lock()
	var waiting []*caller
	for c := range n.callers {
		if c.leads.Load() != nil {
			waiting = append(waiting, c)
		}
	}
	n.cm.Unlock()
	for _, c := range waiting {
		// A connection that is closed has no later request.
		if x := c.leads.Load(); x != nil && peer.Closed(c.nc) && x.callerLeft() {
			n.stats.callersGone.Add(1)
		}
	}
}

// callerLeft ends the exchange, and gives up what is under way, unless the request may run once
// and may have run: then its target works on, for nobody could tell what became of it. Nothing
// more is sent in any case. It tells whether anything was ended.
func (x *exchange) callerLeft() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := !x.left
	x.left = true
	if x.won != nil || x.once && x.loose > 0 {
		return false
	}
	x.conclude(x.n.own(x.id, 502, 0, "the caller left"))
	return first
}
