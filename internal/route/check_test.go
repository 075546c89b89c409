package route

import (
	"math"
	"strings"
	"testing"

	"github.com/samber/lo"
)

func paths(list []Problem) string {
	return strings.Join(lo.Map(list, func(p Problem, _ int) string { return p.Path }), " ")
}

func TestRouteCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		f    func(r *Route)
		want string
	}{
		{"proper", func(r *Route) {}, ""},
		{"no name", func(r *Route) { r.Name = "" }, "Name"},
		{"long name", func(r *Route) { r.Name = strings.Repeat("n", 257) }, "Name"},
		{"no host", func(r *Route) { r.Host = "" }, "Host"},
		{"host long in bytes", func(r *Route) { r.Host = strings.Repeat("é", 129) }, "Host"},
		{"no prefix", func(r *Route) { r.Prefix = "" }, "Prefix"},
		{"prefix without a slash", func(r *Route) { r.Prefix = "lohu/" }, "Prefix"},
		{"prefix without a slash at the end", func(r *Route) { r.Prefix = "/lohu" }, ""},
		{"no kind", func(r *Route) { r.Repeat = 0 }, "Repeat"},
		{"unknown kind", func(r *Route) { r.Repeat = Download + 1 }, "Repeat"},
		{"once", func(r *Route) { r.Repeat = AtMostOnce }, ""},
		{"download", func(r *Route) { r.Repeat = Download }, ""},
		{"ten minutes", func(r *Route) { r.HoldMS = 600_000 }, ""},
		{"over ten minutes", func(r *Route) { r.HoldMS = 600_001 }, "HoldMS"},
		{"hold below 0", func(r *Route) { r.HoldMS = -1 }, "HoldMS"},
		{"none of the numbers", func(r *Route) { r.HoldMS, r.AimMS, r.Priority, r.Attempts = 0, 0, 0, 0 }, ""},
		{"numbers below 0", func(r *Route) { r.AimMS, r.Priority, r.Attempts = -1, -1, -1 }, "AimMS Priority Attempts"},
		{"no services", func(r *Route) { r.Shares = nil }, "Shares"},
		{"empty services", func(r *Route) { r.Shares = []Share{} }, "Shares"},
		{"many services", func(r *Route) { r.Shares = make([]Share, 65) }, "Shares"},
		{"a service without a name", func(r *Route) { r.Shares[1].Service = "" }, "Shares[1].Service"},
		{"weight below 0", func(r *Route) { r.Shares[1].Weight = -0.1 }, "Shares[1].Weight"},
		{"weight no number", func(r *Route) { r.Shares[0].Weight = math.NaN() }, "Shares[0].Weight"},
		{"weight not finite", func(r *Route) { r.Shares[0].Weight = math.Inf(1) }, "Shares[0].Weight"},
		{"one weight 0", func(r *Route) { r.Shares[0].Weight = 0 }, ""},
		{"all weights 0", func(r *Route) { r.Shares[0].Weight, r.Shares[1].Weight = 0, 0 }, "Shares"},
		{"one service without a weight", func(r *Route) { r.Shares = []Share{{Service: "s"}} }, ""},
		{"several", func(r *Route) { r.Name, r.Prefix, r.HoldMS = "", "x", -1 }, "Name Prefix HoldMS"},
	} {
		r := sampleRoute()
		c.f(&r)
		got := r.Check()
		if c.name == "many services" { // each without a name, besides
			got = got[:1]
		}
		if paths(got) != c.want {
			t.Errorf("%s: %v, want %q", c.name, got, c.want)
		}
	}
}

func TestServiceCheck(t *testing.T) {
	for want, s := range map[string]Service{
		"":              {Name: "s", Health: "/health", MaxConns: 140},
		"Name MaxConns": {MaxConns: -1},
	} {
		if got := paths(s.Check()); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

func TestLimitsCheck(t *testing.T) {
	for want, l := range map[string]Limits{
		"":                                      {},
		"HeaderBytes BodyBytes HeaderMS IdleMS": {HeaderBytes: -1, BodyBytes: -1, HeaderMS: -1, IdleMS: -1},
	} {
		if got := paths(l.Check()); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
