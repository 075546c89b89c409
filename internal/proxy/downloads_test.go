package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// stopTime is the stop timeout of a node with default settings.
const stopTime = 5700 * time.Millisecond

// largeAnswer returns a successful answer with a body of the given size.
func largeAnswer(size int) *answer { return &answer{status: 200, body: make([]byte, size)} }

// TestDownloadPlaces checks that the number of concurrent downloads on a narrow link is bounded, and that a
// download that gets no slot is refused in time.
func TestDownloadPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := clock.Wall{}
		if newDownloadLimiter(w, 0, stopTime) != nil || newDownloadLimiter(w, wideLinkMbps, stopTime) != nil || newDownloadLimiter(w, 1, stopTime).maxActive != 2 || newDownloadLimiter(w, 16, stopTime).maxActive != 10 {
			t.Error("wrong number of slots")
		}
		d := newDownloadLimiter(w, 3.2, stopTime)
		for range 2 {
			if !d.acquire(0, 0) {
				t.Fatal("no slot")
			}
		}
		began := time.Now()
		if d.acquire(300*time.Millisecond, 0) || time.Since(began) != 300*time.Millisecond {
			t.Errorf("a third download started, or was refused after %v", time.Since(began))
		}
		go func() {
			time.Sleep(150 * time.Millisecond)
			d.release()
		}()
		if began = time.Now(); !d.acquire(300*time.Millisecond, 0) || time.Since(began) != 150*time.Millisecond {
			t.Errorf("a released slot was not assigned in time, waited %v", time.Since(began))
		}
		var wide *downloadLimiter
		for range 100 {
			if !wide.acquire(0, 0) {
				t.Fatal("a wide link must not limit downloads")
			}
		}
		wide.release()
	})
}

// TestDownloadsOwed checks that no download starts while more bytes are pending than can be written during a
// planned stop, and that a caller that does not read delays no other.
func TestDownloadsOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDownloadLimiter(clock.Wall{}, 3.2, stopTime)
		var all []*answer
		for d.acquire(0, 0) {
			a := largeAnswer(120_000)
			d.answerReceived(a)
			d.release()
			all = append(all, a)
			if len(all) > 100 {
				t.Fatal("more than 100 downloads started")
			}
		}
		pending := 0
		for _, a := range all {
			pending += a.pendingDelivery.remaining
		}
		// The last one may be larger than the mean with which it was admitted.
		if most := int(d.maxPending); pending > most+120_000 || pending < most-120_000 {
			t.Errorf("%d bytes pending, limit %d", pending, most)
		}
		began := time.Now()
		go func() {
			time.Sleep(150 * time.Millisecond)
			d.endDelivery(all[0])
		}()
		if !d.acquire(time.Second, 0) || time.Since(began) != 150*time.Millisecond {
			t.Errorf("not started after %v", time.Since(began))
		}
		d.writeBegins(all[1].pendingDelivery, time.Now())
		began = time.Now()
		if !d.acquire(time.Second, 0) || time.Since(began) > stalledWriteAge+queuePollInterval {
			t.Errorf("held up by a caller that does not read for %v", time.Since(began))
		}
	})
}

// TestDownloadsBeforeStop checks that once a stop has begun only downloads start that will be answered before
// it ends, and that the others are refused at once.
func TestDownloadsBeforeStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDownloadLimiter(clock.Wall{}, 3.2, stopTime)
		for range d.maxActive {
			if !d.acquire(0, 0) {
				t.Fatal("no slot")
			}
		}
		type decision struct {
			ok    bool
			after time.Duration
		}
		enqueue := func() chan decision {
			c := make(chan decision, 1)
			began := time.Now()
			go func() { c <- decision{d.acquire(3*time.Second, 0), time.Since(began)} }()
			synctest.Wait()
			return c
		}
		long := enqueue()
		time.Sleep(time.Second)
		// Long enough for the downloads in progress, but for no further one.
		d.setStopDeadline(time.Now().Add(time.Second))
		if got := <-long; got.ok || got.after != time.Second {
			t.Errorf("queued before the stop: %+v", got)
		}
		if got := <-enqueue(); got.ok || got.after != 0 {
			t.Errorf("queued after the stop began: %+v", got)
		}
		d.setStopDeadline(time.Now().Add(5 * time.Second))
		free := enqueue()
		d.release()
		if got := <-free; !got.ok || got.after != 0 {
			t.Errorf("with enough time left: %+v", got)
		}
	})
}
