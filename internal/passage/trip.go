// Package passage is a request's way through a gateway: door, grant, elect, send,
// check, return, joined by bounded queues (design 13).
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

// The states of a trip. Only one side can move it on: whoever wants to write a
// byte must take it from Waiting to Sent, and whoever tells the caller "not run"
// must take it from Waiting to Dropped.
const (
	waiting int32 = iota
	sent
	dropped
)

// Trip is the one context of a request, handed from stage to stage.
type Trip struct {
	Ctx    context.Context
	Call   string
	Client string
	Key    string
	Req    *Request

	Came   time.Time
	Expiry time.Time
	Table  *spec.Table
	Bound  *spec.Bound

	// mu guards what several sendings under way share.
	mu       sync.Mutex
	Tried    []*registry.Target
	Tries    int
	begun    int  // sendings that were allowed to write
	open     int  // sendings under way
	electing bool // a choice is under way or queued
	// Loose counts the sendings that may have run: those that left, less those of
	// which the target said that it did not.
	Loose int
	Sends int // sendings of which a byte may have left

	Waits int // for a target to be proved
	// Retry is when a refused caller had better come back; 0 says a second.
	Retry time.Duration

	// Claim is the key under which the call is claimed, "" where it needs none;
	// asked says that a claim may stand.
	Claim string
	asked atomic.Bool
	// owned says that the claim is this call's: only then is it known that no
	// earlier call under the key ran.
	owned atomic.Bool
	// free says that the call's binding on arrival let it be repeated.
	free bool

	smu    sync.Mutex // a stage may still work on a trip whose caller was answered
	steps  []Step
	state  atomic.Int32
	Answer *Answer
	Out    *httpapi.Verdict
	done   chan struct{}
	over   atomic.Bool
}

// finish ends the trip with an answer or a verdict; only the first counts.
func (t *Trip) finish(a *Answer, v *httpapi.Verdict) {
	if t.over.CompareAndSwap(false, true) {
		t.Answer, t.Out = a, v
		close(t.done)
	}
}

// take claims the right to write; false says that the caller was told "not run".
func (t *Trip) take() bool {
	return t.state.CompareAndSwap(waiting, sent) || t.state.Load() == sent
}

// drop claims the right to say "not run".
func (t *Trip) drop() bool { return t.state.CompareAndSwap(waiting, dropped) }

// Left is what remains until the trip's expiry.
func (t *Trip) Left(now time.Time) time.Duration { return t.Expiry.Sub(now) }
