package stand

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/face"
)

// NoNode is the outcome of a call when no node says that it is ready.
const NoNode = "no ready node"

// Verdict is what the checker found.
type Verdict struct {
	Calls      int            `json:"calls"`
	Successes  int            `json:"successes"`
	Refusals   int            `json:"refusals"`
	Unknown    int            `json:"outcome_unknown"`
	Other      map[string]int `json:"other,omitempty"`
	Execs      int            `json:"executions"`
	Extra      int            `json:"extra_sends"`
	WorstExtra float64        `json:"worst_extra_over_limit"` // below 0: never over
	P50, P99   time.Duration  `json:"-"`
	P50MS      float64        `json:"p50_ms"`
	P99MS      float64        `json:"p99_ms"`
	SlowestMS  float64        `json:"slowest_change_ms"` // last old behaviour after the ack
	SlipMS     float64        `json:"widest_slip_ms"`
	// Whys tells why calls were refused.
	Whys map[string]int `json:"refused_for,omitempty"`
	// Refused says that more proper calls were refused than is promised.
	Refused bool     `json:"refused_too_often"`
	Broken  []string `json:"broken,omitempty"`
}

// Promise limits, as the users put them.
const (
	inForceWithin = 2 * time.Second
	slipWithin    = 250 * time.Millisecond
	leaveWithin   = 2 * time.Second
	extraSpan     = 10 * time.Second
	extraRatio    = 0.2
	extraCommon   = 70
	// lookEvery is how long the platform may still send calls to a flow that is
	// no longer ready.
	lookEvery    = time.Second
	refuseCommon = 5
	refuseRatio  = 1.0 / 500
)

// Check judges the records. Only what targets and callers wrote down counts.
func (r *Records) Check() Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Calls: len(r.Outcomes), Execs: len(r.Execs), Other: map[string]int{}, Whys: map[string]int{}, WorstExtra: -extraCommon}
	execs := lo.GroupBy(r.Execs, func(e Exec) string { return e.Order })
	r.calls(&v, execs)
	r.once(&v, execs)
	r.services(&v)
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

