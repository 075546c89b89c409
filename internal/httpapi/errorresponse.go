package httpapi

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// ErrorResponse is a response made by the gateway itself, not by a target.
type ErrorResponse struct {
	Status int
	Code   string
	Reason string
	// RetryDelay is the time after which the caller may retry; 0 omits it.
	RetryDelay time.Duration
	Allow      []string
	// Sent reports that this call may have reached a target.
	Sent bool
}

// The error codes of responses.
const (
	BusyNotRun     = "busy, not run"
	OutcomeUnknown = "outcome unknown"
	BadAnswer      = "no proper answer"
	NoBinding      = "no such binding"
	BadMethod      = "method not taken"
	TooLarge       = "body too large"
	Malformed      = "malformed request"
	AlreadyRun     = "already run"
	KeyReused      = "key used for another request"
)

// Body returns the response body as JSON.
func (v ErrorResponse) Body(call string) []byte {
	b, _ := json.Marshal(struct {
		Error string `json:"error"`
		Why   string `json:"why,omitempty"`
		Call  string `json:"call,omitempty"`
		Sent  bool   `json:"sent"`
	}{v.Code, v.Reason, call, v.Sent})
	return append(b, '\n')
}

// RetryAfter returns the value of the Retry-After header: whole seconds, at least one.
func (v ErrorResponse) RetryAfter() string {
	return strconv.Itoa(max(1, int(math.Ceil(v.RetryDelay.Seconds()))))
}

// hopByHop lists the hop-by-hop header fields.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopByHop reports whether a header field (in canonical form) must not be forwarded.
func IsHopByHop(field string) bool { return hopByHop[field] }
