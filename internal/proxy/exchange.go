package proxy

import (
	"slices"
	"sync"
	"time"

	"walkrudder/internal/route"
)

// exchange is a request and its processing state. All fields except those under mu are written
// before the first attempt and only read after it.
type exchange struct {
	n             *Node
	svc           *service
	kind          route.RetryPolicy
	atMostOnce    bool
	maxAttempts   int
	priority      int
	latencyTarget time.Duration
	receivedAt    time.Time
	timeout       time.Duration // how long the caller waits
	deadline      time.Time     // by which the caller must have an answer

	host, path  []byte       // in the caller's buffer, valid until its next request is read
	versionDraw float64      // random number in [0, 1) that decides on the share of a new version
	view        *routingView // used for the last route lookup
	entry       *route.Entry

	id            []byte // of the request, as the caller sent it
	head          []byte // request line and fields, without those that each attempt appends
	body          []byte
	hasBody       bool // the request had a body, possibly an empty one
	noBody        bool // the answer has no body, as for HEAD
	reservedBytes int  // memory charged
	buffersShared bool // an attempt in another goroutine may still read the buffers

	progress progress

	mu            sync.Mutex
	tried         []*endpoint
	sends         int  // attempts of which a byte may have been sent
	unresolved    int  // sends for which the target has not stated that the request did not run
	budgetPaid    bool // the next send is already charged to the retry budget
	activeConns   []*conn
	result        *answer
	callerGone    bool          // the caller has closed its connection
	streamStarted chan struct{} // closed once result is streamed to the caller; nil if streaming is not allowed
	streamSource  *endpoint     // the run from which it is streamed
	hedgeDone     chan struct{} // closed when the hedged attempt is over; nil if there is none
}

// hasTried reports whether there was an attempt at the run.
func (x *exchange) hasTried(e *endpoint) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Contains(x.tried, e)
}

// beginSend starts an attempt's use of a connection and is the final check before the first byte
// is sent. It allows at most maxAttempts sends, each after the first only if the retry budget
// permits. It allows none once there is an answer, the caller has disconnected or a planned stop
// has ended sending, and none of an at-most-once request that may have run.
func (x *exchange) beginSend(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.result != nil || x.callerGone || x.n.sendingStopped() || x.sends >= x.maxAttempts || x.atMostOnce && x.unresolved > 0 || !x.payBudget() {
		return false
	}
	x.budgetPaid = false
	x.sends++
	x.unresolved++
	x.activeConns = append(x.activeConns, c)
	return true
}

// payBudget charges the next send to the retry budget, unless it is the first or is charged
// already, and reports whether it may be made. Under mu.
func (x *exchange) payBudget() bool {
	if x.sends > 0 && !x.budgetPaid {
		if x.budgetPaid = x.svc.budget.TryExtraSend(); !x.budgetPaid {
			x.n.stats.overBudget.Add(1)
		}
	}
	return x.budgetPaid || x.sends == 0
}

// canSend reports whether another target may be asked.
func (x *exchange) canSend() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.result == nil && !x.callerGone && x.sends < x.maxAttempts && !(x.atMostOnce && x.unresolved > 0) && x.payBudget()
}

// endSend ends the use of a connection: notSent means that no byte was sent, notRun that the
// target stated that the request did not run.
func (x *exchange) endSend(c *conn, notSent, notRun bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.activeConns = slices.DeleteFunc(x.activeConns, func(l *conn) bool { return l == c })
	if notSent {
		x.sends--
		// The charge for it covers the next send.
		x.budgetPaid = x.sends > 0
	}
	if notSent || notRun {
		x.unresolved--
	}
}

// offerResult makes a the result and aborts the other attempts, unless there is a result already.
func (x *exchange) offerResult(a *answer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.result != nil {
		return false
	}
	x.setResult(a)
	return true
}

// setResult makes a the result and aborts the sends in progress. Under mu.
func (x *exchange) setResult(a *answer) {
	x.result = a
	for _, c := range x.activeConns {
		c.abort()
	}
}

// finish ends the exchange with an answer of the node itself; sends in progress are aborted.
func (x *exchange) finish(a *answer) *answer {
	if !x.offerResult(a) {
		a.free()
	}
	return x.result
}

// anySent reports whether any byte may have been sent, or is about to be.
func (x *exchange) anySent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sends > 0
}

// mayHaveRun reports whether some target may have run the request.
func (x *exchange) mayHaveRun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.unresolved > 0
}

func (x *exchange) answer() *answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.result
}

// markTried records an attempt at the run.
func (x *exchange) markTried(e *endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tried = append(x.tried, e)
}

func (x *exchange) hedgeInProgress() chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hedgeDone
}

// free releases the memory of the request.
func (x *exchange) free() {
	x.n.memory.release(x.reservedBytes)
	if x.buffersShared {
		return
	}
	putBuffer(x.head)
	putBuffer(x.body)
	x.head, x.body = nil, nil
}
