package proxy

import (
	"time"

	"walkrudder/internal/route"
)

const (
	// minSendTime is the least time before the deadline at which a request is still sent.
	minSendTime = 5 * time.Millisecond
	// maxFailedDials bounds the failed connects for one request.
	maxFailedDials = 6
)

// forward sends a request to a target and returns its final answer. It runs in the goroutine of
// the caller's connection; only hedged attempts and those that may stream have their own. On a
// narrow link, downloads and requests of a kind that recently had large answers first wait for a
// download slot.
func (n *Node) forward(x *exchange) *answer {
	if n.downloads == nil {
		return n.tryTargets(x)
	}
	svc, kind := x.svc, x.kind
	if kind != route.Download && !svc.hasLargeAnswers(kind) {
		a := n.tryTargets(x)
		svc.recordSize(kind, a)
		return a
	}
	x.progress.setStage(stageQueued)
	if !n.downloads.acquire(x.deadline.Sub(n.clock.Now())/4, 2*svc.typicalLatency()) {
		return x.finish(n.refusal(x, 3*minRetryAfter, "too many downloads at once"))
	}
	if kind == route.Download {
		x.streamStarted, x.buffersShared = make(chan struct{}), true
	}
	a := n.tryTargetsAfterWait(x)
	svc.recordSize(kind, a)
	n.downloads.answerReceived(a)
	if a.stream == nil {
		n.downloads.release()
	}
	return a
}

// tryTargetsAfterWait re-evaluates the route after a wait, then sends the request.
func (n *Node) tryTargetsAfterWait(x *exchange) *answer {
	if rejected := n.reroute(x); rejected != nil {
		return x.finish(n.localAnswer(x.id, rejected.status, rejected.retryAfter, rejected.reason))
	}
	return n.tryTargets(x)
}

// tryTargets tries one target after the other until there is a final answer.
func (n *Node) tryTargets(x *exchange) *answer {
	failedDials := 0
	for {
		if a := x.answer(); a != nil {
			return a
		}
		if n.sendingStopped() {
			if n.awaitHedge(x) {
				continue
			}
			return x.finish(n.refusal(x, minRetryAfter, "this node is stopping"))
		}
		if x.deadline.Sub(n.clock.Now()) < minSendTime {
			return x.finish(n.timeoutAnswer(x))
		}
		if n.configStaleOnArrival() {
			if n.awaitHedge(x) {
				continue
			}
			n.stats.behind.Add(1)
			return x.finish(n.refusal(x, minRetryAfter, "this node's news is late"))
		}
		if !x.canSend() || failedDials >= maxFailedDials {
			if n.awaitHedge(x) {
				continue
			}
			return x.finish(n.refusal(x, minRetryAfter, "no target took it"))
		}
		x.progress.setStage(stageChoosing)
		g, retry := x.svc.acquire(x)
		if g.e == nil {
			if n.awaitHedge(x) {
				continue
			}
			return x.finish(n.refusal(x, retry, "no target has room"))
		}
		if rejected := n.reroute(x); rejected != nil {
			g.e.svc.release(g, outcomeNotSent, 0, 0)
			return x.finish(n.localAnswer(x.id, rejected.status, rejected.retryAfter, rejected.reason))
		}
		if g.e.svc != x.svc {
			g.e.svc.release(g, outcomeNotSent, 0, 0)
			continue
		}
		x.progress.setStage(stageAsking)
		o := n.attemptStreaming(x, g)
		if o == outcomeUnreachable {
			failedDials++
		}
		if !o.hasAnswer() {
			// An attempt in flight may still answer.
			n.awaitHedge(x)
		}
	}
}

// attemptStreaming makes an attempt and returns as soon as an answer can be forwarded to the
// caller, even if its body has not arrived in whole.
func (n *Node) attemptStreaming(x *exchange, g grant) (o outcome) {
	if x.streamStarted == nil {
		return n.attempt(x, g)
	}
	done := make(chan outcome, 1)
	go func() {
		o := n.attempt(x, g)
		n.endStreamedDownload(x, g)
		done <- o
	}()
	select {
	case o = <-done:
		return o
	case <-x.streamStarted:
		return outcomeAnswered
	}
}

// streamAnswer returns a function that lets the first valid large answer over c be forwarded to
// the caller while it arrives, or nil where streaming is not allowed.
func (n *Node) streamAnswer(x *exchange, e *endpoint, c *conn) func(*answer) bool {
	if x.streamStarted == nil {
		return nil
	}
	return func(a *answer) bool {
		c.onSoftDeadline = nil
		x.endSend(c, false, false)
		if !x.offerResult(a) {
			return false
		}
		x.mu.Lock()
		x.streamSource = e
		x.mu.Unlock()
		n.stats.passed.Add(1)
		close(x.streamStarted)
		return true
	}
}

// endStreamedDownload frees the download slot once the body has arrived, if the answer was forwarded
// before that.
func (n *Node) endStreamedDownload(x *exchange, g grant) {
	x.mu.Lock()
	streamed := x.streamSource == g.e
	x.mu.Unlock()
	if streamed {
		n.downloads.release()
	}
}

// awaitHedge waits for the hedged attempt, and reports whether there was one.
func (n *Node) awaitHedge(x *exchange) bool {
	done := x.hedgeInProgress()
	if done == nil {
		return false
	}
	<-done
	return true
}

// sendingStopped reports whether a planned shutdown is so close to its end that nothing more is sent.
func (n *Node) sendingStopped() bool {
	select {
	case <-n.sendsClosed:
		return true
	default:
		return false
	}
}

// refusal is the final answer when no target gave one in time. It asks the caller to retry only if
// the request has not run and never will.
func (n *Node) refusal(x *exchange, retry time.Duration, why string) *answer {
	if x.mayHaveRun() {
		n.stats.unknown.Add(1)
		return n.localAnswer(x.id, 502, 0, "the outcome is not known")
	}
	n.stats.refused.Add(1)
	return n.localAnswer(x.id, 503, n.jitter(retry), why)
}

// timeoutAnswer is the final answer at the deadline.
func (n *Node) timeoutAnswer(x *exchange) *answer {
	if x.mayHaveRun() {
		n.stats.late.Add(1)
		return n.localAnswer(x.id, 504, 0, "no answer in time")
	}
	return n.refusal(x, minRetryAfter, "it did not leave in time")
}
