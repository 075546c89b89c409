package route

import (
	"encoding/binary"
	"math"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
)

// bodyFormat is the first byte of every body. The same content must give the same bytes, since
// copies are compared by a digest of them (design 20). A number is therefore only accepted in
// its shortest encoding, and no bytes may follow the last field.
const bodyFormat = 1

// LimitsName is the name of the only item of kind Limits.
const LimitsName = "limits"

// bodyWriter appends the fields of a body.
type bodyWriter []byte

func (w *bodyWriter) int(v int)      { *w = binary.AppendVarint(*w, int64(v)) }
func (w *bodyWriter) count(v int)    { *w = binary.AppendUvarint(*w, uint64(v)) }
func (w *bodyWriter) text(s string)  { w.count(len(s)); *w = append(*w, s...) }
func (w *bodyWriter) bytes(b []byte) { w.count(len(b)); *w = append(*w, b...) }

// float writes a number so that equal numbers have equal bytes.
func (w *bodyWriter) float(f float64) {
	switch {
	case f == 0:
		f = 0 // also replaces negative zero
	case f != f:
		f = math.NaN()
	}
	*w = binary.BigEndian.AppendUint64(*w, math.Float64bits(f))
}

// bodyReader reads the fields of a body; after an error it returns zero values.
type bodyReader struct {
	rest  []byte
	fault string
}

func (r *bodyReader) fail(fault string) {
	if r.fault == "" {
		r.fault = fault
	}
	r.rest = nil
}

// next returns the next n bytes, without a copy.
func (r *bodyReader) next(n int) []byte {
	if n > len(r.rest) {
		r.fail("too short")
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func (r *bodyReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || n > 1 && r.rest[n-1] == 0 {
		r.fail("bad number")
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *bodyReader) int() int {
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

// count reads the number of elements that follow, each at least minSize bytes long.
func (r *bodyReader) count(minSize int) int {
	n := r.uvarint()
	if n > uint64(len(r.rest)/minSize) {
		r.fail("too short")
		return 0
	}
	return int(n)
}

func (r *bodyReader) byte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *bodyReader) text() string { return string(r.next(r.count(1))) }

// bytes returns a slice of the body, without a copy; an empty field is nil.
func (r *bodyReader) bytes() []byte {
	if n := r.count(1); n > 0 {
		return r.next(n)
	}
	return nil
}

func (r *bodyReader) float() float64 {
	b := r.next(8)
	if b == nil {
		return 0
	}
	f := math.Float64frombits(binary.BigEndian.Uint64(b))
	var w bodyWriter
	w.float(f)
	if string(w) != string(b) {
		r.fail("bad number")
	}
	return f
}

// decodeBody decodes the body of an item of the wanted kind; fields reads the fields after the format
// byte. On any error it returns the zero value.
func decodeBody[T any](it item.Item, want item.Kind, fields func(*bodyReader) T) (T, error) {
	var zero T
	d := &bodyReader{rest: it.Body}
	switch {
	case it.Kind != want:
		d.fail("another kind of item")
	case it.Gone:
		d.fail("dropped")
	default:
		if f := d.byte(); d.fault == "" && f != bodyFormat {
			d.fail("unknown format")
		}
	}
	v := fields(d)
	if d.fault == "" && len(d.rest) > 0 {
		d.fault = "too long"
	}
	if d.fault != "" {
		return zero, steperr.New("read item", it.Name, "%s", d.fault)
	}
	return v, nil
}

// Item encodes the route.
func (r Route) Item() item.Item {
	w := make(bodyWriter, 0, 64+len(r.Host)+len(r.Prefix)+len(r.Source)+32*len(r.Shares))
	w = append(w, bodyFormat, byte(r.Repeat))
	w.text(r.Host)
	w.text(r.Prefix)
	w.int(r.HoldMS)
	w.int(r.AimMS)
	w.int(r.Priority)
	w.int(r.Attempts)
	w.count(len(r.Shares))
	for _, s := range r.Shares {
		w.text(s.Service)
		w.float(s.Weight)
	}
	w.bytes(r.Source)
	return item.Item{Key: item.Key{Kind: item.Route, Name: r.Name}, Version: r.Version, Body: w}
}

// FromItem decodes a declared route. Its Source shares the item's bytes.
func FromItem(it item.Item) (Route, error) {
	return decodeBody(it, item.Route, func(d *bodyReader) Route {
		r := Route{
			Name: it.Name, Version: it.Version,
			Repeat: RetryPolicy(d.byte()), Host: d.text(), Prefix: d.text(),
			HoldMS: d.int(), AimMS: d.int(), Priority: d.int(), Attempts: d.int(),
		}
		if n := d.count(9); n > 0 {
			r.Shares = make([]Share, n)
			for i := range r.Shares {
				r.Shares[i] = Share{Service: d.text(), Weight: d.float()}
			}
		}
		r.Source = d.bytes()
		return r
	})
}

// Item encodes the service.
func (s Service) Item() item.Item {
	w := make(bodyWriter, 0, 16+len(s.Health)+len(s.Source))
	w = append(w, bodyFormat)
	w.text(s.Health)
	w.int(s.MaxConns)
	w.bytes(s.Source)
	return item.Item{Key: item.Key{Kind: item.Service, Name: s.Name}, Version: s.Version, Body: w}
}

// ServiceFromItem decodes a declared service.
func ServiceFromItem(it item.Item) (Service, error) {
	return decodeBody(it, item.Service, func(d *bodyReader) Service {
		return Service{
			Name: it.Name, Version: it.Version,
			Health: d.text(), MaxConns: d.int(), Source: d.bytes(),
		}
	})
}

// Item encodes the limits.
func (l Limits) Item() item.Item {
	w := make(bodyWriter, 0, 32+len(l.Source))
	w = append(w, bodyFormat)
	w.int(l.HeaderBytes)
	w.int(l.BodyBytes)
	w.int(l.HeaderMS)
	w.int(l.IdleMS)
	w.bytes(l.Source)
	return item.Item{Key: item.Key{Kind: item.Limits, Name: LimitsName}, Version: l.Version, Body: w}
}

// LimitsFromItem decodes declared limits.
func LimitsFromItem(it item.Item) (Limits, error) {
	return decodeBody(it, item.Limits, func(d *bodyReader) Limits {
		return Limits{
			Version:     it.Version,
			HeaderBytes: d.int(), BodyBytes: d.int(), HeaderMS: d.int(), IdleMS: d.int(),
			Source: d.bytes(),
		}
	})
}
