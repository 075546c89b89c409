package proxy

import (
	"math/rand/v2"
	"time"
)

// place finds the route and the service.
func (n *Node) place(x *exchange) *refused {
	if n.behind() {
		n.stats.refused.Add(1)
		n.stats.behind.Add(1)
		return &refused{status: 503, why: "this node's news is late", retry: n.spreadOut(minRetry), id: x.id, keep: true}
	}
	if w := n.lay(x); w != nil {
		return w
	}
	x.svc.acct.RecordRequest()
	return nil
}

// lay takes what the routes say now for the request.
func (n *Node) lay(x *exchange) *refused {
	v := n.view.Load()
	e := v.table.MatchBytes(x.host, x.path)
	switch {
	case e != nil:
	case !n.synced.Load():
		// It may be one that this node has yet to hear of.
		n.stats.refused.Add(1)
		return &refused{status: 503, why: "this node does not know its routes yet", retry: n.spreadOut(3 * minRetry), id: x.id, keep: true}
	default:
		n.stats.noRoute.Add(1)
		return &refused{status: 404, why: "no route", id: x.id, keep: true}
	}
	svc := v.services[e.Pick(rand.Uint64())]
	if svc == nil {
		n.stats.refused.Add(1)
		return &refused{status: 503, why: "too many services", retry: time.Second, id: x.id, keep: true}
	}
	x.view, x.entry, x.svc, x.lot = v, e, svc, rand.Float64()
	x.kind, x.once = e.Repeat, !e.Repeat.AllowsRetry()
	x.attempts, x.priority = max(1, e.Attempts), e.Priority
	x.aim = time.Duration(e.AimMS) * time.Millisecond
	wait := x.wait
	if e.HoldMS > 0 {
		wait = min(wait, time.Duration(e.HoldMS)*time.Millisecond)
	}
	// The answer is to be there before the caller has gone.
	x.deadline = x.came.Add(wait - 8*time.Millisecond - wait/100)
	return nil
}

// reroute looks once more, after a wait and before the first byte leaves, what the routes
// say: a request may have waited for a place while a change came into force, and then it
// goes by the change. Its share of the budget stays with the service that it was counted
// for, so that none is given twice.
func (n *Node) reroute(x *exchange) *refused {
	v := n.view.Load()
	if v == x.view || x.sent() {
		return nil
	}
	if e := v.table.MatchBytes(x.host, x.path); e == x.entry {
		x.view = v
		return nil
	}
	return n.lay(x)
}
