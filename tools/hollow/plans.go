package main

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The users' plan for two years.
const (
	planGateways    = 680
	planTargets     = 6300
	planRoutes      = 6600
	planServices    = 390
	planControllers = 7
	// beatEvery is the users' time between a target's beats.
	beatEvery = 1500 * time.Millisecond
)

// base is the deployment about which one size at a time is varied.
func base() Case {
	return Case{Gateways: 160, Targets: 1600, Routes: 2000, Services: 390, Controllers: 5, Homes: true, Every: beatEvery, Changes: 4, Replace: 2}
}

func whole() Case {
	return Case{Gateways: planGateways, Targets: planTargets, Routes: planRoutes, Services: planServices, Controllers: planControllers, Homes: true, Every: beatEvery, Changes: 4, Replace: 2}
}

func vary(sizes []int, what string, set func(*Case, int)) (out []Case) {
	for _, n := range sizes {
		c := base()
		set(&c, n)
		c.Name = fmt.Sprintf("%s %d", what, n)
		out = append(out, c)
	}
	return out
}

func named(c Case, name string, set func(*Case)) []Case {
	c.Name = name
	if set != nil {
		set(&c)
	}
	return []Case{c}
}

// plans are the deployments by name.
func plans() map[string][]Case {
	fault := func(f string) []Case { return named(whole(), "whole, "+f, func(c *Case) { c.Fault = f }) }
	return map[string][]Case{
		"small":       named(base(), "small", func(c *Case) { c.Gateways, c.Targets, c.Routes, c.Services, c.Controllers = 12, 60, 50, 6, 3 }),
		"base":        named(base(), "base", nil),
		"gateways":    vary([]int{40, 80, 160, 320, 640}, "gateways", func(c *Case, n int) { c.Gateways = n }),
		"targets":     vary([]int{400, 1600, 6300}, "targets", func(c *Case, n int) { c.Targets = n }),
		"routes":      vary([]int{600, 2000, 6600}, "routes", func(c *Case, n int) { c.Routes = n }),
		"controllers": vary([]int{3, 5, 7}, "controllers", func(c *Case, n int) { c.Controllers = n }),
		"whole":       named(whole(), "whole", nil),
		"calm":        named(base(), "base, calm", func(c *Case) { c.Changes, c.Replace = 0, 0 }),
		"strays":      named(base(), "base, beats at any controller", func(c *Case) { c.Homes = false }),
		"zone":        fault("zone"),
		"regions":     fault("regions"),
		"control":     fault("control"),
	}
}

func planNames() []string { return slices.Sorted(maps.Keys(plans())) }
