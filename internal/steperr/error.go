// Package steperr annotates errors with the step and the peer at which they occurred
// (design 2.6).
package steperr

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Class marks every error raised by walkrudder itself.
var Class = errs.Class("walkrudder")

// Error is an error with the step that was under way and the peer concerned: another node, a
// target, or "" for this process.
type Error struct {
	Step string
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause on one line.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap annotates err with its step and peer; it returns nil for a nil error.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return Class.Wrap(&Error{Step: step, Peer: peer, Err: err})
}

// New returns a new error annotated with its step and peer.
func New(step, peer, format string, args ...any) error {
	return Wrap(step, peer, fmt.Errorf(format, args...))
}

// Innermost returns the step and peer of the innermost annotation of err.
func Innermost(err error) (step, peer string) {
	for err != nil {
		var e *Error
		if !errors.As(err, &e) {
			return step, peer
		}
		step, peer = e.Step, e.Peer
		err = e.Err
	}
	return step, peer
}

// Must is for start-up only (design 2.6): it returns v or panics with err. The main function
// turns the panic into a message and an exit code.
func Must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
