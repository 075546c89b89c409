package stand

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/commands"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/spec"
)

// NoNode is the error of a call that finds no ready node.
const NoNode = "no ready node"

// CheckResult is the result of the checks of a run.
type CheckResult struct {
	Calls     int `json:"calls"`
	Successes int `json:"successes"`
	Refusals  int `json:"refusals"`
	Unknown   int `json:"outcome_unknown"`
	// Classes counts the calls by class.
	Classes             map[string]int `json:"classes"`
	Executions          int            `json:"executions"`
	ExtraSends          int            `json:"extra_sends"`
	WorstExtraOverLimit float64        `json:"worst_extra_over_limit"` // negative: never over the limit
	P50, P99            time.Duration  `json:"-"`
	P50MS               float64        `json:"p50_ms"`
	P99MS               float64        `json:"p99_ms"`
	SlowestChangeMS     float64        `json:"slowest_change_ms"` // latest old behaviour after the acknowledgement
	// WidestSlipMS is the longest time for which the state before a change still showed after the
	// change had first shown.
	WidestSlipMS float64 `json:"widest_slip_ms"`
	// ChangesShown counts the pairs of an acknowledged change and a gateway whose answers showed it.
	ChangesShown int `json:"changes_shown_by_gateways"`
	// RefusalReasons counts the refused calls by reason.
	RefusalReasons map[string]int `json:"refused_for,omitempty"`
	// TooManyRefusals reports that more valid calls were refused than the users' limit allows.
	TooManyRefusals bool `json:"refused_too_often"`
	// FailureCounts counts the failures that were caused, by name.
	FailureCounts map[string]int `json:"failures,omitempty"`
	Violations    []string       `json:"broken,omitempty"`
}

// Limits that the users set for what the system promises.
const (
	// inForceWithin is how long after a change's acknowledgement the state before it may still show.
	inForceWithin = 2 * time.Second
	// slipWithin is how long the state before a change may still show after the change first showed.
	slipWithin = 250 * time.Millisecond
	// leaveWithin is how long after the acknowledgement of its leave a target may still get requests.
	leaveWithin = 2 * time.Second
	// In each extraWindow, a service may get extraAllowance extra sends, and extraRatio more for each
	// send that is not extra.
	extraWindow    = 10 * time.Second
	extraRatio     = 0.2
	extraAllowance = 70
	// readinessInterval is how long the platform may still send calls to a gateway that is no longer
	// ready.
	readinessInterval = time.Second
	// maxCallDuration is the longest that a call may take: the stand-ins bind no path with an expiry
	// above 3 s, and neither a planned stop nor a pause extends it.
	maxCallDuration = 5 * time.Second
	// Of the valid calls of a run, refusalAllowance and a further share of refusalRatio may be refused.
	refusalAllowance = 5
	refusalRatio     = 1.0 / 500
)

// Check checks the run against the records of targets, callers and operators only.
func (r *Records) Check() CheckResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := CheckResult{Calls: len(r.Outcomes), Executions: len(r.Execs), Classes: map[string]int{}, RefusalReasons: map[string]int{}, WorstExtraOverLimit: -extraAllowance, FailureCounts: maps.Clone(r.FailureCounts)}
	execs := lo.GroupBy(r.Execs, func(e Exec) string { return e.Order })
	r.checkCalls(&v, execs)
	r.checkAtMostOnce(&v, execs)
	r.checkServices(&v)
	r.checkChangeResults(&v)
	r.checkChanges(&v)
	r.checkLeaves(&v)
	r.checkStops(&v)
	r.checkExtraSends(&v)
	return v
}

