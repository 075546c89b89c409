package httpapi

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// Verdict is a final answer of our own to a caller.
type Verdict struct {
	Status int
	Code   string
	Why    string
	// Retry tells when to come back; 0 says nothing of it.
	Retry time.Duration
	Allow []string
	// Sent says that this very call may have reached a target.
	Sent bool
}

// The codes of verdicts.
const (
	BusyNotRun = "busy, not run"
	Unknown    = "outcome unknown"
	BadAnswer  = "no proper answer"
	NoBinding  = "no such binding"
	BadMethod  = "method not taken"
	TooLarge   = "body too large"
	Malformed  = "malformed request"
	AlreadyRun = "already run"
	KeyReused  = "key used for another request"
)

// Body is the verdict as JSON.
func (v Verdict) Body(call string) []byte {
	b, _ := json.Marshal(struct {
		Error string `json:"error"`
		Why   string `json:"why,omitempty"`
		Call  string `json:"call,omitempty"`
		Sent  bool   `json:"sent"`
	}{v.Code, v.Why, call, v.Sent})
	return append(b, '\n')
}

// RetryAfter is the field's value in whole seconds, at least one.
func (v Verdict) RetryAfter() string {
	return strconv.Itoa(max(1, int(math.Ceil(v.Retry.Seconds()))))
}

// hop names the fields that end at one connection.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Hop tells whether a header field (in canonical form) is not to be passed on.
func Hop(field string) bool { return hop[field] }
