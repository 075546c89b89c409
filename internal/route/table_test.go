package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"

	"walkrudder/internal/item"
)

func nameOf(e *Entry) string {
	if e == nil {
		return ""
	}
	return e.Name
}

func TestMatch(t *testing.T) {
	var none *Table
	table := none.With(
		service("s", 1),
		routeAt("root", 1, "a.example", "/", "s"),
		routeAt("x", 1, "a.example", "/x/", "s"),
		routeAt("xy", 1, "a.example", "/x/y/", "s"),
		routeAt("xyz", 1, "a.example", "/x/yz", "s"),
		routeAt("odd", 1, "a.example", "/%2f\xff/", "s"),
		routeAt("only", 1, "B.Example:81", "/only/", "s"),
		routeAt("six", 1, "[::1]", "/", "s"),
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/a", "x"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x/y/", "xy"},
		{"a.example", "/x/yy", "x"},
		{"a.example", "/x/yza", "xyz"},
		{"a.example", "/x/z", "x"},
		{"a.example", "/zz", "root"},
		{"a.example", "/x?q=/x/y/", "root"},
		{"a.example", "/x/?/y/", "x"},
		{"a.example", "/%78/", "root"},
		{"a.example", "/%2f\xff/1", "odd"},
		{"a.example", "/x//y/", "x"},
		{"a.example", "/a/../x/", "root"},
		{"a.example", "", ""},
		{"a.example", "*", ""},
		{"A.eXAMPLE:8080", "/x/", "x"},
		{"b.example", "/only/1", "only"},
		{"b.example:9", "/only/1", "only"},
		{"b.example", "/", ""},
		{"[::1]:80", "/", "six"},
		{"c.example", "/", ""},
		{"", "/", ""},
		{strings.Repeat("A", 300), "/", ""},
	} {
		if got := nameOf(table.Match(c.host, c.path)); got != c.want {
			t.Errorf("%s %s: %q, want %q", c.host, c.path, got, c.want)
		}
		if got := nameOf(table.MatchBytes([]byte(c.host), []byte(c.path))); got != c.want {
			t.Errorf("%s %s as bytes: %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if none.Match("a.example", "/") != nil || none.MatchBytes(nil, nil) != nil || none.Len() != 0 || none.Route("x") != nil {
		t.Error("a nil table has routes")
	}
	if table.Len() != 7 || nameOf(table.Route("xy")) != "xy" {
		t.Errorf("%d routes, %v", table.Len(), table.Route("xy"))
	}
}

func TestTwinsShowInTurn(t *testing.T) {
	var table *Table
	check := func(want string) {
		t.Helper()
		for _, path := range []string{"/x/", "/x/1"} {
			if got := nameOf(table.Match("h", path)); got != want {
				t.Errorf("%s is effective at %s, want %s", got, path, want)
			}
		}
		if got := nameOf(table.Match("h", "/x/in/")); got != "inner" {
			t.Errorf("%s is effective at the inner prefix, want inner", got)
		}
	}
	table = table.With(routeAt("inner", 1, "h", "/x/in/", "s"), routeAt("b", 4, "h", "/x/", "s"))
	check("b")
	table = table.With(routeAt("c", 4, "H", "/x/", "s"))
	check("b")
	table = table.With(routeAt("a", 4, "h", "/x/", "s"))
	check("a")
	table = table.With(routeAt("c", 5, "h", "/x/", "s"))
	check("c")
	table = table.With(tombstone(item.Route, "c", 6))
	check("a")
	table = table.With(routeAt("a", 7, "h", "/y/", "s"))
	check("b")
	table = table.With(tombstone(item.Route, "b", 8))
	check("")
	if table.Len() != 2 {
		t.Errorf("%d routes", table.Len())
	}
}

func TestServicesKeepTheirIndex(t *testing.T) {
	var table *Table
	table = table.With(routeAt("r", 1, "h", "/", "named", "also"))
	i, ok := table.ServiceIndex("named")
	if !ok || table.Services()[i].Name != "named" || table.Services()[i].Declared {
		t.Fatalf("%d %v %v", i, ok, table.Services())
	}
	before := table
	table = table.With(service("new", 1), Service{Name: "named", Version: 2, MaxConns: 9}.Item())
	if s := table.Services()[i]; !s.Declared || s.MaxConns != 9 {
		t.Errorf("%+v", s)
	}
	if len(before.Services()) != 2 || before.Services()[i].Declared {
		t.Errorf("an older table changed: %+v", before.Services())
	}
	table = table.With(tombstone(item.Service, "named", 3), tombstone(item.Service, "never", 3))
	if s := table.Services()[i]; s.Declared || s.Name != "named" || s.MaxConns != 0 {
		t.Errorf("%+v", s)
	}
	if _, ok := table.ServiceIndex("never"); ok {
		t.Error("a service that was never declared has an index")
	}
	e := table.Match("h", "/")
	if e.Services[0] != i || e.Pick(0) != i {
		t.Errorf("%v, want %d", e.Services, i)
	}
	if j, _ := table.ServiceIndex("new"); j != 2 {
		t.Errorf("index of the new service is %d, want 2", j)
	}
}

func TestLimitsStand(t *testing.T) {
	var table *Table
	table = table.With(Limits{Version: 1, BodyBytes: 7}.Item())
	if table.Limits().BodyBytes != 7 {
		t.Errorf("%+v", table.Limits())
	}
	table = table.With(tombstone(item.Limits, LimitsName, 2))
	if table.Limits().BodyBytes != 0 {
		t.Errorf("%+v", table.Limits())
	}
}

func TestUnreadItemsLeaveWhatStood(t *testing.T) {
	var table *Table
	table = table.With(routeAt("r", 1, "h", "/", "s"))
	bad := item.Item{Key: item.Key{Kind: item.Route, Name: "r"}, Version: 2, Body: []byte{99}}
	table = table.With(bad, bad)
	if e := table.Match("h", "/"); e == nil || e.Version != 1 || paths(table.Undecodable()) != "route/r" {
		t.Errorf("%v, undecodable %v", e, table.Undecodable())
	}
	for i := range 2 * maxUndecodable {
		bad.Name = fmt.Sprint(i)
		table = table.With(bad)
	}
	if len(table.Undecodable()) != maxUndecodable {
		t.Errorf("%d undecodable items", len(table.Undecodable()))
	}
	table = table.With(routeAt("r", 3, "h", "/", "s"))
	if e := table.Match("h", "/"); e.Version != 3 || slices.Contains(strings.Fields(paths(table.Undecodable())), "route/r") {
		t.Errorf("%v, undecodable %v", e, table.Undecodable())
	}
}

// linearMatch is Match by a linear search.
func linearMatch(routes map[string]Route, host, path string) (best string) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	list := lo.Filter(lo.Values(routes), func(r Route, _ int) bool {
		return strings.ToLower(r.Host) == host && strings.HasPrefix(path, r.Prefix)
	})
	if len(list) == 0 {
		return ""
	}
	return slices.MinFunc(list, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(b.Version, a.Version), strings.Compare(a.Name, b.Name))
	}).Name
}

