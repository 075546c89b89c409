package proxy

import (
	"math/rand/v2"
	"time"
)

// matchRoute selects the route and the service of a request.
func (n *Node) matchRoute(x *exchange) *rejection {
	if n.configStale() {
		n.stats.refused.Add(1)
		n.stats.behind.Add(1)
		return &rejection{status: 503, reason: "this node's news is late", retryAfter: n.jitter(minRetryAfter), requestID: x.id, keepOpen: true}
	}
	if rejected := n.applyRoute(x); rejected != nil {
		return rejected
	}
	x.svc.budget.RecordRequest()
	return nil
}

// applyRoute fills in the request's settings from the current routes.
func (n *Node) applyRoute(x *exchange) *rejection {
	v := n.view.Load()
	e := v.table.MatchBytes(x.host, x.path)
	switch {
	case e != nil:
	case !n.synced.Load():
		// The route may exist without this node having received it yet.
		n.stats.refused.Add(1)
		return &rejection{status: 503, reason: "this node does not know its routes yet", retryAfter: n.jitter(3 * minRetryAfter), requestID: x.id, keepOpen: true}
	default:
		n.stats.noRoute.Add(1)
		return &rejection{status: 404, reason: "no route", requestID: x.id, keepOpen: true}
	}
	svc := v.services[e.Pick(rand.Uint64())]
	if svc == nil {
		n.stats.refused.Add(1)
		return &rejection{status: 503, reason: "too many services", retryAfter: time.Second, requestID: x.id, keepOpen: true}
	}
	x.view, x.entry, x.svc, x.versionDraw = v, e, svc, rand.Float64()
	x.kind, x.atMostOnce = e.Repeat, !e.Repeat.AllowsRetry()
	x.maxAttempts, x.priority = max(1, e.Attempts), e.Priority
	x.latencyTarget = time.Duration(e.AimMS) * time.Millisecond
	wait := x.timeout
	if e.HoldMS > 0 {
		wait = min(wait, time.Duration(e.HoldMS)*time.Millisecond)
	}
	// The answer must arrive before the caller gives up.
	x.deadline = x.receivedAt.Add(wait - 8*time.Millisecond - wait/100)
	return nil
}

// reroute repeats the route lookup after a wait, before the first byte is sent: if a change came
// into force while the request was waiting, the request follows the change. Its
// retry budget share stays with the service for which it was counted, so that it is not
// granted twice.
func (n *Node) reroute(x *exchange) *rejection {
	v := n.view.Load()
	if v == x.view || x.anySent() {
		return nil
	}
	if e := v.table.MatchBytes(x.host, x.path); e == x.entry {
		x.view = v
		return nil
	}
	return n.applyRoute(x)
}
