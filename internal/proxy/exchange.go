package proxy

import (
	"slices"
	"sync"
	"time"

	"walkrudder/internal/route"
)

// exchange is one request and what befell it. All but the part under mu is written
// before the first attempt and only read after it.
type exchange struct {
	n        *Node
	svc      *service
	kind     route.RetryPolicy
	once     bool
	attempts int
	priority int
	aim      time.Duration
	came     time.Time
	wait     time.Duration // for which the caller waits
	deadline time.Time     // by which the caller has an answer

	host, path []byte  // the caller's, until its next request is read
	lot        float64 // drawn from 0 to 1, for the share of a new version
	view       *view   // by which it was placed last
	entry      *route.Entry

	id     []byte // of the request, as the caller gave it
	head   []byte // request line and fields, up to those of each attempt
	body   []byte
	framed bool // the request had a body, maybe an empty one
	noBody bool // the answer has no body, as to HEAD
	held   int  // bytes reserved
	shared bool // an attempt of another goroutine may still read the buffers

	progress progress

	mu       sync.Mutex
	tried    []*endpoint
	arrivals int  // attempts of which a byte may have left
	loose    int  // of these, without the target's word that it did not run
	paid     bool // the next arrival is paid for from the budget
	live     []*conn
	won      *answer
	left     bool          // the caller has closed its connection
	passed   chan struct{} // closed once won goes on to the caller while it comes; nil where none may
	reader   *endpoint     // the run that it comes from
	hedge    chan struct{} // closed when the attempt besides is over; nil is none
}

// didTry tells whether the run was asked already.
func (x *exchange) didTry(e *endpoint) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Contains(x.tried, e)
}

// enter begins an attempt's use of a connection. It is the last word before the first
// byte leaves: no more targets than allowed, none but the first without the budget's
// leave, none once there is an answer, and for a request that may run once none while
// it may have run.
func (x *exchange) enter(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.won != nil || x.left || x.n.lastCalled() || x.arrivals >= x.attempts || x.once && x.loose > 0 || !x.pay() {
		return false
	}
	x.paid = false
	x.arrivals++
	x.loose++
	x.live = append(x.live, c)
	return true
}

// pay makes sure that one more arrival is paid for.
func (x *exchange) pay() bool {
	if x.arrivals > 0 && !x.paid {
		if x.paid = x.svc.acct.TryExtraSend(); !x.paid {
			x.n.stats.overBudget.Add(1)
		}
	}
	return x.paid || x.arrivals == 0
}

// more tells whether another target may be asked.
func (x *exchange) more() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.won == nil && !x.left && x.arrivals < x.attempts && !(x.once && x.loose > 0) && x.pay()
}

// leave ends the use of a connection, with what is known then: notSent is that no byte
// left, notRun the target's word.
func (x *exchange) leave(c *conn, notSent, notRun bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.live = slices.DeleteFunc(x.live, func(l *conn) bool { return l == c })
	if notSent {
		x.arrivals--
		// What was paid for it pays for the next one.
		x.paid = x.arrivals > 0
	}
	if notSent || notRun {
		x.loose--
	}
}

// win makes a the answer, unless there is one, and gives up the other attempts.
func (x *exchange) win(a *answer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.won != nil {
		return false
	}
	x.conclude(a)
	return true
}

// conclude makes a the answer and gives up what is under way. Under mu.
func (x *exchange) conclude(a *answer) {
	x.won = a
	for _, c := range x.live {
		c.giveUp()
	}
}

// end closes the exchange without an answer of a target; what is under way is given up.
func (x *exchange) end(a *answer) *answer {
	if !x.win(a) {
		a.free()
	}
	return x.won
}

// sent tells whether any byte may have left, or is about to.
func (x *exchange) sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.arrivals > 0
}

// mayHaveRun tells whether some target may have run it.
func (x *exchange) mayHaveRun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.loose > 0
}

func (x *exchange) answer() *answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.won
}

// try notes that the run is asked.
func (x *exchange) try(e *endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tried = append(x.tried, e)
}

func (x *exchange) besides() chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hedge
}

// free gives back what the request held.
func (x *exchange) free() {
	x.n.mem.give(x.held)
	if x.shared {
		return
	}
	putBuffer(x.head)
	putBuffer(x.body)
	x.head, x.body = nil, nil
}
