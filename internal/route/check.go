package route

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/go-playground/validator/v10"
)

// MaxHoldMS is the longest time in milliseconds for which a route may let a request wait.
const MaxHoldMS = 600_000

// maxHostLen is the largest length of a host in bytes; a request for a longer host matches no route.
const maxHostLen = 256

// Problem is one defect of a declaration, with the path to it.
type Problem struct{ Path, Reason string }

func (p Problem) String() string { return p.Path + ": " + p.Reason }

// problemList collects problems; path is the value that is being checked.
type problemList struct {
	path string
	list []Problem
}

func (p *problemList) add(field, format string, args ...any) {
	p.list = append(p.list, Problem{strings.TrimSuffix(p.path+field, "/"), fmt.Sprintf(format, args...)})
}

func (p *problemList) nonNegative(field string, v int) {
	if v < 0 {
		p.add(field, "is below 0")
	}
}

var tagValidator = validator.New(validator.WithRequiredStructEnabled())

// checkTags adds violations of the validate tags of a struct's fields.
func (p *problemList) checkTags(v any) {
	err := tagValidator.Struct(v)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return
	}
	for _, f := range violations {
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

// Check reports what is wrong with the route by itself.
func (r Route) Check() []Problem {
	var p problemList
	r.check(&p)
	return p.list
}

func (r Route) check(p *problemList) {
	p.checkTags(r)
	if len(r.Host) > maxHostLen {
		p.add("Host", "is longer than %d bytes", maxHostLen)
	}
	if r.Prefix != "" && r.Prefix[0] != '/' {
		p.add("Prefix", "does not begin with a slash")
	}
	if r.Repeat < AtMostOnce || r.Repeat > Download {
		p.add("Repeat", "is not known")
	}
	p.nonNegative("HoldMS", r.HoldMS)
	if r.HoldMS > MaxHoldMS {
		p.add("HoldMS", "is over %d", MaxHoldMS)
	}
	p.nonNegative("AimMS", r.AimMS)
	p.nonNegative("Priority", r.Priority)
	p.nonNegative("Attempts", r.Attempts)
	anyWeight := len(r.Shares) < 2 // a single service gets all requests, whatever its weight
	for i, s := range r.Shares {
		anyWeight = anyWeight || s.Weight != 0 // invalid weights are reported below
		switch {
		case math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0):
			p.add(fmt.Sprintf("Shares[%d].Weight", i), "is not finite")
		case s.Weight < 0:
			p.add(fmt.Sprintf("Shares[%d].Weight", i), "is below 0")
		}
	}
	if !anyWeight {
		p.add("Shares", "all weights are 0")
	}
}

// Check reports what is wrong with the service by itself.
func (s Service) Check() []Problem {
	var p problemList
	s.check(&p)
	return p.list
}

func (s Service) check(p *problemList) {
	p.checkTags(s)
	p.nonNegative("MaxConns", s.MaxConns)
}

// Check reports what is wrong with the limits.
func (l Limits) Check() []Problem {
	var p problemList
	l.check(&p)
	return p.list
}

func (l Limits) check(p *problemList) {
	p.nonNegative("HeaderBytes", l.HeaderBytes)
	p.nonNegative("BodyBytes", l.BodyBytes)
	p.nonNegative("HeaderMS", l.HeaderMS)
	p.nonNegative("IdleMS", l.IdleMS)
}
