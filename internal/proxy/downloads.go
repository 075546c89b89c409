package proxy

import (
	"math"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/clock"
)

const (
	// mbpsPerDownload is the link rate that each concurrent download should get.
	mbpsPerDownload = 1.6
	// pendingShare limits the pending bodies: another download starts only if all of them can be
	// written within this part of a planned stop's time. The rest is for the target's processing
	// time, for bodies larger than the mean, and for callers that read slowly.
	pendingShare = 0.5
	// finishMargin is the minimum time between the expected end of an answer and that of a planned stop.
	finishMargin = 300 * time.Millisecond
	// initialMeanSize and initialMaxSize are the estimates before any body was seen.
	initialMeanSize, initialMaxSize = 64 << 10, 256 << 10
	// meanSizeWindow and maxSizeWindow are the numbers of bodies over which the mean and the largest size are averaged.
	meanSizeWindow, maxSizeWindow = 16, 64
	// stalledWriteAge is the duration of a write after which the caller counts as not reading. Its pending
	// bytes are then ignored, because they no longer use the paced rate.
	stalledWriteAge = 500 * time.Millisecond
	// queuePollInterval is how often queued downloads check for stalled writes.
	queuePollInterval = 100 * time.Millisecond
)

// downloadLimiter decides when a download may start on a narrow link (design 24.9). A download
// starts only if a planned stop beginning now could still write its answer: a request that was sent
// to a target must be answered completely, and the time that takes follows from the known link rate.
//
// A slot is held from the start until the body was received from the target, and then released:
// a slow reader would throttle the sender only once the TCP window is full, and many windows make
// a long queue on the link to this machine. A received body is pending until it was written.
type downloadLimiter struct {
	clock          clock.Clock
	maxActive      int
	bytesPerSecond float64 // rate of large bodies to callers
	maxPending     float64 // total bytes that may be pending with one more download

	mu           sync.Mutex
	active       int // slots in use
	starting     int // downloads started whose size is not known yet
	deliveries   []*delivery
	queue        []*downloadWaiter
	meanSize     float64 // of recent bodies
	maxSize      float64 // of recent bodies, slowly decaying
	stopDeadline time.Time
}

// delivery is a large body being written to a caller.
type delivery struct {
	remaining    int
	writeStarted time.Time // of the write in progress; zero if there is none
}

// downloadWaiter is a queued download.
type downloadWaiter struct {
	targetTime time.Duration // expected processing time at the target
	result     chan bool     // receives one value: whether the download starts
}

// newDownloadLimiter returns nil for a link on which large bodies do not delay others.
func newDownloadLimiter(c clock.Clock, mbps float64, stopTime time.Duration) *downloadLimiter {
	if mbps <= 0 || mbps >= wideLinkMbps {
		return nil
	}
	rate := largeBodyMbps(mbps) * 1e6 / 8
	return &downloadLimiter{clock: c, maxActive: max(2, int(mbps/mbpsPerDownload)), bytesPerSecond: rate, maxPending: rate * pendingShare * stopTime.Seconds(),
		meanSize: initialMeanSize, maxSize: initialMaxSize}
}

// acquire waits for a slot for at most the time wait, and reports whether it got one. It returns false at
// once if a planned stop leaves too little time.
func (d *downloadLimiter) acquire(wait, targetTime time.Duration) bool {
	if d == nil {
		return true
	}
	waiter := &downloadWaiter{targetTime: targetTime, result: make(chan bool, 1)}
	until := d.clock.Now().Add(wait)
	d.mu.Lock()
	d.queue = append(d.queue, waiter)
	d.admit()
	d.mu.Unlock()
	for {
		left := until.Sub(d.clock.Now())
		c, stop := d.clock.After(min(left, queuePollInterval))
		select {
		case ok := <-waiter.result:
			stop()
			return ok
		case <-c:
		}
		d.mu.Lock()
		d.admit()
		i := slices.Index(d.queue, waiter)
		if i >= 0 && left <= queuePollInterval {
			d.queue = slices.Delete(d.queue, i, i+1)
			d.mu.Unlock()
			return false
		}
		d.mu.Unlock()
	}
}

