package proxy

import (
	"context"
	"time"

	"walkrudder/internal/peer"
)

// disconnectCheckInterval is how often the connections of callers with a request in flight are checked.
// A check takes one system call per request, so requests answered sooner cost at most one.
const disconnectCheckInterval = 200 * time.Millisecond

// watchDisconnects cancels the requests of disconnected callers until ctx ends. A caller that closed its
// connection does not read the answer any more, so no target needs to work on it.
func (n *Node) watchDisconnects(ctx context.Context) {
	for n.clock.Sleep(ctx, disconnectCheckInterval) == nil {
		if n.stats.inside.Load() > 0 {
			n.cancelDisconnected()
		}
	}
}

// cancelDisconnected checks every caller that waits for an answer once.
func (n *Node) cancelDisconnected() {
	n.callersMu.Lock()
	var waiting []*callerConn
	for c := range n.callers {
		if c.awaiting.Load() != nil {
			waiting = append(waiting, c)
		}
	}
	n.callersMu.Unlock()
	for _, c := range waiting {
		// A closed connection has no later request, so x is the one that was abandoned.
		if x := c.awaiting.Load(); x != nil && peer.Closed(c.nc) && x.callerDisconnected() {
			n.stats.callersGone.Add(1)
		}
	}
}

// callerDisconnected finishes the exchange and aborts the sends in progress, unless the request is at-most-once
// and may have run: then its target continues, because otherwise the outcome would be unknown. In either
// case nothing more is sent. It reports whether a request was canceled.
func (x *exchange) callerDisconnected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := !x.callerGone
	x.callerGone = true
	if x.result != nil || x.atMostOnce && x.unresolved > 0 {
		return false
	}
	x.setResult(x.n.localAnswer(x.id, 502, 0, "the caller left"))
	return first
}
