package ledger

import (
	"fmt"
	"testing"

	"walkrudder/internal/spec"
)

func putService(n uint64, name string) Change {
	return Change{Version: n, Token: fmt.Sprint("t", n), Edits: []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: name}}}}
}

func TestFoldTakesChangesInOrderOnly(t *testing.T) {
	state := &State{tokens: map[string]uint64{}}
	for i := range 3 {
		if err := state.apply(putService(uint64(i+1), fmt.Sprint("s", i))); err != nil {
			t.Fatal(err)
		}
	}
	if state.Version != 3 || len(state.Sheet.Services) != 3 {
		t.Fatalf("%+v", state)
	}
	if n, ok := state.TokenVersion("t2"); !ok || n != 2 {
		t.Errorf("token t2 is at %d, %v", n, ok)
	}
	if state.apply(putService(5, "gap")) == nil {
		t.Error("a change was applied across a gap")
	}
	bad := putService(4, "x")
	bad.Edits[0].Service.Name = "Not A Name"
	if state.apply(bad) == nil || state.Version != 3 {
		t.Error("a change with an invalid edit was applied")
	}
	// Replay can start only at the first change or at one that carries the full sheet.
	withSheet := putService(64, "y")
	withSheet.Sheet = &spec.Sheet{Services: []spec.Service{{Name: "y"}}}
	replayed := &State{tokens: map[string]uint64{}}
	if replayed.apply(putService(64, "y")) == nil {
		t.Error("replay started at a change without the full sheet")
	}
	if err := replayed.apply(withSheet); err != nil || replayed.Version != 64 || len(replayed.Sheet.Services) != 1 {
		t.Errorf("%+v %v", replayed, err)
	}
}

func TestForceNeedsMoreThanHalf(t *testing.T) {
	activation := Activation{Gateways: []string{"a", "b", "c", "d"}}
	for want, ids := range map[bool][]string{false: {"a", "b", "x", "y"}, true: {"a", "b", "c"}} {
		if activation.HasMajority(ids) != want {
			t.Errorf("%v of %v: %v", ids, activation.Gateways, !want)
		}
	}
	if !(Activation{}).HasMajority(nil) {
		t.Error("no majority without voting gateways, want one")
	}
}
