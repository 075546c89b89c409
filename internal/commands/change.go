// Package commands holds what changes the shared state; the queries have their
// own package (design 2.2).
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

// Order is an operator's wish to change the sheet.
type Order struct {
	// Base is the version the operator looked at; 0 does not controller.
	Base *uint64 `json:"base,omitempty"`
	// Token names the order, so that sending it again does not do it again.
	Token string      `json:"token,omitempty" validate:"max=128"`
	By    string      `json:"by,omitempty" validate:"max=64"`
	Note  string      `json:"note,omitempty" validate:"max=256"`
	Edits []spec.Edit `json:"edits" validate:"max=2048"`
	// Dry checks and changes nothing.
	Dry bool `json:"dry,omitempty"`
}

// The outcomes of an order.
const (
	InForce  = "in force"
	Valid    = "valid"
	Invalid  = "invalid"
	Conflict = "conflict"
	Unknown  = "outcome unknown"
	NoCore   = "no majority"
)

// tablePause is how soon the table of members is looked for again.
const tablePause = 50 * time.Millisecond

// Result tells what became of an order.
type Result struct {
	Outcome  string         `json:"outcome"`
	Version  uint64         `json:"version"`
	Again    bool           `json:"again,omitempty"` // the token was known already
	Problems []spec.Problem `json:"problems,omitempty"`
	Why      string         `json:"why,omitempty"`
}

// Changer carries orders out.
type Changer struct {
	Book       *ledger.Book
	Roller     *rollout.Executor
	Clock      clock.Clock
	Controller string
}

// Change decides an order and brings it into force (design 8.1). "in force" is
// said only when every gateway has it or has lost its lease.
func (c *Changer) Change(ctx context.Context, o Order) Result {
	for try := 0; ; try++ {
		f, err := c.Book.Refresh(ctx)
		if err != nil {
			return undone(err, false)
		}
		if n, ok := f.Token(o.Token); ok && o.Token != "" {
			r := c.settle(ctx, n)
			r.Again = true
			return r
		}
		if o.Base != nil && *o.Base != f.N {
			return Result{Outcome: Conflict, Version: f.N, Why: fmt.Sprintf("the order was made for version %d, now is %d", *o.Base, f.N)}
		}
		s, bad := f.Sheet.Apply(o.Edits)
		if len(bad) > 0 {
			return Result{Outcome: Invalid, Version: f.N, Problems: bad}
		}
		if o.Dry {
			return Result{Outcome: Valid, Version: f.N}
		}
		ch := ledger.Change{N: f.N + 1, Token: o.Token, By: o.By, Note: o.Note, Controller: c.Controller, At: c.Book.WallMS(), Edits: o.Edits}
		if ch.N%ledger.Whole == 0 {
			ch.Sheet = &s
		}
		if len(ledger.Encode(ch)) > quorum.MaxValueBytes {
			return Result{Outcome: Invalid, Version: f.N, Problems: []spec.Problem{{Path: "edits", Why: "too large in all"}}}
		}
		// What is decided closes every gateway that confirms until it is in force. While
		// the gateways to bring it to are not known, as for a second after the core's
		// return, it waits.
		if _, err := c.Roller.Membership.Table(ctx); err != nil {
			if c.Clock.Sleep(ctx, tablePause) != nil {
				return undone(err, false)
			}
			continue
		}
		err = c.Book.Decide(ctx, ch)
		switch {
		case err == nil:
			return c.settle(ctx, ch.N)
		case errors.Is(err, ledger.ErrTaken):
			// Another change won; this one is looked at again on top of it.
			if c.Clock.Sleep(ctx, time.Duration(rand.IntN(5*min(try+1, 10))+1)*time.Millisecond) != nil {
				return undone(ctx.Err(), false)
			}
		default:
			return undone(err, true)
		}
	}
}

// undone is the result when the core did not answer; loose says that the change
// may be decided all the same.
func undone(err error, loose bool) Result {
	step, _ := steperr.Of(err)
	if loose {
		return Result{Outcome: Unknown, Why: fmt.Sprintf("%s: %v; send it again with the same token", step, err)}
	}
	return Result{Outcome: NoCore, Why: err.Error()}
}

func (c *Changer) settle(ctx context.Context, n uint64) Result {
	if _, err := c.Roller.Settle(ctx, n); err != nil {
		return Result{Outcome: Unknown, Version: n, Why: fmt.Sprintf("decided, not yet known to be in force everywhere: %v", err)}
	}
	return Result{Outcome: InForce, Version: n}
}