// After any changes, in batches of any size, a table must find the same route as a linear search,
// and older tables must be unchanged.
func TestTableFindsWhatASearchFinds(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	randomPath := func() string {
		var b strings.Builder
		b.WriteByte('/')
		for range rng.IntN(4) {
			b.WriteString([]string{"a", "b", "ab", "/", "a/"}[rng.IntN(5)])
		}
		return b.String()
	}
	host := func() string { return []string{"a.example", "A.Example", "b.example", "c.example"}[rng.IntN(4)] }
	routes := map[string]Route{}
	var table, oldTable *Table
	var oldFound []string
	requests := make([][2]string, 60)
	for i := range requests {
		requests[i] = [2]string{host() + []string{"", ":80"}[rng.IntN(2)], randomPath() + randomPath()}
	}
	find := func(t *Table) (found []string) {
		for _, p := range requests {
			found = append(found, nameOf(t.Match(p[0], p[1])))
		}
		return found
	}
	hits := 0
	for step := range 2000 {
		var batch []item.Item
		for range rng.IntN(6) {
			r := Route{Name: fmt.Sprint(rng.IntN(80)), Version: uint64(step), Host: host(), Prefix: randomPath(), Shares: []Share{{"s", 1}}}
			if rng.IntN(3) == 0 {
				delete(routes, r.Name)
				batch = append(batch, tombstone(item.Route, r.Name, r.Version))
			} else {
				routes[r.Name] = r
				batch = append(batch, r.Item())
			}
		}
		if step%50 == 0 {
			oldTable, oldFound = table, find(table)
		}
		table = table.With(batch...)
		if table.Len() != len(routes) {
			t.Fatalf("step %d: %d routes, want %d", step, table.Len(), len(routes))
		}
		for i, got := range find(table) {
			if want := linearMatch(routes, requests[i][0], requests[i][1]); got != want {
				t.Fatalf("step %d: %v finds %q, want %q", step, requests[i], got, want)
			} else if want != "" {
				hits++
			}
		}
		if !slices.Equal(find(oldTable), oldFound) {
			t.Fatalf("step %d: an older table changed", step)
		}
	}
	if hits < 1000 {
		t.Errorf("%d hits: the requests cover too little", hits)
	}
	var all []item.Item
	for name := range routes {
		all = append(all, tombstone(item.Route, name, 9999))
	}
	table = table.With(all...)
	for i := range shardCount {
		if len(table.hosts[i])+len(table.names[i]) > 0 {
			t.Fatal("entries of removed routes remain")
		}
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	var table *Table
	table = table.With(manyItems(6600)...)
	host, path := []byte("HOST17.example:8080"), []byte("/pre50/some/where?q=1")
	if n := testing.AllocsPerRun(100, func() {
		if table.MatchBytes(host, path).Pick(1) < 0 {
			t.Error("no service")
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	var table *Table
	table = table.With(manyItems(6600)...)
	for name, host := range map[string]string{"lower": "host17.example", "mixed": "Host17.example:8080"} {
		h, p := []byte(host), []byte("/pre50/some/where")
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if table.MatchBytes(h, p) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkWithOneOf6600(b *testing.B) {
	var table *Table
	table = table.With(manyItems(6600)...)
	v := uint64(2)
	b.ReportAllocs()
	for b.Loop() {
		table = table.With(routeAt("r-17", v, "host17.example", "/pre0/", "s0"))
		v++
	}
}

func BenchmarkWithAll6600(b *testing.B) {
	items := manyItems(6600)
	b.ReportAllocs()
	for b.Loop() {
		var table *Table
		table.With(items...)
	}
}
