package proxy

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// TestBulk: large bodies use a part of a narrow link together, however many they are;
// small ones and those on wide links pass at once, and nobody waits past his deadline.
func TestBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{clock: clock.Wall{}}
		far := time.Now().Add(time.Hour)
		pass := func(b bulk, size, writers int) time.Duration {
			began := time.Now()
			done := make(chan bool)
			for range writers {
				go func() {
					for left := size; left > 0; left -= bulkStep {
						b.wait(size, min(left, bulkStep), far)
					}
					done <- true
				}()
			}
			for range writers {
				<-done
			}
			return time.Since(began)
		}
		for _, mbps := range []float64{0, wideMbps, 1000} {
			if d := pass(newBulk(n, mbps), 1<<20, 3); d != 0 {
				t.Errorf("%v Mbit/s: waited %v", mbps, d)
			}
		}
		b := newBulk(n, 3.2)
		if d := pass(b, bulkFrom-1, 20); d != 0 {
			t.Errorf("small bodies waited %v", d)
		}
		for _, writers := range []int{1, 4} {
			time.Sleep(time.Minute)
			size := 240_000
			want := time.Duration(float64(writers*size-2*bulkStep) / (bulkPart * 400_000) * float64(time.Second))
			if d := pass(b, size, writers); d < want*98/100 || d > want*102/100 {
				t.Errorf("%d at once took %v, want about %v", writers, d, want)
			}
		}
		for mbps, want := range map[float64]float64{2: 1.2, 3.2: 1.92, 4.8: 3.52, 10: 8.72} {
			if got := bulkMbps(mbps); math.Abs(got-want) > 1e-9 {
				t.Errorf("%v of %v Mbit/s, want %v", got, mbps, want)
			}
			time.Sleep(time.Minute)
			size := 1 << 20
			want := time.Duration(float64(size-2*bulkStep) / (want * 1e6 / 8) * float64(time.Second))
			if d := pass(newBulk(n, mbps), size, 2); d < 2*want*98/100 || d > 2*want*102/100 {
				t.Errorf("%v Mbit/s: took %v, want about %v", mbps, d, 2*want)
			}
		}
		began := time.Now()
		for range 1000 {
			b.wait(1<<20, bulkStep, began.Add(300*time.Millisecond))
		}
		if d := time.Since(began); d > 300*time.Millisecond {
			t.Errorf("held for %v past the deadline", d)
		}
	})
}
