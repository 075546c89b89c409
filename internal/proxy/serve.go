package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"walkrudder/internal/steperr"
)

const (
	// stopMargin is reserved at the end of a planned stop.
	stopMargin = 300 * time.Millisecond
	// finalSendMargin is how long before the end of a planned stop the last request is sent to a target:
	// requests still waiting for a target are then refused while the refusal can still be delivered.
	finalSendMargin = 500 * time.Millisecond
	// acceptRetryDelay is the pause after an accept that failed, for instance for lack of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// maxLoggedRequests bounds the unfinished requests that a planned stop logs.
	maxLoggedRequests = 20
)

// Serve accepts caller connections from ln until a planned stop closes it.
func (n *Node) Serve(ln net.Listener) error {
	n.callersMu.Lock()
	n.listeners = append(n.listeners, ln)
	n.callersMu.Unlock()
	if n.listenersClosed.Load() {
		_ = ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			var ne net.Error
			switch {
			case n.listenersClosed.Load():
				return nil
			case errors.Is(err, net.ErrClosed):
				return steperr.Wrap("accept", "", err)
			case errors.As(err, &ne):
				if err := n.clock.Sleep(context.Background(), acceptRetryDelay); err != nil {
					return steperr.Wrap("accept", "", err)
				}
				continue
			}
			return steperr.Wrap("accept", "", err)
		}
		n.startCaller(nc)
	}
}

// startCaller starts serving a connection, or closes it if there are too many.
func (n *Node) startCaller(nc net.Conn) {
	if n.stats.callers.Add(1) > n.maxCallers {
		n.stats.callers.Add(-1)
		n.stats.overfull.Add(1)
		_ = nc.Close()
		return
	}
	c := &callerConn{n: n, nc: nc}
	n.callersMu.Lock()
	n.callers[c] = struct{}{}
	n.callersWG.Add(1)
	n.callersMu.Unlock()
	go func() {
		defer func() {
			n.callersMu.Lock()
			delete(n.callers, c)
			n.callersMu.Unlock()
			n.stats.callers.Add(-1)
			n.callersWG.Done()
		}()
		c.serve()
	}()
}

// Stop shuts the node down gracefully. It immediately reports not ready, asks callers to close their
// connections and starts no download that it could not finish. For the linger time it still accepts
// callers that have not noticed yet; then it closes the listeners and the idle connections, lets large
// answers use the whole link, and returns when every request is answered or the grace period is over.
// Requests at a target are never answered in its place; requests that were not yet sent to a target
// shortly before the end are refused.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.Swap(true) {
		return nil
	}
	deadline := n.clock.Now().Add(n.settings.stopTimeout())
	n.log.Info("a planned stop begins", "step", "stop", "under_way", n.inFlight())
	n.downloads.setStopDeadline(deadline)
	if err := n.clock.Sleep(ctx, min(n.settings.Linger, n.settings.Grace/2)); err != nil {
		return steperr.Wrap("stop", "", err)
	}
	n.closeListeners()
	n.log.Info("no more callers are taken", "step", "stop", "under_way", n.inFlight())
	finished := make(chan struct{})
	go func() {
		n.callersWG.Wait()
		close(finished)
	}()
	if n.waitDone(ctx, finished, deadline.Add(-finalSendMargin)) {
		return nil
	}
	close(n.sendsClosed)
	n.log.Info("the last call", "step", "stop", "under_way", n.inFlight(), "requests", n.sampleUnfinished())
	if n.waitDone(ctx, finished, deadline) {
		return nil
	}
	if err := ctx.Err(); err != nil {
		return steperr.Wrap("stop", "", err)
	}
	n.logUnfinished()
	return steperr.New("stop", "", "%d requests were not answered in the grace", n.stats.inside.Load())
}

// closeListeners closes the listeners and the idle caller connections.
func (n *Node) closeListeners() {
	n.listenersClosed.Store(true)
	n.closingIdle.Store(true)
	n.callersMu.Lock()
	defer n.callersMu.Unlock()
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
	for c := range n.callers {
		c.interruptIdle()
	}
	n.outbound.useWholeLink(n.settings.LinkMbps)
}

// waitDone waits until every request is answered, and reports whether that was before at.
func (n *Node) waitDone(ctx context.Context, done <-chan struct{}, at time.Time) bool {
	c, stop := n.clock.After(max(0, at.Sub(n.clock.Now())))
	defer stop()
	select {
	case <-done:
		return true
	case <-c:
	case <-ctx.Done():
	}
	return false
}

// sampleUnfinished returns up to maxLoggedRequests of the requests in flight.
func (n *Node) sampleUnfinished() []Unfinished {
	list := n.listUnfinished()
	return list[:min(len(list), maxLoggedRequests)]
}

// logUnfinished logs requests that a planned stop leaves unanswered.
func (n *Node) logUnfinished() {
	for _, u := range n.sampleUnfinished() {
		n.log.Warn("a request was not answered in the grace", "step", "stop", "request", u)
	}
}
