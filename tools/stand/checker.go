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

// NoNode is the outcome of a call when no node says that it is ready.
const NoNode = "no ready node"

// Verdict is what the checker found.
type Verdict struct {
	Calls     int `json:"calls"`
	Successes int `json:"successes"`
	Refusals  int `json:"refusals"`
	Unknown   int `json:"outcome_unknown"`
	// Classes counts every call by what became of it.
	Classes    map[string]int `json:"classes"`
	Execs      int            `json:"executions"`
	Extra      int            `json:"extra_sends"`
	WorstExtra float64        `json:"worst_extra_over_limit"` // below 0: never over
	P50, P99   time.Duration  `json:"-"`
	P50MS      float64        `json:"p50_ms"`
	P99MS      float64        `json:"p99_ms"`
	SlowestMS  float64        `json:"slowest_change_ms"` // last old behaviour after the ack
	SlipMS     float64        `json:"widest_slip_ms"`
	// Judged counts the pairs of an acknowledged change and a gateway that showed it.
	Judged int `json:"changes_shown_by_gateways"`
	// Whys tells why calls were refused.
	Whys map[string]int `json:"refused_for,omitempty"`
	// Refused says that more proper calls were refused than is promised.
	Refused bool `json:"refused_too_often"`
	// Acts counts the failures that were brought about.
	Acts   map[string]int `json:"failures,omitempty"`
	Broken []string       `json:"broken,omitempty"`
}

// Promise limits, as the users put them.
const (
	inForceWithin = 2 * time.Second
	slipWithin    = 250 * time.Millisecond
	leaveWithin   = 2 * time.Second
	extraSpan     = 10 * time.Second
	extraRatio    = 0.2
	extraCommon   = 70
	// lookEvery is how long the platform may still send calls to a gateway that is
	// no longer ready.
	lookEvery = time.Second
	// heldWithin is the longest that a call may wait: no stand-in binds a path with an
	// expiry of more than 3 s, and a planned stop or a hold takes none of it.
	heldWithin   = 5 * time.Second
	refuseCommon = 5
	refuseRatio  = 1.0 / 500
)

// Check judges the records. Only what targets and callers wrote down counts.
func (r *Records) Check() Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Calls: len(r.Outcomes), Execs: len(r.Execs), Classes: map[string]int{}, Whys: map[string]int{}, WorstExtra: -extraCommon, Acts: maps.Clone(r.Acts)}
	execs := lo.GroupBy(r.Execs, func(e Exec) string { return e.Order })
	r.calls(&v, execs)
	r.once(&v, execs)
	r.services(&v)
	r.orders(&v)
	r.changes(&v)
	r.leaves(&v)
	r.stops(&v)
	r.extras(&v)
	return v
}

func (v *Verdict) broke(format string, args ...any) {
	if len(v.Broken) < 50 {
		v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
	}
}

// The classes of calls. Those that begin with "refused" are our own refusals.
const (
	served      = "served"
	expected    = "answered as the caller expected"
	busy        = "refused: busy, not run"
	neverSent   = "refused: outcome unknown, never sent"
	noReady     = "refused: no ready node"
	gaveUp      = "refused: a repeatable call given up"
	linkClosed  = "refused: a link that closed by itself"
	wrongly     = "refused: as improper"
	mayHaveRun  = "outcome unknown, may have run"
	earlierCall = "told of an earlier call"
	nodeLost    = "lost with a node that was killed or cut off"
)

// class tells what became of a call.
func (r *Records) class(o Outcome) string {
	switch {
	case o.Err == NoNode:
		return noReady
	case o.Err != "":
		if r.wasOut(o) {
			return nodeLost
		}
		return linkClosed
	case o.Status < 300:
		return served
	case o.Code == httpapi.BusyNotRun:
		return busy
	case o.Code == httpapi.AlreadyRun || o.Code == httpapi.OutcomeUnknown && o.Status == 409:
		return earlierCall
	case o.Code == httpapi.OutcomeUnknown && !o.SentOn:
		return neverSent
	case o.Code == httpapi.OutcomeUnknown:
		return mayHaveRun
	case o.Code == httpapi.BadAnswer:
		return gaveUp
	case !o.Proper:
		return expected
	}
	return wrongly
}

// Failed lists the proper calls sent at t or later that were not served.
func (r *Records) Failed(t time.Time) []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Filter(r.Outcomes, func(o Outcome, _ int) bool { return o.Proper && !o.Sent.Before(t) && r.class(o) != served })
}

