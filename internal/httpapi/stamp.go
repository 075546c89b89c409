package httpapi

import (
	"fmt"
	"strconv"
	"strings"
)

// The header fields between gateways and targets, and towards callers.
const (
	// RequestField carries the number of this sending of the request; the target
	// repeats it in its stamp.
	RequestField = "Walk-Request"
	// TargetField names the target run that the request is meant for.
	TargetField = "Walk-Target"
	// StampField is the target's stamp on an answer.
	StampField = "Walk-Stamp"
	// NotRunField, on a stamped 503, says that the request was not run and will
	// not be.
	NotRunField = "Walk-Not-Run"
	// KeyField is the caller's own name for a request that he may repeat.
	KeyField = "Idempotency-Key"
	// CallField tells the caller the number under which logs know his call.
	CallField = "Walk-Call"
	// ClientField names the client where calls come through the platform's one
	// address.
	ClientField = "Walk-Client"
)

// Stamp is a target's word that an answer is its own, to this sending.
type Stamp struct {
	ID      string
	Service string
	Inc     uint64
	Request string
	Length  int // of the body in bytes; -1 where the target does not tell
}

// String writes the stamp as the field's value.
func (s Stamp) String() string {
	return fmt.Sprintf("%s;%s;%d;%s;%d", s.ID, s.Service, s.Inc, s.Request, s.Length)
}

// TargetName writes a target run as the TargetField's value.
func TargetName(id, service string, inc uint64) string {
	return id + ";" + service + ";" + strconv.FormatUint(inc, 10)
}

// ReadStamp reads the field's value.
func ReadStamp(v string) (s Stamp, err error) {
	p := strings.Split(v, ";")
	if len(p) != 5 {
		return s, fmt.Errorf("stamp %q has %d parts, want 5", v, len(p))
	}
	s.ID, s.Service, s.Request = p[0], p[1], p[3]
	if s.Inc, err = strconv.ParseUint(p[2], 10, 64); err != nil {
		return s, fmt.Errorf("stamp: incarnation: %w", err)
	}
	if s.Length, err = strconv.Atoi(p[4]); err != nil {
		return s, fmt.Errorf("stamp: length: %w", err)
	}
	return s, nil
}