func (v *CheckResult) addViolation(format string, args ...any) {
	if len(v.Violations) < 50 {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// Classes of calls. Those with the prefix "refused" are refusals by the gateway or the platform.
const (
	served         = "served"
	expectedAnswer = "answered as the caller expected"
	busy           = "refused: busy, not run"
	neverSent      = "refused: outcome unknown, never sent"
	noReadyNode    = "refused: no ready node"
	gaveUp         = "refused: a repeatable call given up"
	connClosed     = "refused: a link that closed by itself"
	wronglyRefused = "refused: as improper"
	mayHaveRun     = "outcome unknown, may have run"
	earlierCall    = "told of an earlier call"
	nodeLost       = "lost with a node that was killed or cut off"
)

// classify returns the class of a call.
func (r *Records) classify(o Outcome) string {
	switch {
	case o.Err == NoNode:
		return noReadyNode
	case o.Err != "":
		if r.duringOutage(o) {
			return nodeLost
		}
		return connClosed
	case o.Status < 300:
		return served
	case o.Code == httpapi.BusyNotRun:
		return busy
	case o.Code == httpapi.AlreadyRun || o.Code == httpapi.OutcomeUnknown && o.Status == 409:
		return earlierCall
	case o.Code == httpapi.OutcomeUnknown && !o.Forwarded:
		return neverSent
	case o.Code == httpapi.OutcomeUnknown:
		return mayHaveRun
	case o.Code == httpapi.BadAnswer:
		return gaveUp
	case !o.Valid:
		return expectedAnswer
	}
	return wronglyRefused
}

// Failed lists the valid calls sent at or after t that were not served.
func (r *Records) Failed(t time.Time) []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Filter(r.Outcomes, func(o Outcome, _ int) bool { return o.Valid && !o.Sent.Before(t) && r.classify(o) != served })
}

// Timeline lists the seconds in which valid calls were not served, with the number of calls sent and
// the classes of those that were not served.
func (r *Records) Timeline() (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bySecond := lo.GroupBy(lo.Filter(r.Outcomes, func(o Outcome, _ int) bool { return o.Valid }), func(o Outcome) int64 { return o.Sent.Unix() })
	for _, s := range slices.Sorted(maps.Keys(bySecond)) {
		bad := map[string]int{}
		for _, o := range bySecond[s] {
			if c := r.classify(o); c != served {
				bad[c]++
			}
		}
		if len(bad) > 0 {
			out = append(out, fmt.Sprintf("%s: of %d calls %v", time.Unix(s, 0).Format("15:04:05"), len(bySecond[s]), bad))
		}
	}
	return out
}

// duringOutage reports whether the node that a call went to had an outage during the call or less
// than a readiness interval before it.
func (r *Records) duringOutage(o Outcome) bool {
	return lo.SomeBy(r.Outages, func(x Outage) bool {
		return x.Node == o.Gateway && !x.From.After(o.Done) && (x.To.IsZero() || x.To.Add(readinessInterval).After(o.Sent))
	})
}

func (r *Records) checkCalls(v *CheckResult, execs map[string][]Exec) {
	var took []time.Duration
	valid := 0
	for _, o := range r.Outcomes {
		if o.Valid {
			valid++
		}
		c := r.classify(o)
		v.Classes[c]++
		if took := o.Done.Sub(o.Sent); took > maxCallDuration && !r.duringOutage(o) {
			v.addViolation("call %s of order %s was held for %s at %s", o.Call, o.Order, took, o.Gateway)
		}
		if o.Valid && strings.HasPrefix(c, "refused") {
			v.Refusals++
			v.RefusalReasons[cmp.Or(o.Reason, errorKind(o.Err), o.Code)]++
		}
		switch c {
		case served:
			v.Successes++
			took = append(took, o.Done.Sub(o.Sent))
			r.checkSuccess(v, o, execs[o.Order])
		case busy:
			if o.RetryAfter == "" {
				v.addViolation("call %s: refused without Retry-After", o.Order)
			}
			// The answer says that neither this call nor an earlier call for the same order ran. A
			// later call may run, because the caller retries.
			if n := lo.CountBy(execs[o.Order], func(e Exec) bool { return !e.At.After(o.Done) || strings.HasPrefix(e.SendID, o.Call+".") }); n > 0 && !o.Repeatable {
				v.addViolation("call %s of order %s: answered %q, but ran %d times", o.Call, o.Order, o.Code, n)
			}
		case mayHaveRun:
			v.Unknown++
		case wronglyRefused:
			v.addViolation("call %s of order %s to %s: valid, but answered %d %q", o.Call, o.Order, o.Path, o.Status, o.Code)
		}
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		v.P50, v.P99 = took[n/2], took[n*99/100]
		v.P50MS, v.P99MS = ms(v.P50), ms(v.P99)
	}
	v.TooManyRefusals = float64(v.Refusals) > refusalAllowance+refusalRatio*float64(valid)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func errorKind(e string) string {
	for _, s := range []string{"connection refused", "connection reset", "EOF", "Timeout", NoNode} {
		if strings.Contains(e, s) {
			return s
		}
	}
	return e
}

func (r *Records) checkSuccess(v *CheckResult, o Outcome, ex []Exec) {
	st, err := httpapi.ParseStamp(o.Stamp)
	switch {
	case err != nil:
		v.addViolation("call %s: success without a target's stamp: %q", o.Order, o.Stamp)
		return
	case o.BodyOrder != o.Order:
		v.addViolation("call %s: success with the answer to %q", o.Order, o.BodyOrder)
	case !o.BodyComplete:
		v.addViolation("call %s: success without the whole body", o.Order)
	}
	e, ran := lo.Find(ex, func(e Exec) bool {
		return e.SendID == st.Request && e.Target == st.ID && e.Inc == st.Inc && e.Service == st.Service
	})
	switch {
	case !ran:
		v.addViolation("call %s: success stamped %s, which that target never ran", o.Order, o.Stamp)
	case e.Malformed:
		v.addViolation("call %s: success by a malformed answer of target %s", o.Order, e.Target)
	case e.Digest != o.Digest:
		v.addViolation("call %s: success with another body than the one that target %s wrote", o.Order, e.Target)
	}
}

func (r *Records) checkAtMostOnce(v *CheckResult, execs map[string][]Exec) {
	repeatable := map[string]bool{}
	for _, o := range r.Outcomes {
		repeatable[o.Order] = repeatable[o.Order] || o.Repeatable
	}
	for k, es := range execs {
		if ok, known := repeatable[k]; known && !ok && len(es) > 1 {
			v.addViolation("order %s ran %d times: %s", k, len(es), strings.Join(lo.Map(es, func(e Exec, _ int) string {
				return fmt.Sprintf("%s at %s (%s)", e.Target, e.At.Format("15:04:05.000"), e.SendID)
			}), ", "))
		}
	}
}

// checkChangeResults finds contradictory results told to operators.
func (r *Records) checkChangeResults(v *CheckResult) {
	tokenByVersion := map[uint64]string{}
	for _, o := range r.Changes {
		if o.AckedAt.IsZero() {
			continue
		}
		if o.MustBeRefused {
			v.addViolation("change %s had to be refused, but is in force as version %d", o.Token, o.Version)
		}
		if t, dup := tokenByVersion[o.Version]; dup {
			v.addViolation("changes %s and %s were both acknowledged as version %d", t, o.Token, o.Version)
		}
		tokenByVersion[o.Version] = o.Token
	}
}

// pathChange is the effect of a change on one path; service is "" if the change unbinds the path.
type pathChange struct {
	*ChangeRequest
	service string
}

// pathChanges lists, for each path, the changes that bind or unbind it, or may have done so.
func (r *Records) pathChanges() map[string][]pathChange {
	out, names := map[string][]pathChange{}, map[string]string{}
	paths := func(s spec.Sheet) map[string]string {
		m := map[string]string{}
		for _, b := range s.Bindings {
			m[b.Path], names[b.Name] = b.Service, b.Path
		}
		return m
	}
	var effective []*ChangeRequest
	for i := range r.Changes {
		// A change that was reported as having had no effect must not show.
		if o := &r.Changes[i]; !o.MustBeRefused && (!o.AckedAt.IsZero() || o.Outcome == "" || o.Outcome == commands.OutcomeUnknown || o.Outcome == commands.NoMajority) {
			effective = append(effective, o)
			for _, e := range o.Edits {
				switch {
				case e.Binding != nil:
					names[e.Binding.Name] = e.Binding.Path
				case e.Sheet != nil:
					paths(*e.Sheet)
				}
			}
		}
	}
	for _, o := range effective {
		serviceByPath := map[string]string{}
		replaceAll := func(s spec.Sheet) {
			for _, p := range names {
				serviceByPath[p] = ""
			}
			for p, svc := range paths(s) {
				serviceByPath[p] = svc
			}
		}
		if o.RollbackTo > 0 {
			replaceAll(r.sheetAt(o.RollbackTo))
		}
		for _, e := range o.Edits {
			switch e.Op {
			case spec.PutBinding:
				serviceByPath[e.Binding.Path] = e.Binding.Service
			case spec.RemoveBinding:
				serviceByPath[names[e.Name]] = ""
			case spec.Replace:
				replaceAll(*e.Sheet)
			}
		}
		for p, svc := range serviceByPath {
			out[p] = append(out[p], pathChange{o, svc})
		}
	}
	return out
}

// sheetAt returns the sheet of version n as it results from the acknowledged changes.
func (r *Records) sheetAt(n uint64) (s spec.Sheet) {
	byVersion := map[uint64]ChangeRequest{}
	for _, o := range r.Changes {
		if !o.AckedAt.IsZero() {
			byVersion[o.Version] = o
		}
	}
	for k := uint64(1); k <= n; k++ {
		o, ok := byVersion[k]
		switch {
		case !ok:
		case o.RollbackTo > 0:
			s = r.sheetAt(o.RollbackTo)
		default:
			s, _ = s.Apply(o.Edits)
		}
	}
	return s
}

// checkServices finds requests that ran at a service to which no change submitted earlier bound the
// path.
func (r *Records) checkServices(v *CheckResult) {
	pathChanges := r.pathChanges()
	for _, e := range r.Execs {
		changes := pathChanges[e.Path]
		switch {
		case len(changes) == 0:
			v.addViolation("order %s ran at %s for path %s, which no change binds", e.Order, e.Service, e.Path)
		case !lo.SomeBy(changes, func(b pathChange) bool { return b.service == e.Service && !e.At.Before(b.SubmittedAt) }):
			v.addViolation("order %s for path %s ran at service %s, which no change allowed (meant for %s)", e.Order, e.Path, e.Service, e.IntendedTarget)
		}
	}
}

// observation is a call that showed what a path is bound to at a gateway: it reached a target of a
// service, or was answered that nothing is bound.
type observation struct {
	service    string
	gateway    string
	from, till time.Time
	source     string
}

// checkChanges determines, for each path and each acknowledged change of it, when the old state was
// last observed and the new one first, at any gateway.
func (r *Records) checkChanges(v *CheckResult) {
	gateways := map[string]string{}
	observations := map[string][]observation{}
	for _, o := range r.Outcomes {
		gateways[o.Call] = o.Gateway
		if o.Code == httpapi.NoBinding {
			observations[o.Path] = append(observations[o.Path], observation{"", o.Gateway, o.Sent, o.Done, o.Call})
		}
	}
	// The time of arrival counts, not that of execution: a target may have other requests to serve first.
	for _, a := range r.Arrivals {
		observations[a.Path] = append(observations[a.Path], observation{a.Service, gateways[callID(a.SendID)], a.At, a.At, a.SendID})
	}
	for path, changes := range r.pathChanges() {
		observed := observations[path]
		slices.SortFunc(observed, func(a, b observation) int { return a.till.Compare(b.till) })
		for _, c := range changes {
			if !c.AckedAt.IsZero() {
				v.checkChange(path, c, changes, observed)
			}
		}
	}
}

// callID returns the call that a send belongs to.
func callID(sendID string) string { return sendID[:max(strings.LastIndexByte(sendID, '.'), 0)] }

func (v *CheckResult) checkChange(path string, c pathChange, all []pathChange, observations []observation) {
	end, stateFrom := c.AckedAt.Add(time.Hour), c.SubmittedAt
	for _, o := range all {
		switch {
		case o.Token == c.Token:
		case o.SubmittedAt.After(c.AckedAt):
			if o.SubmittedAt.Before(end) {
				end = o.SubmittedAt
			}
		case o.AckedAt.IsZero() || o.Version > c.Version:
			// Submitted before c was acknowledged; it may supersede c.
			return
		case o.AckedAt.After(stateFrom):
			// The state before that change may look the same as the state after c.
			stateFrom = o.AckedAt
		}
	}
	var first time.Time
	shown := map[string]bool{}
	for _, s := range observations {
		if s.from.Before(c.SubmittedAt) || !s.till.Before(end) {
			continue
		}
		if s.service == c.service {
			if shown[s.gateway] = true; first.IsZero() && !s.from.Before(stateFrom) {
				first = s.till
			}
			continue
		}
		if late := s.from.Sub(c.AckedAt); late > 0 {
			v.SlowestChangeMS = max(v.SlowestChangeMS, ms(late))
			if late > inForceWithin {
				v.addViolation("version %d: %s still showed %q at gateway %s %s after the acknowledgement (%s)", c.Version, path, s.service, s.gateway, late, s.source)
			}
		}
		if !first.IsZero() && s.from.After(first) {
			slip := s.from.Sub(first)
			v.WidestSlipMS = max(v.WidestSlipMS, ms(slip))
			if slip > slipWithin {
				v.addViolation("version %d: %s showed %q at gateway %s %s after the change had shown (%s at %s, submitted %s, acknowledged %s)", c.Version, path, s.service, s.gateway, slip,
					s.source, s.from.Format("05.000"), c.SubmittedAt.Format("05.000"), c.AckedAt.Format("05.000"))
			}
		}
	}
	v.ChangesShown += len(shown)
}

func (r *Records) checkLeaves(v *CheckResult) {
	for _, l := range r.Leaves {
		for _, a := range r.Arrivals {
			if a.Target == l.Target && a.Inc == l.Inc && a.At.Sub(l.AckedAt) > leaveWithin {
				v.addViolation("target %s got order %s %s after its leave was acknowledged", l.Target, a.Order, a.At.Sub(l.AckedAt))
			}
		}
	}
}

// checkStops finds calls that a planned stop cut off. Calls that the platform sends until it polls the
// readiness again count as well.
func (r *Records) checkStops(v *CheckResult) {
	for _, s := range r.Stops {
		for _, o := range r.Outcomes {
			if o.Gateway == s.Gateway && o.Err != "" && o.Done.After(s.From) && o.Sent.Before(s.From.Add(readinessInterval)) && !o.Done.After(s.End.Add(readinessInterval)) {
				v.addViolation("call %s of order %s was cut off by the planned stop of %s (%s): %s", o.Call, o.Order, s.Gateway, s.From.Format("05.000"), o.Err)
			}
		}
	}
}

// checkExtraSends slides a window over the requests that reached each service's targets, executed or
// not. A send is extra if its call was sent before, or if its order has reached targets more often
// than the caller made calls for it.
func (r *Records) checkExtraSends(v *CheckResult) {
	type send struct {
		at    time.Time
		extra bool
	}
	calls := map[string][]time.Time{}
	for _, o := range r.Outcomes {
		calls[o.Order] = append(calls[o.Order], o.Sent)
	}
	byService := map[string][]send{}
	sorted := slices.Clone(r.Arrivals)
	slices.SortStableFunc(sorted, func(a, b Arrival) int { return a.At.Compare(b.At) })
	seen, arrivals := map[string]bool{}, map[string]int{}
	for _, a := range sorted {
		arrivals[a.Order]++
		called := lo.CountBy(calls[a.Order], func(t time.Time) bool { return !t.After(a.At) })
		extra := seen[callID(a.SendID)] || arrivals[a.Order] > called
		seen[callID(a.SendID)] = true
		byService[a.Service] = append(byService[a.Service], send{a.At, extra})
		if extra {
			v.ExtraSends++
		}
	}
	for svc, sends := range byService {
		i, first, extra := 0, 0, 0
		for _, m := range sends {
			if m.extra {
				extra++
			} else {
				first++
			}
			for m.at.Sub(sends[i].at) > extraWindow {
				if sends[i].extra {
					extra--
				} else {
					first--
				}
				i++
			}
			over := float64(extra) - extraRatio*float64(first) - extraAllowance
			v.WorstExtraOverLimit = max(v.WorstExtraOverLimit, over)
			if over > 0 {
				v.addViolation("service %s: %d extra sends in 10 s for %d requests", svc, extra, first)
			}
		}
	}
}
