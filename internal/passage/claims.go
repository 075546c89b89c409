package passage

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"walkrudder/internal/claim"
	"walkrudder/internal/httpapi"
)

// Claims takes and ends claims at the controllers.
type Claims interface {
	Take(ctx context.Context, a claim.TakeAsk) (claim.TakeTold, error)
	End(ctx context.Context, a claim.EndAsk) error
}

const (
	// maxClaims bounds the concurrent claim requests of one gateway.
	maxClaims = 64
	// endClaimTimeout is how long ending a claim is retried.
	endClaimTimeout = 20 * time.Second
)

// needsClaim reports whether call must be claimed before it may be sent.
func (p *Pipeline) needsClaim(call *Call) bool {
	return p.Claims != nil && !call.Binding.Repeatable && call.Key != ""
}

// fingerprint distinguishes different requests that come under the same key.
func (r *Request) fingerprint() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %d\n", r.Method, r.URI, len(r.Body))
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// doClaim claims the caller's key for this call, or reports the outcome of the earlier
// call under it (design 17).
func (p *Pipeline) doClaim(call *Call) {
	if len(call.Key) > claim.MaxKey {
		p.reject(call, httpapi.ErrorResponse{Status: 400, Code: httpapi.Malformed, Reason: fmt.Sprintf("%s is longer than %d", httpapi.KeyHeader, claim.MaxKey)})
		return
	}
	call.ClaimKey = call.Client + "\x00" + call.Key
	call.claimAsked.Store(true)
	cx, cancel := context.WithDeadline(call.Ctx, call.Expiry.Add(-returnMargin))
	told, err := p.Claims.Take(cx, claim.TakeAsk{Key: call.ClaimKey, Call: call.ID, Print: call.Req.fingerprint()})
	cancel()
	if told.OK {
		call.claimOwned.Store(true)
		p.addStep(call, "claim", "", "the key is this call's")
	}
	switch {
	case call.finished.Load():
		// The caller was told "not run" in the meantime, so a claim obtained is released.
		p.endClaim(call, claim.EndAsk{Key: call.ClaimKey, Call: call.ID})
	case err != nil:
		p.refuse(call, "its key cannot be claimed now")
	case told.OK:
		p.enqueueSelection(call, "the queue before the choice is full")
	default:
		call.claimAsked.Store(false)
		p.reject(call, earlierCallVerdict(told.State, call.Req.fingerprint()))
	}
}

// notRun returns the verdict on a call that was not and will not be sent. If the claim on
// its key is not this call's, an earlier call may have run, and "not run" would be wrong
// for the request.
func (p *Pipeline) notRun(call *Call, why string) *httpapi.ErrorResponse {
	v := busyVerdict(why, cmp.Or(call.RetryAfter, time.Second))
	if p.Claims != nil && call.Key != "" && !call.repeatable && !call.claimOwned.Load() {
		v.Code, v.Reason = httpapi.OutcomeUnknown, why+"; whether an earlier call under this key ran is not known"
	}
	return v
}

// reject ends a call that was never sent.
func (p *Pipeline) reject(call *Call, v httpapi.ErrorResponse) {
	if call.claimNotRun() {
		call.finish(nil, &v)
	}
}

// earlierCallVerdict returns the verdict on a call whose key is claimed by another call.
func earlierCallVerdict(s claim.State, fingerprint string) httpapi.ErrorResponse {
	switch {
	case s.Print != fingerprint:
		return httpapi.ErrorResponse{Status: 422, Code: httpapi.KeyReused, Reason: "this key was used for another request, call " + s.Call}
	case s.State == claim.Ended:
		return httpapi.ErrorResponse{Status: 409, Code: httpapi.AlreadyRun, Reason: fmt.Sprintf("call %s under this key ran and was answered with status %d", s.Call, s.Status)}
	}
	return httpapi.ErrorResponse{Status: 409, Code: httpapi.OutcomeUnknown, Reason: "call " + s.Call + " under this key is under way, or its outcome is unknown", RetryDelay: 2 * time.Second}
}

// closeClaim informs the controllers how a claimed call ended. The claim is released if
// nothing ran and nothing will, and marked as ended if the call was answered; with an
// unknown outcome the key stays claimed for as long as keys are kept.
func (p *Pipeline) closeClaim(call *Call) {
	if !call.claimAsked.Load() {
		return
	}
	a := claim.EndAsk{Key: call.ClaimKey, Call: call.ID}
	switch {
	case call.Response != nil && call.Verdict == nil:
		a.Ran, a.Status = true, call.Response.Status
	case call.Verdict != nil && (call.state.Load() == stateNotSent || call.Verdict.Code == httpapi.BusyNotRun):
	default:
		return
	}
	p.endClaim(call, a)
}

// endClaim retries until the claim is ended; the caller already has its answer.
func (p *Pipeline) endClaim(call *Call, a claim.EndAsk) {
	go func() {
		cx, cancel := context.WithTimeout(call.Ctx, endClaimTimeout)
		defer cancel()
		for {
			// A claim request that returned an error may still be carried out later, so a
			// release is sent twice.
			err := p.Claims.End(cx, a)
			if err == nil && a.Ran {
				return
			}
			if p.Clock.Sleep(cx, 500*time.Millisecond) != nil {
				return
			}
			if err == nil {
				_ = p.Claims.End(cx, a)
				return
			}
		}
	}()
}
