package topology

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	graph   = `graph zones { node [shape=box]; z1 -- z2 [ms=2]; z2 -- "z3" [ms="3"]; z1 -- z4 [ms=20] }`
	geoJSON = `{"type":"FeatureCollection","features":[
{"type":"Feature","properties":{"zone":"z1"},"geometry":{"type":"Point","coordinates":[4.9,52.37]}},
{"type":"Feature","properties":{"zone":"z2"},"geometry":{"type":"Point","coordinates":[4.48,51.92]}},
{"type":"Feature","properties":{"zone":"z3"},"geometry":{"type":"Point","coordinates":[-3.7,40.42]}}]}`
)

func TestChartsTellWhichZonesAreNear(t *testing.T) {
	dir := t.TempDir()
	for file, want := range map[string]map[string]float64{
		"a.dot":     {"z1": 1, "z2": 1, "z3": 2.5, "z4": 4, "nowhere": 1},
		"a.geojson": {"z1": 1, "z2": 1, "z3": 4},
	} {
		raw := graph
		if strings.HasSuffix(file, "json") {
			raw = geoJSON
		}
		p := filepath.Join(dir, file)
		if err := os.WriteFile(p, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(p)
		if err != nil {
			t.Fatal(file, err)
		}
		for z, f := range want {
			if g := c.RelativeDistance("z1", z); math.Abs(g-f) > 1e-9 {
				t.Errorf("%s: %s is %.2f times as far, want %.2f", file, z, g, f)
			}
		}
	}
	// Amsterdam to Rotterdam is some 58 km.
	c, _ := ParseGeoJSON([]byte(geoJSON))
	if ms := c.roundTripMS[[2]string{"z1", "z2"}]; ms < 0.55 || ms > 0.62 {
		t.Errorf("%.3f ms", ms)
	}
	if (*Distances)(nil).RelativeDistance("a", "b") != 1 {
		t.Error("without distances all zones must count as equally far")
	}
}

func TestBadChartsAreNamed(t *testing.T) {
	for want, raw := range map[string]string{
		"no ms":         `graph { a -- b }`,
		"ms of an edge": `graph { a -- b [ms=near] }`,
		"0 zones":       `graph { a }`,
		"graphs":        `graph { a -- b [ms=1] } graph { c }`,
		"two zones":     `graph { a -- { b c } [ms=1] }`,
	} {
		if _, err := ParseDot([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", raw, err, want)
		}
	}
	for want, raw := range map[string]string{
		"property zone": `{"type":"FeatureCollection","features":[{"type":"Feature","properties":{},"geometry":{"type":"Point","coordinates":[1,2]}}]}`,
		"twice":         strings.ReplaceAll(geoJSON, "z2", "z1"),
		"zones":         `{"type":"FeatureCollection","features":[]}`,
		"JSON":          `{`,
	} {
		if _, err := ParseGeoJSON([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) && want != "JSON" {
			t.Errorf("%s: %v, want %q", raw, err, want)
		}
	}
}
