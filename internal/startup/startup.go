// Package startup reads what a process is told at its start: a settings file,
// and flags that go before it (design 14).
package startup

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/samber/lo"

	"walkrudder/internal/topology"
)

// Version is the program's version.
var Version = "0.1.0"

// Node is what both programs are told.
type Node struct {
	Startup string   `arg:"--startup,-s" yaml:"-" help:"settings file, YAML or JSON; flags go before it"`
	ID      string   `arg:"--id" yaml:"id" validate:"required,max=64,name" help:"this node's name, unlike any other's"`
	Zone    string   `arg:"--zone" yaml:"zone" validate:"required,max=64,name" help:"the zone it stands in"`
	Inner   string   `arg:"--inner" yaml:"inner" validate:"required,ipport" help:"IP:port for the other nodes"`
	Bind    string   `arg:"--bind" yaml:"bind" validate:"omitempty,ipport" help:"IP:port to listen at for the other nodes, and IP to call from, where that is not the inner address, as behind an address translation"`
	Door    string   `arg:"--door" yaml:"door" validate:"required,ipport" help:"IP:port for HTTP: callers (gateway), targets and operators (controller), the platform"`
	Seeds   []string `arg:"--seed,separate" yaml:"seeds" validate:"required,min=1,max=9,unique,dive,ipport" help:"inner address of a seed; give it once for each"`
	Level   string   `arg:"--level" yaml:"level" validate:"omitempty,oneof=debug info warn error" help:"least level logged [default: info]"`
}

// Own is the address at which this process itself listens for the other nodes.
func (n Node) Own() string {
	if n.Bind != "" {
		return n.Bind
	}
	return n.Inner
}

// Gateway is what the data plane is told.
type Gateway struct {
	Node `yaml:",inline"`
	Map  string `arg:"--map" yaml:"map" help:"GraphViz or GeoJSON file that tells how far zones are apart"`
	// Chart is what the map says.
	Chart *topology.Chart `arg:"-" yaml:"-"`
}

// Version tells the version for --version.
func (Gateway) Version() string { return "gateway " + Version }

// Description heads the help.
func (Gateway) Description() string {
	return "gateway takes callers' requests and passes them to targets."
}

// Controller is what the control plane is told.
type Controller struct {
	Node `yaml:",inline"`
	Data string `arg:"--data" yaml:"data" help:"folder on a disk that lasts; without it this controller does not vote"`
	Core int    `arg:"--core" yaml:"core" validate:"omitempty,oneof=1 3 5" help:"voters of a first core, the same on every controller [default: 3]"`
}

// Version tells the version for --version.
func (Controller) Version() string { return "controller " + Version }

// Description heads the help.
func (Controller) Description() string {
	return "controller keeps the shared state, watches targets and brings changes into force."
}

var check = newCheck()

func newCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return strings.Split(f.Tag.Get("yaml"), ",")[0] })
	for n, f := range map[string]validator.Func{
		"ipport": func(f validator.FieldLevel) bool { return ipPort(f.Field().String()) },
		"name": func(f validator.FieldLevel) bool {
			return lo.EveryBy([]byte(f.Field().String()), func(c byte) bool {
				return c == '-' || c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
			})
		},
	} {
		if err := v.RegisterValidation(n, f); err != nil {
			panic(err)
		}
	}
	return v
}

func ipPort(s string) bool {
	h, p, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(h) == nil {
		return false
	}
	n, err := net.LookupPort("tcp", p)
	return err == nil && n > 0 && strings.Trim(p, "0123456789") == ""
}

// ErrShown says that help or version was printed and nothing is to be run.
var ErrShown = errors.New("shown")

// Read fills dest, a pointer to Gateway or Controller, from args and the settings file
// they name. What is wrong is told with the field's name.
func Read(dest any, name string, args []string, out io.Writer) error {
	p, err := arg.NewParser(arg.Config{Program: name}, dest)
	if err != nil {
		return err
	}
	if err := parse(p, dest, args, out); err != nil {
		return err
	}
	n := NodeOf(dest)
	if n.Startup != "" {
		if err := file(n.Startup, dest); err != nil {
			return err
		}
		// Flags go before the file: they are read again on top of it. A list is
		// replaced, not added to.
		seeds := n.Seeds
		if lo.SomeBy(args, func(a string) bool { return strings.HasPrefix(a, "--seed") }) {
			n.Seeds = nil
		}
		if err := parse(p, dest, args, out); err != nil {
			return err
		}
		if len(n.Seeds) == 0 {
			n.Seeds = seeds
		}
	}
	if n.Level == "" {
		n.Level = "info"
	}
	if m, ok := dest.(*Controller); ok && m.Core == 0 {
		m.Core = 3
	}
	return verify(dest)
}

func parse(p *arg.Parser, dest any, args []string, out io.Writer) error {
	err := p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return ErrShown
	case errors.Is(err, arg.ErrVersion):
		if v, ok := dest.(arg.Versioned); ok {
			_, _ = fmt.Fprintln(out, v.Version())
		}
		return ErrShown
	}
	return err
}

// NodeOf is the part of dest that both programs have.
func NodeOf(dest any) *Node {
	switch d := dest.(type) {
	case *Gateway:
		return &d.Node
	case *Controller:
		return &d.Node
	}
	panic("startup of an unknown program")
}

func file(path string, dest any) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("startup file: %w", err)
	}
	defer f.Close()
	err = yaml.NewDecoder(io.LimitReader(f, 1<<20), yaml.Strict()).Decode(dest)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("startup file %s: %s", filepath.Base(path), strings.TrimSpace(yaml.FormatError(err, false, false)))
	}
	return nil
}

// verify checks dest's tags, and what tags cannot say.
func verify(dest any) error {
	if err := check.Struct(dest); err != nil {
		var fs validator.ValidationErrors
		if !errors.As(err, &fs) {
			return err
		}
		return errors.New(strings.Join(lo.Map(fs, func(f validator.FieldError, _ int) string { return told(f) }), "; "))
	}
	n := NodeOf(dest)
	if n.Inner == n.Door || n.Bind == n.Door {
		return fmt.Errorf("door: %s is also the inner address", n.Door)
	}
	if f, ok := dest.(*Gateway); ok && f.Map != "" {
		c, err := topology.Read(f.Map)
		if err != nil {
			return fmt.Errorf("map: %w", err)
		}
		f.Chart = c
	}
	if m, ok := dest.(*Controller); ok && m.Data != "" {
		i, err := os.Stat(m.Data)
		if err != nil {
			return fmt.Errorf("data: %w", err)
		}
		if !i.IsDir() {
			return fmt.Errorf("data: %s is no folder", m.Data)
		}
	}
	return nil
}

func told(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return f.Field() + ": is missing"
	case "ipport":
		return fmt.Sprintf("%s: %q is not IP:port", f.Field(), f.Value())
	case "name":
		return fmt.Sprintf("%s: %q may hold letters, digits, . _ and - only", f.Field(), f.Value())
	case "oneof":
		return fmt.Sprintf("%s: %v is none of %s", f.Field(), f.Value(), f.Param())
	}
	return fmt.Sprintf("%s: %v breaks %s %s", f.Field(), f.Value(), f.Tag(), f.Param())
}

// Logger writes JSON lines to w.
func Logger(w io.Writer, n Node, program string) *log.Logger {
	lv, err := log.ParseLevel(n.Level)
	if err != nil {
		lv = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Level: lv}).
		With("program", program, "node", n.ID, "zone", n.Zone)
}
