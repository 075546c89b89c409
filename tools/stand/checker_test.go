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

// clean is a short record in which every promise is kept.
func clean() *Records {
	r := NewRecords()
	r.Orders = []Asked{order("one", 1, 0, service("old"), service("new"), put("/p", "old"), put("/q", "old")), order("two", 2, 1000, put("/p", "new"))}
	for i := range 40 {
		svc := "old"
		if i > 10 {
			svc = "new"
		}
		run(r, i, at(i*100), svc, "t-"+svc)
	}
	r.Leave(Leave{Target: "t-old", Inc: 1, Acked: at(1100)})
	return r
}

// order is one that was acknowledged 100 ms after it was asked for.
func order(token string, n uint64, ms int, es ...spec.Edit) Asked {
	return Asked{Token: token, Edits: es, At: at(ms), Outcome: commands.InForce, Version: n, Acked: at(ms + 100)}
}

func put(path, service string) spec.Edit {
	return spec.Edit{Op: spec.PutBinding, Binding: &spec.Binding{Name: path[1:], Path: path, Service: service, Methods: []string{"GET"}, ExpiryMS: 100}}
}

func service(name string) spec.Edit {
	return spec.Edit{Op: spec.PutService, Service: &spec.Service{Name: name}}
}

// run is one order that ran once and succeeded.
func run(r *Records, i int, t time.Time, svc, target string) {
	o, n := fmt.Sprintf("o%d", i), fmt.Sprintf("n%d", i)
	r.Arrive(Arrival{At: t, Target: target, Inc: 1, Service: svc, Order: o, Number: n + ".1", Path: "/p"})
	r.Exec(Exec{At: t, Target: target, Service: svc, Inc: 1, Order: o, Number: n + ".1", Path: "/p", Digest: "d" + o})
	r.Outcome(Outcome{Order: o, Call: n, Path: "/p", Proper: true, Sent: t, Done: t, Gateway: fmt.Sprint("f", i%3), Status: 200, BodyOrder: o, BodyWhole: true,
		Digest: "d" + o, Stamp: httpapi.Stamp{ID: target, Service: svc, Inc: 1, Request: n + ".1"}.String()})
}

func TestSuspicionsAreHeldAgainstCrashes(t *testing.T) {
	r := NewRecords()
	r.Down(Down{"a", 1, at(1000)})
	bad, after := r.Suspected([]Down{{"a", 1, at(3500)}, {"a", 1, at(500)}, {"a", 2, at(4000)}, {"b", 1, at(2000)}})
	if bad != 3 || len(after) != 1 || after[0] != 2500*time.Millisecond {
		t.Errorf("%d mistakes, %v", bad, after)
	}
}

func TestCheckerPassesACleanRecord(t *testing.T) {
	if v := clean().Check(); len(v.Broken) > 0 || v.Refused || v.Successes != 40 {
		t.Fatalf("%+v", v)
	}
}

