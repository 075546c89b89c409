package proxy

import (
	"time"

	"walkrudder/internal/liveness"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

const (
	// suspectAt is the suspicion from which a run is passed over.
	suspectAt = 0.99
	// A penalty doubles with each failure in a row up to mostPenalty. Silence and a
	// failed connect are strong signs. A reset or a spoilt answer is a weaker one: some
	// targets reset what they have no room for, and some spoil one answer in a few.
	firstPenalty = time.Second
	shortPenalty = 125 * time.Millisecond
	mostPenalty  = 8 * time.Second
	// unknownTime is what a target is taken to need of which nothing is known.
	unknownTime = 100 * time.Millisecond
	// coldFactor is how much slower a target is that has just started.
	coldFactor = 2
	// slower and faster are the weights of the newest answer in the expected time.
	slower, faster = 0.3, 0.15
	// samples is the window of answer times of one run; refit is how many answers come
	// before its quantile is taken again, and enough how many must be in it.
	samples, refit, enough = 50, 8, 10
)

// endpoint is one run of a target as this node sees it. Its service's lock guards it.
//
// Three things speak of its health. The detector (docs/detector.md) watches the node's
// own probes, and proper answers in their place: numbered, judged afresh at each choice.
// The fates of requests are judged against those at the service's other runs (fates.go).
// The third are penalties: an answer is a sign of life and ends a penalty; a failed
// connect, a reset, silence until the deadline or a spoilt answer begins one, which
// doubles while it goes on. After one as long as firstPenalty, one request at a time
// tries the run, until one of them gets an answer.
type endpoint struct {
	svc  *service
	run  target.Run
	near bool    // in the own zone
	far  float64 // weight of the way to its zone
	rank float64 // its place in this node's own order, 0 to 1
	lane upgrade.Lane

	coldTill time.Time
	starts   []time.Time // of what is under way, in order
	open     int         // connections, also those about to be made
	idle     []*conn     // the last used comes last

	took  time.Duration // expected time of an answer; 0 is unknown
	times *liveness.Window
	seen  int
	q99   time.Duration

	fails     int
	trial     bool
	failedAt  time.Time
	barred    time.Time // the end of the penalty
	pardoned  bool      // to be passed over, but too many are
	fullTill  time.Time // it said that it has no room
	gone      bool      // another run answers at its address
	goneSeq   uint64
	probed    bool
	probing   bool
	nextProbe time.Time
	seq       uint64
	det       *liveness.Detector // nil until the run is to be probed
	detEvery  time.Duration      // the rhythm for which it was made
	proof     time.Time          // of the last proper answer that is no arrival yet
	fates     *fates             // nil until a request ended here
	excused   bool               // too many are ill by their fates for that to say anything
}

// takes tells whether work may be sent to the run at all.
func (e *endpoint) takes() bool {
	return e.run.State == target.Ready && !e.gone && e.lane != upgrade.Barred
}

// suspicion is how much the run is to be passed over now; from suspectAt on it is.
func (e *endpoint) suspicion(now time.Time) float64 {
	w := e.presumed(now)
	if !e.excused {
		w = max(w, e.illness(now))
	}
	return w
}

// presumed is the suspicion without the fates of requests.
func (e *endpoint) presumed(now time.Time) float64 {
	if d := e.barred.Sub(now); d > 0 {
		return 1 + d.Seconds()
	}
	if e.run.Suspected() {
		return 1
	}
	if e.probed {
		return e.det.Suspicion(now)
	}
	return 0
}

// expected is how long an answer is likely to take. What is under way for longer than
// that says more than past answers.
func (e *endpoint) expected(now time.Time) time.Duration {
	d := e.took
	if d == 0 {
		d = e.svc.usual()
		if now.Before(e.coldTill) {
			d *= coldFactor
		}
	}
	if len(e.starts) > 0 {
		d = max(d, now.Sub(e.starts[0]))
	}
	return d
}

// plausible is the time after which a request's silence says that this run's own
// answers make it unlikely that one still comes in the usual way.
func (e *endpoint) plausible(aim, left time.Duration) time.Duration {
	d := e.took
	if d == 0 {
		d = e.svc.usual()
	}
	if aim <= 0 {
		aim = left
	}
	return max(e.q99, 3*d, aim/4)
}

// answered notes an answer after d.
func (e *endpoint) answered(now time.Time, d time.Duration) {
	e.cleared()
	w := faster
	if d > e.took {
		w = slower
	}
	if e.took == 0 {
		w = 1
	}
	e.took += time.Duration(w * float64(d-e.took))
	if e.times == nil {
		e.times = liveness.NewWindow(samples)
	}
	e.times.Push(d.Seconds())
	if e.seen++; e.seen%refit == 0 && e.times.Len() >= enough {
		if f, ok := e.times.Fit(); ok {
			e.q99 = time.Duration(min(f.Quantile(suspectAt), 60) * float64(time.Second))
		}
	}
}

// failed begins a penalty. What began before the last one says nothing new.
func (e *endpoint) failed(now, began time.Time, first time.Duration) {
	if e.fails > 0 && began.Before(e.failedAt) {
		return
	}
	e.failedAt = now
	d := min(first<<min(e.fails, 6), mostPenalty)
	e.barred = now.Add(d)
	e.fails++
	e.trial = e.trial || d >= firstPenalty
}

// cleared ends a penalty.
func (e *endpoint) cleared() { e.fails, e.trial, e.barred = 0, false, time.Time{} }

// room is how many more requests the run may have from this node.
func (e *endpoint) room(now time.Time, most int) int {
	if now.Before(e.fullTill) {
		return 0
	}
	if e.trial && !e.pardoned {
		most = 1
	}
	if e.onTrial() {
		most = min(most, 1+e.fates.good)
	}
	return min(most, e.svc.maxOpen()) - len(e.starts)
}

func (e *endpoint) slots() int { return max(1, e.run.Slots) }
