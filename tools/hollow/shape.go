package main

import (
	"fmt"

	"walkrudder/internal/control"
	"walkrudder/internal/route"
)

// sourceLen is about what an operator writes for one route or service.
const sourceLen = 240

func source(name string, v uint64) []byte {
	b := fmt.Appendf(nil, `["%s","h%03d.example",%d,"`, name, v%100, v)
	for len(b) < sourceLen-2 {
		b = append(b, "abcdefghijklmnop"[len(b)%16])
	}
	return append(b, `"]`...)
}

func serviceName(n int) string { return fmt.Sprintf("service-%04d", n) }
func routeName(n int) string   { return fmt.Sprintf("route-%05d", n) }
func host(n int) string        { return fmt.Sprintf("tenant%05d.example", n/4) }
func prefix(n int) string      { return fmt.Sprintf("/part%d/", n%4) }

// routes makes count routes from the first on, each to one service; every tenth splits
// its requests between two.
func routes(first, count, services int, version uint64) []route.Route {
	out := make([]route.Route, 0, count)
	for n := first; n < first+count; n++ {
		r := route.Route{Name: routeName(n), Version: version, Host: host(n), Prefix: prefix(n), Repeat: route.Idempotent, HoldMS: 1500, AimMS: 500,
			Priority: n % 3, Attempts: 2, Shares: []route.Share{{Service: serviceName(n % services), Weight: 90}}, Source: source(routeName(n), version)}
		if n%10 == 0 && services > 1 {
			r.Shares = append(r.Shares, route.Share{Service: serviceName((n + 1) % services), Weight: 10})
		}
		out = append(out, r)
	}
	return out
}

func services(count int, version uint64) []route.Service {
	out := make([]route.Service, 0, count)
	for n := range count {
		out = append(out, route.Service{Name: serviceName(n), Version: version, Health: "/health", MaxConns: 140, Source: source(serviceName(n), version)})
	}
	return out
}

// change is what an order describes; the first of all holds the services, too.
func change(o Order) control.Change {
	c := control.Change{Routes: routes(o.First, o.Count, o.Services, o.Version)}
	if o.Version == 1 {
		c.Services = services(o.Services, 1)
		c.Limits = &route.Limits{Version: 1, HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderMS: 3000, IdleMS: 15000}
	}
	return c
}
