// Package commands implements the operations that change the shared state; queries are
// in a package of their own (design 2.2).
package commands

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/ledger"
	"walkrudder/internal/quorum"
	"walkrudder/internal/rollout"
	"walkrudder/internal/spec"
	"walkrudder/internal/steperr"
)

// Order is an operator's request to change the route sheet.
type Order struct {
	// Base is the version that the operator's edits are based on; nil skips the check.
	Base *uint64 `json:"base,omitempty"`
	// Token identifies the request, so that a retry is not applied twice.
	Token    string      `json:"token,omitempty" validate:"max=128"`
	Operator string      `json:"by,omitempty" validate:"max=64"`
	Note     string      `json:"note,omitempty" validate:"max=256"`
	Edits    []spec.Edit `json:"edits" validate:"max=2048"`
	// DryRun validates the request without applying it.
	DryRun bool `json:"dry,omitempty"`
}

// The outcomes of a change request.
const (
	InForce        = "in force"
	Valid          = "valid"
	Invalid        = "invalid"
	Conflict       = "conflict"
	OutcomeUnknown = "outcome unknown"
	NoMajority     = "no majority"
)

// membersRetryDelay is the delay before the member table is read again.
const membersRetryDelay = 50 * time.Millisecond

// Result is the outcome of a change request.
type Result struct {
	Outcome   string         `json:"outcome"`
	Version   uint64         `json:"version"`
	Duplicate bool           `json:"again,omitempty"` // the token was known already
	Problems  []spec.Problem `json:"problems,omitempty"`
	Reason    string         `json:"why,omitempty"`
}

// Changer executes change requests.
type Changer struct {
	Ledger     *ledger.Ledger
	Rollout    *rollout.Executor
	Clock      clock.Clock
	Controller string
}

// Apply decides a change and brings it into force (design 8.1). The outcome is "in force"
// only when every gateway has the change or has lost its lease.
func (c *Changer) Apply(ctx context.Context, o Order) Result {
	for attempt := 0; ; attempt++ {
		state, err := c.Ledger.Refresh(ctx)
		if err != nil {
			return errorResult(err, false)
		}
		if n, ok := state.TokenVersion(o.Token); ok && o.Token != "" {
			r := c.waitInForce(ctx, n)
			r.Duplicate = true
			return r
		}
		if o.Base != nil && *o.Base != state.Version {
			return Result{Outcome: Conflict, Version: state.Version, Reason: fmt.Sprintf("the order was made for version %d, now is %d", *o.Base, state.Version)}
		}
		sheet, problems := state.Sheet.Apply(o.Edits)
		if len(problems) > 0 {
			return Result{Outcome: Invalid, Version: state.Version, Problems: problems}
		}
		if o.DryRun {
			return Result{Outcome: Valid, Version: state.Version}
		}
		change := ledger.Change{Version: state.Version + 1, Token: o.Token, Operator: o.Operator, Note: o.Note, Controller: c.Controller, AtMS: c.Ledger.WallMS(), Edits: o.Edits}
		if change.Version%ledger.FullSheetInterval == 0 {
			change.Sheet = &sheet
		}
		if len(ledger.Encode(change)) > quorum.MaxValueBytes {
			return Result{Outcome: Invalid, Version: state.Version, Problems: []spec.Problem{{Path: "edits", Reason: "too large in all"}}}
		}
		// A decided change closes every gateway that confirms it until it is in force.
		// Wait before deciding while the gateways to roll it out to are not known,
		// as for a second after the core becomes available again.
		if _, err := c.Rollout.Membership.ReadTable(ctx); err != nil {
			if c.Clock.Sleep(ctx, membersRetryDelay) != nil {
				return errorResult(err, false)
			}
			continue
		}
		err = c.Ledger.Append(ctx, change)
		switch {
		case err == nil:
			return c.waitInForce(ctx, change.Version)
		case errors.Is(err, ledger.ErrNumberTaken):
			// Another change was decided at this number; retry on top of it.
			if c.Clock.Sleep(ctx, time.Duration(rand.IntN(5*min(attempt+1, 10))+1)*time.Millisecond) != nil {
				return errorResult(ctx.Err(), false)
			}
		default:
			return errorResult(err, true)
		}
	}
}

// errorResult returns the result for an error of the core. mayBeDecided means that the change
// may have been decided nevertheless.
func errorResult(err error, mayBeDecided bool) Result {
	step, _ := steperr.Innermost(err)
	if mayBeDecided {
		return Result{Outcome: OutcomeUnknown, Reason: fmt.Sprintf("%s: %v; send it again with the same token", step, err)}
	}
	return Result{Outcome: NoMajority, Reason: err.Error()}
}

// waitInForce brings version n into force and returns the result of the change request.
func (c *Changer) waitInForce(ctx context.Context, n uint64) Result {
	if _, err := c.Rollout.Settle(ctx, n); err != nil {
		return Result{Outcome: OutcomeUnknown, Version: n, Reason: fmt.Sprintf("decided, not yet known to be in force everywhere: %v", err)}
	}
	return Result{Outcome: InForce, Version: n}
}
