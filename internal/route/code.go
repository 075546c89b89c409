package route

import (
	"encoding/binary"
	"math"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
)

// format is the first byte of every body. The same content gives the same bytes, since
// copies are compared by a digest of them (design 20); so only the shortest form of a
// number is read, and nothing behind the last field.
const format = 1

// LimitsName is the name of the one item of limits.
const LimitsName = "limits"

// writer appends the fields of a body.
type writer []byte

func (w *writer) int(v int)     { *w = binary.AppendVarint(*w, int64(v)) }
func (w *writer) count(v int)   { *w = binary.AppendUvarint(*w, uint64(v)) }
func (w *writer) text(s string) { w.count(len(s)); *w = append(*w, s...) }
func (w *writer) raw(b []byte)  { w.count(len(b)); *w = append(*w, b...) }

// real writes a number so that equal ones have equal bytes.
func (w *writer) real(f float64) {
	switch {
	case f == 0:
		f = 0 // also for the negative zero
	case f != f:
		f = math.NaN()
	}
	*w = binary.BigEndian.AppendUint64(*w, math.Float64bits(f))
}

// reader takes the fields of a body; after a fault it yields zeros.
type reader struct {
	rest []byte
	why  string
}

func (r *reader) fail(why string) {
	if r.why == "" {
		r.why = why
	}
	r.rest = nil
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.fail("too short")
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || n > 1 && r.rest[n-1] == 0 {
		r.fail("bad number")
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) int() int {
	u := r.uvarint()
	v := int64(u >> 1)
	if u&1 != 0 {
		v = ^v
	}
	if int64(int(v)) != v {
		r.fail("number too large")
		return 0
	}
	return int(v)
}

// count reads a number of parts, each of least bytes or more.
func (r *reader) count(least int) int {
	n := r.uvarint()
	if n > uint64(len(r.rest)/least) {
		r.fail("too short")
		return 0
	}
	return int(n)
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) text() string { return string(r.take(r.count(1))) }

// raw shares the body's bytes; empty ones are nil.
func (r *reader) raw() []byte {
	if n := r.count(1); n > 0 {
		return r.take(n)
	}
	return nil
}

func (r *reader) real() float64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	f := math.Float64frombits(binary.BigEndian.Uint64(b))
	var w writer
	w.real(f)
	if string(w) != string(b) {
		r.fail("bad number")
	}
	return f
}

// read decodes the body of an item of a kind by its fields; where it can't be read whole
// there is nothing.
func read[T any](it item.Item, want item.Kind, fields func(*reader) T) (T, error) {
	var zero T
	d := &reader{rest: it.Body}
	switch {
	case it.Kind != want:
		d.fail("another kind of item")
	case it.Gone:
		d.fail("dropped")
	default:
		if f := d.byte(); d.why == "" && f != format {
			d.fail("unknown format")
		}
	}
	v := fields(d)
	if d.why == "" && len(d.rest) > 0 {
		d.why = "too long"
	}
	if d.why != "" {
		return zero, steperr.New("read item", it.Name, "%s", d.why)
	}
	return v, nil
}

// Item encodes the route.
func (r Route) Item() item.Item {
	w := make(writer, 0, 64+len(r.Host)+len(r.Prefix)+len(r.Source)+32*len(r.Shares))
	w = append(w, format, byte(r.Repeat))
	w.text(r.Host)
	w.text(r.Prefix)
	w.int(r.HoldMS)
	w.int(r.AimMS)
	w.int(r.Priority)
	w.int(r.Attempts)
	w.count(len(r.Shares))
	for _, s := range r.Shares {
		w.text(s.Service)
		w.real(s.Weight)
	}
	w.raw(r.Source)
	return item.Item{Key: item.Key{Kind: item.Route, Name: r.Name}, Version: r.Version, Body: w}
}

// FromItem decodes a route that stands. Its Source shares the item's bytes.
func FromItem(it item.Item) (Route, error) {
	return read(it, item.Route, func(d *reader) Route {
		r := Route{
			Name: it.Name, Version: it.Version,
			Repeat: Repeat(d.byte()), Host: d.text(), Prefix: d.text(),
			HoldMS: d.int(), AimMS: d.int(), Priority: d.int(), Attempts: d.int(),
		}
		if n := d.count(9); n > 0 {
			r.Shares = make([]Share, n)
			for i := range r.Shares {
				r.Shares[i] = Share{Service: d.text(), Weight: d.real()}
			}
		}
		r.Source = d.raw()
		return r
	})
}

// Item encodes the service.
func (s Service) Item() item.Item {
	w := make(writer, 0, 16+len(s.Health)+len(s.Source))
	w = append(w, format)
	w.text(s.Health)
	w.int(s.MaxConns)
	w.raw(s.Source)
	return item.Item{Key: item.Key{Kind: item.Service, Name: s.Name}, Version: s.Version, Body: w}
}

// ServiceFromItem decodes a service that stands.
func ServiceFromItem(it item.Item) (Service, error) {
	return read(it, item.Service, func(d *reader) Service {
		return Service{
			Name: it.Name, Version: it.Version,
			Health: d.text(), MaxConns: d.int(), Source: d.raw(),
		}
	})
}

// Item encodes the limits.
func (l Limits) Item() item.Item {
	w := make(writer, 0, 32+len(l.Source))
	w = append(w, format)
	w.int(l.HeaderBytes)
	w.int(l.BodyBytes)
	w.int(l.HeaderMS)
	w.int(l.IdleMS)
	w.raw(l.Source)
	return item.Item{Key: item.Key{Kind: item.Limits, Name: LimitsName}, Version: l.Version, Body: w}
}

// LimitsFromItem decodes limits that stand.
func LimitsFromItem(it item.Item) (Limits, error) {
	return read(it, item.Limits, func(d *reader) Limits {
		return Limits{
			Version:     it.Version,
			HeaderBytes: d.int(), BodyBytes: d.int(), HeaderMS: d.int(), IdleMS: d.int(),
			Source: d.raw(),
		}
	})
}
