package target

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// SuspicionThreshold is the suspicion level from which a run counts as silent.
	SuspicionThreshold = 0.99
	// moveGraceHeartbeats is the number of heartbeat intervals for which a run is not judged after
	// it moved here: the run may return to the node that it left, and each such move costs a heartbeat.
	moveGraceHeartbeats = 3
	// pauseGrace is how long no run is judged after this process was paused: heartbeats that
	// arrived meanwhile, here or at other nodes, are still to be processed.
	pauseGrace = time.Second
)

// Monitor is a control-plane node's failure detector. It has one Weibull accrual detector
// for each run whose heartbeats this node receives itself (docs/detector.md). Nodes need
// not agree: a run is judged only by the node that received its newest heartbeat, because
// silence at any other node proves nothing. A heartbeat newer than the one after which the
// run was suspected, at whichever node, clears the suspicion for all. A Monitor is not safe for
// concurrent use; the owner of the table guards it.
type Monitor struct {
	HeartbeatInterval time.Duration // between two heartbeats of a run
	Pauses            *liveness.PauseMonitor

	detectors      map[string]*runDetector
	pausedTotal    time.Duration // total pauses of this process at the last evaluation
	suspendedUntil time.Time     // no run is judged before
}

type runDetector struct {
	*liveness.Detector
	suspendedUntil time.Time // the run is not judged before
}

// Observe records a heartbeat that this node received itself. moved means that other nodes
// received the run's heartbeats in the meantime, so that the gap before this one proves
// nothing.
func (w *Monitor) Observe(id string, seq uint64, moved bool, now time.Time) {
	if w.detectors == nil {
		w.detectors = map[string]*runDetector{}
	}
	det := w.detectors[id]
	switch {
	case det == nil && len(w.detectors) >= MaxRuns:
		return
	case det == nil:
		det = &runDetector{Detector: liveness.NewDetector(liveness.DefaultOptions(w.HeartbeatInterval), w.Pauses, now)}
		w.detectors[id] = det
	case moved:
		det.Restart(now)
	}
	if moved {
		det.suspendedUntil = now.Add(moveGraceHeartbeats * w.HeartbeatInterval)
	}
	det.RecordArrival(seq, now)
}

// Evaluate marks the runs that have been silent for too long, each judged by its current
// suspicion level. One node suspects at most half of a service's runs: beyond that, the
// fault is more likely on this node. It reports whether anything changed.
func (w *Monitor) Evaluate(t *Table, now time.Time) (changed bool) {
	type candidate struct {
		run       Run
		suspicion float64
	}
	if p := w.Pauses.TotalAt(now); p > w.pausedTotal {
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

// Suspicion returns the current suspicion level of a run heard here; ok is false for any other run.
func (w *Monitor) Suspicion(id string, now time.Time) (s float64, ok bool) {
	d := w.detectors[id]
	if d == nil {
		return 0, false
	}
	return d.Suspicion(now), true
}
