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
		a := b.Of("s")
		if n := a.Left(); n != 0 {
			t.Errorf("%d left of nothing", n)
		}
		some := false
		for step := range 300 {
			b.SetNodes(3)
			for range step % 7 {
				a.First()
			}
			if step%40 == 0 {
				left, taken := a.Left(), 0
				if again := a.Left(); again != left {
					t.Fatalf("%d left, then %d", left, again)
				}
				for a.Extra() {
					taken++
				}
				if taken != left {
					t.Errorf("step %d: %d left, %d taken", step, left, taken)
				}
				some = some || taken > 0
				if n := a.Left(); n != 0 {
					t.Errorf("%d left after all was taken", n)
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !some {
			t.Error("nothing was ever left")
		}
	})
}

// Where sums are rounded by lot, what is left is told under the lot that a send would have.
func TestLeftKnowsTheLot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		some := false
		for range 40 {
			b := New(ratio, window, slack, clock.Wall{})
			a := b.Of("s")
			for range 20 {
				b.SetNodes(680)
				a.First()
				time.Sleep(time.Second)
				a.Extra()
			}
			for range 12 { // half a send more
				a.First()
			}
			left, taken := a.Left(), 0
			for a.Extra() {
				taken++
			}
			if taken != left {
				t.Fatalf("%d left, %d taken", left, taken)
			}
			some = some || taken > 0
		}
		if !some {
			t.Error("no lot ever rounded up")
		}
	})
}
