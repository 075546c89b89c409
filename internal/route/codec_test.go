package route

import (
	"bytes"
	"math"
	"reflect"
	"testing"

	"walkrudder/internal/item"
)

func sampleRoute() Route {
	return Route{
		Name: "r1", Version: 7, Host: "Ficu.example", Prefix: "/lohu/", Repeat: Idempotent,
		HoldMS: 1200, AimMS: 500, Priority: 2, Attempts: 3,
		Shares: []Share{{"huvo", 90}, {"wuno", 0.125}},
		Source: []byte("as it came"),
	}
}

func TestRouteComesBackAsItWas(t *testing.T) {
	for _, r := range []Route{
		{},
		sampleRoute(),
		{Name: "n", Version: math.MaxUint64, HoldMS: -1, AimMS: math.MinInt, Attempts: math.MaxInt,
			Shares: []Share{{"", math.Inf(-1)}}, Repeat: 255},
	} {
		it := r.Item()
		if it.Key != (item.Key{Kind: item.Route, Name: r.Name}) || it.Version != r.Version || it.Gone {
			t.Errorf("item %v", it)
		}
		back, err := FromItem(it)
		if err != nil || !reflect.DeepEqual(back, r) {
			t.Errorf("%+v (%v), want %+v", back, err, r)
		}
	}
}

func TestServiceAndLimitsComeBackAsTheyWere(t *testing.T) {
	for _, s := range []Service{{}, {Name: "s", Version: 3, Health: "/health", MaxConns: 140, Source: []byte("x")}} {
		if back, err := ServiceFromItem(s.Item()); err != nil || !reflect.DeepEqual(back, s) {
			t.Errorf("%+v (%v), want %+v", back, err, s)
		}
	}
	for _, l := range []Limits{{}, {Version: 3, HeaderBytes: 16384, BodyBytes: 1 << 40, HeaderMS: 3000, IdleMS: 15000, Source: []byte("x")}} {
		if back, err := LimitsFromItem(l.Item()); err != nil || !reflect.DeepEqual(back, l) {
			t.Errorf("%+v (%v), want %+v", back, err, l)
		}
	}
}

// Copies are compared by a digest of the body, so equal content must have equal bytes.
func TestSameContentHasSameBytes(t *testing.T) {
	a, b := sampleRoute(), sampleRoute()
	a.Shares[1].Weight, b.Shares[1].Weight = 0, math.Copysign(0, -1)
	a.Source, b.Source = nil, []byte{}
	if !bytes.Equal(a.Item().Body, b.Item().Body) {
		t.Error("positive and negative zero, or nil and empty sources, have different encodings")
	}
	a.Shares[1].Weight = math.NaN()
	b.Shares[1].Weight = math.Float64frombits(math.Float64bits(math.NaN()) ^ 1)
	if !bytes.Equal(a.Item().Body, b.Item().Body) {
		t.Error("two NaN values have different encodings")
	}
}

// Every field must be part of the encoding.
func TestEveryFieldIsKept(t *testing.T) {
	for _, v := range []any{sampleRoute(), Service{Health: "/"}, Limits{}} {
		for i := range reflect.TypeOf(v).NumField() {
			field := reflect.TypeOf(v).Field(i).Name
			c := reflect.New(reflect.TypeOf(v)).Elem()
			c.Set(reflect.ValueOf(v))
			switch f := c.Field(i); f.Kind() {
			case reflect.String:
				f.SetString(f.String() + "x")
			case reflect.Int:
				f.SetInt(f.Int() + 1)
			case reflect.Uint8, reflect.Uint64:
				f.SetUint(f.Uint() + 1)
			case reflect.Slice:
				f.Set(reflect.MakeSlice(f.Type(), 5, 5))
			default:
				t.Fatalf("field %s: unsupported kind", field)
			}
			type kept interface{ Item() item.Item }
			if reflect.DeepEqual(c.Interface().(kept).Item(), v.(kept).Item()) {
				t.Errorf("%T: %s is not encoded", v, field)
			}
		}
	}
}

func TestUnknownBodiesAreErrors(t *testing.T) {
	good := sampleRoute().Item()
	change := func(f func(it *item.Item)) item.Item {
		it := good
		it.Body = bytes.Clone(good.Body)
		f(&it)
		return it
	}
	for name, it := range map[string]item.Item{
		"later format": change(func(it *item.Item) { it.Body[0]++ }),
		"empty":        change(func(it *item.Item) { it.Body = nil }),
		"too long":     change(func(it *item.Item) { it.Body = append(it.Body, 0) }),
		"dropped":      change(func(it *item.Item) { it.Gone = true }),
		"other kind":   change(func(it *item.Item) { it.Kind = item.Service }),
		"long number":  change(func(it *item.Item) { it.Body = append([]byte{bodyFormat, 2, 0x80, 0}, it.Body[3:]...) }),
		"vast share count": {Key: good.Key, Body: append([]byte{bodyFormat, 2, 0, 0, 0, 0, 0, 0},
			0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1)},
	} {
		if r, err := FromItem(it); err == nil {
			t.Errorf("%s: decoded as %+v", name, r)
		}
	}
	for n := range good.Body {
		if _, err := FromItem(change(func(it *item.Item) { it.Body = it.Body[:n] })); err == nil {
			t.Errorf("a body truncated to %d bytes is accepted", n)
		}
	}
}

// Any body must either be refused or equal the encoding of its content.
func FuzzFromItem(f *testing.F) {
	f.Add(sampleRoute().Item().Body)
	f.Add(Service{Health: "/health", MaxConns: 140}.Item().Body)
	f.Add(Limits{HeaderBytes: 16384}.Item().Body)
	f.Add([]byte{bodyFormat})
	f.Fuzz(func(t *testing.T, body []byte) {
		it := item.Item{Key: item.Key{Kind: item.Route, Name: "r"}, Version: 1, Body: body}
		if r, err := FromItem(it); err == nil && !bytes.Equal(r.Item().Body, body) {
			t.Errorf("route %x, encoded %x", body, r.Item().Body)
		}
		it.Kind = item.Service
		if s, err := ServiceFromItem(it); err == nil && !bytes.Equal(s.Item().Body, body) {
			t.Errorf("service %x, encoded %x", body, s.Item().Body)
		}
		it.Kind = item.Limits
		if l, err := LimitsFromItem(it); err == nil && !bytes.Equal(l.Item().Body, body) {
			t.Errorf("limits %x, encoded %x", body, l.Item().Body)
		}
	})
}

func BenchmarkFromItem(b *testing.B) {
	it := sampleRoute().Item()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := FromItem(it); err != nil {
			b.Fatal(err)
		}
	}
}