// Timeline tells, for each second in which proper calls were not served, how many were
// sent and what became of the others, by class.
func (r *Records) Timeline() (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	by := lo.GroupBy(lo.Filter(r.Outcomes, func(o Outcome, _ int) bool { return o.Proper }), func(o Outcome) int64 { return o.Sent.Unix() })
	for _, s := range slices.Sorted(maps.Keys(by)) {
		bad := map[string]int{}
		for _, o := range by[s] {
			if c := r.class(o); c != served {
				bad[c]++
			}
		}
		if len(bad) > 0 {
			out = append(out, fmt.Sprintf("%s: of %d calls %v", time.Unix(s, 0).Format("15:04:05"), len(by[s]), bad))
		}
	}
	return out
}

// wasOut tells whether something was done from outside to the node that a call went
// to, while the call was under way or within the platform's look before it.
func (r *Records) wasOut(o Outcome) bool {
	return lo.SomeBy(r.Outs, func(x Out) bool {
		return x.Node == o.Gateway && !x.From.After(o.Done) && (x.To.IsZero() || x.To.Add(lookEvery).After(o.Sent))
	})
}

func (r *Records) calls(v *Verdict, execs map[string][]Exec) {
	var took []time.Duration
	proper := 0
	for _, o := range r.Outcomes {
		if o.Proper {
			proper++
		}
		c := r.class(o)
		v.Classes[c]++
		if took := o.Done.Sub(o.Sent); took > heldWithin && !r.wasOut(o) {
			v.broke("call %s of order %s was held for %s at %s", o.Call, o.Order, took, o.Gateway)
		}
		if o.Proper && strings.HasPrefix(c, "refused") {
			v.Refusals++
			v.Whys[cmp.Or(o.Why, short(o.Err), o.Code)]++
		}
		switch c {
		case served:
			v.Successes++
			took = append(took, o.Done.Sub(o.Sent))
			r.success(v, o, execs[o.Order])
		case busy:
			if o.Retry == "" {
				v.broke("call %s: refused without Retry-After", o.Order)
			}
			// Not that it ran, and not that an earlier call for the same order did. A
			// later one may: its caller sent it again.
			if n := lo.CountBy(execs[o.Order], func(e Exec) bool { return !e.At.After(o.Done) || strings.HasPrefix(e.Number, o.Call+".") }); n > 0 && !o.Repeatable {
				v.broke("call %s of order %s: told %q, but ran %d times", o.Call, o.Order, o.Code, n)
			}
		case mayHaveRun:
			v.Unknown++
		case wrongly:
			v.broke("call %s of order %s to %s: proper, and answered %d %q", o.Call, o.Order, o.Path, o.Status, o.Code)
		}
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		v.P50, v.P99 = took[n/2], took[n*99/100]
		v.P50MS, v.P99MS = ms(v.P50), ms(v.P99)
	}
	v.Refused = float64(v.Refusals) > refuseCommon+refuseRatio*float64(proper)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func short(e string) string {
	for _, s := range []string{"connection refused", "connection reset", "EOF", "Timeout", NoNode} {
		if strings.Contains(e, s) {
			return s
		}
	}
	return e
}

func (r *Records) success(v *Verdict, o Outcome, ex []Exec) {
	st, err := httpapi.ParseStamp(o.Stamp)
	switch {
	case err != nil:
		v.broke("call %s: success without a target's stamp: %q", o.Order, o.Stamp)
		return
	case o.BodyOrder != o.Order:
		v.broke("call %s: success with the answer to %q", o.Order, o.BodyOrder)
	case !o.BodyWhole:
		v.broke("call %s: success without the whole body", o.Order)
	}
	e, ran := lo.Find(ex, func(e Exec) bool {
		return e.Number == st.Request && e.Target == st.ID && e.Inc == st.Inc && e.Service == st.Service
	})
	switch {
	case !ran:
		v.broke("call %s: success stamped %s, which that target never ran", o.Order, o.Stamp)
	case e.Digest != o.Digest:
		v.broke("call %s: success with another body than the one that target %s wrote", o.Order, e.Target)
	}
}

func (r *Records) once(v *Verdict, execs map[string][]Exec) {
	rep := map[string]bool{}
	for _, o := range r.Outcomes {
		rep[o.Order] = rep[o.Order] || o.Repeatable
	}
	for k, es := range execs {
		if ok, known := rep[k]; known && !ok && len(es) > 1 {
			v.broke("order %s ran %d times: %s", k, len(es), strings.Join(lo.Map(es, func(e Exec, _ int) string {
				return fmt.Sprintf("%s at %s (%s)", e.Target, e.At.Format("15:04:05.000"), e.Number)
			}), ", "))
		}
	}
}

// orders finds operators told what cannot be.
func (r *Records) orders(v *Verdict) {
	at := map[uint64]string{}
	for _, o := range r.Orders {
		if o.Acked.IsZero() {
			continue
		}
		if o.Bad {
			v.broke("order %s was made to be refused, and is in force as version %d", o.Token, o.Version)
		}
		if t, dup := at[o.Version]; dup {
			v.broke("orders %s and %s were both told that they are version %d", t, o.Token, o.Version)
		}
		at[o.Version] = o.Token
	}
}

// bound is what an order makes of one path; service is "" where it unbinds it.
type bound struct {
	*Asked
	service string
}

// bounds lists, for each path, the orders that bind or unbind it, or may have.
func (r *Records) bounds() map[string][]bound {
	out, names := map[string][]bound{}, map[string]string{}
	whole := func(s spec.Sheet) map[string]string {
		m := map[string]string{}
		for _, b := range s.Bindings {
			m[b.Path], names[b.Name] = b.Service, b.Path
		}
		return m
	}
	var live []*Asked
	for i := range r.Orders {
		// What was told to have changed nothing may not show.
		if o := &r.Orders[i]; !o.Bad && (!o.Acked.IsZero() || o.Outcome == "" || o.Outcome == commands.OutcomeUnknown || o.Outcome == commands.NoMajority) {
			live = append(live, o)
			for _, e := range o.Edits {
				switch {
				case e.Binding != nil:
					names[e.Binding.Name] = e.Binding.Path
				case e.Sheet != nil:
					whole(*e.Sheet)
				}
			}
		}
	}
	for _, o := range live {
		sets := map[string]string{}
		all := func(s spec.Sheet) {
			for _, p := range names {
				sets[p] = ""
			}
			for p, svc := range whole(s) {
				sets[p] = svc
			}
		}
		if o.Back > 0 {
			all(r.known(o.Back))
		}
		for _, e := range o.Edits {
			switch e.Op {
			case spec.PutBinding:
				sets[e.Binding.Path] = e.Binding.Service
			case spec.RemoveBinding:
				sets[names[e.Name]] = ""
			case spec.Replace:
				all(*e.Sheet)
			}
		}
		for p, svc := range sets {
			out[p] = append(out[p], bound{o, svc})
		}
	}
	return out
}

// known is the sheet of version n as the operators' acknowledged orders give it.
func (r *Records) known(n uint64) (s spec.Sheet) {
	by := map[uint64]Asked{}
	for _, o := range r.Orders {
		if !o.Acked.IsZero() {
			by[o.Version] = o
		}
	}
	for k := uint64(1); k <= n; k++ {
		o, ok := by[k]
		switch {
		case !ok:
		case o.Back > 0:
			s = r.known(o.Back)
		default:
			s, _ = s.Apply(o.Edits)
		}
	}
	return s
}

// services finds runs at a service that no change, asked for before, ever bound
// the path to.
func (r *Records) services(v *Verdict) {
	bs := r.bounds()
	for _, e := range r.Execs {
		of := bs[e.Path]
		switch {
		case len(of) == 0:
			v.broke("order %s ran at %s for path %s, which no change binds", e.Order, e.Service, e.Path)
		case !lo.SomeBy(of, func(b bound) bool { return b.service == e.Service && !e.At.Before(b.At) }):
			v.broke("order %s for path %s ran at service %s, which no change allowed (meant for %s)", e.Order, e.Path, e.Service, e.Meant)
		}
	}
}

// sight is one call that showed what a path is bound to at a gateway: that it came to a
// service, or the word that nothing is bound.
type sight struct {
	service    string
	gateway    string
	from, till time.Time
	what       string
}

// changes looks, for each path and each acknowledged change of it, when the state
// before was last and the new one first seen, at whichever gateway.
func (r *Records) changes(v *Verdict) {
	gateways := map[string]string{}
	sights := map[string][]sight{}
	for _, o := range r.Outcomes {
		gateways[o.Call] = o.Gateway
		if o.Code == httpapi.NoBinding {
			sights[o.Path] = append(sights[o.Path], sight{"", o.Gateway, o.Sent, o.Done, o.Call})
		}
	}
	// What arrived counts, not when it ran: a target may have others to serve first.
	for _, a := range r.Arrivals {
		sights[a.Path] = append(sights[a.Path], sight{a.Service, gateways[callOf(a.Number)], a.At, a.At, a.Number})
	}
	for path, bs := range r.bounds() {
		ss := sights[path]
		slices.SortFunc(ss, func(a, b sight) int { return a.till.Compare(b.till) })
		for _, c := range bs {
			if !c.Acked.IsZero() {
				v.change(path, c, bs, ss)
			}
		}
	}
}

// callOf is the call that a sending belongs to.
func callOf(number string) string { return number[:max(strings.LastIndexByte(number, '.'), 0)] }

func (v *Verdict) change(path string, c bound, all []bound, ss []sight) {
	end, floor := c.Acked.Add(time.Hour), c.At
	for _, o := range all {
		switch {
		case o.Token == c.Token:
		case o.At.After(c.Acked):
			if o.At.Before(end) {
				end = o.At
			}
		case o.Acked.IsZero() || o.Version > c.Version:
			// Asked for before this one was acknowledged, and it may stand above it.
			return
		case o.Acked.After(floor):
			// What stood before that one may show the same as this one does.
			floor = o.Acked
		}
	}
	var first time.Time
	shown := map[string]bool{}
	for _, s := range ss {
		if s.from.Before(c.At) || !s.till.Before(end) {
			continue
		}
		if s.service == c.service {
			if shown[s.gateway] = true; first.IsZero() && !s.from.Before(floor) {
				first = s.till
			}
			continue
		}
		if late := s.from.Sub(c.Acked); late > 0 {
			v.SlowestMS = max(v.SlowestMS, ms(late))
			if late > inForceWithin {
				v.broke("version %d: %s still showed %q at gateway %s %s after the acknowledgement (%s)", c.Version, path, s.service, s.gateway, late, s.what)
			}
		}
		if !first.IsZero() && s.from.After(first) {
			slip := s.from.Sub(first)
			v.SlipMS = max(v.SlipMS, ms(slip))
			if slip > slipWithin {
				v.broke("version %d: %s showed %q at gateway %s %s after the change had shown (%s at %s, asked %s, acknowledged %s)", c.Version, path, s.service, s.gateway, slip,
					s.what, s.from.Format("05.000"), c.At.Format("05.000"), c.Acked.Format("05.000"))
			}
		}
	}
	v.Judged += len(shown)
}

func (r *Records) leaves(v *Verdict) {
	for _, l := range r.Leaves {
		for _, a := range r.Arrivals {
			if a.Target == l.Target && a.Inc == l.Inc && a.At.Sub(l.Acked) > leaveWithin {
				v.broke("target %s got order %s %s after its leaving was acknowledged", l.Target, a.Order, a.At.Sub(l.Acked))
			}
		}
	}
}

// stops finds calls that a planned stop cut off. The platform may send some until
// its next look; those count.
func (r *Records) stops(v *Verdict) {
	for _, s := range r.Stops {
		for _, o := range r.Outcomes {
			if o.Gateway == s.Gateway && o.Err != "" && o.Done.After(s.From) && o.Sent.Before(s.From.Add(lookEvery)) && !o.Done.After(s.End.Add(lookEvery)) {
				v.broke("call %s of order %s was cut off by the planned stop of %s (%s): %s", o.Call, o.Order, s.Gateway, s.From.Format("05.000"), o.Err)
			}
		}
	}
}

// extras slides a window over what reached each service's targets, run or not: a
// sending is extra where its call was sent before, or where its order has reached
// targets more often than its caller called.
func (r *Records) extras(v *Verdict) {
	type mark struct {
		at    time.Time
		extra bool
	}
	calls := map[string][]time.Time{}
	for _, o := range r.Outcomes {
		calls[o.Order] = append(calls[o.Order], o.Sent)
	}
	by := map[string][]mark{}
	as := slices.Clone(r.Arrivals)
	slices.SortStableFunc(as, func(a, b Arrival) int { return a.At.Compare(b.At) })
	seen, came := map[string]bool{}, map[string]int{}
	for _, a := range as {
		came[a.Order]++
		called := lo.CountBy(calls[a.Order], func(t time.Time) bool { return !t.After(a.At) })
		extra := seen[callOf(a.Number)] || came[a.Order] > called
		seen[callOf(a.Number)] = true
		by[a.Service] = append(by[a.Service], mark{a.At, extra})
		if extra {
			v.Extra++
		}
	}
	for svc, ms := range by {
		i, first, extra := 0, 0, 0
		for _, m := range ms {
			if m.extra {
				extra++
			} else {
				first++
			}
			for m.at.Sub(ms[i].at) > extraSpan {
				if ms[i].extra {
					extra--
				} else {
					first--
				}
				i++
			}
			over := float64(extra) - extraRatio*float64(first) - extraCommon
			v.WorstExtra = max(v.WorstExtra, over)
			if over > 0 {
				v.broke("service %s: %d extra sends in 10 s for %d requests", svc, extra, first)
			}
		}
	}
}
