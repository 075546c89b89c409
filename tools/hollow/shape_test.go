package main

import (
	"testing"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
)

// What the tool declares is what the product takes: checked as it checks operators.
func TestConfigurationsAreSound(t *testing.T) {
	done := map[[3]int]bool{}
	for _, c := range plans() {
		for _, c := range c {
			if k := [3]int{c.Routes, c.Services, c.Changes}; done[k] {
				continue
			} else {
				done[k] = true
			}
			b := route.NewValidator()
			first := change(Order{Count: c.Routes, Services: c.Services, Version: 1})
			var all []item.Item
			for _, s := range first.Services {
				if ps := s.Check(); len(ps) > 0 {
					t.Fatal(ps)
				}
				all = append(all, s.Item())
			}
			for _, r := range first.Routes {
				if ps := r.Check(); len(ps) > 0 {
					t.Fatal(ps)
				}
				all = append(all, r.Item())
			}
			if ps := b.Validate(all); len(ps) > 0 {
				t.Errorf("%s: %v", c.Name, ps[0])
			}
			later := change(Order{Count: c.Changes, Services: c.Services, Version: 2})
			if len(later.Services) > 0 || later.Limits != nil || len(later.Routes) != c.Changes || c.Changes > 0 && later.Routes[0].Name != routeName(0) {
				t.Errorf("%s: a later change holds %+v", c.Name, later)
			}
		}
	}
}

func TestPlansVaryOneSize(t *testing.T) {
	b := base()
	for name, cases := range plans() {
		seen := map[string]bool{}
		for _, c := range cases {
			if c.Name == "" || seen[c.Name] || c.Gateways < 1 || c.Targets < 1 || c.Routes < c.Changes || c.Controllers%2 != 1 {
				t.Errorf("%s: %+v", name, c)
			}
			seen[c.Name] = true
			if len(cases) < 3 {
				continue
			}
			differ := 0
			for _, d := range []bool{c.Gateways != b.Gateways, c.Targets != b.Targets, c.Routes != b.Routes, c.Services != b.Services, c.Controllers != b.Controllers} {
				if d {
					differ++
				}
			}
			if differ > 1 {
				t.Errorf("%s varies %d sizes at once: %+v", name, differ, c)
			}
		}
	}
}

// A plan's case can be had at other sizes, and then has another name.
func TestSizesAreAskedFor(t *testing.T) {
	c := base()
	c.Name = "base"
	if got := (&RunArgs{}).sized(c); got != c {
		t.Errorf("%+v", got)
	}
	got := (&RunArgs{Gateways: 13, Controllers: 6, Service: 2, Replace: 20}).sized(c)
	if got.Replace != 20 || got.Gateways != 13 || got.Controllers != 6 || got.Services != 2 || got.Targets != c.Targets || got.Name != "base, sized" {
		t.Errorf("%+v", got)
	}
}
