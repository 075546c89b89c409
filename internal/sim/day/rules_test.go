package day

import (
	"fmt"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

func routeItem(version uint64, service string) item.Item {
	return Stream{Route: "r", Repeat: route.Idempotent}.route(version, singleShare(service)).Item()
}

// validRecord returns a small record that breaks no rule: changes of a route, requests to its old and
// new service, a target that departed, an orderly shutdown and a final fault.
func validRecord() *Record {
	r := &Record{Bounds: DefaultBounds(), Length: seconds(100), CoreMachines: []string{"m0", "m1", "m2"}, TargetPathFaults: map[string][]*FaultSpan{}}
	r.Changes = []*ChangeRequest{
		{Operator: "op", Valid: true, SentAt: seconds(1), Acknowledged: true, AckedAt: seconds(1.1), Items: []item.Item{routeItem(1, "a")}},
		{Operator: "op", Valid: true, SentAt: seconds(20), Acknowledged: true, AckedAt: seconds(20.1), Items: []item.Item{routeItem(5, "b")}},
		{Operator: "op", Valid: false, SentAt: seconds(30), Refused: true, Items: []item.Item{routeItem(7, "c")}},
	}
	r.Departures = []*Departure{{Run: "i1", State: target.Draining, SentAt: seconds(40), Acknowledged: true, AckedAt: seconds(40.1), AckedBy: "m1"}}
	r.FinalRead = []item.Item{routeItem(5, "b")}
	r.FinalReadAt = seconds(99)
	for _, x := range []struct {
		id, service, run string
		sent             float64
	}{{"q1", "a", "i1", 10}, {"q2", "a", "i1", 21}, {"q3", "b", "i2", 23}, {"q4", "b", "i2", 50}, {"q5", "b", "i2", 95}} {
		addRequest(r, x.id, x.service, x.run, seconds(x.sent))
	}
	r.GatewayStops = []GatewayStop{{"m3", seconds(60)}}
	r.FinalFault = &FinalFault{At: seconds(70), RestartedAt: seconds(73)}
	return r
}

func addRequest(r *Record, id, service, run string, sent time.Duration) (*Request, *Arrival) {
	q := &Request{ID: id, Method: "GET", Path: "/r/" + id, Host: requestHost, Route: "r", Machine: "m3", GatewayRun: 1, Sent: sent, Done: sent + seconds(.1), Deadline: sent + seconds(2), FullySent: true,
		Status: 200, ResponseID: id, Seal: "s" + id, BodyDigest: "b" + id}
	a := &Arrival{ID: id, Method: "GET", Path: q.Path, Host: requestHost, Run: run, Service: service, Machine: "m3", ArrivedAt: sent + seconds(.01), Ran: true, StartedAt: sent + seconds(.02), FinishedAt: sent + seconds(.09), Status: 200, Seal: q.Seal, BodyDigest: q.BodyDigest}
	r.Requests, r.Arrivals = append(r.Requests, q), append(r.Arrivals, a)
	return q, a
}

// addBadVersion adds an order of a bad version of service a, and some requests to it.
func addBadVersion(r *Record, requests int) *UpgradeOrder {
	x := &UpgradeOrder{Service: "a", Version: "v2", Bad: true, Sent: seconds(2), Acknowledged: true, Acked: seconds(2.1), Term: seconds(10)}
	r.Upgrades = append(r.Upgrades, x)
	for i := range requests {
		_, a := addRequest(r, fmt.Sprint("v", i), "a", "i2", seconds(5))
		a.Version = x.Version
	}
	return x
}

func TestASoundRecordBreaksNothing(t *testing.T) {
	r := validRecord()
	addBadVersion(r, 15).Reads = []UpgradeRead{{seconds(5), seconds(5.1), "v2", upgrade.Canary}, {seconds(6), seconds(6.1), "v2", upgrade.Reverted}}
	for _, b := range CheckAll(r) {
		t.Errorf("%+v", b)
	}
}

// Checks that each planted violation is found by its checker and by no other.
func TestCheckersFindPlantedFaults(t *testing.T) {
	for name, x := range map[string]struct {
		rule  string
		plant func(r *Record)
	}{
		"no seal":              {"MIXED", func(r *Record) { r.Requests[0].Seal = "" }},
		"half a body":          {"MIXED", func(r *Record) { r.Requests[0].BodyDigest = "b" }},
		"another's seal":       {"MIXED", func(r *Record) { r.Requests[0].Seal = r.Requests[1].Seal }},
		"another's answer":     {"MIXED", func(r *Record) { r.Requests[0].ResponseID = "q2" }},
		"a failure as success": {"MIXED", func(r *Record) { r.Arrivals[0].Status = 500 }},
		"another's failure":    {"MIXED", func(r *Record) { r.Requests[0].Status, r.Requests[0].ResponseID = 503, "q2" }},
		"a malformed head":     {"MIXED", func(r *Record) { r.Requests[0].MalformedHead = true }},
		"a malformed head, by a target": {"MIXED", func(r *Record) {
			r.Requests[0].MalformedHead, r.Requests[0].BadResponse, r.Requests[0].Status, r.Arrivals[0].ResponseFault = true, true, 0, true
		}},
		"a malformed answer as success": {"MIXED", func(r *Record) { r.Arrivals[0].Status, r.Arrivals[0].ResponseFault = 0, true }},
		"surplus":                       {"MIXED", func(r *Record) { r.Requests[0].UnsolicitedBytes = true }},
		"no answer at all":              {"MIXED", func(r *Record) { r.Requests[0].Status, r.Requests[0].BadResponse = 0, true }},
		"short where answers are held whole": {"MIXED", func(r *Record) {
			r.Requests[0].Status, r.Requests[0].BadResponse, r.Requests[0].Truncated = 0, true, true
		}},
		"no answer on a narrow link": {"MIXED", func(r *Record) { r.ForwardsEarly, r.Requests[0].Status, r.Requests[0].BadResponse = true, 0, true }},
		"too many at a bad version":  {"EXPOSURE", func(r *Record) { addBadVersion(r, 30) }},
		"an upgrade that goes back": {"UPGRADE", func(r *Record) {
			addBadVersion(r, 1).Reads = []UpgradeRead{{seconds(5), seconds(5.1), "v2", upgrade.Reverted}, {seconds(6), seconds(6.1), "v2", upgrade.Canary}}
		}},
		"both ends of an upgrade": {"UPGRADE", func(r *Record) {
			addBadVersion(r, 1).Reads = []UpgradeRead{{seconds(5), seconds(5.1), "v2", upgrade.Completed}, {seconds(6), seconds(6.1), "v2", upgrade.Reverted}}
		}},
		"an upgrade that is lost": {"UPGRADE", func(r *Record) { addBadVersion(r, 1).Reads = []UpgradeRead{{seconds(6), seconds(6.1), "", 0}} }},
		"a bad version long after": {"EXPOSURE", func(r *Record) {
			x := addBadVersion(r, 20)
			x.Term = seconds(1)
			for i := range badResponseLimit {
				addRequest(r, fmt.Sprint("bad", i), "a", "i2", seconds(6+.01*float64(i)))
				last := r.Arrivals[len(r.Arrivals)-1]
				r.Requests[len(r.Requests)-1].Status, last.Status, last.Version = 500, 500, "v2"
			}
			addRequest(r, "late", "a", "i2", seconds(13))
			r.Arrivals[len(r.Arrivals)-1].Version = "v2"
		}},
		"run twice": {"TWICE", func(r *Record) {
			r.Requests[0].AtMostOnce = true
			b := *r.Arrivals[0]
			b.Run = "i9"
			r.Arrivals = append(r.Arrivals, &b)
		}},
		"ran though refused":     {"REFUSED", func(r *Record) { r.Requests[0].AtMostOnce, r.Requests[0].Status = true, 503 }},
		"ran though late":        {"REFUSED", func(r *Record) { r.Requests[0].AtMostOnce, r.Requests[0].Status = true, 408 }},
		"nobody's request":       {"UNASKED", func(r *Record) { b := *r.Arrivals[0]; b.ID = "q0"; r.Arrivals = append(r.Arrivals, &b) }},
		"another path":           {"UNASKED", func(r *Record) { r.Arrivals[0].Path = "/r/other" }},
		"another body":           {"UNASKED", func(r *Record) { r.Arrivals[0].Body = "x" }},
		"a service never said":   {"ROUTE", func(r *Record) { r.Arrivals[0].Service = "z" }},
		"a service not yet said": {"ROUTE", func(r *Record) { r.Arrivals[0].Service = "b" }},
		"sent to one that left": {"DRAIN", func(r *Record) {
			r.Arrivals[3].Run = "i1"
		}},
		"the old service": {"CONFIG", func(r *Record) { addRequest(r, "q9", "a", "i3", seconds(22.2)) }},
		"no route, though there is": {"CONFIG", func(r *Record) {
			r.Requests[3].Status, r.Requests[3].Seal = 404, ""
			r.Arrivals = append(r.Arrivals[:3], r.Arrivals[4:]...)
		}},
		"gone back": {"CONFIG", func(r *Record) {
			addRequest(r, "q8", "b", "i2", seconds(20.5))
			addRequest(r, "q9", "a", "i3", seconds(20.9))
		}},
		"the invalid in force":    {"CONFIG", func(r *Record) { addRequest(r, "q9", "c", "i3", seconds(33)) }},
		"the invalid said yes to": {"CONFIG", func(r *Record) { r.Changes[2].Acknowledged, r.Changes[2].Refused = true, false }},
		"read back as older":      {"CONFIG", func(r *Record) { r.FinalRead = []item.Item{routeItem(1, "a")} }},
		"read back as another":    {"CONFIG", func(r *Record) { r.FinalRead = []item.Item{routeItem(5, "a")} }},
		"not read back":           {"CONFIG", func(r *Record) { r.FinalRead = []item.Item{} }},
		"nothing read":            {"CONFIG", func(r *Record) { r.FinalRead = nil }},
		"dropped and back": {"CONFIG", func(r *Record) {
			gone := item.Item{Key: routeItem(1, "a").Key, Version: 9, Gone: true}
			r.Changes = append(r.Changes, &ChangeRequest{Operator: "op", Valid: true, SentAt: seconds(98), Acknowledged: true, AckedAt: seconds(98.1), Items: []item.Item{gone}})
		}},
		"sent after the caller left": {"GONE", func(r *Record) {
			for i := range 5 {
				q, a := addRequest(r, fmt.Sprint("g", i), "b", "i2", seconds(50+float64(i)))
				q.Disconnected, q.TimedOut, q.Status = true, true, 0
				a.ArrivedAt, a.StartedAt, a.FinishedAt, a.DueAt = q.Done+seconds(.6), q.Done+seconds(.6), q.Done+seconds(.7), q.Done+seconds(.7)
			}
		}},
		"worked on after the caller left": {"GONE", func(r *Record) {
			for i := range 5 {
				q, a := addRequest(r, fmt.Sprint("g", i), "b", "i2", seconds(50+float64(i)))
				q.Disconnected, q.TimedOut, q.Status = true, true, 0
				a.FinishedAt, a.DueAt = q.Done+seconds(1), q.Done+seconds(1)
			}
		}},
		"a valid order refused": {"ACKS", func(r *Record) { r.Changes[1].Refused = true }},
		"two contents of one version": {"CONFIG", func(r *Record) {
			o := *r.Changes[1]
			o.Items = []item.Item{routeItem(5, "c")}
			r.Changes = append(r.Changes, &o)
		}},
		"refused after a lost acknowledgement": {"ACKS", func(r *Record) {
			r.Changes[1].Contested, r.Changes[1].AckLost = true, true
			o := *r.Changes[1]
			o.Acknowledged, o.Refused = false, true
			o.Items = []item.Item{routeItem(6, "c")}
			r.Changes = append(r.Changes, &o)
		}},
		"a read that goes back": {"CONFIG", func(r *Record) {
			r.Reads = []ConfigRead{{seconds(25), seconds(25.1), []item.Item{routeItem(5, "b")}}, {seconds(26), seconds(26.1), []item.Item{routeItem(1, "a")}}}
		}},
		"a read of another content": {"CONFIG", func(r *Record) {
			r.Reads = []ConfigRead{{seconds(25), seconds(25.1), []item.Item{routeItem(5, "c")}}}
		}},
		"a valid order unheard": {"ACKS", func(r *Record) { r.Changes[0].AckedAt = seconds(6) }},
		"too many more": {"BUDGET", func(r *Record) {
			for range r.Bounds.BudgetSlack + 2 {
				b := *r.Arrivals[2]
				b.Ran = false
				r.Arrivals = append(r.Arrivals, &b)
			}
		}},
		"dropped in a planned stop": {"LOST", func(r *Record) {
			q, _ := addRequest(r, "q9", "b", "i2", seconds(61))
			q.Status, q.Seal = 0, ""
		}},
		"dropped unsent": {"LOST", func(r *Record) {
			q, _ := addRequest(r, "q9", "b", "i2", seconds(61))
			q.Status, q.Seal, q.Done = 0, "", seconds(61.3)
			r.Arrivals = r.Arrivals[:len(r.Arrivals)-1]
		}},
		"not served again": {"RECOVER", func(r *Record) {
			r.Requests[4].Status, r.Requests[4].Seal = 503, ""
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			x.plant(r)
			bs := CheckAll(r)
			if len(bs) == 0 {
				t.Fatal("no violation was found")
			}
			for _, b := range bs {
				if b.Rule != x.rule {
					t.Errorf("found by %s, not %s: %+v", b.Rule, x.rule, b)
				}
			}
		})
	}
}

// Checks that circumstances which the rules excuse are not reported as violations.
func TestWhatIsExcused(t *testing.T) {
	for name, excuse := range map[string]func(r *Record){
		"a trouble shortly before": func(r *Record) {
			addRequest(r, "q9", "a", "i3", seconds(22.2))
			r.Faults = []*FaultSpan{{"m3", Partitioned, seconds(15), seconds(19.5)}}
		},
		"an unsettled core": func(r *Record) {
			addRequest(r, "q9", "a", "i3", seconds(22.2))
			r.Faults = []*FaultSpan{{"m0", Down, seconds(19), seconds(21)}}
		},
		"no majority": func(r *Record) {
			addRequest(r, "q9", "a", "i3", seconds(22.5))
			r.Faults = []*FaultSpan{{"m0", Down, seconds(19), seconds(50)}, {"m1", Down, seconds(19), seconds(50)}}
		},
		"another life": func(r *Record) {
			addRequest(r, "q8", "b", "i2", seconds(20.5))
			q, _ := addRequest(r, "q9", "a", "i3", seconds(20.9))
			q.GatewayRun, r.Requests[1].GatewayRun = 2, 2
		},
		"a harmed way to the target": func(r *Record) {
			r.Arrivals[3].Run = "i1"
			r.TargetPathFaults["i1"] = []*FaultSpan{{From: seconds(44), To: seconds(48)}}
		},
		"turned away as another run": func(r *Record) {
			addRequest(r, "q9", "b", "i1", seconds(50))
			a := r.Arrivals[len(r.Arrivals)-1]
			a.Misdirected, a.Ran = true, false
			b := *r.Arrivals[3]
			b.ID, b.Path, b.Seal, b.BodyDigest = "q9", a.Path, a.Seal, a.BodyDigest
			r.Arrivals = append(r.Arrivals, &b)
		},
		"a target at work late in the grace": func(r *Record) {
			q, a := addRequest(r, "q9", "b", "i2", seconds(61))
			q.Status, q.Seal, q.Done, q.Deadline, a.FinishedAt = 0, "", seconds(66), seconds(70), 0
		},
		"short on a narrow link": func(r *Record) {
			r.ForwardsEarly, r.Requests[0].Status, r.Requests[0].BadResponse, r.Requests[0].Truncated = true, 0, true, true
		},
		"a target that broke off": func(r *Record) {
			q, a := addRequest(r, "q9", "b", "i2", seconds(61))
			q.Status, q.Seal, q.BadResponse, a.ResponseFault = 0, "", true, true
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			excuse(r)
			for _, b := range CheckAll(r) {
				t.Errorf("%+v", b)
			}
		})
	}
	// An unstable core extends the bound but does not remove it.
	r := validRecord()
	addRequest(r, "q9", "a", "i3", seconds(27.5))
	r.Faults = []*FaultSpan{{"m0", Down, seconds(19), seconds(26)}}
	if len(CheckConfig(r)) == 0 {
		t.Error("an unstable core excuses a late change indefinitely")
	}
}
