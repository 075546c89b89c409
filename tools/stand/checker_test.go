package stand

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/face"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// clean is a short record in which every promise is kept.
func clean() *Records {
	r := NewRecords()
	r.Allow("/p", "old", at(0))
	r.Allow("/p", "new", at(1000))
	r.Change(Change{Path: "/p", Service: "new", Asked: at(1000), Acked: at(1100), Version: 2})
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

// run is one order that ran once and succeeded.
func run(r *Records, i int, t time.Time, svc, target string) {
	o, n := fmt.Sprintf("o%d", i), fmt.Sprintf("n%d", i)
	r.Exec(Exec{At: t, Target: target, Service: svc, Inc: 1, Order: o, Number: n, Path: "/p"})
	r.Outcome(Outcome{Order: o, Path: "/p", Proper: true, Sent: t, Done: t, Status: 200, BodyOrder: o, BodyWhole: true,
		Stamp: face.Stamp{ID: target, Service: svc, Inc: 1, Request: n}.String()})
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
			r.Outcomes[3].Call, r.Outcomes[3].Status, r.Outcomes[3].Code, r.Outcomes[3].Retry = "c", 503, face.BusyNotRun, "1"
		},
		"without Retry-After":        func(r *Records) { r.Outcome(Outcome{Order: "x", Proper: true, Status: 503, Code: face.BusyNotRun}) },
		"without a target's stamp":   func(r *Records) { r.Outcomes[5].Stamp = "" },
		"never ran":                  func(r *Records) { r.Outcomes[5].Stamp = strings.Replace(r.Outcomes[5].Stamp, "n5", "n6", 1) },
		"without the whole body":     func(r *Records) { r.Outcomes[5].BodyWhole = false },
		"with the answer to":         func(r *Records) { r.Outcomes[5].BodyOrder = "o6" },
		"no change allowed":          func(r *Records) { run(r, 90, at(500), "new", "t-new") },
		"no change binds":            func(r *Records) { r.Exec(Exec{At: at(1), Service: "old", Order: "y", Path: "/q"}) },
		"after the acknowledgement":  func(r *Records) { run(r, 91, at(3150), "old", "t-other") },
		"after the change had shown": func(r *Records) { run(r, 92, at(1400), "old", "t-other") },
		"after its leaving":          func(r *Records) { run(r, 93, at(3150), "old", "t-old") },
		"no valid change unbinds": func(r *Records) {
			r.Outcome(Outcome{Order: "w", Path: "/p", Proper: true, Status: 404, Code: face.NoBinding})
		},
		"cut off by the planned stop": func(r *Records) {
			r.Stop(Stop{Flow: "f", From: at(900), End: at(3000)})
			r.Outcome(Outcome{Order: "z", Flow: "f", Sent: at(1000), Done: at(3000), Err: "connection reset"})
		},
		"extra sends in 10 s": func(r *Records) {
			for range 90 {
				r.Exec(Exec{At: at(700), Target: "t-old", Service: "old", Inc: 1, Order: "again", Path: "/p"})
			}
			r.Outcome(Outcome{Order: "again", Repeatable: true, Status: 502})
		},
	} {
		r := clean()
		plant(r)
		v := r.Check()
		if !strings.Contains(strings.Join(v.Broken, "\n"), want) {
			t.Errorf("planted %q, found %q", want, v.Broken)
		}
	}
	r := clean()
	for i := range 6 {
		r.Outcome(Outcome{Order: fmt.Sprint("b", i), Proper: true, Status: 503, Code: face.BusyNotRun, Retry: "1"})
	}
	if v := r.Check(); !v.Refused {
		t.Errorf("6 of 46 calls refused, and found well: %+v", v)
	}
}