// admit starts queued downloads in order of arrival, and rejects those for which a planned stop leaves too
// little time. Under mu.
func (d *downloadLimiter) admit() {
	now := d.clock.Now()
	pending := d.pendingBytes(now)
	for len(d.queue) > 0 && d.canFinish(d.queue[0], 0, pending, now) && d.canStart(pending) {
		d.queue[0].result <- true
		d.queue = d.queue[1:]
		d.active++
		d.starting++
	}
	before := 0
	d.queue = slices.DeleteFunc(d.queue, func(w *downloadWaiter) bool {
		if d.canFinish(w, before, pending, now) {
			before++
			return false
		}
		w.result <- false
		return true
	})
}

// canStart reports whether one more download may start with so many bytes pending.
func (d *downloadLimiter) canStart(pending float64) bool {
	if d.active >= d.maxActive {
		return false
	}
	return pending == 0 && d.starting == 0 || pending+d.meanSize*float64(d.starting+1) <= d.maxPending
}

// canFinish reports whether a download that starts after the given number of others will be answered
// before the planned stop ends; true if no stop is in progress.
func (d *downloadLimiter) canFinish(w *downloadWaiter, before int, pending float64, now time.Time) bool {
	if d.stopDeadline.IsZero() {
		return true
	}
	bytes := pending + d.meanSize*float64(d.starting+before) + d.maxSize
	needed := w.targetTime + time.Duration(bytes/d.bytesPerSecond*float64(time.Second)) + finishMargin
	return !now.Add(needed).After(d.stopDeadline)
}

// pendingBytes is the number of bytes still to be written to callers that are reading. Under mu.
func (d *downloadLimiter) pendingBytes(now time.Time) float64 {
	sum := 0
	for _, x := range d.deliveries {
		if x.writeStarted.IsZero() || now.Sub(x.writeStarted) < stalledWriteAge {
			sum += x.remaining
		}
	}
	return float64(sum)
}

// release returns a slot.
func (d *downloadLimiter) release() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.admit()
}

// answerReceived records that a started download has its answer, and begins its delivery.
func (d *downloadLimiter) answerReceived(a *answer) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starting--
	if a.status < 300 {
		size := float64(a.bodySize())
		d.meanSize += (size - d.meanSize) / meanSizeWindow
		d.maxSize = math.Max(size, d.maxSize*(1-1.0/maxSizeWindow))
	}
	d.addDelivery(a)
	d.admit()
}

// startDelivery begins the delivery of an answer if it is large and was not begun before.
func (d *downloadLimiter) startDelivery(a *answer) {
	if d == nil || a.pendingDelivery != nil || a.bodySize() < largeBodySize {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addDelivery(a)
}

// addDelivery records a large body as pending. Under mu.
func (d *downloadLimiter) addDelivery(a *answer) {
	if size := a.bodySize(); size >= largeBodySize {
		a.pendingDelivery = &delivery{remaining: size}
		d.deliveries = append(d.deliveries, a.pendingDelivery)
	}
}

// writeBegins records that a write of a delivery begins.
func (d *downloadLimiter) writeBegins(x *delivery, now time.Time) {
	if x == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x.writeStarted = now
}

// writeDone records that k more bytes of a delivery were accepted.
func (d *downloadLimiter) writeDone(x *delivery, k int) {
	if x == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x.writeStarted = time.Time{}
	x.remaining -= k
	d.admit()
}

// endDelivery ends the delivery of an answer, complete or not.
func (d *downloadLimiter) endDelivery(a *answer) {
	if a.pendingDelivery == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliveries = slices.DeleteFunc(d.deliveries, func(x *delivery) bool { return x == a.pendingDelivery })
	d.admit()
}

// setStopDeadline sets the end of a planned stop: downloads that would not be answered by then no longer start.
func (d *downloadLimiter) setStopDeadline(end time.Time) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopDeadline = end
	d.admit()
}

// activeCount returns the number of slots in use, for tests and reports.
func (d *downloadLimiter) activeCount() int {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}
