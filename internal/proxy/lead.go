package proxy

import (
	"time"

	"walkrudder/internal/route"
)

const (
	// minLeft is the least time for which a request is sent at all.
	minLeft = 5 * time.Millisecond
	// maxDials bounds the runs that can't be reached for one request.
	maxDials = 6
)

// lead brings a request to a target and returns its final answer. It runs in the
// goroutine of the caller's connection; only an attempt besides has its own. On a narrow link a
// download, and a request whose like had large answers of late, first waits for its start.
func (n *Node) lead(x *exchange) *answer {
	if n.downloads == nil {
		return n.seek(x)
	}
	svc, kind := x.svc, x.kind
	if kind != route.Download && !svc.hasLargeAnswers(kind) {
		a := n.seek(x)
		svc.recordSize(kind, a)
		return a
	}
	x.progress.setStage(stageQueued)
	if !n.downloads.acquire(x.deadline.Sub(n.clock.Now())/4, 2*svc.usualWork()) {
		return x.finish(n.refusal(x, 3*minRetryAfter, "too many downloads at once"))
	}
	if kind == route.Download {
		x.streamStarted, x.buffersShared = make(chan struct{}), true
	}
	a := n.seekAfterWait(x)
	svc.recordSize(kind, a)
	n.downloads.answerReceived(a)
	if a.stream == nil {
		n.downloads.release()
	}
	return a
}

// seekAfterWait goes by what the routes say after a wait, and finds the request its answer.
func (n *Node) seekAfterWait(x *exchange) *answer {
	if w := n.reroute(x); w != nil {
		return x.finish(n.localAnswer(x.id, w.status, w.retryAfter, w.reason))
	}
	return n.seek(x)
}

// seek asks one target after the other until there is a final answer.
func (n *Node) seek(x *exchange) *answer {
	dials := 0
	for {
		if a := x.answer(); a != nil {
			return a
		}
		if n.lastCalled() {
			if n.await(x) {
				continue
			}
			return x.finish(n.refusal(x, minRetryAfter, "this node is stopping"))
		}
		if x.deadline.Sub(n.clock.Now()) < minLeft {
			return x.finish(n.late(x))
		}
		if n.outdated() {
			if n.await(x) {
				continue
			}
			n.stats.behind.Add(1)
			return x.finish(n.refusal(x, minRetryAfter, "this node's news is late"))
		}
		if !x.canSend() || dials >= maxDials {
			if n.await(x) {
				continue
			}
			return x.finish(n.refusal(x, minRetryAfter, "no target took it"))
		}
		x.progress.setStage(stageChoosing)
		g, retry := x.svc.acquire(x)
		if g.e == nil {
			if n.await(x) {
				continue
			}
			return x.finish(n.refusal(x, retry, "no target has room"))
		}
		if w := n.reroute(x); w != nil {
			g.e.svc.release(g, outcomeNotSent, 0, 0)
			return x.finish(n.localAnswer(x.id, w.status, w.retryAfter, w.reason))
		}
		if g.e.svc != x.svc {
			g.e.svc.release(g, outcomeNotSent, 0, 0)
			continue
		}
		x.progress.setStage(stageAsking)
		o := n.attemptPassing(x, g)
		if o == outcomeUnreachable {
			dials++
		}
		if !o.hasAnswer() {
			// One that is under way may still answer.
			n.await(x)
		}
	}
}

// attemptPassing makes an attempt, and returns as soon as there is an answer to go on to
// the caller, also one that has yet to come in whole.
func (n *Node) attemptPassing(x *exchange, g grant) (o outcome) {
	if x.streamStarted == nil {
		return n.attempt(x, g)
	}
	done := make(chan outcome, 1)
	go func() {
		o := n.attempt(x, g)
		n.leavePassed(x, g)
		done <- o
	}()
	select {
	case o = <-done:
		return o
	case <-x.streamStarted:
		return outcomeAnswered
	}
}

// passer lets the first proper answer over c that is large go on to the caller while it
// comes; nil where none may.
func (n *Node) passer(x *exchange, e *endpoint, c *conn) func(*answer) bool {
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

// leavePassed gives the place of a download back once its body has come in, where the
// answer went on before that.
func (n *Node) leavePassed(x *exchange, g grant) {
	x.mu.Lock()
	passed := x.streamSource == g.e
	x.mu.Unlock()
	if passed {
		n.downloads.release()
	}
}

// await waits for the attempt besides, and tells whether there was one.
func (n *Node) await(x *exchange) bool {
	c := x.hedgeInProgress()
	if c == nil {
		return false
	}
	<-c
	return true
}

// lastCalled tells whether a planned stop is so near its end that nothing is sent any more.
func (n *Node) lastCalled() bool {
	select {
	case <-n.sendsClosed:
		return true
	default:
		return false
	}
}

// refusal is the final answer where no target gave one in time: only what has not run,
// and never will, is told to come back.
func (n *Node) refusal(x *exchange, retry time.Duration, why string) *answer {
	if x.mayHaveRun() {
		n.stats.unknown.Add(1)
		return n.localAnswer(x.id, 502, 0, "the outcome is not known")
	}
	n.stats.refused.Add(1)
	return n.localAnswer(x.id, 503, n.jitter(retry), why)
}

// late is the final answer at the deadline.
func (n *Node) late(x *exchange) *answer {
	if x.mayHaveRun() {
		n.stats.late.Add(1)
		return n.localAnswer(x.id, 504, 0, "no answer in time")
	}
	return n.refusal(x, minRetryAfter, "it did not leave in time")
}
