// Package passage is the request pipeline of a gateway: admission, routing, target
// selection, send, response check and return, joined by bounded queues (design 13).
package passage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
)

// The states of a call. Each transition is made by only one side: a send must move the
// call from stateWaiting to stateSent before it writes a byte, and a "not run" verdict
// must move it from stateWaiting to stateNotSent.
const (
	stateWaiting int32 = iota
	stateSent
	stateNotSent
)

// Call is the state of one request, handed from stage to stage.
type Call struct {
	Ctx    context.Context
	ID     string
	Client string
	Key    string
	Req    *Request

	Arrived time.Time
	Expiry  time.Time
	Table   *spec.Table
	Binding *spec.CompiledBinding

	// mu guards the fields shared by concurrent sends.
	mu            sync.Mutex
	Tried         []*registry.Target
	Attempts      int
	writesAllowed int  // sends that were allowed to write
	inFlight      int  // sends under way
	selecting     bool // a selection is under way or queued
	// MaybeRun counts the sends that the target may have run: those written, less those
	// that the target answered with "not run".
	MaybeRun int
	Sends    int // sends of which a byte may have been written

	Waits int // for a target to be proved or to have capacity
	// RetryAfter is the delay suggested to a refused caller; 0 means one second.
	RetryAfter time.Duration

	// ClaimKey is the key that the call is claimed under, "" if it needs none.
	// claimAsked is set while a claim may exist.
	ClaimKey   string
	claimAsked atomic.Bool
	// claimOwned is set when this call holds the claim: only then is it known that no
	// earlier call under the key ran.
	claimOwned atomic.Bool
	// repeatable is set if the call's binding allowed repeats on arrival.
	repeatable bool

	stepsMu  sync.Mutex // a stage may still work on a call after its caller was answered
	steps    []Step
	state    atomic.Int32
	Response *Response
	Verdict  *httpapi.ErrorResponse
	done     chan struct{}
	finished atomic.Bool
}

// finish ends the call with a response or a verdict; only the first call has an effect.
func (c *Call) finish(response *Response, verdict *httpapi.ErrorResponse) {
	if c.finished.CompareAndSwap(false, true) {
		c.Response, c.Verdict = response, verdict
		close(c.done)
	}
}

// claimWrite acquires the right to write; false means that the caller was told "not run".
func (c *Call) claimWrite() bool {
	return c.state.CompareAndSwap(stateWaiting, stateSent) || c.state.Load() == stateSent
}

// claimNotRun acquires the right to answer "not run".
func (c *Call) claimNotRun() bool { return c.state.CompareAndSwap(stateWaiting, stateNotSent) }

// Remaining returns the time until the call's expiry.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Expiry.Sub(now) }
