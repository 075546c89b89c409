package spec

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Match is the outcome of looking up a request in a Table.
type Match int

// The outcomes of a lookup.
const (
	Found Match = iota
	NoPath
	NoMethod
)

// CompiledBinding is a binding in a Table, with names replaced by dense indices (design 8.5).
type CompiledBinding struct {
	Index      int
	Name       string
	Service    int
	Expiry     time.Duration
	Repeatable bool
	MaxBody    int
	methods    []string
}

// Table is a sheet compiled for routing requests. It is immutable.
type Table struct {
	Version        uint64
	Sheet          Sheet
	Services       []Service
	serviceIndices map[string]int
	bindingCounts  []int // by service index
	exact          map[string][]int
	prefixes       []prefix // longest first
	Bindings       []CompiledBinding
}

type prefix struct {
	path     string
	bindings []int
}

// NewTable compiles version n of the sheet.
func NewTable(n uint64, s Sheet) *Table {
	t := &Table{Version: n, Sheet: s, Services: s.Services, serviceIndices: map[string]int{}, exact: map[string][]int{}}
	for i, v := range s.Services {
		t.serviceIndices[v.Name] = i
	}
	t.bindingCounts = make([]int, len(s.Services))
	byPrefix := map[string][]int{}
	for i, b := range s.Bindings {
		maxBody := b.MaxBody
		if maxBody == 0 {
			maxBody = 1 << 20
		}
		t.Bindings = append(t.Bindings, CompiledBinding{Index: i, Name: b.Name, Service: t.serviceIndices[b.Service],
			Expiry: time.Duration(b.ExpiryMS) * time.Millisecond, Repeatable: b.Repeatable, MaxBody: maxBody, methods: b.Methods})
		t.bindingCounts[t.serviceIndices[b.Service]]++
		if p, ok := strings.CutSuffix(b.Path, "*"); ok {
			byPrefix[p] = append(byPrefix[p], i)
		} else {
			t.exact[b.Path] = append(t.exact[b.Path], i)
		}
	}
	for p, indices := range byPrefix {
		t.prefixes = append(t.prefixes, prefix{p, indices})
	}
	slices.SortFunc(t.prefixes, func(a, b prefix) int { return cmp.Compare(len(b.path), len(a.path)) })
	return t
}

// ServiceIndex returns the dense index of a service.
func (t *Table) ServiceIndex(name string) (int, bool) {
	i, ok := t.serviceIndices[name]
	return i, ok
}

// BindingCount returns the number of bindings of a service, given by its index.
func (t *Table) BindingCount(service int) int { return t.bindingCounts[service] }

// Find looks up a request: the exact path first, then the longest prefix that accepts the
// method.
func (t *Table) Find(method, path string) (*CompiledBinding, Match) {
	pathFound := false
	match := func(indices []int) *CompiledBinding {
		for _, i := range indices {
			pathFound = true
			if slices.Contains(t.Bindings[i].methods, method) {
				return &t.Bindings[i]
			}
		}
		return nil
	}
	if b := match(t.exact[path]); b != nil {
		return b, Found
	}
	for _, x := range t.prefixes {
		if strings.HasPrefix(path, x.path) {
			if b := match(x.bindings); b != nil {
				return b, Found
			}
		}
	}
	if pathFound {
		return nil, NoMethod
	}
	return nil, NoPath
}

// AllowedMethods lists the methods accepted at path, for the Allow header of a rejection.
func (t *Table) AllowedMethods(path string) []string {
	var out []string
	add := func(indices []int) {
		for _, i := range indices {
			out = append(out, t.Bindings[i].methods...)
		}
	}
	add(t.exact[path])
	for _, x := range t.prefixes {
		if strings.HasPrefix(path, x.path) {
			add(x.bindings)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
