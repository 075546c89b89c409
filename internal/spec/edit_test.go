package spec

import (
	"reflect"
	"strings"
	"testing"
)

func validSheet() Sheet {
	return Sheet{Services: []Service{{Name: "orders"}}, Bindings: []Binding{
		{Name: "orders", Service: "orders", Methods: []string{"POST"}, Path: "/orders", ExpiryMS: 1000},
		{Name: "below", Service: "orders", Methods: []string{"GET", "HEAD"}, Path: "/orders/*", ExpiryMS: 1000, Repeatable: true},
	}}
}

func TestApplyTakesAChangeWholeOrNotAtAll(t *testing.T) {
	s := validSheet().Sorted()
	bad := Binding{Name: "Bad Name", Service: "nowhere", Methods: []string{"FETCH"}, Path: "no-slash", ExpiryMS: 5}
	out, ps := s.Apply([]Edit{{Op: PutService, Service: &Service{Name: "files"}}, {Op: PutBinding, Binding: &bad}, {Op: RemoveBinding, Name: "none"}, {Op: "invent"}})
	if !reflect.DeepEqual(out, s) {
		t.Errorf("an invalid change was partly applied: %+v", out)
	}
	all := ""
	for _, p := range ps {
		all += p.String() + "\n"
	}
	for _, want := range []string{"bindings[2].name", "bindings[2].methods[0]", "bindings[2].path", "bindings[2].expiry_ms", "bindings[2].service: no service", "edits[2].name", "edits[3]"} {
		if !strings.Contains(all, want) {
			t.Errorf("no problem reported at %s in:\n%s", want, all)
		}
	}
	if _, ps := s.Apply([]Edit{{Op: RemoveService, Name: "orders"}}); len(ps) == 0 {
		t.Error("a service that bindings need was removed")
	}
	out, ps = s.Apply([]Edit{{Op: PutService, Service: &Service{Name: "files"}}, {Op: RemoveBinding, Name: "below"}})
	if len(ps) > 0 || len(out.Services) != 2 || len(out.Bindings) != 1 || len(s.Bindings) != 2 {
		t.Errorf("%v %+v", ps, out)
	}
}

func TestCheckFindsWhatTagsCannotSay(t *testing.T) {
	s := validSheet()
	s.Services = append(s.Services, Service{Name: "orders"})
	s.Bindings = append(s.Bindings, Binding{Name: "twin", Service: "orders", Methods: []string{"POST"}, Path: "/orders", ExpiryMS: 1000},
		Binding{Name: "mine", Service: "orders", Methods: []string{"GET"}, Path: ReservedPath + "/x", ExpiryMS: 1000})
	all := ""
	for _, p := range s.Check() {
		all += p.String() + "\n"
	}
	for _, want := range []string{"services[1].name", `bindings[2].path: POST /orders is already taken by binding "orders"`, "bindings[3].path"} {
		if !strings.Contains(all, want) {
			t.Errorf("no problem reported at %s in:\n%s", want, all)
		}
	}
}

func TestTableFinds(t *testing.T) {
	tb := NewTable(3, validSheet().Sorted())
	for _, c := range []struct {
		method, path, name string
		m                  Match
	}{
		{"POST", "/orders", "orders", Found}, {"GET", "/orders", "", NoMethod}, {"HEAD", "/orders/7/x", "below", Found},
		{"PUT", "/orders/7", "", NoMethod}, {"GET", "/order", "", NoPath}, {"GET", "/ordersx", "", NoPath}, {"GET", "/orders/", "below", Found},
	} {
		b, m := tb.Find(c.method, c.path)
		if m != c.m || m == Found && b.Name != c.name {
			t.Errorf("%s %s: %v %v, want %v %q", c.method, c.path, b, m, c.m, c.name)
		}
	}
}
