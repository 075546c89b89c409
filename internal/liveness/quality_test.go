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

// every is the interval of the replayed arrivals: that of a gateway's probes.
const every = 400 * time.Millisecond

// arrival is one arrival of a trace, at a time since its start.
type arrival struct {
	at  time.Duration
	seq uint64
}

// trace is a replayed observation: the arrivals, and the pauses of the observer.
type trace struct {
	arrivals []arrival
	pauses   [][2]time.Duration
}

// traces generates each kind of trace from a random source.
var traces = map[string]func(r *rand.Rand, span time.Duration) trace{
	"steady": func(r *rand.Rand, span time.Duration) trace {
		return periodicTrace(r, span, func(time.Duration) (time.Duration, bool) {
			return time.Duration(r.Int64N(int64(time.Millisecond))), false
		})
	},
	"jittery": func(r *rand.Rand, span time.Duration) trace {
		return periodicTrace(r, span, func(time.Duration) (time.Duration, bool) { return randomDelay(r, 30, 0.9), false })
	},
	"lossy": func(r *rand.Rand, span time.Duration) trace {
		return periodicTrace(r, span, func(time.Duration) (time.Duration, bool) { return randomDelay(r, 10, 0.6), r.Float64() < 0.1 })
	},
	// In 5 s of every minute many arrivals are late or lost.
	"bursty": func(r *rand.Rand, span time.Duration) trace {
		return periodicTrace(r, span, func(t time.Duration) (time.Duration, bool) {
			if t%time.Minute < 5*time.Second {
				return randomDelay(r, 150, 0.6), r.Float64() < 0.3
			}
			return randomDelay(r, 5, 0.5), false
		})
	},
	// From half of the trace on arrivals come every 700 ms.
	"slowing": func(r *rand.Rand, span time.Duration) (t trace) {
		at := time.Duration(0)
		for i := uint64(1); at < span; i++ {
			at += every
			if at > span/2 {
				at += 300 * time.Millisecond
			}
			t.arrivals = append(t.arrivals, arrival{at + randomDelay(r, 5, 0.5), i})
		}
		return t
	},
	// The observer pauses for 0.5 to 3 s about every 20 s.
	"paused": func(r *rand.Rand, span time.Duration) trace {
		t := periodicTrace(r, span, func(time.Duration) (time.Duration, bool) { return randomDelay(r, 10, 0.6), false })
		for at := 15 * time.Second; at < span; at += time.Duration(10+r.IntN(20)) * time.Second {
			t.pauses = append(t.pauses, [2]time.Duration{at, at + time.Duration(500+r.IntN(2500))*time.Millisecond})
		}
		return t
	},
}

// randomDelay draws a log-normally distributed delay with a median in milliseconds.
func randomDelay(r *rand.Rand, median, spread float64) time.Duration {
	return time.Duration(median * math.Exp(spread*r.NormFloat64()) * float64(time.Millisecond))
}

func periodicTrace(r *rand.Rand, span time.Duration, f func(time.Duration) (time.Duration, bool)) (t trace) {
	last := time.Duration(0)
	for i := uint64(1); time.Duration(i)*every < span; i++ {
		d, lost := f(time.Duration(i) * every)
		if lost {
			continue
		}
		// An arrival that was overtaken by a later one is ignored.
		if at := time.Duration(i)*every + d; at > last {
			t.arrivals, last = append(t.arrivals, arrival{at, i}), at
		}
	}
	return t
}

// manualClock is a clock that the test advances.
type manualClock struct{ t time.Time }

func (h *manualClock) Now() time.Time                                 { return h.t }
func (h *manualClock) Sleep(context.Context, time.Duration) error     { return nil }
func (h *manualClock) After(time.Duration) (<-chan time.Time, func()) { return nil, nil }

// quality holds the measures of the published algorithm: wrong suspicions, the share of right
// readings, and the time in which a crash right after an arrival would be detected.
type quality struct {
	mistakes float64 // wrong suspicions per hour
	accuracy float64
	detect   time.Duration
}

const threshold = 0.99

// replay feeds a trace to a detector and reads its suspicion every 10 ms.
func replay(tr trace, o Options, pause bool) (q quality) {
	h := &manualClock{time.Unix(0, 0)}
	start := h.t
	p := NewPauseMonitor(h)
	monitor := p
	if !pause {
		monitor = nil
	}
	d := NewDetector(o, monitor, start)
	readings, correct, suspected := 0, 0, false
	sum, n := 0.0, 0
	i, k := 0, 0
	end := tr.arrivals[len(tr.arrivals)-1].at
	for t := time.Duration(0); t < end; t += 10 * time.Millisecond {
		if k < len(tr.pauses) && t >= tr.pauses[k][0] {
			t = tr.pauses[k][1]
			k++
		}
		h.t = start.Add(t)
		// After a pause the observer may judge before it reads what arrived meanwhile.
		s := d.Suspicion(h.t) >= threshold
		readings++
		if !s {
			correct++
		}
		if s && !suspected {
			q.mistakes++
		}
		suspected = s
		for ; i < len(tr.arrivals) && tr.arrivals[i].at <= t; i++ {
			at := max(tr.arrivals[i].at, t-10*time.Millisecond)
			if d.RecordArrival(tr.arrivals[i].seq, start.Add(at)) && d.current.Load().ready {
				if x := d.current.Load().fit.Quantile(threshold); !math.IsInf(x, 0) && !math.IsNaN(x) {
					sum, n = sum+x, n+1
				}
			}
		}
		if t%defaultInterval == 0 || h.t.Sub(p.state.Load().lastCheck) >= defaultInterval {
			p.state.Store(&pauseState{lastCheck: h.t, total: p.TotalAt(h.t)})
		}
	}
	q.mistakes /= end.Hours()
	q.accuracy = float64(correct) / float64(readings)
	if n > 0 {
		q.detect = time.Duration(sum / float64(n) * float64(time.Second))
	}
	return q
}