func (r *Records) calls(v *Verdict, execs map[string][]Exec) {
	var took []time.Duration
	proper := 0
	for _, o := range r.Outcomes {
		if o.Proper {
			proper++
		}
		switch {
		case o.Err != "":
			v.Other[short(o.Err)]++
			if o.Err == NoNode {
				v.Refusals++
			}
		case o.Status < 300:
			v.Successes++
			took = append(took, o.Done.Sub(o.Sent))
			r.success(v, o, execs[o.Order])
		case o.Code == face.BusyNotRun:
			if o.Proper {
				v.Refusals++
				v.Whys[o.Why]++
			}
			if o.Retry == "" {
				v.broke("call %s: refused without Retry-After", o.Order)
			}
			// Not that it ran, and not that an earlier call for the same order did. A
			// later one may: its caller sent it again.
			if n := lo.CountBy(execs[o.Order], func(e Exec) bool { return !e.At.After(o.Done) || strings.HasPrefix(e.Number, o.Call+".") }); n > 0 && !o.Repeatable {
				v.broke("call %s of order %s: told %q, but ran %d times", o.Call, o.Order, o.Code, n)
			}
		case o.Code == face.Unknown:
			v.Unknown++
			// A call that was never sent was refused, whatever it is called; 409 tells of
			// an earlier call.
			if !o.SentOn && o.Status != 409 {
				v.Refusals++
				v.Whys[o.Why]++
			}
		default:
			v.Other[fmt.Sprintf("%d %s", o.Status, o.Code)]++
			// Callers only use paths that a change binds, and none unbinds.
			if o.Proper && (o.Code == face.NoBinding || o.Code == face.BadMethod) {
				v.broke("call %s of order %s: %q for path %s, which no valid change unbinds", o.Call, o.Order, o.Code, o.Path)
			}
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
	st, err := face.ReadStamp(o.Stamp)
	switch {
	case err != nil:
		v.broke("call %s: success without a target's stamp: %q", o.Order, o.Stamp)
		return
	case o.BodyOrder != o.Order:
		v.broke("call %s: success with the answer to %q", o.Order, o.BodyOrder)
	case !o.BodyWhole:
		v.broke("call %s: success without the whole body", o.Order)
	}
	if !lo.SomeBy(ex, func(e Exec) bool {
		return e.Number == st.Request && e.Target == st.ID && e.Inc == st.Inc && e.Service == st.Service
	}) {
		v.broke("call %s: success stamped %s, which that target never ran", o.Order, o.Stamp)
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

// services finds runs at a service that no change, asked for before, ever bound
// the path to.
func (r *Records) services(v *Verdict) {
	for _, e := range r.Execs {
		al, known := r.Allowed[e.Path]
		if !known {
			v.broke("order %s ran at %s for path %s, which no change binds", e.Order, e.Service, e.Path)
			continue
		}
		if at, ok := al[e.Service]; !ok || e.At.Before(at) {
			v.broke("order %s for path %s ran at service %s, which no change allowed (meant for %s)", e.Order, e.Path, e.Service, e.Meant)
		}
	}
}

// changes looks, for each path that changes its service, when the old one was
// last and the new one first seen.
func (r *Records) changes(v *Verdict) {
	by := lo.GroupBy(r.Changes, func(c Change) string { return c.Path })
	for path, cs := range by {
		slices.SortFunc(cs, func(a, b Change) int { return cmp.Compare(a.Version, b.Version) })
		es := lo.Filter(r.Execs, func(e Exec, _ int) bool { return e.Path == path })
		slices.SortFunc(es, func(a, b Exec) int { return a.At.Compare(b.At) })
		for _, c := range cs {
			end := time.Now()
			for _, a := range r.Asks {
				if a.Path == path && a.Asked.After(c.Asked) && a.Asked.Before(end) {
					end = a.Asked
				}
			}
			var first time.Time
			for _, e := range es {
				if e.At.Before(c.Asked) || !e.At.Before(end) {
					continue
				}
				if e.Service == c.Service {
					if first.IsZero() {
						first = e.At
					}
					continue
				}
				if late := e.At.Sub(c.Acked); late > 0 {
					v.SlowestMS = max(v.SlowestMS, ms(late))
					if late > inForceWithin {
						v.broke("version %d: %s still ran at %s %s after the acknowledgement", c.Version, path, e.Service, late)
					}
				}
				if !first.IsZero() {
					slip := e.At.Sub(first)
					v.SlipMS = max(v.SlipMS, ms(slip))
					if slip > slipWithin {
						v.broke("version %d: %s ran at %s %s after the change had shown (%s at %s, asked %s, acknowledged %s)", c.Version, path, e.Service, slip,
							e.Number, e.At.Format("05.000"), c.Asked.Format("05.000"), c.Acked.Format("05.000"))
					}
				}
			}
		}
	}
}

func (r *Records) leaves(v *Verdict) {
	for _, l := range r.Leaves {
		for _, e := range r.Execs {
			if e.Target == l.Target && e.Inc == l.Inc && e.At.Sub(l.Acked) > leaveWithin {
				v.broke("target %s got order %s %s after its leaving was acknowledged", l.Target, e.Order, e.At.Sub(l.Acked))
			}
		}
	}
}

// stops finds calls that a planned stop cut off. The platform may send some until
// its next look; those count.
func (r *Records) stops(v *Verdict) {
	for _, s := range r.Stops {
		for _, o := range r.Outcomes {
			if o.Flow == s.Flow && o.Err != "" && o.Done.After(s.From) && o.Sent.Before(s.From.Add(lookEvery)) && !o.Done.After(s.End.Add(lookEvery)) {
				v.broke("call %s of order %s was cut off by the planned stop of %s (%s): %s", o.Call, o.Order, s.Flow, s.From.Format("05.000"), o.Err)
			}
		}
	}
}

// extras slides a window over each service's runs: those beyond an order's first
// against the orders first seen in the same window.
func (r *Records) extras(v *Verdict) {
	type mark struct {
		at    time.Time
		extra bool
	}
	by := map[string][]mark{}
	es := slices.Clone(r.Execs)
	slices.SortFunc(es, func(a, b Exec) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	for _, e := range es {
		by[e.Service] = append(by[e.Service], mark{e.At, seen[e.Order]})
		if seen[e.Order] {
			v.Extra++
		}
		seen[e.Order] = true
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
