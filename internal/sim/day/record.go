// Package day simulates whole days of the system from its users' point of view (design 15). Zones
// of machines, each with a gateway and some with a controller, serve targets, callers and operators
// over a simulated network while scenarios drawn from a seed inject faults. What callers, targets
// and operators observe is recorded, and checkers test the record against the rules.
package day

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/item"
	"walkrudder/internal/target"
)

// Bounds are the limits that the rules check against. A machine is in contact after Contact without faults.
// A change must take effect within Apply, or up to MaxApplyExtension later if the core is unstable. A version
// that was in effect must hold for requests sent more than OverlapTolerance later. A request that reached no
// target may be dropped by a stopping gateway within DropTolerance of being sent. CatchUp is how long machines
// need to recover after a restart.
type Bounds struct {
	Contact, Apply, OverlapTolerance, MaxApplyExtension, Drain, Grace, DropTolerance, Ack, Recovery, CatchUp time.Duration

	// ExposureShare is the share of a service's requests that a bad version may receive during its term, plus ExposureSlack
	// requests. After its 50th bad response and a further Rollback it may receive none.
	ExposureShare float64
	ExposureSlack int
	Rollback      time.Duration

	BudgetRatio  float64
	BudgetWindow time.Duration
	BudgetSlack  int
}

// DefaultBounds returns the limits used by most deployments.
func DefaultBounds() Bounds {
	return Bounds{Contact: 3 * time.Second, Apply: 2 * time.Second, OverlapTolerance: 250 * time.Millisecond, MaxApplyExtension: 5 * time.Second, Drain: 2 * time.Second,
		Grace: 6 * time.Second, DropTolerance: 200 * time.Millisecond, Ack: 4 * time.Second, Recovery: 15 * time.Second, CatchUp: 4 * time.Second,
		ExposureShare: 0.1, ExposureSlack: 20, Rollback: 5 * time.Second, BudgetRatio: 0.2, BudgetWindow: 10 * time.Second, BudgetSlack: 40}
}

// Request is one attempt by a caller, as observed by the caller. Times are relative to the start of the day.
type Request struct {
	ID, Method, Path, Host, Body string
	Route                        string
	AtMostOnce                   bool
	Zone                         string
	Machine                      string // the machine that accepted the connection
	GatewayRun                   int    // which run of its gateway, counted from 1
	Sent, Done, Deadline         time.Duration
	FullySent                    bool // the whole request was written and accepted by the machine's network stack
	// Probe marks requests that only reveal the active configuration; they are not counted as traffic.
	Probe bool

	Status     int // 0 if no complete response was received
	ResponseID string
	Seal       string
	BodyDigest string
	RetryAfter time.Duration
	// BadResponse reports that a response began and ended early, or was not valid HTTP.
	BadResponse bool
	// MalformedHead reports that the head of a response does not conform to the grammar.
	MalformedHead bool
	// Truncated qualifies BadResponse: the response began correctly and ended before its declared
	// length, so that the caller can see that it is incomplete.
	Truncated bool
	// UnsolicitedBytes reports that bytes arrived that no request was waiting for.
	UnsolicitedBytes bool
	// TimedOut reports that the caller stopped waiting.
	TimedOut bool
	// Disconnected reports that the caller closed its connection at Done, before its deadline.
	Disconnected bool
}

// bodyDigest represents a body in a record; keeping all bodies of a day would take too much memory.
func bodyDigest(body string) string {
	return fmt.Sprintf("%d bytes %x", len(body), xxhash.Sum64String(body))
}

// Arrival is a request received by a target, as observed by the target.
type Arrival struct {
	ID, Method, Path, Host, Body string
	Run, Service, Machine        string
	Version                      string // of the target's software
	ArrivedAt                    time.Duration
	Ran                          bool
	StartedAt                    time.Duration
	DueAt                        time.Duration // when the work would have ended if not interrupted
	FinishedAt                   time.Duration // when the work ended
	Misdirected                  bool          // answered with status 421
	Status                       int           // of the response; 0 if none was sent
	Seal, BodyDigest             string        // of the complete response body that the target has for the request
	ResponseFault                bool          // the target cut its own response short or corrupted it
}

// ChangeRequest is a configuration change sent by an operator, including all resends.
type ChangeRequest struct {
	Operator     string
	Items        []item.Item
	Valid        bool
	SentAt       time.Duration // of the first attempt
	Acknowledged bool
	AckedAt      time.Duration
	Refused      bool
	// Contested reports that another change has different content for one of its versions, so that
	// one of the two must be refused.
	Contested bool
	// AckLost reports that an acknowledgement did not reach the operator.
	AckLost bool
	// Superseded reports that a higher version was sent before this one was acknowledged.
	Superseded bool
}

// ConfigRead is a successful read of the configuration by an operator.
type ConfigRead struct {
	From, To time.Duration
	Items    []item.Item
}

// Departure is a target's announcement that it is draining or has ended.
type Departure struct {
	Run          string
	State        target.State
	SentAt       time.Duration
	Acknowledged bool
	AckedAt      time.Duration
	AckedBy      string // the machine that acknowledged it
}

// FaultKind is the kind of a fault of a machine.
type FaultKind int

// Kinds of machine faults.
const (
	Down        FaultKind = iota + 1 // killed, powered off or stopped, until the next start
	PlannedStop                      // the same, by an orderly shutdown
	Frozen
	Partitioned
	Slow
	DiskFault
	LinkFault // connections reset, or messages lost
)

// FaultSpan is the time during which a machine has a fault.
type FaultSpan struct {
	Machine  string
	Kind     FaultKind
	From, To time.Duration // To is the length of the day if the fault lasts to its end
}

// GatewayStop is a SIGTERM sent to a machine's gateway.
type GatewayStop struct {
	Machine string
	At      time.Duration
}

// FinalFault is a fault of all machines at the end of a day.
type FinalFault struct {
	At, RestartedAt time.Duration
}

// Record is everything that was observed during a day.
type Record struct {
	Bounds       Bounds
	Length       time.Duration
	CoreMachines []string // controller machines that have a disk
	// ForwardsEarly reports that large responses are forwarded while they are still being received,
	// as on narrow links. A response that breaks off then also breaks off at the caller.
	ForwardsEarly bool
	Requests      []*Request
	Arrivals      []*Arrival
	Changes       []*ChangeRequest
	Departures    []*Departure
	Upgrades      []*UpgradeOrder
	Faults        []*FaultSpan
	GatewayStops  []GatewayStop
	// TargetPathFaults are the spans in which the network path to a target was cut or impaired, by run.
	TargetPathFaults map[string][]*FaultSpan
	FinalFault       *FinalFault
	// FinalRead is the configuration read at the end of the day; nil if every read failed.
	FinalRead []item.Item
	// Reads are the reads during the day.
	Reads []ConfigRead
	// FinalReadAt is when the final read began.
	FinalReadAt time.Duration
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

// rejectedAsConflict reports whether the change was refused because other content was accepted for one of its versions.
func (o *ChangeRequest) rejectedAsConflict() bool { return o.Contested && o.Refused }
