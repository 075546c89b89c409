package proxy

import (
	"math"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/clock"
)

const (
	// bulkEach is the width that each of the downloads under way at once is to have.
	bulkEach = 1.6
	// owedPart is the part of a planned stop's time that what is owed to callers may take to write for
	// one more download to start. The rest is left for the work of its target, for a body larger
	// than most, and for callers who read slowly.
	owedPart = 0.5
	// finishMargin is left between the expected end of an answer and that of a planned stop.
	finishMargin = 300 * time.Millisecond
	// firstSize and firstLargest are what bodies are taken for before any was seen.
	firstSize, firstLargest = 64 << 10, 256 << 10
	// sizeOver and largestOver are over how many bodies their mean and their greatest length are kept.
	sizeOver, largestOver = 16, 64
	// slowWrite is after what time a caller counts as one that does not read: what it is owed holds
	// nobody up, for the pace does not wait for it.
	slowWrite = 500 * time.Millisecond
	// queueTick is how often waiting downloads look for such callers.
	queueTick = 100 * time.Millisecond
)

// downloads decides when a download may start on a narrow link (design 24.9). A download is
// started only if a planned stop that began now could still write its answer: what was once sent to a
// target is to be answered whole, and how fast that goes is known, for the link is.
//
// A place is held from the start until the body has come in from the target, and then given back:
// reading slowly holds a sender back only when its window is full, and many windows make a long
// queue before this machine. What came in is owed until it was written.
type downloads struct {
	clock  clock.Clock
	places int
	rate   float64 // bytes a second of large bodies to callers
	most   float64 // bytes that may be owed, in all, with one download more

	mu       sync.Mutex
	active   int // places taken
	starting int // downloads started whose size is not known yet
	owed     []*delivery
	queue    []*downloadWaiter
	size     float64 // of a body, on average
	largest  float64 // of a body, of late
	stopEnd  time.Time
}

// delivery is a large body on its way to a caller.
type delivery struct {
	left    int
	writing time.Time // since when a write of it is under way; zero is none
}

// downloadWaiter is a download that waits for its start.
type downloadWaiter struct {
	work    time.Duration // that its target will need
	started chan bool     // one answer: whether it starts
}

// newDownloads is nil for a link on which large bodies hold nobody up.
func newDownloads(c clock.Clock, mbps float64, stopTime time.Duration) *downloads {
	if mbps <= 0 || mbps >= wideMbps {
		return nil
	}
	rate := bulkMbps(mbps) * 1e6 / 8
	return &downloads{clock: c, places: max(2, int(mbps/bulkEach)), rate: rate, most: rate * owedPart * stopTime.Seconds(),
		size: firstSize, largest: firstLargest}
}

// start waits for a place, so long at most, and tells whether there is one. It is told at once where
// a planned stop leaves too little time.
func (d *downloads) start(wait, work time.Duration) bool {
	if d == nil {
		return true
	}
	w := &downloadWaiter{work: work, started: make(chan bool, 1)}
	until := d.clock.Now().Add(wait)
	d.mu.Lock()
	d.queue = append(d.queue, w)
	d.admit()
	d.mu.Unlock()
	for {
		left := until.Sub(d.clock.Now())
		c, stop := d.clock.After(min(left, queueTick))
		select {
		case ok := <-w.started:
			stop()
			return ok
		case <-c:
		}
		d.mu.Lock()
		d.admit()
		i := slices.Index(d.queue, w)
		if i >= 0 && left <= queueTick {
			d.queue = slices.Delete(d.queue, i, i+1)
			d.mu.Unlock()
			return false
		}
		d.mu.Unlock()
	}
}

// admit starts who may start, in the order of arrival, and turns away whom a planned stop leaves too
// little time. Under mu.
func (d *downloads) admit() {
	now := d.clock.Now()
	owed := d.owedBy(now)
	for len(d.queue) > 0 && d.finishes(d.queue[0], 0, owed, now) && d.room(owed) {
		d.queue[0].started <- true
		d.queue = d.queue[1:]
		d.active++
		d.starting++
	}
	before := 0
	d.queue = slices.DeleteFunc(d.queue, func(w *downloadWaiter) bool {
		if d.finishes(w, before, owed, now) {
			before++
			return false
		}
		w.started <- false
		return true
	})
}

// room tells whether one more may start beside what is under way.
func (d *downloads) room(owed float64) bool {
	if d.active >= d.places {
		return false
	}
	return owed == 0 && d.starting == 0 || owed+d.size*float64(d.starting+1) <= d.most
}

// finishes tells whether a download that starts behind so many others will be answered before a
// planned stop ends; without one, it will.
func (d *downloads) finishes(w *downloadWaiter, before int, owed float64, now time.Time) bool {
	if d.stopEnd.IsZero() {
		return true
	}
	bytes := owed + d.size*float64(d.starting+before) + d.largest
	takes := w.work + time.Duration(bytes/d.rate*float64(time.Second)) + finishMargin
	return !now.Add(takes).After(d.stopEnd)
}

// owedBy is what is to be written of bodies on their way to callers who read. Under mu.
func (d *downloads) owedBy(now time.Time) float64 {
	sum := 0
	for _, x := range d.owed {
		if x.writing.IsZero() || now.Sub(x.writing) < slowWrite {
			sum += x.left
		}
	}
	return float64(sum)
}

// end gives a place back.
func (d *downloads) end() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.admit()
}

// answered tells that a download which was started has its answer, and begins its delivery.
func (d *downloads) answered(a *answer) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starting--
	if a.status < 300 {
		size := float64(a.bodySize())
		d.size += (size - d.size) / sizeOver
		d.largest = math.Max(size, d.largest*(1-1.0/largestOver))
	}
	d.owe(a)
	d.admit()
}

// deliver begins the delivery of an answer, if it is large and did not begin yet.
func (d *downloads) deliver(a *answer) {
	if d == nil || a.owed != nil || a.bodySize() < bulkFrom {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owe(a)
}

// owe notes a large body. Under mu.
func (d *downloads) owe(a *answer) {
	if size := a.bodySize(); size >= bulkFrom {
		a.owed = &delivery{left: size}
		d.owed = append(d.owed, a.owed)
	}
}

// write notes that a write of a delivery begins.
func (d *downloads) write(x *delivery, now time.Time) {
	if x == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x.writing = now
}

// wrote notes that k bytes more of a delivery were taken.
func (d *downloads) wrote(x *delivery, k int) {
	if x == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x.writing = time.Time{}
	x.left -= k
	d.admit()
}

// over ends the delivery of an answer, whole or not.
func (d *downloads) over(a *answer) {
	if a.owed == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owed = slices.DeleteFunc(d.owed, func(x *delivery) bool { return x == a.owed })
	d.admit()
}

// stop tells when a planned stop ends: who would not be answered by then starts no more.
func (d *downloads) stop(end time.Time) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopEnd = end
	d.admit()
}

// places taken, for tests and reports.
func (d *downloads) taken() int {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}
