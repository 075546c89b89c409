package stand

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/commands"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/ledger"
	"walkrudder/internal/queries"
	"walkrudder/internal/spec"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// cleanRecords returns short records without a violation.
func cleanRecords() *Records {
	r := NewRecords()
	r.Changes = []ChangeRequest{ackedChange("one", 1, 0, putService("old"), putService("new"), putBinding("/p", "old"), putBinding("/q", "old")), ackedChange("two", 2, 1000, putBinding("/p", "new"))}
	for i := range 40 {
		svc := "old"
		if i > 10 {
			svc = "new"
		}
		recordServedCall(r, i, at(i*100), svc, "t-"+svc)
	}
	r.RecordLeave(Leave{Target: "t-old", Inc: 1, AckedAt: at(1100)})
	return r
}

// ackedChange returns a change that was acknowledged 100 ms after it was submitted.
func ackedChange(token string, n uint64, ms int, es ...spec.Edit) ChangeRequest {
	return ChangeRequest{Token: token, Edits: es, SubmittedAt: at(ms), Outcome: commands.InForce, Version: n, AckedAt: at(ms + 100)}
}

func putBinding(path, service string) spec.Edit {
	return spec.Edit{Op: spec.PutBinding, Binding: &spec.Binding{Name: path[1:], Path: path, Service: service, Methods: []string{"GET"}, ExpiryMS: 100}}
}

func putService(name string) spec.Edit {
	return spec.Edit{Op: spec.PutService, Service: &spec.Service{Name: name}}
}

// recordServedCall records a call that was executed once and succeeded.
func recordServedCall(r *Records, i int, t time.Time, svc, target string) {
	o, n := fmt.Sprintf("o%d", i), fmt.Sprintf("n%d", i)
	r.RecordArrival(Arrival{At: t, Target: target, Inc: 1, Service: svc, Order: o, SendID: n + ".1", Path: "/p"})
	r.RecordExec(Exec{At: t, Target: target, Service: svc, Inc: 1, Order: o, SendID: n + ".1", Path: "/p", Digest: "d" + o})
	r.RecordOutcome(Outcome{Order: o, Call: n, Path: "/p", Valid: true, Sent: t, Done: t, Gateway: fmt.Sprint("f", i%3), Status: 200, BodyOrder: o, BodyComplete: true,
		Digest: "d" + o, Stamp: httpapi.Stamp{ID: target, Service: svc, Inc: 1, Request: n + ".1"}.String()})
}

func TestSuspicionsAreHeldAgainstCrashes(t *testing.T) {
	r := NewRecords()
	r.RecordCrash(Crash{"a", 1, at(1000)})
	bad, after := r.ClassifySuspicions([]Crash{{"a", 1, at(3500)}, {"a", 1, at(500)}, {"a", 2, at(4000)}, {"b", 1, at(2000)}})
	if bad != 3 || len(after) != 1 || after[0] != 2500*time.Millisecond {
		t.Errorf("%d mistakes, %v", bad, after)
	}
}

func TestCheckerPassesACleanRecord(t *testing.T) {
	if v := cleanRecords().Check(); len(v.Violations) > 0 || v.TooManyRefusals || v.Successes != 40 {
		t.Fatalf("%+v", v)
	}
}

