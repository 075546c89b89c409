package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// Remaining must equal the number of sends that can be taken, also if called repeatedly; it must take none.
func TestLeftIsWhatCanBeTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, clock.Wall{})
		a := b.ForService("s")
		if n := a.Remaining(); n != 0 {
			t.Errorf("%d remaining in a new account", n)
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
			t.Error("no send was ever available")
		}
	})
}

// Where limits are rounded randomly, Remaining must use the same random number as a send.
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
			for range 12 { // half an extra send
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
			t.Error("no limit was ever rounded up")
		}
	})
}
