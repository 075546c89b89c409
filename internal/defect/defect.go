// Package defect gives every error the step and the mate at which it arose
// (design 2.6).
package defect

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Class marks every error that walkrudder itself raises.
var Class = errs.Class("walkrudder")

// Defect is an error with its place: the step that was under way and the mate
// (another node, a target, or "" for this process) it concerned.
type Defect struct {
	Step string
	Mate string
	Err  error
}

// Error tells step, mate and cause on one line.
func (d *Defect) Error() string {
	if d.Mate == "" {
		return fmt.Sprintf("%s: %v", d.Step, d.Err)
	}
	return fmt.Sprintf("%s (%s): %v", d.Step, d.Mate, d.Err)
}

// Unwrap yields the cause.
func (d *Defect) Unwrap() error { return d.Err }

// At wraps err with its step and mate; a nil error stays nil.
func At(step, mate string, err error) error {
	if err == nil {
		return nil
	}
	return Class.Wrap(&Defect{Step: step, Mate: mate, Err: err})
}

// New raises a fresh error with its step and mate.
func New(step, mate, format string, args ...any) error {
	return At(step, mate, fmt.Errorf(format, args...))
}

// Of finds the innermost place noted on err.
func Of(err error) (step, mate string) {
	for err != nil {
		var d *Defect
		if !errors.As(err, &d) {
			return step, mate
		}
		step, mate = d.Step, d.Mate
		err = d.Err
	}
	return step, mate
}

// Must is for start-up alone (design 2.6): it hands on v or panics; main turns
// the panic into a message and exit code.
func Must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
