package main

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

func TestLinesNeedThreeSizes(t *testing.T) {
	ps := []point{{10, 25}, {10, 27}, {20, 46}}
	if _, ok := fit(ps); ok {
		t.Error("a line through two sizes")
	}
	s, ok := fit(append(ps, point{30, 66}))
	if !ok || math.Abs(s.Each-2) > 1e-9 || math.Abs(s.Base-6) > 1e-9 || s.R2 < 0.99 {
		t.Fatalf("%+v", s)
	}
	if x := s.By[0]; len(s.By) != 3 || x.Size != 10 || x.Mean != 26 || x.Least != 25 || x.Most != 27 || x.N != 2 {
		t.Errorf("%+v", s.By)
	}
}

// Failed cases are left out, and windows of one kind go together whatever their figures.
func TestSlopesOfReports(t *testing.T) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for i, name := range []string{"gateways 100", "gateways 200", "gateways 400", "gateways 800"} {
		r := Report{Case: Case{Name: name}, Windows: []Window{{Name: "2 targets replaced a second", Roles: map[string]PerNode{"controllers": {Core: 0.01 * float64(int(1)<<i)}}}}}
		if i == 3 {
			r.Err = "failed"
			r.Windows[0].Roles["controllers"] = PerNode{Core: 99}
		}
		if err := enc.Encode(r); err != nil {
			t.Fatal(err)
		}
	}
	rs, err := reports(&b)
	if err != nil || len(rs) != 4 {
		t.Fatal(err, len(rs))
	}
	var out strings.Builder
	slopes(&out, rs)
	if !strings.Contains(out.String(), "| targets replaced a second: controllers, % of a core | 100: 1 (1 to 1, 1); 200: 2 (2 to 2, 1); 400: 4 (4 to 4, 1) | ") || strings.Contains(out.String(), "800:") {
		t.Error(out.String())
	}
	if !strings.Contains(out.String(), " | 10 | 1.00 |") {
		t.Error("no slope of 1 in 100:", out.String())
	}
}
