package main

import (
	"math"
	"testing"
)

func TestCostsAreToldApart(t *testing.T) {
	mk := func(core, asks, beats float64) Report {
		return Report{Windows: []Window{{Roles: map[string]PerNode{"controllers": {Core: core}},
			Messages: map[string][2]float64{"gateway in news.WatchAsk": {asks - 1, 0}, "controller in news.WatchAsk": {1, 0}, "target in http": {beats, 0}}}}}
	}
	var rs []Report
	for _, x := range [][2]float64{{10, 100}, {50, 100}, {10, 900}, {300, 20}, {70, 400}} {
		rs = append(rs, mk(0.01+50e-6*x[0]+150e-6*x[1], x[0], x[1]))
	}
	bad := mk(9, 1, 1)
	bad.Err = "failed"
	c, ok := costs(append(rs, bad))
	if !ok || c.Windows != 5 || math.Abs(c.Base-0.01) > 1e-9 || math.Abs(c.Ask-50e-6) > 1e-9 || math.Abs(c.Beat-150e-6) > 1e-9 || c.R2 < 0.999 {
		t.Errorf("%+v %v", c, ok)
	}
	if _, ok := costs(rs[:3]); ok {
		t.Error("three unknowns from three windows")
	}
	if _, ok := costs([]Report{rs[0], rs[0], rs[0], rs[0], rs[0]}); ok {
		t.Error("costs told apart by windows that are all alike")
	}
}
