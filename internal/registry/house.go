package registry

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/membership"
	"walkrudder/internal/owner"
)

const (
	// maxTargets bounds the table of one house.
	maxTargets = 8192
	// forget is how long a run is kept after its last beat once it is gone or was
	// followed by a later run.
	forget = 10 * time.Minute
)

// Homes lists the home controllers of a service: one in each zone, by rendezvous over
// the members (design 12.1).
func Homes(service string, ms []membership.Member) []membership.Member {
	best := map[string]membership.Member{}
	top := map[string]uint64{}
	for _, m := range ms {
		if m.Kind != "controller" {
			continue
		}
		s := score(service, m.ID)
		if _, ok := best[m.Zone]; !ok || s > top[m.Zone] {
			best[m.Zone], top[m.Zone] = m, s
		}
	}
	out := lo.Values(best)
	slices.SortFunc(out, func(a, b membership.Member) int { return int(lo.Ternary(a.Zone < b.Zone, -1, 1)) })
	return out
}

// score is the rendezvous of two names; FNV's weak low bits are spread.
func score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "\x00" + b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// row is one target's place in a house.
type row struct {
	e    Entry
	det  *liveness.Detector
	seen time.Time
	// stood is this process's own pauses up to seen.
	stood time.Duration
}

// House is a controller's table of targets. One owner works through its commands.
type House struct {
	Clock clock.Clock
	Pause *liveness.Pauses
	Run   uint64 // this run of the controller

	own     *owner.Owner
	rows    map[string]map[string]*row // by service, target
	n       int
	version map[string]uint64
	news    map[string]chan struct{}
}

// Init makes the house ready.
func (h *House) Init() {
	h.own = owner.New(1024)
	h.rows = map[string]map[string]*row{}
	h.version = map[string]uint64{}
	h.news = map[string]chan struct{}{}
}

// Start runs the owner until ctx ends.
func (h *House) Start(ctx context.Context) { h.own.Run(ctx) }

func (h *House) changed(service string) {
	h.version[service]++
	if c := h.news[service]; c != nil {
		close(c)
		delete(h.news, service)
	}
}

// Take merges a beat: the largest number of the latest run counts.
func (h *House) Take(ctx context.Context, b httpapi.Beat) (r BeatTold, err error) {
	return owner.Get(ctx, h.own, func() (r BeatTold) {
		now := h.Clock.Now()
		s := h.rows[b.Service]
		if s == nil {
			s = map[string]*row{}
			h.rows[b.Service] = s
		}
		x := s[b.ID]
		if x == nil && h.n >= maxTargets {
			return r
		}
		switch {
		case x == nil || b.Inc > x.e.Beat.Inc:
			if x == nil {
				h.n++
			}
			x = &row{det: liveness.New(liveness.Defaults(time.Duration(b.EveryMS)*time.Millisecond), h.Pause, now)}
			s[b.ID] = x
		case !later(b, x.e.Beat):
			r = BeatTold{OK: true, Seq: x.e.Beat.Seq, Gone: x.e.Gone && b.Inc == x.e.Beat.Inc}
			return r
		}
		x.det.Arrive(b.Seq, now)
		x.seen, x.stood = now, h.Pause.At(now)
		old := x.e.Beat
		// Leaving binds a run to its end.
		b.Leaving = b.Leaving || old.Leaving && old.Inc == b.Inc
		x.e.Beat = b
		old.Seq = b.Seq
		if old != b || x.e.Suspect {
			x.e.Suspect = false
			h.changed(b.Service)
		}
		r = BeatTold{OK: true, Seq: b.Seq, Gone: x.e.Gone}
		return r
	})
}

// Watch waits for news of a service.
func (h *House) Watch(ctx context.Context, a WatchAsk) (WatchTold, error) {
	cx, end := context.WithTimeout(ctx, time.Duration(min(max(a.WaitMS, 0), 2000))*time.Millisecond)
	defer end()
	type look struct {
		told WatchTold
		wait chan struct{}
	}
	for {
		l, err := owner.Get(ctx, h.own, func() (l look) {
			l.told = WatchTold{Run: h.Run, Version: h.version[a.Service]}
			if a.Run == h.Run && a.Seen == l.told.Version {
				l.told.Same = true
				if l.wait = h.news[a.Service]; l.wait == nil {
					l.wait = make(chan struct{})
					h.news[a.Service] = l.wait
				}
				return l
			}
			for _, x := range h.rows[a.Service] {
				l.told.Entries = append(l.told.Entries, x.e)
			}
			return l
		})
		if err != nil || !l.told.Same {
			return l.told, err
		}
		select {
		case <-cx.Done():
			return l.told, nil
		case <-l.wait:
		}
	}
}

