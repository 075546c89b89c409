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

// RecordShownState records a full state that an operator saw: all its decisions must be in every
// later full state.
func (r *Records) RecordShownState(p queries.FullState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range decisionSet(p) {
		r.shownDecisions[k] = true
	}
}

// decisionSet returns an identifying text for each decision of a full state.
func decisionSet(p queries.FullState) map[string]bool {
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

// CheckFullState compares a full state with what operators and targets were told. It must contain all
// that was acknowledged or shown, nothing that nobody submitted, and the sheet that results from the
// operators' changes.
func (r *Records) CheckFullState(p queries.FullState) (bad []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := func(format string, args ...any) { bad = append(bad, p.Controller+": "+fmt.Sprintf(format, args...)) }
	decisions := decisionSet(p)
	for k := range r.shownDecisions {
		if !decisions[k] {
			report("was shown and is missing: %s", k)
		}
	}
	byToken := map[string]ChangeRequest{}
	for _, o := range r.Changes {
		byToken[o.Token] = o
	}
	var s spec.Sheet
	sheetByVersion, versionByToken := map[uint64]spec.Sheet{}, map[string]uint64{}
	for _, c := range p.Changes {
		o, ok := byToken[c.Token]
		switch {
		case !ok:
			report("version %d was submitted by nobody (token %q)", c.Version, c.Token)
			return bad
		case o.MustBeRefused:
			report("version %d is of change %s, which had to be refused", c.Version, c.Token)
			return bad
		case !o.AckedAt.IsZero() && o.Version != c.Version:
			report("change %s was acknowledged as version %d, but is version %d", c.Token, o.Version, c.Version)
		case versionByToken[c.Token] > 0:
			report("change %s is both version %d and version %d", c.Token, versionByToken[c.Token], c.Version)
		}
		versionByToken[c.Token] = c.Version
		if o.RollbackTo > 0 {
			s = sheetByVersion[o.RollbackTo]
		} else {
			var problems []spec.Problem
			if s, problems = s.Apply(o.Edits); len(problems) > 0 {
				report("version %d of change %s does not apply to the version before: %v", c.Version, c.Token, problems)
			}
		}
		sheetByVersion[c.Version] = s
	}
	for _, o := range r.Changes {
		if !o.AckedAt.IsZero() && versionByToken[o.Token] == 0 {
			report("acknowledged version %d of change %s is missing", o.Version, o.Token)
		}
		if o.Version > p.Sheet.InForce {
			report("version %d was acknowledged, but version %d is in force", o.Version, p.Sheet.InForce)
		}
	}
	if x, y := s.Sorted(), p.Sheet.Sheet.Sorted(); len(p.Changes) > 0 && !sameSheet(x, y) {
		report("the sheet is not the one that results from the changes: %+v, want %+v", y, x)
	}
	checkNotes := func(kind string, ls []Leave) {
		for _, l := range ls {
			if !lo.ContainsBy(p.Decisions, func(n ledger.Note) bool {
				return n.Kind == kind && n.Target != nil && n.Target.ID == l.Target && n.Target.Incarnation == l.Inc
			}) {
				report("%s/%d was informed of %q, but the decision is missing", l.Target, l.Inc, kind)
			}
		}
	}
	checkNotes(ledger.NoteLeave, r.Leaves)
	checkNotes(ledger.NoteGone, r.Evictions)
	return bad
}

// sameSheet compares two sheets; an empty list equals a missing one.
func sameSheet(a, b spec.Sheet) bool {
	if len(a.Services)+len(b.Services)+len(a.Bindings)+len(b.Bindings) == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}
