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
	// maxHomeTargets bounds the table of one home controller.
	maxHomeTargets = 8192
	// silentRetention is how long a run is kept after its last beat.
	silentRetention = 10 * time.Minute
)

// Homes lists the home controllers of a service: one in each zone, by rendezvous hashing over
// the members (design 12.1).
func Homes(service string, ms []membership.Member) []membership.Member {
	best := map[string]membership.Member{}
	bestScore := map[string]uint64{}
	for _, m := range ms {
		if m.Kind != "controller" {
			continue
		}
		s := rendezvousScore(service, m.ID)
		if _, ok := best[m.Zone]; !ok || s > bestScore[m.Zone] {
			best[m.Zone], bestScore[m.Zone] = m, s
		}
	}
	out := lo.Values(best)
	slices.SortFunc(out, func(a, b membership.Member) int { return int(lo.Ternary(a.Zone < b.Zone, -1, 1)) })
	return out
}

// rendezvousScore is the rendezvous hash of two names. FNV mixes the low bits poorly, so the hash is
// mixed once more, with the first half of the finalizer of MurmurHash3.
func rendezvousScore(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "\x00" + b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// homeRecord is one target in a home controller's table.
type homeRecord struct {
	entry    Entry
	detector *liveness.Detector
	lastBeat time.Time
	// pausedAtBeat is the sum of this process's own pauses at lastBeat.
	pausedAtBeat time.Duration
}

// HomeTable is a home controller's table of targets. Its owner goroutine executes all accesses.
type HomeTable struct {
	Clock       clock.Clock
	Pauses      *liveness.PauseMonitor
	Incarnation uint64 // of the controller process

	owner    *owner.Owner
	runs     map[string]map[string]*homeRecord // by service and target ID
	count    int
	versions map[string]uint64
	waiters  map[string]chan struct{}
}

// Init prepares the table for use.
func (h *HomeTable) Init() {
	h.owner = owner.New(1024)
	h.runs = map[string]map[string]*homeRecord{}
	h.versions = map[string]uint64{}
	h.waiters = map[string]chan struct{}{}
}

// Run executes the table's commands until ctx ends.
func (h *HomeTable) Run(ctx context.Context) { h.owner.Run(ctx) }

func (h *HomeTable) notify(service string) {
	h.versions[service]++
	if c := h.waiters[service]; c != nil {
		close(c)
		delete(h.waiters, service)
	}
}

// MergeBeat merges a beat. The largest sequence number of the latest run wins.
func (h *HomeTable) MergeBeat(ctx context.Context, b httpapi.Beat) (r BeatTold, err error) {
	return owner.Call(ctx, h.owner, func() (r BeatTold) {
		now := h.Clock.Now()
		s := h.runs[b.Service]
		if s == nil {
			s = map[string]*homeRecord{}
			h.runs[b.Service] = s
		}
		x := s[b.ID]
		if x == nil && h.count >= maxHomeTargets {
			return r
		}
		switch {
		case x == nil || b.Inc > x.entry.Beat.Inc:
			if x == nil {
				h.count++
			}
			x = &homeRecord{detector: liveness.NewDetector(liveness.DefaultOptions(time.Duration(b.EveryMS)*time.Millisecond), h.Pauses, now)}
			s[b.ID] = x
		case !isNewer(b, x.entry.Beat):
			r = BeatTold{OK: true, Seq: x.entry.Beat.Seq, Gone: x.entry.Gone && b.Inc == x.entry.Beat.Inc}
			return r
		}
		x.detector.RecordArrival(b.Seq, now)
		x.lastBeat, x.pausedAtBeat = now, h.Pauses.TotalAt(now)
		old := x.entry.Beat
		// A run that is leaving does not return to service.
		b.Leaving = b.Leaving || old.Leaving && old.Inc == b.Inc
		x.entry.Beat = b
		old.Seq = b.Seq
		if old != b || x.entry.Suspect {
			x.entry.Suspect = false
			h.notify(b.Service)
		}
		r = BeatTold{OK: true, Seq: b.Seq, Gone: x.entry.Gone}
		return r
	})
}

// Watch waits for a change of a service's table and returns the table.
func (h *HomeTable) Watch(ctx context.Context, a WatchAsk) (WatchTold, error) {
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(min(max(a.WaitMS, 0), 2000))*time.Millisecond)
	defer cancel()
	type result struct {
		reply WatchTold
		wait  chan struct{}
	}
	for {
		l, err := owner.Call(ctx, h.owner, func() (l result) {
			l.reply = WatchTold{Run: h.Incarnation, Version: h.versions[a.Service]}
			if a.Run == h.Incarnation && a.Seen == l.reply.Version {
				l.reply.Same = true
				if l.wait = h.waiters[a.Service]; l.wait == nil {
					l.wait = make(chan struct{})
					h.waiters[a.Service] = l.wait
				}
				return l
			}
			for _, x := range h.runs[a.Service] {
				l.reply.Entries = append(l.reply.Entries, x.entry)
			}
			return l
		})
		if err != nil || !l.reply.Same {
			return l.reply, err
		}
		select {
		case <-waitCtx.Done():
			return l.reply, nil
		case <-l.wait:
		}
	}
}

