package target

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// Threshold is the suspicion from which a run counts as silent.
	Threshold = 0.99
	// settle is how many beats' time a run is not judged after it moved here: the node
	// that it left may take it back, and each such move costs a beat.
	settle = 3
	// calm is how long nobody is judged after this process stood still: what came in
	// meanwhile, here or elsewhere, is still to be read.
	calm = time.Second
)

// Watch is a control node's detector: one Weibull accrual detector for each run whose
// beats this node receives itself (docs/detector.md). Nodes need not agree: a run is
// judged only where its newest beat came in, for everywhere else its silence shows
// nothing; and a beat newer than the one it was suspected after, at whatever node,
// clears it for all. It is guarded by the owner of the table.
type Watch struct {
	Every time.Duration // between a run's beats
	Pause *liveness.PauseMonitor

	det    map[string]*watched
	paused time.Duration // own pauses at the last look
	until  time.Time     // no judgement before
}

type watched struct {
	*liveness.Detector
	until time.Time // not judged before
}

// Heard takes in a beat that this node received itself; moved says that others heard
// the run in the meantime, so that the gap before this beat shows nothing.
func (w *Watch) Heard(id string, seq uint64, moved bool, now time.Time) {
	if w.det == nil {
		w.det = map[string]*watched{}
	}
	d := w.det[id]
	switch {
	case d == nil && len(w.det) >= MaxRuns:
		return
	case d == nil:
		d = &watched{Detector: liveness.NewDetector(liveness.DefaultOptions(w.Every), w.Pause, now)}
		w.det[id] = d
	case moved:
		d.Restart(now)
	}
	if moved {
		d.until = now.Add(settle * w.Every)
	}
	d.RecordArrival(seq, now)
}

// Judge marks the runs that have been silent for too long, with a fresh suspicion for
// each. At most half of a service's runs are held for silent by one node: beyond that
// the fault is more likely here. It tells whether there is news.
func (w *Watch) Judge(t *Table, now time.Time) (news bool) {
	type doubt struct {
		run Run
		w   float64
	}
	if p := w.Pause.TotalAt(now); p > w.paused {
		w.paused, w.until = p, now.Add(calm)
	}
	var out []doubt
	for id, d := range w.det {
		r, ok := t.Get(id, now)
		if !ok || r.State == Ended {
			delete(w.det, id)
			continue
		}
		if _, newest := t.Own(id); !newest || r.Suspected() || now.Before(w.until) || now.Before(d.until) {
			continue
		}
		if s := d.Suspicion(now); s >= Threshold {
			out = append(out, doubt{r, s})
		}
	}
	if len(out) == 0 {
		return false
	}
	alive, silent := map[string]int{}, map[string]int{}
	for r := range t.All(now) {
		if t.Lost(r.ID, now) {
			continue
		}
		alive[r.Service]++
		if r.Suspected() {
			silent[r.Service]++
		}
	}
	slices.SortFunc(out, func(a, b doubt) int { return cmp.Or(cmp.Compare(b.w, a.w), cmp.Compare(a.run.ID, b.run.ID)) })
	for _, x := range out {
		if s := x.run.Service; 2*(silent[s]+1) <= alive[s] {
			silent[s]++
			news = t.Silence(x.run.ID, now) || news
		}
	}
	return news
}

// Suspicion is the fresh suspicion of a run heard here; ok is false for any other.
func (w *Watch) Suspicion(id string, now time.Time) (s float64, ok bool) {
	d := w.det[id]
	if d == nil {
		return 0, false
	}
	return d.Suspicion(now), true
}
