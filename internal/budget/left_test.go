package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/pulse"
)

// What is left is what can be taken, whatever was asked before; looking takes nothing.
func TestLeftIsWhatCanBeTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, pulse.Wall{})
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
