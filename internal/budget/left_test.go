package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// What is left is what can be taken, whatever was asked before; looking takes nothing.
func TestLeftIsWhatCanBeTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, clock.Wall{})
		a := b.ForService("s")
		if n := a.Remaining(); n != 0 {
			t.Errorf("%d left of nothing", n)
		}
		anyTaken := false
		for step := range 300 {
			b.SetNodes(3)
			for range step % 7 {
				a.RecordRequest()
			}
			if step%40 == 0 {
				left, taken := a.Remaining(), 0
				if again := a.Remaining(); again != left {
					t.Fatalf("%d left, then %d", left, again)
				}
				for a.TryExtraSend() {
					taken++
				}
				if taken != left {
					t.Errorf("step %d: %d left, %d taken", step, left, taken)
				}
				anyTaken = anyTaken || taken > 0
				if n := a.Remaining(); n != 0 {
					t.Errorf("%d left after all was taken", n)
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !anyTaken {
			t.Error("nothing was ever left")
		}
	})
}

// Where sums are rounded by lot, what is left is told under the lot that a send would have.
func TestLeftKnowsTheLot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		anyTaken := false
		for range 40 {
			b := New(ratio, window, slack, clock.Wall{})
			a := b.ForService("s")
			for range 20 {
				b.SetNodes(680)
				a.RecordRequest()
				time.Sleep(time.Second)
				a.TryExtraSend()
			}
			for range 12 { // half a send more
				a.RecordRequest()
			}
			left, taken := a.Remaining(), 0
			for a.TryExtraSend() {
				taken++
			}
			if taken != left {
				t.Fatalf("%d left, %d taken", left, taken)
			}
			anyTaken = anyTaken || taken > 0
		}
		if !anyTaken {
			t.Error("no lot ever rounded up")
		}
	})
}
