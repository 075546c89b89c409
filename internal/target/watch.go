package target

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// SuspicionThreshold is the suspicion from which a run counts as silent.
	SuspicionThreshold = 0.99
	// moveGraceBeats is how many beats' time a run is not judged after it moved here: the node
	// that it left may take it back, and each such move costs a beat.
	moveGraceBeats = 3
	// pauseGrace is how long nobody is judged after this process stood still: what came in
	// meanwhile, here or elsewhere, is still to be read.
	pauseGrace = time.Second
)

// Monitor is a control node's detector: one Weibull accrual detector for each run whose
// beats this node receives itself (docs/detector.md). Nodes need not agree: a run is
// judged only where its newest beat came in, for everywhere else its silence shows
// nothing; and a beat newer than the one it was suspected after, at whatever node,
// clears it for all. It is guarded by the owner of the table.
type Monitor struct {
	HeartbeatInterval time.Duration // between a run's beats
	Pauses            *liveness.Pauses

	detectors      map[string]*runDetector
	pausedTotal    time.Duration // own pauses at the last look
	suspendedUntil time.Time     // no judgement before
}

type runDetector struct {
	*liveness.Detector
	suspendedUntil time.Time // not judged before
}

// Observe takes in a beat that this node received itself; moved says that others heard
// the run in the meantime, so that the gap before this beat shows nothing.
func (w *Monitor) Observe(id string, seq uint64, moved bool, now time.Time) {
	if w.detectors == nil {
		w.detectors = map[string]*runDetector{}
	}
	d := w.detectors[id]
	switch {
	case d == nil && len(w.detectors) >= MaxRuns:
		return
	case d == nil:
		d = &runDetector{Detector: liveness.New(liveness.Defaults(w.HeartbeatInterval), w.Pauses, now)}
		w.detectors[id] = d
	case moved:
		d.Restart(now)
	}
	if moved {
		d.suspendedUntil = now.Add(moveGraceBeats * w.HeartbeatInterval)
	}
	d.Arrive(seq, now)
}

// Evaluate marks the runs that have been silent for too long, with a fresh suspicion for
// each. At most half of a service's runs are held for silent by one node: beyond that
// the fault is more likely here. It tells whether there is news.
func (w *Monitor) Evaluate(t *Table, now time.Time) (changed bool) {
	type candidate struct {
		run       Run
		suspicion float64
	}
	if p := w.Pauses.At(now); p > w.pausedTotal {
		w.pausedTotal, w.suspendedUntil = p, now.Add(pauseGrace)
	}
	var candidates []candidate
	for id, d := range w.detectors {
		r, ok := t.Get(id, now)
		if !ok || r.State == Ended {
			delete(w.detectors, id)
			continue
		}
		if _, newest := t.OwnSeq(id); !newest || r.Suspected() || now.Before(w.suspendedUntil) || now.Before(d.suspendedUntil) {
			continue
		}
		if s := d.Suspicion(now); s >= SuspicionThreshold {
			candidates = append(candidates, candidate{r, s})
		}
	}
	if len(candidates) == 0 {
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
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.suspicion, a.suspicion), cmp.Compare(a.run.ID, b.run.ID))
	})
	for _, x := range candidates {
		if s := x.run.Service; 2*(silent[s]+1) <= alive[s] {
			silent[s]++
			changed = t.Suspect(x.run.ID, now) || changed
		}
	}
	return changed
}

// Suspicion is the fresh suspicion of a run heard here; ok is false for any other.
func (w *Monitor) Suspicion(id string, now time.Time) (s float64, ok bool) {
	d := w.detectors[id]
	if d == nil {
		return 0, false
	}
	return d.Suspicion(now), true
}
