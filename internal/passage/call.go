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

// The states of a call. A send must move the call from stateWaiting to stateSent before it
// writes a byte, and a "not run" response must move it from stateWaiting to stateNotSent, so
// only one of the two can happen.
const (
	stateWaiting int32 = iota
	stateSent
	stateNotSent
)

// Call is the state of one request, handed from stage to stage.
type Call struct {
	Ctx    context.Context
	ID     string
	Client string // name of the client, "" if it is not given
	Key    string // the caller's idempotency key, "" if there is none
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

	Waits int // number of waits so far for a target's identity proof or capacity
	// RetryAfter is the delay suggested to a refused caller; 0 means one second.
	RetryAfter time.Duration

	// ClaimKey is the key that the call is claimed under, "" if it needs none.
	ClaimKey      string
	claimMayExist atomic.Bool
	// claimOwned is set when this call holds the claim. Only then is it known that no
	// earlier call under the key ran.
	claimOwned atomic.Bool
	// repeatable is set if the call's binding allowed repeats on arrival.
	repeatable bool

	stepsMu       sync.Mutex // a stage may still work on a call after its caller was answered
	steps         []Step
	state         atomic.Int32
	Response      *Response
	ErrorResponse *httpapi.ErrorResponse
	done          chan struct{}
	finished      atomic.Bool
}

// finish ends the call with a target's response or an error response. Only the first use has
// an effect.
func (c *Call) finish(response *Response, errorResponse *httpapi.ErrorResponse) {
	if c.finished.CompareAndSwap(false, true) {
		c.Response, c.ErrorResponse = response, errorResponse
		close(c.done)
	}
}

// tryMarkSent acquires the right to write; false means that the caller was answered "not run".
func (c *Call) tryMarkSent() bool {
	return c.state.CompareAndSwap(stateWaiting, stateSent) || c.state.Load() == stateSent
}

// tryMarkNotSent acquires the right to answer "not run"; false means that a send may have written.
func (c *Call) tryMarkNotSent() bool { return c.state.CompareAndSwap(stateWaiting, stateNotSent) }

// Remaining returns the time until the call's expiry.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Expiry.Sub(now) }
