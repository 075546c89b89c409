package day

import (
	"fmt"
	"slices"
)

// CheckLost checks that during an orderly shutdown no request that was received is dropped.
func CheckLost(r *Record) (out []Violation) {
	arrivals := arrivalsByRequest(r)
	contacts := newContactHistory(r)
	hasUnplannedFault := func(m string, q *Request) bool {
		return slices.ContainsFunc(contacts.byMachine[m], func(s *FaultSpan) bool {
			return s.Kind != PlannedStop && s.From <= q.Done && q.Sent-r.Bounds.Contact <= s.To
		})
	}
	for _, q := range r.Requests {
		if q.Status != 0 || !q.FullySent || q.TimedOut || q.Done >= q.Deadline || anyResponseFault(arrivals[q.ID]) || hasUnplannedFault(q.Machine, q) {
			continue
		}
		at := slices.IndexFunc(r.GatewayStops, func(s GatewayStop) bool {
			return s.Machine == q.Machine && s.At <= q.Done && q.Done <= s.At+r.Bounds.Grace+1e9
		})
		if at < 0 {
			continue
		}
		late := r.GatewayStops[at].At + r.Bounds.Grace/2
		if slices.ContainsFunc(arrivals[q.ID], func(a *Arrival) bool { return a.Ran && (a.FinishedAt == 0 || a.FinishedAt > late) }) {
			continue
		}
		if len(arrivals[q.ID]) > 0 || q.Done > q.Sent+r.Bounds.DropTolerance {
			out = append(out, Violation{"LOST", q.Done, fmt.Sprintf("%s sent at %v was dropped by %s at %v, during its shutdown that began at %v", q.ID, q.Sent, q.Machine, q.Done, r.GatewayStops[at].At)})
		}
	}
	return out
}

// CheckRecovery checks that requests are served again after the final fault.
func CheckRecovery(r *Record) (out []Violation) {
	if r.FinalFault == nil {
		return nil
	}
	var before, okBefore, after, okAfter int
	for _, q := range r.Requests {
		served := 0
		if q.Status >= 200 && q.Status < 300 {
			served = 1
		}
		switch {
		case q.Probe:
		case q.Sent < r.FinalFault.At:
			before, okBefore = before+1, okBefore+served
		case q.Sent > r.FinalFault.RestartedAt+r.Bounds.Recovery:
			after, okAfter = after+1, okAfter+served
		}
	}
	if 4*okBefore >= before && (4*okAfter < after || after == 0) {
		out = append(out, Violation{"RECOVER", r.FinalFault.RestartedAt, fmt.Sprintf("%d of %d served after the final fault, %d of %d before", okAfter, after, okBefore, before)})
	}
	return out
}

// Rules are all checkers by the name of their rule.
var Rules = map[string]func(*Record) []Violation{"MIXED": CheckMixed, "TWICE": CheckTwice, "REFUSED": CheckRefused, "UNASKED": CheckUnasked, "ROUTE": CheckRoute, "DRAIN": CheckDrain,
	"CONFIG": CheckConfig, "read back": CheckFinalRead, "ACKS": CheckAcks, "one content": CheckOneContent, "history": CheckHistory, "BUDGET": CheckBudget, "LOST": CheckLost, "RECOVER": CheckRecovery, "GONE": CheckDisconnects,
	"EXPOSURE": CheckExposure, "UPGRADE": CheckUpgradeHistory}

// CheckAll returns the violations of all rules, ordered by time.
func CheckAll(r *Record) (out []Violation) {
	for _, f := range Rules {
		out = append(out, f(r)...)
	}
	slices.SortFunc(out, func(a, b Violation) int { return int(a.At - b.At) })
	return out
}
