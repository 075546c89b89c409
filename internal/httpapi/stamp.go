package httpapi

import (
	"fmt"
	"strconv"
	"strings"
)

// The header fields used between gateways and targets, and towards callers.
const (
	// RequestHeader carries the ID of this attempt to send the request. The target
	// repeats it in its stamp.
	RequestHeader = "Walk-Request"
	// TargetHeader names the target run that the request is addressed to.
	TargetHeader = "Walk-Target"
	// StampHeader carries the target's stamp on an answer.
	StampHeader = "Walk-Stamp"
	// NotRunHeader, on a stamped 503, reports that the request was not run and will
	// not be.
	NotRunHeader = "Walk-Not-Run"
	// KeyHeader carries the caller's idempotency key for a request that it may repeat.
	KeyHeader = "Idempotency-Key"
	// CallHeader returns to the caller the ID of its call in the logs.
	CallHeader = "Walk-Call"
	// ClientHeader names the client, where all calls come from the one address of the
	// platform.
	ClientHeader = "Walk-Client"
)

// Stamp identifies the target run that made an answer and the request that it answers.
type Stamp struct {
	ID      string
	Service string
	Inc     uint64
	Request string
	Length  int // of the body in bytes; -1 if the target does not give it
}

// String formats the stamp as a header value.
func (s Stamp) String() string {
	return fmt.Sprintf("%s;%s;%d;%s;%d", s.ID, s.Service, s.Inc, s.Request, s.Length)
}

// TargetName formats a target run as the value of TargetHeader.
func TargetName(id, service string, inc uint64) string {
	return id + ";" + service + ";" + strconv.FormatUint(inc, 10)
}

// ParseStamp parses the value of StampHeader.
func ParseStamp(v string) (s Stamp, err error) {
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