// Judge is this controller's own suspicion of a target run.
func (h *House) Judge(ctx context.Context, a JudgeAsk) (r JudgeTold, err error) {
	return owner.Get(ctx, h.own, func() (r JudgeTold) {
		x := h.rows[a.Service][a.ID]
		if x == nil || x.e.Beat.Inc != a.Inc {
			return r
		}
		now := h.Clock.Now()
		r = JudgeTold{Known: true, Seq: x.e.Beat.Seq, W: x.det.Suspicion(now), Quiet: int64(h.quiet(x, now))}
		return r
	})
}

// quiet is the silence less this process's own pauses.
func (h *House) quiet(x *row, now time.Time) time.Duration {
	return now.Sub(x.seen) - (h.Pause.At(now) - x.stood)
}

// Seen is one target as a controller sees it.
type Seen struct {
	Entry
	Quiet time.Duration
	Fit   liveness.Fit
}

// All lists every target with a fresh suspicion.
func (h *House) All(ctx context.Context) (out []Seen, err error) {
	return owner.Get(ctx, h.own, func() (out []Seen) {
		now := h.Clock.Now()
		for _, s := range h.rows {
			for _, x := range s {
				e := x.e
				e.W = x.det.Suspicion(now)
				f, _ := x.det.Fitted()
				out = append(out, Seen{e, h.quiet(x, now), f})
			}
		}
		return out
	})
}

// Collect gathers what all controllers hold, each target run by its newest beat and
// the least silence that any of them has met.
func Collect(ctx context.Context, l link.Line, ms []membership.Member) []Seen {
	var mu sync.Mutex
	var wg sync.WaitGroup
	by := map[string]Seen{}
	cx, end := context.WithTimeout(ctx, 500*time.Millisecond)
	defer end()
	for _, m := range ms {
		if m.Kind != "controller" {
			continue
		}
		wg.Go(func() {
			r, err := link.Call[SeenTold](cx, l, m.Inner, SeenAsk{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, x := range r.Seen {
				k := x.Beat.Service + "/" + x.Beat.ID
				o, ok := by[k]
				switch {
				case !ok || x.Beat.Inc > o.Beat.Inc:
					by[k] = x
				case x.Beat.Inc == o.Beat.Inc:
					if later(o.Beat, x.Beat) {
						x.Beat = o.Beat
					}
					if o.Quiet < x.Quiet {
						x.Quiet, x.W, x.Fit = o.Quiet, o.W, o.Fit
					}
					x.Gone, x.Suspect, x.Beat.Leaving = x.Gone || o.Gone, x.Suspect || o.Suspect, x.Beat.Leaving || o.Beat.Leaving
					by[k] = x
				}
			}
		})
	}
	wg.Wait()
	out := lo.Values(by)
	slices.SortFunc(out, func(a, b Seen) int {
		return cmp.Compare(a.Beat.Service+"/"+a.Beat.ID, b.Beat.Service+"/"+b.Beat.ID)
	})
	return out
}

// Mark notes on a target run that it is suspected, leaving or gone.
func (h *House) Mark(ctx context.Context, service, id string, inc uint64, f func(*Entry)) error {
	return h.own.Do(ctx, func() {
		if x := h.rows[service][id]; x != nil && x.e.Beat.Inc == inc {
			old := x.e
			if f(&x.e); x.e != old {
				h.changed(service)
			}
		}
	})
}

// Sweep forgets runs that were silent for long: let go, or told to another home.
func (h *House) Sweep(ctx context.Context) error {
	return h.own.Do(ctx, func() {
		now := h.Clock.Now()
		for svc, s := range h.rows {
			for id, x := range s {
				if now.Sub(x.seen) > forget {
					delete(s, id)
					h.n--
					h.changed(svc)
				}
			}
			if len(s) == 0 {
				delete(h.rows, svc)
			}
		}
	})
}

// Serve teaches d to answer for this house.
func (h *House) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a BeatAsk) (BeatTold, error) { return h.Take(ctx, a.Beat) })
	link.Handle(d, func(ctx context.Context, _ link.Identity, a WatchAsk) (WatchTold, error) { return h.Watch(ctx, a) })
	link.Handle(d, func(ctx context.Context, _ link.Identity, a MarkAsk) (MarkTold, error) {
		err := h.Mark(ctx, a.Service, a.ID, a.Inc, func(e *Entry) { e.Suspect, e.Gone = a.Suspect, e.Gone || a.Gone })
		return MarkTold{OK: err == nil}, err
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, _ SeenAsk) (SeenTold, error) {
		s, err := h.All(ctx)
		return SeenTold{s}, err
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a JudgeAsk) (JudgeTold, error) { return h.Judge(ctx, a) })
}
