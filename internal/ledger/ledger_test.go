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
	f := &State{tokens: map[string]uint64{}}
	for i := range 3 {
		if err := f.apply(putService(uint64(i+1), fmt.Sprint("s", i))); err != nil {
			t.Fatal(err)
		}
	}
	if f.Version != 3 || len(f.Sheet.Services) != 3 {
		t.Fatalf("%+v", f)
	}
	if n, ok := f.Token("t2"); !ok || n != 2 {
		t.Errorf("token t2 is at %d, %v", n, ok)
	}
	if f.apply(putService(5, "gap")) == nil {
		t.Error("a change was applied across a gap")
	}
	bad := putService(4, "x")
	bad.Edits[0].Service.Name = "Not A Name"
	if f.apply(bad) == nil || f.Version != 3 {
		t.Error("a change with an invalid edit was applied")
	}
	// Replay can start only at the first change or at one that carries the full sheet.
	whole := putService(64, "y")
	whole.Sheet = &spec.Sheet{Services: []spec.Service{{Name: "y"}}}
	g := &State{tokens: map[string]uint64{}}
	if g.apply(putService(64, "y")) == nil {
		t.Error("replay started at a change without the full sheet")
	}
	if err := g.apply(whole); err != nil || g.Version != 64 || len(g.Sheet.Services) != 1 {
		t.Errorf("%+v %v", g, err)
	}
}

func TestForceNeedsMoreThanHalf(t *testing.T) {
	f := Activation{Gateways: []string{"a", "b", "c", "d"}}
	for want, ids := range map[bool][]string{false: {"a", "b", "x", "y"}, true: {"a", "b", "c"}} {
		if f.HasMajority(ids) != want {
			t.Errorf("%v of %v: %v", ids, f.Gateways, !want)
		}
	}
	if !(Activation{}).HasMajority(nil) {
		t.Error("no majority without gateways that count, want one")
	}
}
