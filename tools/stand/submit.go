package stand

import (
	"context"

	"walkrudder/internal/commands"
)

// SubmitUntilFinal records a change and sends it until it has a final result; ok is false if ctx ended
// before. Send submits it to any controller and reports whether an answer came; pause waits between
// two attempts.
func (r *Records) SubmitUntilFinal(ctx context.Context, a ChangeRequest, send func() (commands.Result, bool), pause func()) (x commands.Result, ok bool) {
	r.RecordChange(a)
	for ctx.Err() == nil {
		if x, ok = send(); ok {
			r.RecordChangeResult(a.Token, x.Outcome, x.Version)
			switch x.Outcome {
			case commands.InForce, commands.Invalid, commands.Conflict:
				return x, true
			}
		}
		pause()
	}
	return x, false
}
