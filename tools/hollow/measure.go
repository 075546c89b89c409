package main

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times are a histogram of times in short, in milliseconds.
type Times struct {
	N                    int64
	P50, P90, P99, Worst float64
}

// histogram takes times from a microsecond to a minute, to three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func times(h *hdrhistogram.Histogram) Times {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

// record notes a time; one that came before its cause by the clock's grain counts as
// the least.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 60_000_000))
}

// PerNode is what one node of a role takes.
type PerNode struct {
	Nodes int
	Core  float64 // part of a core
	// MostCore and MostRSS are of the process that takes most, by node.
	MostCore float64
	RSS      float64 // MB
	MostRSS  float64
	// In and Out are bytes a second, without TCP's own.
	In, Out float64
}

// Window is what was measured in one span of time.
type Window struct {
	Name    string
	Seconds float64
	Roles   map[string]PerNode
	// Messages are messages and bytes a second at one controller, in the mean, by the other
	// side's role, direction and name; a message between controllers counts at the one that
	// was asked.
	Messages map[string][2]float64
	// Acked is how long changes took to be acknowledged, LastSeen from there to the last
	// gateway; a gateway may have one before that, which counts as the least. Whole is from the
	// change's call to the last gateway, and Each to each.
	Acked, LastSeen, Whole, Each Times
	Failed                       int // changes
	Missing                      int // gateways that never had a change
	Took                         map[string]Times
	Counts                       map[string]int64
}

// window measures for a while; during runs beside.
func (t *town) window(ctx context.Context, name string, d time.Duration, during func(context.Context, *Window)) (w Window, err error) {
	w = Window{Name: name, Roles: map[string]PerNode{}, Messages: map[string][2]float64{}, Took: map[string]Times{}, Counts: map[string]int64{}}
	if _, err := tell(ctx, t.gateways, same(Order{Op: "seen"})); err != nil {
		return w, err
	}
	a, err := tell(ctx, t.all(), same(Order{Op: "mark"}))
	if err != nil {
		return w, err
	}
	cx, end := context.WithTimeout(ctx, d)
	defer end()
	if during != nil {
		during(cx, &w)
	}
	<-cx.Done()
	if ctx.Err() != nil {
		return w, ctx.Err()
	}
	b, err := tell(ctx, t.all(), same(Order{Op: "mark"}))
	if err != nil {
		return w, err
	}
	w.fill(a, b)
	return w, nil
}

// fill works the figures out of two looks at each process.
func (w *Window) fill(a, b map[*process]Told) {
	hist := map[string]*hdrhistogram.Histogram{}
	for p, y := range b {
		x, ok := a[p]
		if !ok {
			continue
		}
		s := spent(x.Usage, y.Usage)
		r := w.Roles[p.role]
		n := float64(p.size)
		r.Nodes += p.size
		r.Core += s.Core
		r.MostCore = max(r.MostCore, s.Core/n)
		r.RSS += float64(s.RSS) / (1 << 20)
		r.MostRSS = max(r.MostRSS, float64(s.RSS)/(1<<20)/n)
		w.Roles[p.role] = r
		w.Seconds = max(w.Seconds, float64(y.Usage.At-x.Usage.At)/1e9)
		for k, v := range y.Took {
			if hist[k] == nil {
				hist[k] = histogram()
			}
			for _, d := range v {
				record(hist[k], time.Duration(d))
			}
		}
		switch p.role {
		case "targets": // counts since the last look
			for k, v := range y.Counts {
				w.Counts[k] += v
			}
		case "gateways":
			for k, v := range y.Counts {
				w.Counts[k] += v - x.Counts[k]
			}
		}
	}
	for k, h := range hist {
		w.Took[k] = times(h)
	}
	for k, r := range w.Roles {
		r.Core /= float64(r.Nodes)
		r.RSS /= float64(r.Nodes)
		w.Roles[k] = r
	}
	total := map[string]Count{}
	for p, y := range b {
		for k, c := range diff(a[p].Wire, y.Wire) {
			o := total[k]
			total[k] = Count{o.N + c.N, o.Bytes + c.Bytes}
		}
	}
	controllers := max(float64(w.Roles["controllers"].Nodes), 1)
	by := map[string]float64{} // bytes a second, by role and direction
	for k, c := range total {
		w.Messages[k] = [2]float64{float64(c.N) / w.Seconds / controllers, float64(c.Bytes) / w.Seconds / controllers}
		f := strings.SplitN(k, " ", 3)
		by[f[0]+" "+f[1]] += float64(c.Bytes) / w.Seconds
	}
	// What one controller is asked by controllers, it asks of them as well, in the mean.
	w.set("controllers", (by["gateway in"]+by["target in"]+by["controller in"]+by["controller out"])/controllers, (by["gateway out"]+by["target out"]+by["controller in"]+by["controller out"])/controllers)
	for _, r := range [][2]string{{"gateways", "gateway"}, {"targets", "target"}} {
		if n := float64(w.Roles[r[0]].Nodes); n > 0 {
			w.set(r[0], by[r[1]+" out"]/n, by[r[1]+" in"]/n)
		}
	}
}

func (w *Window) set(role string, in, out float64) {
	if r, ok := w.Roles[role]; ok {
		r.In, r.Out = in, out
		w.Roles[role] = r
	}
}

// changes has one change made each pace, at some controller, and notes when all had it.
func (t *town) changes(ctx context.Context, w *Window, pace time.Duration, o Order) {
	acked, asked := map[uint64]int64{}, map[uint64]int64{}
	ack, last, whole, each := histogram(), histogram(), histogram(), histogram()
	gateways := 0
	for _, p := range t.gateways {
		gateways += p.size
	}
	for ctx.Err() == nil {
		begun := time.Now()
		x, err := t.change(ctx, t.any(), o)
		if err != nil {
			w.Failed++
		} else {
			acked[t.version], asked[t.version] = x.Ended, x.Begun
			record(ack, time.Duration(x.Ended-x.Begun))
		}
		// The last one is given as long as the others to arrive.
		if left, ok := ctx.Deadline(); ok && time.Until(left) < 2*pace {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pace - time.Since(begun)):
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(pace):
	}
	got, _ := tell(context.WithoutCancel(ctx), t.gateways, same(Order{Op: "seen"}))
	at := map[uint64][]int64{}
	for _, x := range got {
		for v, l := range x.Seen {
			at[v] = append(at[v], l...)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(acked)) {
		w.Missing += gateways - len(at[v])
		if len(at[v]) == 0 {
			continue
		}
		for _, x := range at[v] {
			record(each, time.Duration(x-asked[v]))
		}
		record(last, time.Duration(slices.Max(at[v])-acked[v]))
		record(whole, time.Duration(slices.Max(at[v])-asked[v]))
	}
	w.Acked, w.LastSeen, w.Whole, w.Each = times(ack), times(last), times(whole), times(each)
}
