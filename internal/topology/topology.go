// Package topology reads the distances between zones from a GraphViz graph or a GeoJSON file
// (design 18).
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

// maxZones bounds the number of zones.
const maxZones = 256

// roundTripMetresPerMS is the distance in metres that a request and its response cover in a
// millisecond.
const roundTripMetresPerMS = 100_000

// Distances holds the round-trip times between zones in milliseconds.
type Distances struct {
	roundTripMS map[[2]string]float64
	// nearest is the distance in milliseconds from each zone to its nearest neighbour.
	nearest map[string]float64
}

// Read reads a file; its extension selects the format: .dot or .gv, .geojson or .json.
func Read(path string) (*Distances, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	switch strings.ToLower(filepath.Ext(path)) {
	case ".dot", ".gv":
		return ParseDot(data)
	case ".geojson", ".json":
		return ParseGeoJSON(data)
	}
	return nil, fmt.Errorf("%s: neither .dot, .gv, .geojson nor .json", filepath.Base(path))
}

// ParseDot parses a graph whose nodes are zones and whose edges have the attribute "ms". The
// distance between two zones is the length of the shortest path.
func ParseDot(data []byte) (*Distances, error) {
	f, err := dot.ParseBytes(data)
	if err != nil {
		return nil, err
	}
	if len(f.Graphs) != 1 {
		return nil, fmt.Errorf("%d graphs, not one", len(f.Graphs))
	}
	distances := &Distances{roundTripMS: map[[2]string]float64{}}
	for _, s := range f.Graphs[0].Stmts {
		e, ok := s.(*ast.EdgeStmt)
		if !ok {
			continue
		}
		ms := math.NaN()
		for _, a := range e.Attrs {
			if unquote(a.Key) == "ms" {
				if ms, err = strconv.ParseFloat(unquote(a.Val), 64); err != nil {
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
			distances.setShorter(unquote(from.ID), unquote(n.ID), ms)
			from = n
		}
	}
	return distances, distances.addIndirect()
}

// unquote removes the quotes of an identifier, if any.
func unquote(id string) string {
	if s, err := strconv.Unquote(id); err == nil {
		return s
	}
	return id
}

// ParseGeoJSON parses a collection of points with the property "zone". Distances are
// great-circle distances.
func ParseGeoJSON(data []byte) (*Distances, error) {
	fc, err := geojson.UnmarshalFeatureCollection(data)
	if err != nil {
		return nil, err
	}
	points := map[string][]float64{}
	for i, f := range fc.Features {
		z := f.PropertyMustString("zone", "")
		if f.Geometry == nil || !f.Geometry.IsPoint() || len(f.Geometry.Point) < 2 || z == "" {
			return nil, fmt.Errorf("features[%d]: not a point with the property zone", i)
		}
		if _, twice := points[z]; twice {
			return nil, fmt.Errorf("features[%d]: zone %s is listed twice", i, z)
		}
		points[z] = f.Geometry.Point
	}
	distances := &Distances{roundTripMS: map[[2]string]float64{}}
	for a, p := range points {
		for b, q := range points {
			if a < b {
				distances.setShorter(a, b, greatCircleMetres(p, q)/roundTripMetresPerMS)
			}
		}
	}
	return distances, distances.addIndirect()
}

// greatCircleMetres returns the distance in metres between two points given as longitude and
// latitude.
func greatCircleMetres(p, q []float64) float64 {
	const radius, deg = 6371e3, math.Pi / 180
	a, b := math.Sin((q[1]-p[1])*deg/2), math.Sin((q[0]-p[0])*deg/2)
	return 2 * radius * math.Asin(math.Sqrt(min(1, a*a+math.Cos(p[1]*deg)*math.Cos(q[1]*deg)*b*b)))
}

// setShorter sets the distance between two zones, unless a shorter one is known.
func (c *Distances) setShorter(a, b string, ms float64) {
	if o, ok := c.roundTripMS[[2]string{a, b}]; !ok || ms < o {
		c.roundTripMS[[2]string{a, b}], c.roundTripMS[[2]string{b, a}] = ms, ms
	}
}

// addIndirect adds the shortest paths through other zones and finds the nearest neighbours.
func (c *Distances) addIndirect() error {
	zones := map[string]bool{}
	for k := range c.roundTripMS {
		zones[k[0]] = true
	}
	if len(zones) < 2 || len(zones) > maxZones {
		return fmt.Errorf("%d zones; 2 to %d are wanted", len(zones), maxZones)
	}
	for via := range zones {
		for a := range zones {
			x, ok := c.roundTripMS[[2]string{a, via}]
			if !ok {
				continue
			}
			for b := range zones {
				if y, ok := c.roundTripMS[[2]string{via, b}]; ok && a != b {
					c.setShorter(a, b, x+y)
				}
			}
		}
	}
	c.nearest = map[string]float64{}
	for k, ms := range c.roundTripMS {
		if old, ok := c.nearest[k[0]]; k[0] != k[1] && (!ok || ms < old) {
			c.nearest[k[0]] = ms
		}
	}
	return nil
}

// RelativeDistance returns the distance from own to zone as a multiple of the distance from own
// to its nearest neighbour, at most 4. It is 1 for that neighbour, for own itself and for
// unknown zones.
func (c *Distances) RelativeDistance(own, zone string) float64 {
	if c == nil || own == zone {
		return 1
	}
	d, ok := c.roundTripMS[[2]string{own, zone}]
	least := c.nearest[own]
	if !ok || least <= 0 {
		return 1
	}
	return min(4, d/least)
}
