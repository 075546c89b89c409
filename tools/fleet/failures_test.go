package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"

	"walkrudder/tools/stand"
)

// The fleet can inject every failure of the list that it shares with the simulator, except those
// that are marked as simulator-only.
func TestFailuresAreAllBroughtAbout(t *testing.T) {
	actions := failureActions(context.Background(), &stand.Deployment{Relays: stand.NewRelays()}, rand.New(rand.NewPCG(1, 1)))
	for _, n := range stand.Failures {
		if (actions[n] == nil) != slices.Contains(stand.SimulatorOnly, n) {
			t.Errorf("%s: injected by the fleet %v, marked as simulator-only %v", n, actions[n] != nil, actions[n] == nil)
		}
	}
	if len(actions)+len(stand.SimulatorOnly) != len(stand.Failures) {
		t.Errorf("%d failures and %d simulator-only ones, the list has %d", len(actions), len(stand.SimulatorOnly), len(stand.Failures))
	}
}
