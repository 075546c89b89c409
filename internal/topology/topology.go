// Package topology reads how far zones are from each other, from a GraphViz graph or a
// GeoJSON file (design 18).
package topology

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	geojson "github.com/paulmach/go.geojson"
	"gonum.org/v1/gonum/graph/formats/dot"
	"gonum.org/v1/gonum/graph/formats/dot/ast"
)

// maxZones bounds a chart.
const maxZones = 256

// perMS is how far a question and its answer get in a millisecond, in metres.
const perMS = 100_000

// Chart holds the distances between zones, in milliseconds there and back.
type Chart struct {
	ms map[[2]string]float64
	// least is the distance from each zone to the next one.
	least map[string]float64
}

// Read reads a chart by its file's ending: .dot or .gv, .geojson or .json.
func Read(path string) (*Chart, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	switch strings.ToLower(filepath.Ext(path)) {
	case ".dot", ".gv":
		return Dot(raw)
	case ".geojson", ".json":
		return GeoJSON(raw)
	}
	return nil, fmt.Errorf("%s: neither .dot, .gv, .geojson nor .json", filepath.Base(path))
}

// Dot reads a graph whose nodes are zones and whose edges carry "ms"; zones that no
// edge joins are as far apart as the shortest way over others.
func Dot(raw []byte) (*Chart, error) {
	f, err := dot.ParseBytes(raw)
	if err != nil {
		return nil, err
	}
	if len(f.Graphs) != 1 {
		return nil, fmt.Errorf("%d graphs, not one", len(f.Graphs))
	}
	c := &Chart{ms: map[[2]string]float64{}}
	for _, s := range f.Graphs[0].Stmts {
		e, ok := s.(*ast.EdgeStmt)
		if !ok {
			continue
		}
		ms := math.NaN()
		for _, a := range e.Attrs {
			if name(a.Key) == "ms" {
				if ms, err = strconv.ParseFloat(name(a.Val), 64); err != nil {
					return nil, fmt.Errorf("ms of an edge: %w", err)
				}
			}
		}
		if !(ms >= 0 && ms < 1e6) {
			return nil, fmt.Errorf("an edge has no ms between 0 and 1000000")
		}
		from, ok := e.From.(*ast.Node)
		for to := e.To; to != nil; to = to.To {
			n, is := to.Vertex.(*ast.Node)
			if !ok || !is {
				return nil, fmt.Errorf("an edge joins something other than two zones")
			}
			c.put(name(from.ID), name(n.ID), ms)
			from = n
		}
	}
	return c, c.close()
}

// name takes the quotes off.
func name(id string) string {
	if s, err := strconv.Unquote(id); err == nil {
		return s
	}
	return id
}

// GeoJSON reads a collection of points with the property "zone"; their distance is
// that over the globe.
func GeoJSON(raw []byte) (*Chart, error) {
	fc, err := geojson.UnmarshalFeatureCollection(raw)
	if err != nil {
		return nil, err
	}
	at := map[string][]float64{}
	for i, f := range fc.Features {
		z := f.PropertyMustString("zone", "")
		if f.Geometry == nil || !f.Geometry.IsPoint() || len(f.Geometry.Point) < 2 || z == "" {
			return nil, fmt.Errorf("features[%d]: not a point with the property zone", i)
		}
		if _, twice := at[z]; twice {
			return nil, fmt.Errorf("features[%d]: zone %s stands there twice", i, z)
		}
		at[z] = f.Geometry.Point
	}
	c := &Chart{ms: map[[2]string]float64{}}
	for a, p := range at {
		for b, q := range at {
			if a < b {
				c.put(a, b, distance(p, q)/perMS)
			}
		}
	}
	return c, c.close()
}

// distance is the way over the globe between two points of longitude and latitude,
// in metres.
func distance(p, q []float64) float64 {
	const radius, deg = 6371e3, math.Pi / 180
	a, b := math.Sin((q[1]-p[1])*deg/2), math.Sin((q[0]-p[0])*deg/2)
	return 2 * radius * math.Asin(math.Sqrt(min(1, a*a+math.Cos(p[1]*deg)*math.Cos(q[1]*deg)*b*b)))
}

func (c *Chart) put(a, b string, ms float64) {
	if o, ok := c.ms[[2]string{a, b}]; !ok || ms < o {
		c.ms[[2]string{a, b}], c.ms[[2]string{b, a}] = ms, ms
	}
}

// close finds the shortest ways over other zones.
func (c *Chart) close() error {
	zones := map[string]bool{}
	for k := range c.ms {
		zones[k[0]] = true
	}
	if len(zones) < 2 || len(zones) > maxZones {
		return fmt.Errorf("%d zones; 2 to %d are wanted", len(zones), maxZones)
	}
	for over := range zones {
		for a := range zones {
			x, ok := c.ms[[2]string{a, over}]
			if !ok {
				continue
			}
			for b := range zones {
				if y, ok := c.ms[[2]string{over, b}]; ok && a != b {
					c.put(a, b, x+y)
				}
			}
		}
	}
	c.least = map[string]float64{}
	for k, ms := range c.ms {
		if o, ok := c.least[k[0]]; k[0] != k[1] && (!ok || ms < o) {
			c.least[k[0]] = ms
		}
	}
	return nil
}

// Far tells how much farther another zone is than the one next to own: 1 for that
// one, for the own and for zones that the chart does not have, 4 at most.
func (c *Chart) Far(own, zone string) float64 {
	if c == nil || own == zone {
		return 1
	}
	d, ok := c.ms[[2]string{own, zone}]
	least := c.least[own]
	if !ok || least <= 0 {
		return 1
	}
	return min(4, d/least)
}
