package stand

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/samber/lo"

	"walkrudder/internal/ledger"
	"walkrudder/internal/queries"
	"walkrudder/internal/spec"
)

// Shown notes a picture that an operator was shown: what it held must be in every
// later one.
func (r *Records) Shown(p queries.FullState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range said(p) {
		r.shown[k] = true
	}
}

// said names every decision of a picture.
func said(p queries.FullState) map[string]bool {
	m := map[string]bool{}
	for _, c := range p.Changes {
		m[fmt.Sprintf("version %d by token %s", c.Version, c.Token)] = true
	}
	for _, n := range p.Decisions {
		b, _ := json.Marshal(n)
		m[string(b)] = true
	}
	return m
}

// Picture holds a picture against what operators and targets were told: it lacks
// nothing that was acknowledged or shown, holds nothing that nobody asked for, and its
// sheet is the one that the operators' own orders give.
func (r *Records) Picture(p queries.FullState) (bad []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	miss := func(format string, args ...any) { bad = append(bad, p.Controller+": "+fmt.Sprintf(format, args...)) }
	have := said(p)
	for k := range r.shown {
		if !have[k] {
			miss("was shown and is missing: %s", k)
		}
	}
	asked := map[string]Asked{}
	for _, o := range r.Orders {
		asked[o.Token] = o
	}
	var s spec.Sheet
	sheets, at := map[uint64]spec.Sheet{}, map[string]uint64{}
	for _, c := range p.Changes {
		o, ok := asked[c.Token]
		switch {
		case !ok:
			miss("version %d was asked for by nobody (token %q)", c.Version, c.Token)
			return bad
		case o.Bad:
			miss("version %d is of order %s, which was made to be refused", c.Version, c.Token)
			return bad
		case !o.Acked.IsZero() && o.Version != c.Version:
			miss("order %s was told version %d, and is version %d", c.Token, o.Version, c.Version)
		case at[c.Token] > 0:
			miss("order %s is version %d and version %d", c.Token, at[c.Token], c.Version)
		}
		at[c.Token] = c.Version
		if o.Back > 0 {
			s = sheets[o.Back]
		} else {
			var no []spec.Problem
			if s, no = s.Apply(o.Edits); len(no) > 0 {
				miss("version %d of order %s does not apply to the version before: %v", c.Version, c.Token, no)
			}
		}
		sheets[c.Version] = s
	}
	for _, o := range r.Orders {
		if !o.Acked.IsZero() && at[o.Token] == 0 {
			miss("acknowledged version %d of order %s is missing", o.Version, o.Token)
		}
		if o.Version > p.Sheet.InForce {
			miss("version %d was acknowledged, in force is %d", o.Version, p.Sheet.InForce)
		}
	}
	if x, y := s.Sorted(), p.Sheet.Sheet.Sorted(); len(p.Changes) > 0 && !same(x, y) {
		miss("the sheet is not the one that the orders give: %+v, and the orders give %+v", y, x)
	}
	runs := func(kind string, ls []Leave) {
		for _, l := range ls {
			if !lo.ContainsBy(p.Decisions, func(n ledger.Note) bool {
				return n.Kind == kind && n.Target != nil && n.Target.ID == l.Target && n.Target.Incarnation == l.Inc
			}) {
				miss("that %s/%d was told %q is missing", l.Target, l.Inc, kind)
			}
		}
	}
	runs(ledger.NoteLeave, r.Leaves)
	runs(ledger.NoteGone, r.Gones)
	return bad
}

// same compares sheets; an empty list is as good as none.
func same(a, b spec.Sheet) bool {
	if len(a.Services)+len(b.Services)+len(a.Bindings)+len(b.Bindings) == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}
