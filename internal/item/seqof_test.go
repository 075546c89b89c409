package item

import "testing"

func TestSeqOfIsTheLastChanges(t *testing.T) {
	s := NewSet()
	for _, i := range []Item{route("a", 1, "x"), route("b", 1, "x"), route("a", 2, "x"), route("a", 1, "late")} {
		s.Merge(i)
	}
	for name, want := range map[string]uint64{"a": 3, "b": 2, "c": 0} {
		if got := s.SeqOf(Key{Route, name}); got != want {
			t.Errorf("%s changed last at %d, want %d", name, got, want)
		}
	}
}
