package liveness

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	qualitySpan  = flag.Duration("quality.span", 4*time.Minute, "length of each replayed trace")
	qualitySeeds = flag.Int("quality.seeds", 1, "how many traces of each kind")
)

// every is the interval of the replayed arrivals, that of a gateway's probes.
const every = 400 * time.Millisecond

// arrival is one arrival of a trace, at a time since its start.
type arrival struct {
	at  time.Duration
	seq uint64
}

// trace is a replayed observation: what arrived, and when the observer stood still.
type trace struct {
	in     []arrival
	pauses [][2]time.Duration
}

// traces makes each kind of trace from a seed.
var traces = map[string]func(r *rand.Rand, span time.Duration) trace{
	"steady": func(r *rand.Rand, span time.Duration) trace {
		return make1(r, span, func(time.Duration) (time.Duration, bool) {
			return time.Duration(r.Int64N(int64(time.Millisecond))), false
		})
	},
	"jittery": func(r *rand.Rand, span time.Duration) trace {
		return make1(r, span, func(time.Duration) (time.Duration, bool) { return late(r, 30, 0.9), false })
	},
	"lossy": func(r *rand.Rand, span time.Duration) trace {
		return make1(r, span, func(time.Duration) (time.Duration, bool) { return late(r, 10, 0.6), r.Float64() < 0.1 })
	},
	// 5 s of every minute are bad.
	"bursty": func(r *rand.Rand, span time.Duration) trace {
		return make1(r, span, func(t time.Duration) (time.Duration, bool) {
			if t%time.Minute < 5*time.Second {
				return late(r, 150, 0.6), r.Float64() < 0.3
			}
			return late(r, 5, 0.5), false
		})
	},
	// From the middle on arrivals come at 700 ms.
	"slowing": func(r *rand.Rand, span time.Duration) (t trace) {
		at := time.Duration(0)
		for i := uint64(1); at < span; i++ {
			at += every
			if at > span/2 {
				at += 300 * time.Millisecond
			}
			t.in = append(t.in, arrival{at + late(r, 5, 0.5), i})
		}
		return t
	},
	// The observer stands still for 0.5 to 3 s about every 20 s.
	"paused": func(r *rand.Rand, span time.Duration) trace {
		t := make1(r, span, func(time.Duration) (time.Duration, bool) { return late(r, 10, 0.6), false })
		for at := 15 * time.Second; at < span; at += time.Duration(10+r.IntN(20)) * time.Second {
			t.pauses = append(t.pauses, [2]time.Duration{at, at + time.Duration(500+r.IntN(2500))*time.Millisecond})
		}
		return t
	},
}

// late draws a delay around a median in milliseconds.
func late(r *rand.Rand, median, spread float64) time.Duration {
	return time.Duration(median * math.Exp(spread*r.NormFloat64()) * float64(time.Millisecond))
}

func make1(r *rand.Rand, span time.Duration, f func(time.Duration) (time.Duration, bool)) (t trace) {
	last := time.Duration(0)
	for i := uint64(1); time.Duration(i)*every < span; i++ {
		d, lost := f(time.Duration(i) * every)
		if lost {
			continue
		}
		// An answer that overtook another makes the other no news.
		if at := time.Duration(i)*every + d; at > last {
			t.in, last = append(t.in, arrival{at, i}), at
		}
	}
	return t
}

// hand is a clock that is moved by hand.
type hand struct{ t time.Time }

func (h *hand) Now() time.Time                                 { return h.t }
func (h *hand) Sleep(context.Context, time.Duration) error     { return nil }
func (h *hand) After(time.Duration) (<-chan time.Time, func()) { return nil, nil }

// quality is what the paper measures: mistakes, how often a look is right, and how
// long a crash right after an arrival would take to be seen.
type quality struct {
	mistakes float64 // an hour
	accuracy float64
	detect   time.Duration
}

const threshold = 0.99

// replay feeds a trace to a detector and looks at it every 10 ms.
func replay(tr trace, o Options, pause bool) (q quality) {
	h := &hand{time.Unix(0, 0)}
	start := h.t
	p := NewPauses(h)
	use := p
	if !pause {
		use = nil
	}
	d := New(o, use, start)
	looks, right, was := 0, 0, false
	sum, n := 0.0, 0
	i, k := 0, 0
	end := tr.in[len(tr.in)-1].at
	for t := time.Duration(0); t < end; t += 10 * time.Millisecond {
		if k < len(tr.pauses) && t >= tr.pauses[k][0] {
			t = tr.pauses[k][1]
			k++
		}
		h.t = start.Add(t)
		// On waking the observer may look before it reads what has come meanwhile.
		s := d.Suspicion(h.t) >= threshold
		looks++
		if !s {
			right++
		}
		if s && !was {
			q.mistakes++
		}
		was = s
		for ; i < len(tr.in) && tr.in[i].at <= t; i++ {
			at := max(tr.in[i].at, t-10*time.Millisecond)
			if d.Arrive(tr.in[i].seq, start.Add(at)) && d.now.Load().judge {
				if x := d.now.Load().fit.After(threshold); !math.IsInf(x, 0) && !math.IsNaN(x) {
					sum, n = sum+x, n+1
				}
			}
		}
		if t%tick == 0 || h.t.Sub(p.at.Load().last) >= tick {
			p.at.Store(&beat{last: h.t, total: p.At(h.t)})
		}
	}
	q.mistakes /= end.Hours()
	q.accuracy = float64(right) / float64(looks)
	if n > 0 {
		q.detect = time.Duration(sum / float64(n) * float64(time.Second))
	}
	return q
}

