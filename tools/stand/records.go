// Package stand holds the stand-ins for everything outside walkrudder: targets,
// callers and the platform, a runner for a fleet of real processes, and the
// checker that judges from the targets' and callers' own records.
package stand

import (
	"sync"
	"time"

	"walkrudder/internal/commands"
	"walkrudder/internal/spec"
)

// Arrival is one request that reached a target, or the way to one, noted before
// anything else: run, refused or lost.
type Arrival struct {
	At      time.Time
	Target  string
	Inc     uint64
	Service string
	Order   string
	Number  string // of the sending
	Path    string
}

// Exec is one request that reached a target and was run.
type Exec struct {
	At      time.Time
	Target  string
	Service string
	Inc     uint64
	Order   string
	Number  string // of the sending, as the gateway named it
	Path    string
	Meant   string // target run the gateway meant
	Digest  string // of the body that the target wrote as its answer
}

// Outcome is one call as its caller saw it.
type Outcome struct {
	Order      string
	Call       string // as our answer named it
	Path       string
	Service    string // that the path was bound to when sent, "" where unsure
	Repeatable bool
	Proper     bool
	Sent, Done time.Time
	Gateway    string
	Status     int
	Code       string // of our own verdicts
	Why        string
	SentOn     bool // our verdict says that the call may have reached a target
	Retry      string
	Stamp      string
	BodyOrder  string // order named in the answer's body
	BodyWhole  bool
	Digest     string // of the body as it came
	Err        string
}

// Asked is an operator's order as he noted it. The operator sends it again, to any
// controller, until he has a final result.
type Asked struct {
	Token string
	Edits []spec.Edit
	// Back is the version that the order rolls back to; then it has no edits.
	Back uint64
	// Bad says that the order was made to be refused.
	Bad bool
	At  time.Time
	// Outcome is the last result told, "" while there is none.
	Outcome string
	Version uint64
	Acked   time.Time
}

// Leave is an acknowledged leaving of a target run.
type Leave struct {
	Target string
	Inc    uint64
	Asked  time.Time
	Acked  time.Time
}

// Stop is a planned stop of a gateway, from the warning to the end of its process,
// which no other failure hit.
type Stop struct {
	Gateway   string
	From, End time.Time
}

// Out is what was done to a node from outside: while it lasts, links to the node
// may break or hang.
type Out struct {
	Node string
	How  string
	From time.Time
	To   time.Time // zero while it lasts
}

// Down is the crash of a target run.
type Down struct {
	Target string
	Inc    uint64
	At     time.Time
}

// Records is all that was written down in a run.
type Records struct {
	mu       sync.Mutex
	Arrivals []Arrival
	Execs    []Exec
	Outcomes []Outcome
	Orders   []Asked
	Leaves   []Leave
	Stops    []Stop
	Outs     []Out
	Downs    []Down
	Gones    []Leave // target runs that were told that they are let go
	// Acts counts the failures brought about, by name.
	Acts map[string]int
	// shown is every decision that an operator was ever shown.
	shown map[string]bool
}

// NewRecords makes empty records.
func NewRecords() *Records { return &Records{Acts: map[string]int{}, shown: map[string]bool{}} }

// Exec notes a run at a target.
func (r *Records) Exec(e Exec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Execs = append(r.Execs, e)
}

// Outcome notes the end of a call.
func (r *Records) Outcome(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes = append(r.Outcomes, o)
}

// Arrive notes a request that reached a target.
func (r *Records) Arrive(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

// Ask notes an order before it is first sent.
func (r *Records) Ask(a Asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Orders = append(r.Orders, a)
}

// Told notes what the operator was told of an order.
func (r *Records) Told(token, outcome string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.Orders {
		if o := &r.Orders[i]; o.Token == token && o.Acked.IsZero() {
			o.Outcome = outcome
			if outcome == commands.InForce {
				o.Version, o.Acked = version, time.Now()
			}
		}
	}
}

// Act notes that a failure was brought about.
func (r *Records) Act(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Acts[name]++
}

// Out notes what is done to a node from now on; the function ends it.
func (r *Records) Out(node, how string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outs = append(r.Outs, Out{Node: node, How: how, From: time.Now()})
	i := len(r.Outs) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.Outs[i].To.IsZero() {
			r.Outs[i].To = time.Now()
		}
	}
}

// Gone notes that a target run was told that it is let go.
func (r *Records) Gone(l Leave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Gones = append(r.Gones, l)
}

// Changed is how many orders were acknowledged.
func (r *Records) Changed() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.Orders {
		if !o.Acked.IsZero() {
			n++
		}
	}
	return n
}

// Leave notes an acknowledged leaving.
func (r *Records) Leave(l Leave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Leaves = append(r.Leaves, l)
}

// Stop notes a planned stop.
func (r *Records) Stop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Stops = append(r.Stops, s)
}

// Took tells how long changes and leavings took to their acknowledgement.
func (r *Records) Took() (changes, leaves []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.Orders {
		if !o.Acked.IsZero() {
			changes = append(changes, o.Acked.Sub(o.At))
		}
	}
	for _, l := range r.Leaves {
		leaves = append(leaves, l.Acked.Sub(l.Asked))
	}
	return changes, leaves
}

// Down notes a target's crash.
func (r *Records) Down(d Down) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Downs = append(r.Downs, d)
}

// Suspected tells, of suspicions that the ledger notes, which were of targets that
// had not crashed, and how long after their crash the others were noted.
func (r *Records) Suspected(notes []Down) (mistakes int, after []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range notes {
		right := false
		for _, d := range r.Downs {
			if d.Target == n.Target && d.Inc == n.Inc && !n.At.Before(d.At) {
				right = true
				after = append(after, n.At.Sub(d.At))
				break
			}
		}
		if !right {
			mistakes++
		}
	}
	return mistakes, after
}
