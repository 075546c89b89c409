package spec

import (
	"fmt"
	"slices"
)

// The operations of an edit.
const (
	PutService    = "put-service"
	RemoveService = "remove-service"
	PutBinding    = "put-binding"
	RemoveBinding = "remove-binding"
	Replace       = "replace"
)

// Edit is one edit of the sheet.
type Edit struct {
	Op      string   `json:"op"`
	Name    string   `json:"name,omitempty"`
	Service *Service `json:"service,omitempty"`
	Binding *Binding `json:"binding,omitempty"`
	Sheet   *Sheet   `json:"sheet,omitempty"`
}

// Apply returns the sheet that results from applying edits to s, or the problems that prevent
// it. A change is applied as a whole or not at all (design 8.1).
func (s Sheet) Apply(edits []Edit) (Sheet, []Problem) {
	out := s.Sorted()
	var problems []Problem
	if len(edits) == 0 {
		problems = append(problems, Problem{"edits", "is empty"})
	}
	for i, e := range edits {
		at := fmt.Sprintf("edits[%d]", i)
		switch {
		case e.Op == PutService && e.Service != nil:
			out.Services = slices.DeleteFunc(out.Services, func(x Service) bool { return x.Name == e.Service.Name })
			out.Services = append(out.Services, *e.Service)
		case e.Op == PutBinding && e.Binding != nil:
			out.Bindings = slices.DeleteFunc(out.Bindings, func(x Binding) bool { return x.Name == e.Binding.Name })
			out.Bindings = append(out.Bindings, *e.Binding)
		case e.Op == RemoveService:
			n := len(out.Services)
			if out.Services = slices.DeleteFunc(out.Services, func(x Service) bool { return x.Name == e.Name }); len(out.Services) == n {
				problems = append(problems, Problem{at + ".name", fmt.Sprintf("no service %q", e.Name)})
			}
		case e.Op == RemoveBinding:
			n := len(out.Bindings)
			if out.Bindings = slices.DeleteFunc(out.Bindings, func(x Binding) bool { return x.Name == e.Name }); len(out.Bindings) == n {
				problems = append(problems, Problem{at + ".name", fmt.Sprintf("no binding %q", e.Name)})
			}
		case e.Op == Replace && e.Sheet != nil:
			out = *e.Sheet
		default:
			problems = append(problems, Problem{at, fmt.Sprintf("op %q unknown, or its content is missing", e.Op)})
		}
	}
	// Check before sorting, so that the problems' paths match the order that the caller wrote.
	if problems = append(problems, out.Check()...); len(problems) > 0 {
		return s, problems
	}
	return out.Sorted(), nil
}
