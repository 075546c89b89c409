package quorum

import (
	"context"
	"slices"

	"walkrudder/internal/link"
	"walkrudder/internal/storage"
)

// form is a node's consent to a first core (design 4.5).
type form struct {
	By   string
	Core Core
}

// next tells what becomes of the consent and of the core known when a is asked, and
// whether a is granted. free says that a new consent may be given.
func (f form) next(known Core, a FormAsk, free bool) (form, Core, bool) {
	same := f.By == a.By && slices.Equal(f.Core.Seats, a.Core.Seats)
	switch {
	case known.Epoch > 0:
		return f, known, same && a.Seal
	case a.Drop:
		if f.By == a.By {
			f = form{}
		}
		return f, known, true
	case a.Seal:
		if same {
			known = a.Core
		}
		return f, known, same
	case f.By == "" && free && a.Core.Epoch == 1:
		return form{a.By, a.Core}, known, true
	}
	return f, known, same
}

// Consent is the formation this voter consented to, and its proposer.
func (v *Voter) Consent() (string, Core) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.cons.By, v.cons.Core
}

// formed consents to a first core, drops a consent, or seals the core (design
// 4.5). A consent binds until its own proposer drops it. A seed is asked also where
// it gets no seat; its disk tells whether it has one.
func (v *Voter) formed(ctx context.Context, _ link.Who, a FormAsk) (r FormTold, err error) {
	return get(ctx, v, func() (r FormTold) {
		f, c, ok := v.form.next(v.core, a, !v.later.Load())
		r.Core, r.By, r.OK, r.Disk = v.core, f.By, ok, v.me.Disk
		if f.By != v.form.By || !slices.Equal(f.Core.Seats, v.form.Core.Seats) {
			v.setForm(f)
		}
		if c.Epoch > v.core.Epoch {
			v.setCore(c)
		}
		return r
	})
}

// Adopt lets a voter that consented to c take it, once c is known to be sealed
// elsewhere.
func (v *Voter) Adopt(ctx context.Context, c Core) error {
	return v.do(ctx, func() {
		if v.core.Epoch == 0 && c.Epoch == 1 && slices.Equal(v.form.Core.Seats, c.Seats) {
			v.setCore(c)
		}
	})
}

func (v *Voter) setForm(f form) {
	v.form = f
	v.puts = append(v.puts, storage.Put{Key: formKey, Value: pack(f)})
}
