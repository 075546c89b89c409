// Package ledger stores the control plane's decisions. Each decision is an immutable
// item on a majority of the voters' disks before anyone is informed of it. The current
// state is computed by replaying the decisions (design 6).
package ledger

import (
	"encoding/json"
	"fmt"

	"walkrudder/internal/spec"
)

// The keys and key prefixes of the items. Three items are mutable: ActivationKey holds
// the version in force, CoreKey the voters, SwapRequestKey the voter swap requested by
// an operator.
const (
	ChangePrefix     = "change/"
	LeavePrefix      = "leave/"
	GonePrefix       = "gone/"
	NotePrefix       = "note/"
	ActivationPrefix = "inforce/"
	ActivationKey    = "flip"
	CoreKey          = "core"
	SwapRequestKey   = "wish"
)

// NotePrefixes lists the key prefixes of notes.
var NotePrefixes = []string{LeavePrefix, GonePrefix, NotePrefix, ActivationPrefix}

// Change is a decided change of the route sheet. Its version is its position: exactly
// one proposer creates the item at the next free number.
type Change struct {
	Version    uint64      `json:"version"`
	Token      string      `json:"token,omitempty"`
	Operator   string      `json:"by,omitempty"` // name that the operator gave; not verified
	Controller string      `json:"controller"`
	AtMS       int64       `json:"at_ms"`
	Edits      []spec.Edit `json:"edits"`
	Note       string      `json:"note,omitempty"`
	// Sheet is the full sheet after this change. Every FullSheetInterval-th change
	// has it, so that a starting controller need not replay all changes.
	Sheet *spec.Sheet `json:"sheet,omitempty"`
}

// FullSheetInterval is the number of changes between two that carry the full sheet.
const FullSheetInterval = 64

// Target identifies one run of a target.
type Target struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Incarnation uint64 `json:"incarnation"`
}

// The kinds of notes.
const (
	NoteSuspect = "suspect"
	NoteTrust   = "trust"
	NoteLeave   = "leave"
	NoteGone    = "gone"
	NoteInForce = "in-force"
	NoteSwap    = "swap"
)

// Note is a decision other than a change of the route sheet.
type Note struct {
	Kind         string  `json:"kind"`
	AtMS         int64   `json:"at_ms"`
	Controller   string  `json:"controller"`
	Target       *Target `json:"target,omitempty"`
	HeartbeatSeq uint64  `json:"call_seq,omitempty"`
	Suspicion    float64 `json:"suspicion,omitempty"`
	Version      uint64  `json:"version,omitempty"`
	Reason       string  `json:"why,omitempty"`
}

// ChangeKey returns the key of change n.
func ChangeKey(n uint64) string { return fmt.Sprintf("%s%012d", ChangePrefix, n) }

// ActivationNoteKey returns the key of the note that version n came into force.
func ActivationNoteKey(n uint64) string { return fmt.Sprintf("%s%012d", ActivationPrefix, n) }

// DayMS is the length of a day in milliseconds. Decisions about targets are deleted by the day.
const DayMS = 24 * 3600 * 1000

// DayPrefix returns the key prefix of the decisions about targets made on the day that contains
// ms, in Unix milliseconds.
func DayPrefix(prefix string, ms int64) string {
	return fmt.Sprintf("%s%06d/", prefix, max(ms, 0)/DayMS)
}

// TargetKey returns the key of a decision made at ms about one run of a target.
func TargetKey(prefix string, ms int64, t Target) string {
	return fmt.Sprintf("%s%s/%s/%020d", DayPrefix(prefix, ms), t.Service, t.ID, t.Incarnation)
}

// Encode serializes an item as JSON, so that a disk can be inspected without this
// program.
func Encode(x any) []byte {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err) // only types of this module are encoded, and these always marshal
	}
	return b
}

// Decode parses the output of Encode.
func Decode[T any](b []byte) (T, error) {
	var x T
	err := json.Unmarshal(b, &x)
	return x, err
}
