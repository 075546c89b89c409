// Package spec defines the route sheet: the services and bindings that operators declare, their
// validation, edits, and the compiled form used for routing (design 8).
package spec

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/samber/lo"
)

// Service is a group of targets that bindings may route to.
type Service struct {
	Name string `json:"name" yaml:"name" validate:"required,max=64,word"`
	// Suspect is the suspicion level at which a target is not selected; 0 means 0.99.
	Suspect float64 `json:"suspect,omitempty" yaml:"suspect,omitempty" validate:"gte=0,lt=1"`
	Note    string  `json:"note,omitempty" yaml:"note,omitempty" validate:"max=256"`
}

// Binding routes requests by method and path to a service.
type Binding struct {
	Name    string   `json:"name" yaml:"name" validate:"required,max=64,word"`
	Service string   `json:"service" yaml:"service" validate:"required,max=64,word"`
	Methods []string `json:"methods" yaml:"methods" validate:"required,min=1,max=9,unique,dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// Path is an exact path, or ends in "/*" and matches all paths below it.
	Path string `json:"path" yaml:"path" validate:"required,max=512,route"`
	// ExpiryMS is the time limit of a call in milliseconds.
	ExpiryMS int `json:"expiry_ms" yaml:"expiry_ms" validate:"required,min=50,max=60000"`
	// Repeatable declares that running a request twice is harmless.
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
	// MaxBody bounds the request body in bytes; 0 means 1 MiB.
	MaxBody int    `json:"max_body,omitempty" yaml:"max_body,omitempty" validate:"gte=0,lte=16777216"`
	Note    string `json:"note,omitempty" yaml:"note,omitempty" validate:"max=256"`
}

// Sheet is the complete route sheet.
type Sheet struct {
	Services []Service `json:"services" yaml:"services" validate:"max=256,dive"`
	Bindings []Binding `json:"bindings" yaml:"bindings" validate:"max=1024,dive"`
}

// Problem is a validation error of a sheet, with the path of the faulty element.
type Problem struct {
	Path   string `json:"path"`
	Reason string `json:"why"`
}

func (p Problem) String() string { return p.Path + ": " + p.Reason }

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	structValidator = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	for n, f := range map[string]validator.Func{
		"word":  func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) },
		"route": func(f validator.FieldLevel) bool { return validPath(f.Field().String()) },
	} {
		if err := v.RegisterValidation(n, f); err != nil {
			panic(err)
		}
	}
	return v
}

func validPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#% \t\r\n") || strings.Contains(p, "//") {
		return false
	}
	i := strings.IndexByte(p, '*')
	return (i < 0 || i == len(p)-1 && strings.HasSuffix(p, "/*")) &&
		!lo.SomeBy(strings.Split(p, "/"), func(s string) bool { return s == "." || s == ".." }) &&
		p != ReservedPath && !strings.HasPrefix(p, ReservedPath+"/")
}

// ReservedPath is the path prefix of the gateway's and controller's own endpoints.
const ReservedPath = "/_walkrudder"

// Check returns all problems of s; a sheet without problems may be put in force.
func (s Sheet) Check() []Problem {
	var out []Problem
	if err := structValidator.Struct(s); err != nil {
		fieldErrs, ok := err.(validator.ValidationErrors)
		if !ok {
			return []Problem{{"", err.Error()}}
		}
		for _, f := range fieldErrs {
			out = append(out, Problem{fieldPath(f.Namespace()), describe(f)})
		}
	}
	services := map[string]int{}
	for i, v := range s.Services {
		if j, dup := services[v.Name]; dup {
			out = append(out, Problem{fmt.Sprintf("services[%d].name", i), fmt.Sprintf("%q is already services[%d]", v.Name, j)})
			continue
		}
		services[v.Name] = i
	}
	names, owners := map[string]int{}, map[string]string{}
	for i, b := range s.Bindings {
		at := fmt.Sprintf("bindings[%d].", i)
		if j, dup := names[b.Name]; dup {
			out = append(out, Problem{at + "name", fmt.Sprintf("%q is already bindings[%d]", b.Name, j)})
		} else {
			names[b.Name] = i
		}
		if _, ok := services[b.Service]; !ok && b.Service != "" {
			out = append(out, Problem{at + "service", fmt.Sprintf("no service %q", b.Service)})
		}
		for _, m := range b.Methods {
			k := m + " " + b.Path
			if o, dup := owners[k]; dup && o != b.Name {
				out = append(out, Problem{at + "path", fmt.Sprintf("%s is already taken by binding %q", k, o)})
			}
			owners[k] = b.Name
		}
	}
	return out
}

// fieldPath converts the validator's field namespace into the path that operators write.
func fieldPath(ns string) string {
	parts := strings.Split(ns, ".")[1:]
	for i, p := range parts {
		n, idx, _ := strings.Cut(p, "[")
		if f, ok := fieldNames[n]; ok {
			n = f
		} else {
			n = strings.ToLower(n)
		}
		if idx != "" {
			n += "[" + idx
		}
		parts[i] = n
	}
	return strings.Join(parts, ".")
}

var fieldNames = map[string]string{"ExpiryMS": "expiry_ms", "MaxBody": "max_body"}

func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "word":
		return fmt.Sprintf("%q is no name: lower-case letters, digits and inner . _ -", f.Value())
	case "route":
		return fmt.Sprintf("%q is no path: it starts with /, may end in /*, has no query, and is not below %s", f.Value(), ReservedPath)
	case "oneof":
		return fmt.Sprintf("%q is none of %s", f.Value(), f.Param())
	case "unique":
		return "names one value twice"
	}
	return fmt.Sprintf("%v breaks %s %s", f.Value(), f.Tag(), f.Param())
}

// Sorted returns the sheet in the canonical order in which it is stored and compared.
func (s Sheet) Sorted() Sheet {
	s.Services, s.Bindings = slices.Clone(s.Services), slices.Clone(s.Bindings)
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Bindings, func(a, b Binding) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