// Each kind of violation is found and named if it is the only one.
func TestCheckerCatchesPlantedViolations(t *testing.T) {
	for want, plant := range map[string]func(*Records){
		"ran 2 times": func(r *Records) {
			r.RecordExec(Exec{At: at(20), Target: "t-old", Service: "old", Inc: 1, Order: "o0", Path: "/p"})
		},
		"but ran 1 times": func(r *Records) {
			r.Outcomes[3].Call, r.Outcomes[3].Status, r.Outcomes[3].Code, r.Outcomes[3].RetryAfter = "c", 503, httpapi.BusyNotRun, "1"
		},
		"without Retry-After": func(r *Records) {
			r.RecordOutcome(Outcome{Order: "x", Valid: true, Status: 503, Code: httpapi.BusyNotRun})
		},
		"without a target's stamp":   func(r *Records) { r.Outcomes[5].Stamp = "" },
		"never ran":                  func(r *Records) { r.Outcomes[5].Stamp = strings.Replace(r.Outcomes[5].Stamp, "n5.", "n6.", 1) },
		"by a malformed answer":      func(r *Records) { r.Execs[5].Malformed = true },
		"another body":               func(r *Records) { r.Outcomes[5].Digest = "other" },
		"without the whole body":     func(r *Records) { r.Outcomes[5].BodyComplete = false },
		"with the answer to":         func(r *Records) { r.Outcomes[5].BodyOrder = "o6" },
		"no change allowed":          func(r *Records) { recordServedCall(r, 90, at(500), "new", "t-new") },
		"no change binds":            func(r *Records) { r.RecordExec(Exec{At: at(1), Service: "old", Order: "y", Path: "/r"}) },
		"after the acknowledgement":  func(r *Records) { recordServedCall(r, 91, at(3150), "old", "t-other") },
		"after the change had shown": func(r *Records) { recordServedCall(r, 92, at(1400), "old", "t-other") },
		"after its leave":            func(r *Records) { recordServedCall(r, 93, at(3150), "old", "t-old") },
		"valid, but answered 404": func(r *Records) {
			r.RecordOutcome(Outcome{Order: "w", Path: "/p", Valid: true, Status: 404, Code: httpapi.NoBinding, Sent: at(500), Done: at(500)})
		},
		"version 3: /q still showed": func(r *Records) { // a removal that one gateway never applied
			r.Changes = append(r.Changes, ackedChange("three", 3, 1500, spec.Edit{Op: spec.RemoveBinding, Name: "q"}))
			r.RecordArrival(Arrival{At: at(3700), Service: "old", Order: "u", SendID: "x.1", Path: "/q"})
		},
		`version 3: /q showed "old" at gateway f2 300ms after`: func(r *Records) { // one gateway falls behind another
			r.Changes = append(r.Changes, ackedChange("three", 3, 1500, spec.Edit{Op: spec.Replace, Sheet: &spec.Sheet{}}))
			r.RecordOutcome(Outcome{Order: "v", Call: "v", Gateway: "f1", Path: "/q", Status: 404, Code: httpapi.NoBinding, Sent: at(1550), Done: at(1550)})
			r.RecordOutcome(Outcome{Order: "u", Call: "x", Gateway: "f2", Path: "/q", Status: 502, Code: httpapi.BadAnswer, Sent: at(1850), Done: at(1850)})
			r.RecordArrival(Arrival{At: at(1850), Service: "old", Order: "u", SendID: "x.1", Path: "/q"})
		},
		`version 4: /q still showed ""`: func(r *Records) { // a rollback that one gateway never applied
			r.Changes = append(r.Changes, ackedChange("three", 3, 1500, spec.Edit{Op: spec.RemoveBinding, Name: "q"}), ackedChange("four", 4, 2000))
			r.Changes[3].RollbackTo = 2
			r.RecordOutcome(Outcome{Order: "v", Call: "v", Gateway: "f1", Path: "/q", Status: 404, Code: httpapi.NoBinding, Sent: at(4200), Done: at(4200)})
		},
		"had to be refused":              func(r *Records) { r.Changes[1].MustBeRefused = true },
		"both acknowledged as version 2": func(r *Records) { r.Changes = append(r.Changes, ackedChange("three", 2, 1500)) },
		"was held for 6s": func(r *Records) {
			r.RecordOutcome(Outcome{Order: "h", Gateway: "f2", Sent: at(0), Done: at(6000), Err: "Timeout"})
		},
		"cut off by the planned stop": func(r *Records) {
			r.RecordStop(Stop{Gateway: "f", From: at(900), End: at(3000)})
			r.RecordOutcome(Outcome{Order: "z", Gateway: "f", Sent: at(1000), Done: at(3000), Err: "connection reset"})
		},
		"extra sends in 10 s": func(r *Records) {
			// Sent but not executed: refused, lost, or cut off on the path.
			for range 90 {
				r.RecordArrival(Arrival{At: at(700), Service: "old", Order: "again", SendID: "c.1"})
			}
			r.RecordOutcome(Outcome{Order: "again", Call: "c", Sent: at(700), Repeatable: true, Status: 502, Code: httpapi.BadAnswer})
		},
		"90 extra sends": func(r *Records) { // each with another send ID
			for i := range 91 {
				r.RecordArrival(Arrival{At: at(700), Service: "new", Order: "again", SendID: fmt.Sprint(i, ".1")})
			}
			r.RecordOutcome(Outcome{Order: "again", Call: "c", Sent: at(700)})
		},
	} {
		r := cleanRecords()
		plant(r)
		v := r.Check()
		if !strings.Contains(strings.Join(v.Violations, "\n"), want) {
			t.Errorf("planted %q, found %q", want, v.Violations)
		}
	}
	// Every refusal counts, whatever its text; calls lost in a node's outage do not.
	for what, o := range map[string]Outcome{
		busy:        {Status: 503, Code: httpapi.BusyNotRun, RetryAfter: "1"},
		neverSent:   {Status: 503, Code: httpapi.OutcomeUnknown},
		noReadyNode: {Err: NoNode},
		gaveUp:      {Status: 502, Code: httpapi.BadAnswer, Forwarded: true, Repeatable: true},
		connClosed:  {Err: "EOF", Gateway: "f2"},
		nodeLost:    {Err: "connection reset", Gateway: "f1"},
		earlierCall: {Status: 409, Code: httpapi.OutcomeUnknown},
		mayHaveRun:  {Status: 502, Code: httpapi.OutcomeUnknown, Forwarded: true},
	} {
		r := cleanRecords()
		r.Outages = []Outage{{Node: "f1", From: at(900), To: at(1100)}}
		for i := range 6 {
			o.Order, o.Path, o.Valid, o.Sent, o.Done = fmt.Sprint("b", i), "/p", true, at(1000), at(1000)
			r.RecordOutcome(o)
		}
		if v := r.Check(); v.TooManyRefusals != strings.HasPrefix(what, "refused") || v.Classes[what] != 6 || len(v.Violations) > 0 {
			t.Errorf("6 of 46 calls %q: %+v", what, v)
		}
	}
}

