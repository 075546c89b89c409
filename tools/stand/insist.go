package stand

import (
	"context"

	"walkrudder/internal/commands"
)

// Insist notes an order and sends it, again and again, until it has a final result;
// ok is false where ctx ended before. Send hands it to some controller and tells whether an
// answer came; rest waits a while between two tries.
func (r *Records) Insist(ctx context.Context, a Asked, send func() (commands.Result, bool), rest func()) (x commands.Result, ok bool) {
	r.Ask(a)
	for ctx.Err() == nil {
		if x, ok = send(); ok {
			r.Told(a.Token, x.Outcome, x.Version)
			switch x.Outcome {
			case commands.InForce, commands.Invalid, commands.Conflict:
				return x, true
			}
		}
		rest()
	}
	return x, false
}
