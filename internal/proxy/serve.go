package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"walkrudder/internal/steperr"
)

const (
	// stopMargin is kept free at the end of a planned stop.
	stopMargin = 300 * time.Millisecond
	// lastCallTime is how long before the end of a planned stop the last request is sent to a target:
	// who still waits for one then is told so while the answer can still leave.
	lastCallTime = 500 * time.Millisecond
	// acceptPause is waited where no connection can be taken in for want of files.
	acceptPause = 20 * time.Millisecond
	// mostNamed is how many requests a stop names that it could not finish.
	mostNamed = 20
)

// Serve takes callers in from ln until a planned stop closes it.
func (n *Node) Serve(ln net.Listener) error {
	n.cm.Lock()
	n.lns = append(n.lns, ln)
	n.cm.Unlock()
	if n.ended.Load() {
		_ = ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			var ne net.Error
			switch {
			case n.ended.Load():
				return nil
			case errors.Is(err, net.ErrClosed):
				return steperr.Wrap("accept", "", err)
			case errors.As(err, &ne):
				if err := n.clock.Sleep(context.Background(), acceptPause); err != nil {
					return steperr.Wrap("accept", "", err)
				}
				continue
			}
			return steperr.Wrap("accept", "", err)
		}
		n.admit(nc)
	}
}

// admit begins to serve a caller, unless there are too many.
func (n *Node) admit(nc net.Conn) {
	if n.stats.callers.Add(1) > n.maxCallers {
		n.stats.callers.Add(-1)
		n.stats.overfull.Add(1)
		_ = nc.Close()
		return
	}
	c := &caller{n: n, nc: nc}
	n.cm.Lock()
	n.callers[c] = struct{}{}
	n.wg.Add(1)
	n.cm.Unlock()
	go func() {
		defer func() {
			n.cm.Lock()
			delete(n.callers, c)
			n.cm.Unlock()
			n.stats.callers.Add(-1)
			n.wg.Done()
		}()
		c.serve()
	}()
}

// Stop ends the node in order. At once it is not ready, tells callers to close, and starts no download
// that it could not finish; for a while it takes in those who have yet to notice; then it closes the
// listeners and the idle callers, gives large answers the whole link, and returns when all inside is
// answered, or the grace is over. Nothing is answered in place of a target that is at work; what was
// sent to none shortly before the end is refused.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.Swap(true) {
		return nil
	}
	end := n.clock.Now().Add(n.set.stopTime())
	n.log.Info("a planned stop begins", "step", "stop", "under_way", n.underWay())
	n.downs.stop(end)
	if err := n.clock.Sleep(ctx, min(n.set.Linger, n.set.Grace/2)); err != nil {
		return steperr.Wrap("stop", "", err)
	}
	n.closeDoors()
	n.log.Info("no more callers are taken", "step", "stop", "under_way", n.underWay())
	done := make(chan struct{})
	go func() {
		n.wg.Wait()
		close(done)
	}()
	if n.ends(ctx, done, end.Add(-lastCallTime)) {
		return nil
	}
	close(n.lastCall)
	n.log.Info("the last call", "step", "stop", "under_way", n.underWay(), "requests", n.named())
	if n.ends(ctx, done, end) {
		return nil
	}
	if err := ctx.Err(); err != nil {
		return steperr.Wrap("stop", "", err)
	}
	n.logUnfinished()
	return steperr.New("stop", "", "%d requests were not answered in the grace", n.stats.inside.Load())
}

// closeDoors closes the listeners and the idle callers.
func (n *Node) closeDoors() {
	n.ended.Store(true)
	n.leaving.Store(true)
	n.cm.Lock()
	defer n.cm.Unlock()
	for _, ln := range n.lns {
		_ = ln.Close()
	}
	for c := range n.callers {
		c.release()
	}
	n.out.widen(n.set.LinkMbps)
}

// ends waits until all inside is answered, and tells whether it was before at.
func (n *Node) ends(ctx context.Context, done <-chan struct{}, at time.Time) bool {
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

// named lists some of the requests under way.
func (n *Node) named() []Unfinished {
	list := n.unfinished()
	return list[:min(len(list), mostNamed)]
}

// logUnfinished names requests that a planned stop leaves without an answer.
func (n *Node) logUnfinished() {
	for _, u := range n.named() {
		n.log.Warn("a request was not answered in the grace", "step", "stop", "request", u)
	}
}
