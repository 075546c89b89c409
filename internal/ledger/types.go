// Package ledger holds the decisions: each is an immutable item at a majority
// of the disks before anybody is told of it, and the picture of what stands is
// folded from them (design 6).
package ledger

import (
	"encoding/json"
	"fmt"

	"walkrudder/internal/spec"
)

// The prefixes of the items' keys. Three items change: Flip holds the version that
// is in force, CoreItem the voters, WishItem the swap that an operator asked for.
const (
	ChangePrefix = "change/"
	LeavePrefix  = "leave/"
	GonePrefix   = "gone/"
	NotePrefix   = "note/"
	FlipPrefix   = "inforce/"
	Flip         = "flip"
	CoreItem     = "core"
	WishItem     = "wish"
)

// NotePrefixes are those under which notes are kept.
var NotePrefixes = []string{LeavePrefix, GonePrefix, NotePrefix, FlipPrefix}

// Change is a decided change of the route sheet. Its number is its place: the
// item at the next free number is created by exactly one proposer.
type Change struct {
	N          uint64      `json:"version"`
	Token      string      `json:"token,omitempty"`
	By         string      `json:"by,omitempty"` // the operator, as named by himself
	Controller string      `json:"controller"`
	At         int64       `json:"at_ms"`
	Edits      []spec.Edit `json:"edits"`
	Note       string      `json:"note,omitempty"`
	// Sheet is the whole sheet after this change, at every Whole-th change, so
	// that a start need not fold from the first.
	Sheet *spec.Sheet `json:"sheet,omitempty"`
}

// Whole is how often a change carries the whole sheet.
const Whole = 64

// Target names one run of one target.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Inc     uint64 `json:"incarnation"`
}

// The kinds of note.
const (
	NoteSuspect = "suspect"
	NoteTrust   = "trust"
	NoteLeave   = "leave"
	NoteGone    = "gone"
	NoteFlip    = "in-force"
	NoteSwap    = "swap"
)

// Note is any other decision.
type Note struct {
	Kind       string  `json:"kind"`
	At         int64   `json:"at_ms"`
	Controller string  `json:"controller"`
	Target     *Target `json:"target,omitempty"`
	Seq        uint64  `json:"call_seq,omitempty"`
	W          float64 `json:"suspicion,omitempty"`
	N          uint64  `json:"version,omitempty"`
	Why        string  `json:"why,omitempty"`
}

// ChangeKey is the key of change n.
func ChangeKey(n uint64) string { return fmt.Sprintf("%s%012d", ChangePrefix, n) }

// FlipKey is the key of the note that version n came into force.
func FlipKey(n uint64) string { return fmt.Sprintf("%s%012d", FlipPrefix, n) }

// DayMS is the span of time by which decisions about targets are dropped.
const DayMS = 24 * 3600 * 1000

// DayKey begins the keys of the decisions about targets made on a day.
func DayKey(prefix string, ms int64) string { return fmt.Sprintf("%s%06d/", prefix, max(ms, 0)/DayMS) }

// TargetKey is the key of a decision, made at ms, about one run of a target.
func TargetKey(prefix string, ms int64, t Target) string {
	return fmt.Sprintf("%s%s/%s/%020d", DayKey(prefix, ms), t.Service, t.ID, t.Inc)
}

// Encode and Decode are how items are written: JSON, so that a disk can be read
// without this program.
func Encode(x any) []byte {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err) // only our own fixed types come here
	}
	return b
}

// Decode reads what Encode wrote.
func Decode[T any](b []byte) (T, error) {
	var x T
	err := json.Unmarshal(b, &x)
	return x, err
}
