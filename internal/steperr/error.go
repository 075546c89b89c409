// Package steperr gives every error the step and the peer at which it arose
// (design 2.6).
package steperr

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Class marks every error that walkrudder itself raises.
var Class = errs.Class("walkrudder")

// Error is an error with its place: the step that was under way and the peer
// (another node, a target, or "" for this process) it concerned.
type Error struct {
	Step string
	Peer string
	Err  error
}

// Error tells step, peer and cause on one line.
func (d *Error) Error() string {
	if d.Peer == "" {
		return fmt.Sprintf("%s: %v", d.Step, d.Err)
	}
	return fmt.Sprintf("%s (%s): %v", d.Step, d.Peer, d.Err)
}

// Unwrap yields the cause.
func (d *Error) Unwrap() error { return d.Err }

// At wraps err with its step and peer; a nil error stays nil.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return Class.Wrap(&Error{Step: step, Peer: peer, Err: err})
}

// New raises a fresh error with its step and peer.
func New(step, peer, format string, args ...any) error {
	return At(step, peer, fmt.Errorf(format, args...))
}

// Of finds the innermost place noted on err.
func Of(err error) (step, peer string) {
	for err != nil {
		var d *Error
		if !errors.As(err, &d) {
			return step, peer
		}
		step, peer = d.Step, d.Peer
		err = d.Err
	}
	return step, peer
}

// Must is for start-up alone (design 2.6): it hands on v or panics; main turns
// the panic into a message and exit code.
func Must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
