package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"walkrudder/internal/item"
)

func routeAt(name string, version uint64, host, prefix string, services ...string) item.Item {
	r := Route{Name: name, Version: version, Host: host, Prefix: prefix, Repeat: AtMostOnce}
	for _, s := range services {
		r.Shares = append(r.Shares, Share{s, 1})
	}
	return r.Item()
}

func service(name string, version uint64) item.Item {
	return Service{Name: name, Version: version, Health: "/health"}.Item()
}

func tombstone(k item.Kind, name string, version uint64) item.Item {
	return item.Item{Key: item.Key{Kind: k, Name: name}, Version: version, Gone: true}
}

func validatorWith(t testing.TB, items ...item.Item) *Validator {
	t.Helper()
	b := NewValidator()
	for _, it := range items {
		if err := b.Apply(it); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func TestBookProblems(t *testing.T) {
	declared := []item.Item{
		service("s1", 5), service("s2", 5), service("idle", 5), tombstone(item.Service, "old", 5),
		routeAt("r1", 5, "a.example", "/x/", "s1"),
		routeAt("r2", 5, "a.example", "/y/", "s1", "s2"),
		tombstone(item.Route, "gone", 5),
		// Left by concurrent changes: two routes with the same host and prefix, and a route of a removed service.
		routeAt("twin1", 5, "a.example", "/twin/", "s1"), routeAt("twin2", 5, "a.example", "/twin/", "s1"),
		routeAt("orphan", 5, "a.example", "/orphan/", "old"),
	}
	bad := Route{Name: "bad", Version: 9, Host: "h", Prefix: "x", Repeat: AtMostOnce, Shares: []Share{{"s1", 1}}}.Item()
	old := bad
	old.Name, old.Version = "r1", 1
	for _, c := range []struct {
		name   string
		change []item.Item
		want   string
	}{
		{"nothing", nil, ""},
		{"a new route", []item.Item{routeAt("n", 6, "a.example", "/n/", "s1")}, ""},
		{"a new route and its service", []item.Item{routeAt("n", 6, "a.example", "/n/", "n"), service("n", 6)}, ""},
		{"an unknown service", []item.Item{routeAt("n", 6, "a.example", "/n/", "s1", "n")}, "route/n/Shares"},
		{"a dropped service", []item.Item{routeAt("n", 6, "a.example", "/n/", "old")}, "route/n/Shares"},
		{"a dropped service that comes back", []item.Item{routeAt("n", 6, "a.example", "/n/", "old"), service("old", 6)}, ""},
		{"it comes back with too low a version", []item.Item{routeAt("n", 6, "a.example", "/n/", "old"), service("old", 4)}, "route/n/Shares"},
		{"a service dropped in the change", []item.Item{routeAt("n", 6, "a.example", "/n/", "idle"), tombstone(item.Service, "idle", 6)}, "route/n/Shares"},
		{"a service dropped with too low a version", []item.Item{routeAt("n", 6, "a.example", "/n/", "idle"), tombstone(item.Service, "idle", 4)}, ""},
		{"dropping an idle service", []item.Item{tombstone(item.Service, "idle", 6)}, ""},
		{"dropping a service that is named", []item.Item{tombstone(item.Service, "s2", 6)}, "service/s2"},
		{"dropping it with an old version", []item.Item{tombstone(item.Service, "s2", 5)}, ""},
		{"dropping it with its route", []item.Item{tombstone(item.Service, "s2", 6), tombstone(item.Route, "r2", 6)}, ""},
		{"dropping it, its route dropped with too low a version", []item.Item{tombstone(item.Service, "s2", 6), tombstone(item.Route, "r2", 4)}, "service/s2"},
		{"dropping it, its route moved off", []item.Item{routeAt("r2", 6, "a.example", "/y/", "s1"), tombstone(item.Service, "s2", 6)}, ""},
		{"dropping it, its route still on it", []item.Item{routeAt("r2", 6, "a.example", "/z/", "s2"), tombstone(item.Service, "s2", 6)}, "route/r2/Shares"},
		{"dropping a dropped service again", []item.Item{tombstone(item.Service, "old", 6)}, ""},
		{"dropping unknown items", []item.Item{tombstone(item.Service, "n", 6), tombstone(item.Route, "n", 6)}, ""},
		{"a taken place", []item.Item{routeAt("n", 6, "a.example", "/x/", "s1")}, "route/n/Prefix"},
		{"a taken place in other case", []item.Item{routeAt("n", 6, "A.Example", "/x/", "s1")}, "route/n/Prefix"},
		{"a path in other case", []item.Item{routeAt("n", 6, "a.example", "/X/", "s1")}, ""},
		{"a place freed by a drop", []item.Item{routeAt("n", 6, "a.example", "/x/", "s1"), tombstone(item.Route, "r1", 6)}, ""},
		{"a place freed with too low a version", []item.Item{routeAt("n", 6, "a.example", "/x/", "s1"), tombstone(item.Route, "r1", 5)}, "route/n/Prefix"},
		{"a place freed by a move", []item.Item{routeAt("n", 6, "a.example", "/x/", "s1"), routeAt("r1", 6, "b.example", "/x/", "s1")}, ""},
		{"two that change places", []item.Item{routeAt("r1", 6, "a.example", "/y/", "s1"), routeAt("r2", 6, "a.example", "/x/", "s1")}, ""},
		{"one place for two", []item.Item{routeAt("n", 6, "a.example", "/n/", "s1"), routeAt("m", 6, "a.example", "/n/", "s1")}, "route/n/Prefix route/m/Prefix"},
		{"one route twice", []item.Item{routeAt("n", 6, "a.example", "/x/", "s1"), routeAt("n", 7, "a.example", "/n/", "s1")}, ""},
		{"one route twice, the newer first", []item.Item{routeAt("n", 7, "a.example", "/n/", "s1"), routeAt("n", 6, "a.example", "/x/", "s1")}, ""},
		{"a dropped route comes back", []item.Item{routeAt("gone", 6, "a.example", "/x/", "s1")}, "route/gone/Prefix"},
		{"an old one changes nothing", []item.Item{routeAt("gone", 4, "a.example", "/x/", "nowhere")}, ""},
		{"an equal one changes nothing", declared, ""},
		{"a conflicting route that keeps its place", []item.Item{routeAt("twin1", 6, "a.example", "/twin/", "s2")}, ""},
		{"a third route at a conflicting place", []item.Item{routeAt("n", 6, "a.example", "/twin/", "s2")}, "route/n/Prefix"},
		{"malformed", []item.Item{bad, routeAt("n", 6, "a.example", "/x/", "s1")}, "route/bad/Prefix"},
		{"malformed and old", []item.Item{old}, "route/r1/Prefix"},
		{"unreadable", []item.Item{{Key: item.Key{Kind: item.Route, Name: "u"}, Version: 9, Body: []byte{99}}}, "route/u"},
		{"of an unknown kind", []item.Item{{Key: item.Key{Kind: 9, Name: "u"}, Version: 9}}, "/u"},
		{"limits", []item.Item{Limits{Version: 1, BodyBytes: 1}.Item()}, ""},
		{"limits below 0", []item.Item{Limits{Version: 1, BodyBytes: -1}.Item()}, "limits/limits/BodyBytes"},
		{"a nameless drop", []item.Item{tombstone(item.Route, "", 1)}, "route//Name"},
	} {
		if got := paths(validatorWith(t, declared...).Validate(c.change)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestBookRemembersDroppedItems(t *testing.T) {
	b := validatorWith(t, service("s", 1), routeAt("r", 2, "h", "/", "s"), tombstone(item.Route, "r", 4), routeAt("r", 3, "h", "/", "s"))
	if p := b.Validate([]item.Item{tombstone(item.Service, "s", 2)}); p != nil {
		t.Errorf("a removed route is in effect again: %v", p)
	}
	if len(b.routesByKey) != 0 || len(b.serviceRefs) != 0 {
		t.Errorf("index entries remain: %v %v", b.routesByKey, b.serviceRefs)
	}
}

func TestBookTellsWhatItCannotRead(t *testing.T) {
	b := validatorWith(t, service("s", 1), routeAt("r", 2, "h", "/", "s"))
	later := item.Item{Key: item.Key{Kind: item.Route, Name: "r"}, Version: 3, Body: []byte{99}}
	if err := b.Apply(later); err == nil {
		t.Error("undecodable item: no error")
	}
	if err := b.Apply(routeAt("r", 2, "h", "/", "s")); err != nil {
		t.Error(err)
	}
	if len(b.routesByKey) != 0 || len(b.serviceRefs) != 0 {
		t.Errorf("an older version is in effect again: %v %v", b.routesByKey, b.serviceRefs)
	}
}

func TestProblemsAreBounded(t *testing.T) {
	var bad, taken []item.Item
	for i := range 1000 {
		bad = append(bad, routeAt(fmt.Sprint(i), 1, "h", "x", "s"))
		taken = append(taken, routeAt(fmt.Sprint(i), 1, "h", "/", "s"))
	}
	for _, change := range [][]item.Item{bad, taken} {
		if n := len(validatorWith(t).Validate(change)); n == 0 || n > maxProblems {
			t.Errorf("%d problems", n)
		}
	}
}

// isInvalid applies the documented rules to the whole configuration.
func isInvalid(declared map[item.Key]item.Item) (bad bool) {
	at := map[routeKey]bool{}
	for _, it := range declared {
		if it.Gone || it.Kind != item.Route {
			continue
		}
		r, err := FromItem(it)
		if err != nil {
			return true
		}
		p := routeKey{strings.ToLower(r.Host), r.Prefix}
		if at[p] {
			return true
		}
		at[p] = true
		for _, s := range r.Shares {
			if it, ok := declared[item.Key{Kind: item.Service, Name: s.Service}]; !ok || it.Gone {
				return true
			}
		}
	}
	return false
}

// A change of a valid configuration must be refused if and only if the result would be invalid.
func TestBookDecidesAsTheWholeWould(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	b := NewValidator()
	declared := map[item.Key]item.Item{}
	accepted, refused := 0, 0
	for step := range 20_000 {
		var change []item.Item
		for range 1 + rng.IntN(4) {
			v := uint64(step/10 + rng.IntN(20))
			switch name := fmt.Sprint(rng.IntN(6)); rng.IntN(6) {
			case 0:
				change = append(change, service(name, v))
			case 1:
				change = append(change, tombstone(item.Service, name, v))
			case 2:
				change = append(change, tombstone(item.Route, name, v))
			default:
				host := []string{"a", "A", "b"}[rng.IntN(3)]
				prefix := []string{"/", "/x/"}[rng.IntN(2)]
				change = append(change, routeAt(name, v, host, prefix, fmt.Sprint(rng.IntN(6)), fmt.Sprint(rng.IntN(6))))
			}
		}
		next := maps.Clone(declared)
		for _, it := range change {
			if old, ok := next[it.Key]; !ok || it.Compare(old) > 0 {
				next[it.Key] = it
			}
		}
		problems := b.Validate(change)
		if want := isInvalid(next); want != (len(problems) > 0) {
			t.Fatalf("step %d: %v, want invalid %v", step, problems, want)
		}
		if len(problems) > 0 {
			refused++
			continue
		}
		accepted++
		declared = next
		for _, it := range change {
			if err := b.Apply(it); err != nil {
				t.Fatal(err)
			}
		}
	}
	if accepted < 1000 || refused < 1000 {
		t.Errorf("%d accepted, %d refused: the changes cover too little", accepted, refused)
	}
	left := 0
	for _, n := range b.routesByKey {
		left += len(n)
	}
	routes := 0
	for it := range maps.Values(declared) {
		if it.Kind == item.Route && !it.Gone {
			routes++
		}
	}
	if left != routes {
		t.Errorf("%d route keys for %d routes", left, routes)
	}
}

func manyItems(n int) []item.Item {
	items := []item.Item{service("s0", 1), service("s1", 1)}
	for i := range n {
		items = append(items, routeAt(fmt.Sprintf("r-%d", i), 1, fmt.Sprintf("host%d.example", i%60), fmt.Sprintf("/pre%d/", i/60), fmt.Sprint("s", i%2)))
	}
	return items
}

func BenchmarkProblemsOneOf6600(b *testing.B) {
	validator := validatorWith(b, manyItems(6600)...)
	change := []item.Item{routeAt("r-17", 2, "host17.example", "/pre0/", "s0")}
	b.ReportAllocs()
	for b.Loop() {
		if p := validator.Validate(change); p != nil {
			b.Fatal(p)
		}
	}
}

func BenchmarkProblemsAll6600(b *testing.B) {
	change := slices.Clone(manyItems(6600))
	b.ReportAllocs()
	for b.Loop() {
		if p := NewValidator().Validate(change); p != nil {
			b.Fatal(p)
		}
	}
}