func TestTimelineTellsWhenCallsWereNotServed(t *testing.T) {
	r := cleanRecords()
	r.RecordOutcome(Outcome{Order: "b", Valid: true, Status: 503, Code: httpapi.BusyNotRun, RetryAfter: "1", Sent: at(2500), Done: at(2500)})
	if l := r.Timeline(); len(l) != 1 || !strings.Contains(l[0], "of 11 calls map["+busy+":1]") {
		t.Errorf("%q", l)
	}
}

// A full state that lacks a decision, or contains a wrong one, is reported with the fault.
func TestCheckerHoldsThePictureWhole(t *testing.T) {
	leave := ledger.Note{Kind: ledger.NoteLeave, Target: &ledger.Target{ID: "t-old", Service: "old", Incarnation: 1}}
	cleanState := func() (*Records, queries.FullState) {
		r := cleanRecords()
		p := queries.FullState{Controller: "m", Decisions: []ledger.Note{leave, {Kind: ledger.NoteSuspect, Version: 7}}}
		var s spec.Sheet
		for i := range r.Changes {
			o := &r.Changes[i]
			s, _ = s.Apply(o.Edits)
			p.Changes = append(p.Changes, ledger.Change{Version: o.Version, Token: o.Token})
		}
		p.Sheet = queries.SheetStatus{Version: 2, InForce: 2, Sheet: s}
		return r, p
	}
	r, p := cleanState()
	r.RecordShownState(p)
	if bad := r.CheckFullState(p); len(bad) > 0 || len(p.Sheet.Sheet.Bindings) != 2 {
		t.Fatalf("a complete full state: %q", bad)
	}
	for want, plant := range map[string]func(*Records, *queries.FullState){
		"was shown and is missing":                         func(_ *Records, p *queries.FullState) { p.Decisions = p.Decisions[:1] },
		`informed of "leave", but the decision is missing`: func(_ *Records, p *queries.FullState) { p.Decisions = p.Decisions[1:] },
		`informed of "gone", but the decision is missing`:  func(r *Records, _ *queries.FullState) { r.RecordEviction(Leave{Target: "x", Inc: 3}) },
		"version 2 of change two is miss":                  func(_ *Records, p *queries.FullState) { p.Changes = p.Changes[:1] },
		"submitted by nobody":                              func(_ *Records, p *queries.FullState) { p.Changes[1].Token = "who" },
		"is both version 1 and version 2":                  func(r *Records, p *queries.FullState) { r.Changes[0].AckedAt, p.Changes[1].Token = time.Time{}, "one" },
		"had to be refused":                                func(r *Records, _ *queries.FullState) { r.Changes[1].MustBeRefused = true },
		"but version 1 is in force":                        func(_ *Records, p *queries.FullState) { p.Sheet.InForce = 1 },
		"not the one that results from the changes": func(_ *Records, p *queries.FullState) {
			p.Sheet.Sheet.Bindings = slices.Clone(p.Sheet.Sheet.Bindings)
			p.Sheet.Sheet.Bindings[0].Service = "old"
		},
	} {
		r, p := cleanState()
		r.RecordShownState(p)
		plant(r, &p)
		if got := strings.Join(r.CheckFullState(p), "\n"); !strings.Contains(got, want) {
			t.Errorf("planted %q, found %q", want, got)
		}
	}
}
