package quorum

import (
	"context"
	"slices"

	"walkrudder/internal/link"
	"walkrudder/internal/storage"
)

// form is a node's consent to a first core proposed by node By (design 4.5).
type form struct {
	By   string
	Core Core
}

// afterRequest returns the consent and the known core after a request, and whether the request
// is granted. mayConsent reports whether a new consent may be given.
func (f form) afterRequest(known Core, req FormAsk, mayConsent bool) (form, Core, bool) {
	same := f.By == req.By && slices.Equal(f.Core.Seats, req.Core.Seats)
	switch {
	case known.Epoch > 0:
		return f, known, same && req.Seal
	case req.Drop:
		if f.By == req.By {
			f = form{}
		}
		return f, known, true
	case req.Seal:
		if same {
			known = req.Core
		}
		return f, known, same
	case f.By == "" && mayConsent && req.Core.Epoch == 1:
		return form{req.By, req.Core}, known, true
	}
	return f, known, same
}

// Consent returns the proposer and the first core that this voter has consented to.
func (v *Voter) Consent() (string, Core) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.consentCopy.By, v.consentCopy.Core
}

// handleForm consents to a first core, withdraws a consent, or seals the core (design 4.5).
// A consent binds until its own proposer withdraws it. Seeds are asked even if they get no
// seat; Disk in the response reports whether they have a disk.
func (v *Voter) handleForm(ctx context.Context, _ link.Identity, req FormAsk) (r FormTold, err error) {
	return doResult(ctx, v, func() (r FormTold) {
		f, c, ok := v.consent.afterRequest(v.core, req, !v.refuseNewConsent.Load())
		r.Core, r.By, r.OK, r.Disk = v.core, f.By, ok, v.self.Disk
		if f.By != v.consent.By || !slices.Equal(f.Core.Seats, v.consent.Core.Seats) {
			v.setConsent(f)
		}
		if c.Epoch > v.core.Epoch {
			v.setCore(c)
		}
		return r
	})
}

// Adopt makes c the voter's core if the voter consented to it. c must be known to be sealed
// on another node.
func (v *Voter) Adopt(ctx context.Context, c Core) error {
	return v.do(ctx, func() {
		if v.core.Epoch == 0 && c.Epoch == 1 && slices.Equal(v.consent.Core.Seats, c.Seats) {
			v.setCore(c)
		}
	})
}

func (v *Voter) setConsent(f form) {
	v.consent = f
	v.puts = append(v.puts, storage.Put{Key: consentKey, Value: encodeGob(f)})
}