// young is how long a target that dies after three arrivals goes unsuspected; 0
// for longer than a minute.
func young(o Options) time.Duration {
	t := time.Unix(0, 0)
	d := New(o, nil, t)
	for i := range 3 {
		t = t.Add(every + time.Duration(i)*7*time.Millisecond)
		d.Arrive(uint64(i+1), t)
	}
	for x := time.Duration(0); x < time.Minute; x += 10 * time.Millisecond {
		if d.Suspicion(t.Add(x)) >= threshold {
			return x
		}
	}
	return 0
}

// fresh is how many mistakes 300 detectors make within 20 arrivals of their start.
func fresh(o Options) float64 {
	n := 0.0
	for s := range 300 {
		tr := traces["jittery"](rand.New(rand.NewPCG(uint64(s), 9)), 20*every)
		q := replay(tr, o, true)
		n += q.mistakes * tr.in[len(tr.in)-1].at.Hours()
	}
	return n
}

// variants are the detector as it is, without each of its extensions, and as its
// source has it.
func variants() map[string]struct {
	o     Options
	pause bool
} {
	type v = struct {
		o     Options
		pause bool
	}
	with := func(f func(*Options)) v {
		o := Defaults(every)
		f(&o)
		return v{o, true}
	}
	return map[string]v{
		"a as it is":           with(func(*Options) {}),
		"b no clamp, no floor": with(func(o *Options) { o.MaxBeta, o.Floor = math.Inf(1), 0 }),
		"c no floor":           with(func(o *Options) { o.Floor = 0 }),
		"d no clamp":           with(func(o *Options) { o.MaxBeta = math.Inf(1) }),
		"e no prior":           with(func(o *Options) { o.Warm = 0 }),
		"f lost not filled":    with(func(o *Options) { o.NoFill = true }),
		"g pauses count":       {Defaults(every), false},
		"h window of 1000":     with(func(o *Options) { o.Size = 1000 }),
		"i source, 1000":       with(func(o *Options) { o.Plain, o.Size = true, 1000 }),
		"j source, 100":        with(func(o *Options) { o.Plain = true }),
	}
}

// TestQuality replays every trace to every variant. The table is for the detector's
// page (-v); what is asserted is that each extension is worth its place.
func TestQuality(t *testing.T) {
	all := map[string]map[string]quality{}
	for name, v := range variants() {
		all[name] = map[string]quality{}
		for kind, mk := range traces {
			var q quality
			for s := range *qualitySeeds {
				x := replay(mk(rand.New(rand.NewPCG(uint64(s), 7)), *qualitySpan), v.o, v.pause)
				q.mistakes += x.mistakes / float64(*qualitySeeds)
				q.accuracy += x.accuracy / float64(*qualitySeeds)
				q.detect += x.detect / time.Duration(*qualitySeeds)
			}
			all[name][kind] = q
		}
	}
	kinds := []string{"steady", "jittery", "lossy", "bursty", "slowing", "paused"}
	t.Log("mistakes an hour / query accuracy / detection ms; ms until one that dies after three arrivals is suspected; mistakes of 300 fresh ones")
	for _, name := range sorted(all) {
		row := []string{fmt.Sprintf("| %-20s", name[2:])}
		for _, k := range kinds {
			q := all[name][k]
			row = append(row, fmt.Sprintf("%.0f / %.4f / %d", q.mistakes, q.accuracy, q.detect.Milliseconds()))
		}
		t.Log(strings.Join(row, " | "), "|", young(variants()[name].o).Milliseconds(), "|", fresh(variants()[name].o), "|")
	}
	is := func(v, kind string) quality { return all[v][kind] }
	const full = "a as it is"
	for k, least := range map[string]float64{"steady": 1, "jittery": 0.99, "lossy": 0.9, "bursty": 0.97, "slowing": 0.98, "paused": 0.999} {
		if q := is(full, k); q.detect > 950*time.Millisecond || q.accuracy < least {
			t.Errorf("%s: %+v", k, q)
		}
	}
	if a, b := is(full, "steady").mistakes, is("b no clamp, no floor", "steady").mistakes; a > 0 || b < 100 {
		t.Errorf("clamp and floor bring nothing: %.0f and %.0f mistakes", a, b)
	}
	if a, b := is(full, "paused").mistakes, is("g pauses count", "paused").mistakes; a*5 > b {
		t.Errorf("discounting pauses brings little: %.0f and %.0f mistakes", a, b)
	}
	if a, b := is(full, "slowing").mistakes, is("h window of 1000", "slowing").mistakes; a*2 > b {
		t.Errorf("a short window brings little: %.0f and %.0f mistakes", a, b)
	}
	if a, b := fresh(variants()[full].o), fresh(variants()["e no prior"].o); a*2 > b || young(variants()[full].o) == 0 || young(variants()["i source, 1000"].o) != 0 {
		t.Errorf("the prior brings little: %.0f and %.0f mistakes", a, b)
	}
}

func sorted[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