// Judge returns this controller's own suspicion of a target run.
func (h *HomeTable) Judge(ctx context.Context, a JudgeAsk) (r JudgeTold, err error) {
	return owner.Call(ctx, h.owner, func() (r JudgeTold) {
		x := h.runs[a.Service][a.ID]
		if x == nil || x.entry.Beat.Inc != a.Inc {
			return r
		}
		now := h.Clock.Now()
		r = JudgeTold{Known: true, Seq: x.entry.Beat.Seq, W: x.detector.Suspicion(now), Quiet: int64(h.silence(x, now))}
		return r
	})
}

// silence returns the time since the last beat less this process's own pauses.
func (h *HomeTable) silence(x *homeRecord, now time.Time) time.Duration {
	return now.Sub(x.lastBeat) - (h.Pauses.TotalAt(now) - x.pausedAtBeat)
}

// Seen is one target run as a controller sees it.
type Seen struct {
	Entry
	Quiet time.Duration // time since the last beat, without pauses of the controller's process
	Fit   liveness.Fit
}

// List returns every target with its present suspicion.
func (h *HomeTable) List(ctx context.Context) (out []Seen, err error) {
	return owner.Call(ctx, h.owner, func() (out []Seen) {
		now := h.Clock.Now()
		for _, s := range h.runs {
			for _, x := range s {
				e := x.entry
				e.W = x.detector.Suspicion(now)
				f, _ := x.detector.LastFit()
				out = append(out, Seen{e, h.silence(x, now), f})
			}
		}
		return out
	})
}

// CollectSeen merges the tables of all controllers: for each target its latest run, the newest
// beat of that run, and the shortest silence that any controller measured.
func CollectSeen(ctx context.Context, transport link.Transport, ms []membership.Member) []Seen {
	var mu sync.Mutex
	var wg sync.WaitGroup
	byKey := map[string]Seen{}
	askCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	for _, m := range ms {
		if m.Kind != "controller" {
			continue
		}
		wg.Go(func() {
			r, err := link.Call[SeenTold](askCtx, transport, m.Inner, SeenAsk{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, x := range r.Seen {
				k := x.Beat.Service + "/" + x.Beat.ID
				held, ok := byKey[k]
				switch {
				case !ok || x.Beat.Inc > held.Beat.Inc:
					byKey[k] = x
				case x.Beat.Inc == held.Beat.Inc:
					if isNewer(held.Beat, x.Beat) {
						x.Beat = held.Beat
					}
					if held.Quiet < x.Quiet {
						x.Quiet, x.W, x.Fit = held.Quiet, held.W, held.Fit
					}
					x.Gone, x.Suspect, x.Beat.Leaving = x.Gone || held.Gone, x.Suspect || held.Suspect, x.Beat.Leaving || held.Beat.Leaving
					byKey[k] = x
				}
			}
		})
	}
	wg.Wait()
	out := lo.Values(byKey)
	slices.SortFunc(out, func(a, b Seen) int {
		return cmp.Compare(a.Beat.Service+"/"+a.Beat.ID, b.Beat.Service+"/"+b.Beat.ID)
	})
	return out
}

// Mark updates the entry of a target run: suspected, leaving or gone.
func (h *HomeTable) Mark(ctx context.Context, service, id string, inc uint64, f func(*Entry)) error {
	return h.owner.Do(ctx, func() {
		if x := h.runs[service][id]; x != nil && x.entry.Beat.Inc == inc {
			old := x.entry
			if f(&x.entry); x.entry != old {
				h.notify(service)
			}
		}
	})
}

// RemoveSilent removes runs without a beat for silentRetention: gone, or sent to another home.
func (h *HomeTable) RemoveSilent(ctx context.Context) error {
	return h.owner.Do(ctx, func() {
		now := h.Clock.Now()
		for svc, s := range h.runs {
			for id, x := range s {
				if now.Sub(x.lastBeat) > silentRetention {
					delete(s, id)
					h.count--
					h.notify(svc)
				}
			}
			if len(s) == 0 {
				delete(h.runs, svc)
			}
		}
	})
}

// Serve registers the table's request handlers.
func (h *HomeTable) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a BeatAsk) (BeatTold, error) {
		return h.MergeBeat(ctx, a.Beat)
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a WatchAsk) (WatchTold, error) { return h.Watch(ctx, a) })
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a MarkAsk) (MarkTold, error) {
		err := h.Mark(ctx, a.Service, a.ID, a.Inc, func(e *Entry) { e.Suspect, e.Gone = a.Suspect, e.Gone || a.Gone })
		return MarkTold{OK: err == nil}, err
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, _ SeenAsk) (SeenTold, error) {
		s, err := h.List(ctx)
		return SeenTold{s}, err
	})
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a JudgeAsk) (JudgeTold, error) { return h.Judge(ctx, a) })
}
