package model

import (
	"testing"

	"walkrudder/internal/quorum"
)

// A swap is decided for a disk that stands by, and before anybody carried it out that disk and
// one of a seat are lost: the decided core can never vote. Another must take its place.
func TestASwapForALostDiskIsGivenUp(t *testing.T) {
	held := true
	s := Scenario{Name: "a swap for a lost disk", Seats: 3, Spares: 1,
		Actors: []Actor{Script("losses", Order("a", To(2, "a", "r"), "n2"), TurnCut("n1"), Reconfigure("n2"), Lose("n4"), TurnCut("n1"), Lose("n3"),
			Happen("nothing is held up any more", func(*World) { held = false }))},
		Plant: func(w *World) {
			// What carries the swap out is held up.
			w.Tamper = func(_, _ string, ask any) (any, any, bool) {
				if a, ok := ask.(quorum.SealAsk); ok && held && a.Next.Epoch > 1 {
					return ask, quorum.SealTold{}, true
				}
				return ask, nil, false
			}
		}}
	if c := Replay(bubble(t), s, nil); c != nil {
		t.Errorf("%s after %d steps", c.Broken, len(c.Steps))
	}
}
