package model

import (
	"testing"

	"walkrudder/internal/quorum"
)

// A seat change is decided in favour of a spare disk. Before it is carried out, that disk and the
// disk of one seat are lost, so the decided core can never vote: another core must replace it.
func TestASwapForALostDiskIsGivenUp(t *testing.T) {
	dropSeals := true
	s := Scenario{Name: "a swap for a lost disk", Seats: 3, Spares: 1,
		Actors: []Actor{Script("losses", SubmitChange("a", RouteChange(2, "a", "r"), "n2"), TogglePartition("n1"), Reconfigure("n2"), LoseDisk("n4"), TogglePartition("n1"), LoseDisk("n3"),
			Inject("nothing is held up any more", func(*World) { dropSeals = false }))},
		Prepare: func(w *World) {
			// The seal requests that carry out the seat change are not answered.
			w.Tamper = func(_, _ string, ask any) (any, any, bool) {
				if a, ok := ask.(quorum.SealAsk); ok && dropSeals && a.Next.Epoch > 1 {
					return ask, quorum.SealTold{}, true
				}
				return ask, nil, false
			}
		}}
	if c := Replay(bubble(t), s, nil); c != nil {
		t.Errorf("%s after %d steps", c.Violation, len(c.Steps))
	}
}