// Every kind of violation, planted alone, is found and named.
func TestCheckerCatchesPlantedViolations(t *testing.T) {
	for want, plant := range map[string]func(*Records){
		"ran 2 times": func(r *Records) {
			r.Exec(Exec{At: at(20), Target: "t-old", Service: "old", Inc: 1, Order: "o0", Path: "/p"})
		},
		"but ran 1 times": func(r *Records) {
			r.Outcomes[3].Call, r.Outcomes[3].Status, r.Outcomes[3].Code, r.Outcomes[3].Retry = "c", 503, httpapi.BusyNotRun, "1"
		},
		"without Retry-After":        func(r *Records) { r.Outcome(Outcome{Order: "x", Proper: true, Status: 503, Code: httpapi.BusyNotRun}) },
		"without a target's stamp":   func(r *Records) { r.Outcomes[5].Stamp = "" },
		"never ran":                  func(r *Records) { r.Outcomes[5].Stamp = strings.Replace(r.Outcomes[5].Stamp, "n5.", "n6.", 1) },
		"another body":               func(r *Records) { r.Outcomes[5].Digest = "other" },
		"without the whole body":     func(r *Records) { r.Outcomes[5].BodyWhole = false },
		"with the answer to":         func(r *Records) { r.Outcomes[5].BodyOrder = "o6" },
		"no change allowed":          func(r *Records) { run(r, 90, at(500), "new", "t-new") },
		"no change binds":            func(r *Records) { r.Exec(Exec{At: at(1), Service: "old", Order: "y", Path: "/r"}) },
		"after the acknowledgement":  func(r *Records) { run(r, 91, at(3150), "old", "t-other") },
		"after the change had shown": func(r *Records) { run(r, 92, at(1400), "old", "t-other") },
		"after its leaving":          func(r *Records) { run(r, 93, at(3150), "old", "t-old") },
		"proper, and answered 404": func(r *Records) {
			r.Outcome(Outcome{Order: "w", Path: "/p", Proper: true, Status: 404, Code: httpapi.NoBinding, Sent: at(500), Done: at(500)})
		},
		"version 3: /q still showed": func(r *Records) { // a removal that one gateway never took in
			r.Orders = append(r.Orders, order("three", 3, 1500, spec.Edit{Op: spec.RemoveBinding, Name: "q"}))
			r.Arrive(Arrival{At: at(3700), Service: "old", Order: "u", Number: "x.1", Path: "/q"})
		},
		`version 3: /q showed "old" at gateway f2 300ms after`: func(r *Records) { // one gateway slips back behind another
			r.Orders = append(r.Orders, order("three", 3, 1500, spec.Edit{Op: spec.Replace, Sheet: &spec.Sheet{}}))
			r.Outcome(Outcome{Order: "v", Call: "v", Gateway: "f1", Path: "/q", Status: 404, Code: httpapi.NoBinding, Sent: at(1550), Done: at(1550)})
			r.Outcome(Outcome{Order: "u", Call: "x", Gateway: "f2", Path: "/q", Status: 502, Code: httpapi.BadAnswer, Sent: at(1850), Done: at(1850)})
			r.Arrive(Arrival{At: at(1850), Service: "old", Order: "u", Number: "x.1", Path: "/q"})
		},
		`version 4: /q still showed ""`: func(r *Records) { // a roll-back that one gateway never took in
			r.Orders = append(r.Orders, order("three", 3, 1500, spec.Edit{Op: spec.RemoveBinding, Name: "q"}), order("four", 4, 2000))
			r.Orders[3].Back = 2
			r.Outcome(Outcome{Order: "v", Call: "v", Gateway: "f1", Path: "/q", Status: 404, Code: httpapi.NoBinding, Sent: at(4200), Done: at(4200)})
		},
		"made to be refused": func(r *Records) { r.Orders[1].Bad = true },
		"both told":          func(r *Records) { r.Orders = append(r.Orders, order("three", 2, 1500)) },
		"was held for 6s": func(r *Records) {
			r.Outcome(Outcome{Order: "h", Gateway: "f2", Sent: at(0), Done: at(6000), Err: "Timeout"})
		},
		"cut off by the planned stop": func(r *Records) {
			r.Stop(Stop{Gateway: "f", From: at(900), End: at(3000)})
			r.Outcome(Outcome{Order: "z", Gateway: "f", Sent: at(1000), Done: at(3000), Err: "connection reset"})
		},
		"extra sends in 10 s": func(r *Records) {
			// Sent and never run: refused, lost, or cut off on the way.
			for range 90 {
				r.Arrive(Arrival{At: at(700), Service: "old", Order: "again", Number: "c.1"})
			}
			r.Outcome(Outcome{Order: "again", Call: "c", Sent: at(700), Repeatable: true, Status: 502, Code: httpapi.BadAnswer})
		},
		"90 extra sends": func(r *Records) { // each under another number
			for i := range 91 {
				r.Arrive(Arrival{At: at(700), Service: "new", Order: "again", Number: fmt.Sprint(i, ".1")})
			}
			r.Outcome(Outcome{Order: "again", Call: "c", Sent: at(700)})
		},
	} {
		r := clean()
		plant(r)
		v := r.Check()
		if !strings.Contains(strings.Join(v.Broken, "\n"), want) {
			t.Errorf("planted %q, found %q", want, v.Broken)
		}
	}
	// Whatever we refuse counts, in whichever words; what was done to a node does not.
	for what, o := range map[string]Outcome{
		busy:        {Status: 503, Code: httpapi.BusyNotRun, Retry: "1"},
		neverSent:   {Status: 503, Code: httpapi.OutcomeUnknown},
		noReady:     {Err: NoNode},
		gaveUp:      {Status: 502, Code: httpapi.BadAnswer, SentOn: true, Repeatable: true},
		linkClosed:  {Err: "EOF", Gateway: "f2"},
		nodeLost:    {Err: "connection reset", Gateway: "f1"},
		earlierCall: {Status: 409, Code: httpapi.OutcomeUnknown},
		mayHaveRun:  {Status: 502, Code: httpapi.OutcomeUnknown, SentOn: true},
	} {
		r := clean()
		r.Outs = []Out{{Node: "f1", From: at(900), To: at(1100)}}
		for i := range 6 {
			o.Order, o.Path, o.Proper, o.Sent, o.Done = fmt.Sprint("b", i), "/p", true, at(1000), at(1000)
			r.Outcome(o)
		}
		if v := r.Check(); v.Refused != strings.HasPrefix(what, "refused") || v.Classes[what] != 6 || len(v.Broken) > 0 {
			t.Errorf("6 of 46 calls %q: %+v", what, v)
		}
	}
}

