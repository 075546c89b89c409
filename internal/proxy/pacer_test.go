package proxy

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// TestBulk checks that all large bodies together use only their share of a narrow link, that
// small bodies and those on wide links are not delayed, and that no wait exceeds its deadline.
func TestBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{clock: clock.Wall{}}
		later := time.Now().Add(time.Hour)
		transfer := func(b bodyPacer, size, writers int) time.Duration {
			began := time.Now()
			done := make(chan bool)
			for range writers {
				go func() {
					for left := size; left > 0; left -= largeBodyStep {
						b.wait(size, min(left, largeBodyStep), later)
					}
					done <- true
				}()
			}
			for range writers {
				<-done
			}
			return time.Since(began)
		}
		for _, mbps := range []float64{0, wideLinkMbps, 1000} {
			if d := transfer(newBodyPacer(n, mbps), 1<<20, 3); d != 0 {
				t.Errorf("%v Mbit/s: waited %v", mbps, d)
			}
		}
		b := newBodyPacer(n, 3.2)
		if d := transfer(b, largeBodySize-1, 20); d != 0 {
			t.Errorf("small bodies waited %v", d)
		}
		for _, writers := range []int{1, 4} {
			time.Sleep(time.Minute)
			size := 240_000
			want := time.Duration(float64(writers*size-2*largeBodyStep) / (largeBodyShare * 400_000) * float64(time.Second))
			if d := transfer(b, size, writers); d < want*98/100 || d > want*102/100 {
				t.Errorf("%d at once took %v, want about %v", writers, d, want)
			}
		}
		for mbps, want := range map[float64]float64{2: 1.2, 3.2: 1.92, 4.8: 3.52, 10: 8.72} {
			if got := largeBodyMbps(mbps); math.Abs(got-want) > 1e-9 {
				t.Errorf("%v of %v Mbit/s, want %v", got, mbps, want)
			}
			time.Sleep(time.Minute)
			size := 1 << 20
			want := time.Duration(float64(size-2*largeBodyStep) / (want * 1e6 / 8) * float64(time.Second))
			if d := transfer(newBodyPacer(n, mbps), size, 2); d < 2*want*98/100 || d > 2*want*102/100 {
				t.Errorf("%v Mbit/s: took %v, want about %v", mbps, d, 2*want)
			}
		}
		began := time.Now()
		for range 1000 {
			b.wait(1<<20, largeBodyStep, began.Add(300*time.Millisecond))
		}
		if d := time.Since(began); d > 300*time.Millisecond {
			t.Errorf("waited %v, past the deadline", d)
		}
	})
}