// earlyDetectionTime is how long a target that crashes after three arrivals is not suspected; 0
// stands for longer than a minute.
func earlyDetectionTime(o Options) time.Duration {
	t := time.Unix(0, 0)
	d := NewDetector(o, nil, t)
	for i := range 3 {
		t = t.Add(every + time.Duration(i)*7*time.Millisecond)
		d.RecordArrival(uint64(i+1), t)
	}
	for x := time.Duration(0); x < time.Minute; x += 10 * time.Millisecond {
		if d.Suspicion(t.Add(x)) >= threshold {
			return x
		}
	}
	return 0
}

// startupMistakes counts the mistakes of 300 detectors within their first 20 arrivals.
func startupMistakes(o Options) float64 {
	n := 0.0
	for s := range 300 {
		tr := traces["jittery"](rand.New(rand.NewPCG(uint64(s), 9)), 20*every)
		q := replay(tr, o, true)
		n += q.mistakes * tr.arrivals[len(tr.arrivals)-1].at.Hours()
	}
	return n
}

// variants are the detector as it is, the detector without each of its extensions, and the
// published algorithm.
func variants() map[string]struct {
	o     Options
	pause bool
} {
	type v = struct {
		o     Options
		pause bool
	}
	with := func(f func(*Options)) v {
		o := DefaultOptions(every)
		f(&o)
		return v{o, true}
	}
	return map[string]v{
		"a as it is":           with(func(*Options) {}),
		"b no clamp, no floor": with(func(o *Options) { o.MaxBeta, o.MinSpread = math.Inf(1), 0 }),
		"c no floor":           with(func(o *Options) { o.MinSpread = 0 }),
		"d no clamp":           with(func(o *Options) { o.MaxBeta = math.Inf(1) }),
		"e no prior":           with(func(o *Options) { o.PriorGaps = 0 }),
		"f lost not filled":    with(func(o *Options) { o.NoLossFill = true }),
		"g pauses count":       {DefaultOptions(every), false},
		"h window of 1000":     with(func(o *Options) { o.WindowSize = 1000 }),
		"i source, 1000":       with(func(o *Options) { o.NoExtensions, o.WindowSize = true, 1000 }),
		"j source, 100":        with(func(o *Options) { o.NoExtensions = true }),
	}
}

// TestQuality replays every trace to every variant. The table (-v) is for docs/detector.md; the
// test asserts that each extension improves the detector.
func TestQuality(t *testing.T) {
	all := map[string]map[string]quality{}
	for name, v := range variants() {
		all[name] = map[string]quality{}
		for kind, newTrace := range traces {
			var q quality
			for s := range *qualitySeeds {
				x := replay(newTrace(rand.New(rand.NewPCG(uint64(s), 7)), *qualitySpan), v.o, v.pause)
				q.mistakes += x.mistakes / float64(*qualitySeeds)
				q.accuracy += x.accuracy / float64(*qualitySeeds)
				q.detect += x.detect / time.Duration(*qualitySeeds)
			}
			all[name][kind] = q
		}
	}
	kinds := []string{"steady", "jittery", "lossy", "bursty", "slowing", "paused"}
	t.Log("mistakes per hour / query accuracy / detection ms; ms until a target that crashes after three arrivals is suspected; mistakes of 300 new detectors")
	for _, name := range sorted(all) {
		row := []string{fmt.Sprintf("| %-20s", name[2:])}
		for _, k := range kinds {
			q := all[name][k]
			row = append(row, fmt.Sprintf("%.0f / %.4f / %d", q.mistakes, q.accuracy, q.detect.Milliseconds()))
		}
		t.Log(strings.Join(row, " | "), "|", earlyDetectionTime(variants()[name].o).Milliseconds(), "|", startupMistakes(variants()[name].o), "|")
	}
	resultOf := func(v, kind string) quality { return all[v][kind] }
	const full = "a as it is"
	for k, least := range map[string]float64{"steady": 1, "jittery": 0.99, "lossy": 0.9, "bursty": 0.97, "slowing": 0.98, "paused": 0.999} {
		if q := resultOf(full, k); q.detect > 950*time.Millisecond || q.accuracy < least {
			t.Errorf("%s: %+v", k, q)
		}
	}
	if a, b := resultOf(full, "steady").mistakes, resultOf("b no clamp, no floor", "steady").mistakes; a > 0 || b < 100 {
		t.Errorf("clamp and floor are not effective: %.0f and %.0f mistakes", a, b)
	}
	if a, b := resultOf(full, "paused").mistakes, resultOf("g pauses count", "paused").mistakes; a*5 > b {
		t.Errorf("discounting pauses helps too little: %.0f and %.0f mistakes", a, b)
	}
	if a, b := resultOf(full, "slowing").mistakes, resultOf("h window of 1000", "slowing").mistakes; a*2 > b {
		t.Errorf("a short window helps too little: %.0f and %.0f mistakes", a, b)
	}
	if a, b := startupMistakes(variants()[full].o), startupMistakes(variants()["e no prior"].o); a*2 > b || earlyDetectionTime(variants()[full].o) == 0 || earlyDetectionTime(variants()["i source, 1000"].o) != 0 {
		t.Errorf("the prior helps too little: %.0f and %.0f mistakes", a, b)
	}
}

func sorted[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
