package quorum

import (
	"context"
	"encoding/json"
	"testing"

	"walkrudder/internal/link"
)

// After a core was abandoned for another, no majority can be sealed for it, however late the seal
// requests arrive. Seats sealed for the new core accept no other successor of their old epoch.
func TestASealOfAGivenUpCoreIsRefused(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(ctx, t)
		for _, id := range []string{"a", "b", "c", "x", "y"} {
			c.boot(id, "", nil)
		}
		core := c.formCore("a", "b", "c")
		successor := func(epoch uint64, id string) Core {
			return Core{Epoch: epoch, After: core.Epoch, Before: core.Seats, Seats: []Seat{core.Seats[0], core.Seats[1], c.node(id).seat}}
		}
		decide := func(next Core) Core {
			t.Helper()
			raw, err := json.Marshal(next)
			if err != nil {
				t.Fatal(err)
			}
			held, err := c.node("a").proposer.ChangeIn(ctx, core, coreRegister, func([]byte) ([]byte, error) { return raw, nil })
			if err != nil {
				t.Fatal(err)
			}
			chosen, err := chosenCore(held)
			if err != nil {
				t.Fatal(err)
			}
			return chosen
		}
		sealed := func(id string, next Core) bool {
			t.Helper()
			r, err := link.Call[SealTold](ctx, nodeTransport{c, "x"}, c.node(id).seat.Addr, SealAsk{Next: next})
			if err != nil {
				t.Fatal(err)
			}
			return r.OK
		}
		first := decide(successor(2, "x"))
		second := decide(successor(3, "y"))
		granted := 0
		for _, id := range []string{"a", "b", "c"} {
			if sealed(id, first) {
				granted++
			}
		}
		if granted >= core.BlockingSize() {
			t.Errorf("%d seats were sealed for an abandoned core", granted)
		}
		for _, id := range []string{"a", "b"} {
			if !sealed(id, second) {
				t.Errorf("%s was not sealed for the core in force", id)
			}
		}
		if _, err := c.node("b").proposer.ChangeIn(ctx, core, coreRegister, func(old []byte) ([]byte, error) { return old, nil }); err == nil {
			t.Error("sealed seats decided on another successor of their old epoch")
		}
	})
}
