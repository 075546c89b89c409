package route

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/go-playground/validator/v10"
)

// MaxHoldMS is the longest time for which a route may have a request held.
const MaxHoldMS = 600_000

// maxHost is the length of a host in bytes; whoever calls another has no route.
const maxHost = 256

// Problem is what makes a declaration invalid, and where.
type Problem struct{ Path, Why string }

func (p Problem) String() string { return p.Path + ": " + p.Why }

// problems gathers, with what is checked standing at path.
type problems struct {
	path string
	list []Problem
}

func (p *problems) add(field, format string, args ...any) {
	p.list = append(p.list, Problem{strings.TrimSuffix(p.path+field, "/"), fmt.Sprintf(format, args...)})
}

func (p *problems) notBelow0(field string, v int) {
	if v < 0 {
		p.add(field, "is below 0")
	}
}

var tags = validator.New(validator.WithRequiredStructEnabled())

// tagged adds what the tags of a struct's fields forbid.
func (p *problems) tagged(v any) {
	err := tags.Struct(v)
	var bad validator.ValidationErrors
	if !errors.As(err, &bad) {
		return
	}
	for _, f := range bad {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		switch f.Tag() {
		case "required":
			p.add(field, "is missing")
		case "min":
			p.add(field, "has fewer than %s", f.Param())
		default:
			p.add(field, "is longer than %s", f.Param())
		}
	}
}

// Check tells what is wrong with the route by itself.
func (r Route) Check() []Problem {
	var p problems
	r.check(&p)
	return p.list
}

func (r Route) check(p *problems) {
	p.tagged(r)
	if len(r.Host) > maxHost {
		p.add("Host", "is longer than %d bytes", maxHost)
	}
	if r.Prefix != "" && r.Prefix[0] != '/' {
		p.add("Prefix", "does not begin with a slash")
	}
	if r.Repeat < Once || r.Repeat > Download {
		p.add("Repeat", "is not known")
	}
	p.notBelow0("HoldMS", r.HoldMS)
	if r.HoldMS > MaxHoldMS {
		p.add("HoldMS", "is over %d", MaxHoldMS)
	}
	p.notBelow0("AimMS", r.AimMS)
	p.notBelow0("Priority", r.Priority)
	p.notBelow0("Attempts", r.Attempts)
	some := len(r.Shares) < 2 // one service alone has all, whatever its weight
	for i, s := range r.Shares {
		some = some || s.Weight != 0 // what is no weight at all is told of as such
		switch {
		case math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0):
			p.add(fmt.Sprintf("Shares[%d].Weight", i), "is not finite")
		case s.Weight < 0:
			p.add(fmt.Sprintf("Shares[%d].Weight", i), "is below 0")
		}
	}
	if !some {
		p.add("Shares", "all weights are 0")
	}
}

// Check tells what is wrong with the service by itself.
func (s Service) Check() []Problem {
	var p problems
	s.check(&p)
	return p.list
}

func (s Service) check(p *problems) {
	p.tagged(s)
	p.notBelow0("MaxConns", s.MaxConns)
}

// Check tells what is wrong with the limits.
func (l Limits) Check() []Problem {
	var p problems
	l.check(&p)
	return p.list
}

func (l Limits) check(p *problems) {
	p.notBelow0("HeaderBytes", l.HeaderBytes)
	p.notBelow0("BodyBytes", l.BodyBytes)
	p.notBelow0("HeaderMS", l.HeaderMS)
	p.notBelow0("IdleMS", l.IdleMS)
}
