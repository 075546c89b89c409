package item

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func route(name string, version uint64, body string) Item {
	return Item{Key: Key{Route, name}, Version: version, Body: []byte(body)}
}

func tombstone(name string, version uint64) Item {
	return Item{Key: Key{Route, name}, Version: version, Gone: true}
}

func equal(a, b Item) bool {
	return a.Key == b.Key && a.Version == b.Version && a.Gone == b.Gone && bytes.Equal(a.Body, b.Body)
}

func TestMergeKeepsTheHighestVersion(t *testing.T) {
	s := NewSet()
	for _, c := range []struct {
		in    Item
		isNew bool
	}{
		{route("a", 3, "x"), true},
		{route("a", 3, "x"), false},
		{route("a", 2, "y"), false},
		{tombstone("a", 2), false},
		{route("b", 0, ""), true},
		{route("b", 0, ""), false},
		{tombstone("a", 5), true},
		{route("a", 4, "x"), false},
		{tombstone("a", 5), false},
		{route("a", 6, "z"), true},
		{Item{Key: Key{Service, "a"}, Version: 1}, true},
	} {
		if got := s.Merge(c.in); got != c.isNew {
			t.Fatalf("%v: Merge returned %v, want %v", c.in, got, c.isNew)
		}
	}
	if got, ok := s.Get(Key{Route, "a"}); !ok || !equal(got, route("a", 6, "z")) {
		t.Errorf("Get returned %v %v", got, ok)
	}
	if _, ok := s.Get(Key{Limits, "a"}); ok {
		t.Error("Get found an item that was never merged")
	}
	if s.Len() != 3 {
		t.Errorf("%d items", s.Len())
	}
}

func TestDroppedItemsAreRemembered(t *testing.T) {
	s := NewSet()
	in := tombstone("a", 5)
	in.Body = []byte("a body that a dropped item has no use for")
	s.Merge(in)
	if s.Merge(route("a", 4, "x")) {
		t.Error("an older version replaced a tombstone")
	}
	if it, ok := s.Get(Key{Route, "a"}); !ok || !it.Gone || it.Body != nil {
		t.Errorf("Get returned %v %v", it, ok)
	}
	if all := slices.Collect(s.All()); len(all) != 1 || !all[0].Gone {
		t.Errorf("all: %v", all)
	}
}

// Sets converge regardless of the order in which items arrive, also if one version has two
// contents.
func TestMergeInAnyOrderEndsAlike(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var items []Item
	for i := range 300 {
		it := route(fmt.Sprint(i%20), uint64(rng.IntN(5)), fmt.Sprint(rng.IntN(4)))
		if rng.IntN(4) == 0 {
			it = tombstone(it.Name, it.Version)
		}
		items = append(items, it)
	}
	var want *Set
	for range 20 {
		s := NewSet()
		for _, it := range items {
			s.Merge(it)
		}
		if want == nil {
			want = s
		}
		for it := range want.All() {
			if got, ok := s.Get(it.Key); !ok || !equal(got, it) {
				t.Fatalf("sets differ: %v and %v", got, it)
			}
		}
		rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	}
}

// A follower that pages through the changes while further changes are made ends with the
// same items and receives the newest content of each change.
func TestSinceBringsAFollowerUpToDate(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	s, follower := NewSet(), NewSet()
	seen := uint64(0)
	for step := range 5000 {
		it := route(fmt.Sprint(rng.IntN(50)), uint64(step/3), fmt.Sprint(step))
		if rng.IntN(5) == 0 {
			it = tombstone(it.Name, it.Version)
		}
		s.Merge(it)
		if rng.IntN(10) > 0 {
			continue
		}
		items, upTo, more := s.Since(seen, 1+rng.IntN(8), 0)
		if more != (upTo < s.Seq()) {
			t.Fatalf("more %v at %d of %d", more, upTo, s.Seq())
		}
		for _, it := range items {
			if current, _ := s.Get(it.Key); !equal(current, it) {
				t.Fatalf("Since returned %v, but the set holds %v", it, current)
			}
			if !follower.Merge(it) {
				t.Fatalf("Since returned %v twice", it)
			}
		}
		seen = upTo
	}
	for more := true; more; {
		var items []Item
		items, seen, more = s.Since(seen, 7, 0)
		for _, it := range items {
			follower.Merge(it)
		}
	}
	if follower.Len() != s.Len() {
		t.Fatalf("%d of %d items", follower.Len(), s.Len())
	}
	for it := range s.All() {
		if got, _ := follower.Get(it.Key); !equal(got, it) {
			t.Errorf("%v, want %v", got, it)
		}
	}
}

func TestSinceKeepsOrderAndBounds(t *testing.T) {
	s := NewSet()
	for _, n := range []string{"a", "b", "c"} {
		s.Merge(route(n, 1, "0123456789"))
	}
	s.Merge(route("a", 2, "0123456789"))
	names := func(items []Item) (list string) {
		for _, it := range items {
			list += it.Name
		}
		return list
	}
	size := itemOverhead + 11
	for _, c := range []struct {
		seq          uint64
		items, bytes int
		want         string
		upTo         uint64
		more         bool
	}{
		{0, 0, 0, "bca", 4, false},
		{0, 3, 0, "bca", 4, false},
		{0, 2, 0, "bc", 3, true},
		{2, 0, 0, "ca", 4, false},
		{3, 0, 0, "a", 4, false},
		{4, 0, 0, "", 4, false},
		{0, 0, 1, "b", 2, true},
		{0, 0, 2 * size, "bc", 3, true},
		{0, 0, 2*size - 1, "b", 2, true},
		{99, 0, 0, "bca", 4, false}, // a sequence number of another set
	} {
		items, upTo, more := s.Since(c.seq, c.items, c.bytes)
		if names(items) != c.want || upTo != c.upTo || more != c.more {
			t.Errorf("since %d (%d, %d): %s %d %v, want %s %d %v",
				c.seq, c.items, c.bytes, names(items), upTo, more, c.want, c.upTo, c.more)
		}
	}
	if items, upTo, more := NewSet().Since(0, 1, 1); items != nil || upTo != 0 || more {
		t.Errorf("an empty set returns %v %d %v", items, upTo, more)
	}
}

func TestLogFollowsTheNumberOfItems(t *testing.T) {
	s := NewSet()
	for i := range 100_000 {
		s.Merge(route(fmt.Sprint(i%10), uint64(i), ""))
		if len(s.log) > 2*s.Len()+logSlack {
			t.Fatalf("the log holds %d changes of %d items", len(s.log), s.Len())
		}
	}
}

func TestAllBearsChangesOnItsWay(t *testing.T) {
	s := NewSet()
	for i := range 100 {
		s.Merge(route(fmt.Sprint(i), 1, ""))
	}
	visited := map[string]int{}
	v := uint64(2)
	for it := range s.All() {
		visited[it.Name]++
		for i := range 10 {
			s.Merge(route(fmt.Sprint("new", i), v, ""))
		}
		v++
	}
	for i := range 100 {
		if visited[fmt.Sprint(i)] != 1 {
			t.Fatalf("item %d was visited %d times", i, visited[fmt.Sprint(i)])
		}
	}
}

func BenchmarkSinceOneOf6600(b *testing.B) {
	s := NewSet()
	for i := range 6600 {
		s.Merge(route(fmt.Sprint(i), 1, ""))
	}
	b.ReportAllocs()
	v := uint64(2)
	for b.Loop() {
		seen := s.Seq()
		s.Merge(route("17", v, ""))
		v++
		if items, _, _ := s.Since(seen, 100, 0); len(items) != 1 {
			b.Fatal(items)
		}
	}
}
