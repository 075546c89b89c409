// Package stand holds stand-ins for everything outside of walkrudder (targets, callers and the
// platform), a runner for a fleet of real processes, and a checker that judges a run by the records
// of targets and callers.
package stand

import (
	"sync"
	"time"

	"walkrudder/internal/commands"
	"walkrudder/internal/spec"
)

// Arrival is a request that reached a target or the network path to one. It is recorded first,
// whether the request is then executed, refused or lost.
type Arrival struct {
	At      time.Time
	Target  string
	Inc     uint64
	Service string
	Order   string
	SendID  string // identifies this send of the call
	Path    string
}

// Exec is a request that reached a target and was executed.
type Exec struct {
	At             time.Time
	Target         string
	Service        string
	Inc            uint64
	Order          string
	SendID         string // identifies this send of the call, as set by the gateway
	Path           string
	IntendedTarget string // target run that the gateway sent it to
	Digest         string // of the answer's body as the target wrote it
	Malformed      bool   // the target's answer is malformed
}

// Outcome is one call as its caller saw it.
type Outcome struct {
	Order        string
	Call         string // call ID from the gateway's answer
	Path         string
	Service      string // that the path was bound to when the call was sent, "" if uncertain
	Repeatable   bool
	Valid        bool
	Sent, Done   time.Time
	Gateway      string
	Status       int
	Code         string // error code of the gateway's own answers
	Reason       string
	Forwarded    bool // the gateway's answer says that the call may have reached a target
	RetryAfter   string
	Stamp        string
	BodyOrder    string // order named in the answer's body
	BodyComplete bool
	Digest       string // of the body as received
	Err          string
}

// ChangeRequest is an operator's change as the operator recorded it. It is sent again, to any
// controller, until there is a final result.
type ChangeRequest struct {
	Token string
	Edits []spec.Edit
	// RollbackTo is the version that the change rolls back to; there are no edits then.
	RollbackTo uint64
	// MustBeRefused marks a change that is invalid on purpose.
	MustBeRefused bool
	SubmittedAt   time.Time
	// Outcome is the last result received, "" if there is none yet.
	Outcome string
	Version uint64
	AckedAt time.Time
}

// Leave is an acknowledged leave of a target run.
type Leave struct {
	Target      string
	Inc         uint64
	RequestedAt time.Time
	AckedAt     time.Time
}

// Stop is a planned stop of a gateway, from the signal to the end of its process, that no other
// failure overlaps.
type Stop struct {
	Gateway   string
	From, End time.Time
}

// Outage is a failure imposed on a node from outside: while it lasts, connections to the node may
// break or hang.
type Outage struct {
	Node  string
	Cause string
	From  time.Time
	To    time.Time // zero while it lasts
}

// Crash is the crash of a target run.
type Crash struct {
	Target string
	Inc    uint64
	At     time.Time
}

// Records holds everything that was recorded in a run.
type Records struct {
	mu        sync.Mutex
	Arrivals  []Arrival
	Execs     []Exec
	Outcomes  []Outcome
	Changes   []ChangeRequest
	Leaves    []Leave
	Stops     []Stop
	Outages   []Outage
	Crashes   []Crash
	Evictions []Leave // target runs that were informed of their removal
	// FailureCounts counts the failures that were caused, by name.
	FailureCounts map[string]int
	// shownDecisions holds every decision that an operator was ever shown.
	shownDecisions map[string]bool
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{FailureCounts: map[string]int{}, shownDecisions: map[string]bool{}}
}

// RecordExec records an execution at a target.
func (r *Records) RecordExec(e Exec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Execs = append(r.Execs, e)
}

// RecordOutcome records the end of a call.
func (r *Records) RecordOutcome(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes = append(r.Outcomes, o)
}

// RecordArrival records a request that reached a target.
func (r *Records) RecordArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

// RecordChange records a change before it is first sent.
func (r *Records) RecordChange(a ChangeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, a)
}

// RecordChangeResult records a result that the operator received for a change.
func (r *Records) RecordChangeResult(token, outcome string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.Changes {
		if o := &r.Changes[i]; o.Token == token && o.AckedAt.IsZero() {
			o.Outcome = outcome
			if outcome == commands.InForce {
				o.Version, o.AckedAt = version, time.Now()
			}
		}
	}
}

// CountFailure counts a failure that was caused.
func (r *Records) CountFailure(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FailureCounts[name]++
}

// BeginOutage records the begin of an outage; the returned function ends it.
func (r *Records) BeginOutage(node, cause string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outages = append(r.Outages, Outage{Node: node, Cause: cause, From: time.Now()})
	i := len(r.Outages) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.Outages[i].To.IsZero() {
			r.Outages[i].To = time.Now()
		}
	}
}

// RecordEviction records that a target run was informed of its removal.
func (r *Records) RecordEviction(l Leave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Evictions = append(r.Evictions, l)
}

// AckedChanges returns the number of acknowledged changes.
func (r *Records) AckedChanges() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.Changes {
		if !o.AckedAt.IsZero() {
			n++
		}
	}
	return n
}

// RecordLeave records an acknowledged leave.
func (r *Records) RecordLeave(l Leave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Leaves = append(r.Leaves, l)
}

// RecordStop records a planned stop.
func (r *Records) RecordStop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Stops = append(r.Stops, s)
}

// AckLatencies returns how long changes and leaves took to be acknowledged.
func (r *Records) AckLatencies() (changes, leaves []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.Changes {
		if !o.AckedAt.IsZero() {
			changes = append(changes, o.AckedAt.Sub(o.SubmittedAt))
		}
	}
	for _, l := range r.Leaves {
		leaves = append(leaves, l.AckedAt.Sub(l.RequestedAt))
	}
	return changes, leaves
}

// RecordCrash records a target's crash.
func (r *Records) RecordCrash(d Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Crashes = append(r.Crashes, d)
}

// ClassifySuspicions counts the suspicions of targets that had not crashed. For each of the others it
// returns the delay from the crash to the suspicion.
func (r *Records) ClassifySuspicions(suspicions []Crash) (mistakes int, delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range suspicions {
		crashed := false
		for _, d := range r.Crashes {
			if d.Target == n.Target && d.Inc == n.Inc && !n.At.Before(d.At) {
				crashed = true
				delays = append(delays, n.At.Sub(d.At))
				break
			}
		}
		if !crashed {
			mistakes++
		}
	}
	return mistakes, delays
}