func TestTimelineTellsWhenCallsWereNotServed(t *testing.T) {
	r := clean()
	r.Outcome(Outcome{Order: "b", Proper: true, Status: 503, Code: httpapi.BusyNotRun, Retry: "1", Sent: at(2500), Done: at(2500)})
	if l := r.Timeline(); len(l) != 1 || !strings.Contains(l[0], "of 11 calls map["+busy+":1]") {
		t.Errorf("%q", l)
	}
}

// A picture that lacks, or holds, what it should not is found and named.
func TestCheckerHoldsThePictureWhole(t *testing.T) {
	leave := ledger.Note{Kind: ledger.NoteLeave, Target: &ledger.Target{ID: "t-old", Service: "old", Incarnation: 1}}
	mk := func() (*Records, queries.FullState) {
		r := clean()
		p := queries.FullState{Controller: "m", Decisions: []ledger.Note{leave, {Kind: ledger.NoteSuspect, Version: 7}}}
		var s spec.Sheet
		for i := range r.Orders {
			o := &r.Orders[i]
			s, _ = s.Apply(o.Edits)
			p.Changes = append(p.Changes, ledger.Change{Version: o.Version, Token: o.Token})
		}
		p.Sheet = queries.SheetStatus{Version: 2, InForce: 2, Sheet: s}
		return r, p
	}
	r, p := mk()
	r.Shown(p)
	if bad := r.Picture(p); len(bad) > 0 || len(p.Sheet.Sheet.Bindings) != 2 {
		t.Fatalf("a whole picture: %q", bad)
	}
	for want, plant := range map[string]func(*Records, *queries.FullState){
		"was shown and is missing":       func(_ *Records, p *queries.FullState) { p.Decisions = p.Decisions[:1] },
		`told "leave" is missing`:        func(_ *Records, p *queries.FullState) { p.Decisions = p.Decisions[1:] },
		`told "gone" is missing`:         func(r *Records, _ *queries.FullState) { r.Gone(Leave{Target: "x", Inc: 3}) },
		"version 2 of order two is miss": func(_ *Records, p *queries.FullState) { p.Changes = p.Changes[:1] },
		"asked for by nobody":            func(_ *Records, p *queries.FullState) { p.Changes[1].Token = "who" },
		"is version 1 and version 2":     func(r *Records, p *queries.FullState) { r.Orders[0].Acked, p.Changes[1].Token = time.Time{}, "one" },
		"made to be refused":             func(r *Records, _ *queries.FullState) { r.Orders[1].Bad = true },
		"in force is 1":                  func(_ *Records, p *queries.FullState) { p.Sheet.InForce = 1 },
		"not the one that the orders give": func(_ *Records, p *queries.FullState) {
			p.Sheet.Sheet.Bindings = slices.Clone(p.Sheet.Sheet.Bindings)
			p.Sheet.Sheet.Bindings[0].Service = "old"
		},
	} {
		r, p := mk()
		r.Shown(p)
		plant(r, &p)
		if got := strings.Join(r.Picture(p), "\n"); !strings.Contains(got, want) {
			t.Errorf("planted %q, found %q", want, got)
		}
	}
}
