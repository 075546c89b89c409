// Package stand holds the stand-ins for everything outside walkrudder: targets,
// callers and the platform, a runner for a fleet of real processes, and the
// checker that judges from the targets' and callers' own records.
package stand

import (
	"sync"
	"time"
)

// Exec is one request that reached a target and was run.
type Exec struct {
	At      time.Time
	Target  string
	Service string
	Inc     uint64
	Order   string
	Number  string // of the sending, as the flow named it
	Path    string
	Meant   string // target run the flow meant
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
	Flow       string
	Status     int
	Code       string // of our own verdicts
	Why        string
	SentOn     bool // our verdict says that the call may have reached a target
	Retry      string
	Stamp      string
	BodyOrder  string // order named in the answer's body
	BodyWhole  bool
	Err        string
}

// Change is an acknowledged change that the checker follows: from Acked on, Path
// is to run at Service and nowhere else.
type Change struct {
	Path    string
	Service string
	Asked   time.Time
	Acked   time.Time
	Version uint64
}

// Leave is an acknowledged leaving of a target run.
type Leave struct {
	Target string
	Inc    uint64
	Asked  time.Time
	Acked  time.Time
}

// Stop is a planned stop of a flow, from the warning to the end of its process,
// which no other failure hit.
type Stop struct {
	Flow      string
	From, End time.Time
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
	Execs    []Exec
	Outcomes []Outcome
	Changes  []Change
	Leaves   []Leave
	Stops    []Stop
	Downs    []Down
	// Asks are all changes asked for, acknowledged or not: what one that was never
	// acknowledged brought about is no fault of the one before.
	Asks []Change
	// Allowed maps a path to every service that some change ever bound it to,
	// with the time of the earliest ask.
	Allowed map[string]map[string]time.Time
}

// NewRecords makes empty records.
func NewRecords() *Records { return &Records{Allowed: map[string]map[string]time.Time{}} }

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

// Allow notes that a change asked for now binds path to service.
func (r *Records) Allow(path, service string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Asks = append(r.Asks, Change{Path: path, Service: service, Asked: at})
	if r.Allowed[path] == nil {
		r.Allowed[path] = map[string]time.Time{}
	}
	if _, ok := r.Allowed[path][service]; !ok {
		r.Allowed[path][service] = at
	}
}

// Change notes an acknowledged change.
func (r *Records) Change(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, c)
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
	for _, c := range r.Changes {
		changes = append(changes, c.Acked.Sub(c.Asked))
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
