// Package startup reads a process's settings from a file and from flags, which take precedence
// (design 14).
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

// Node holds the settings common to both programs.
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

// ListenAddr returns the address at which this process listens for the other nodes.
func (n Node) ListenAddr() string {
	if n.Bind != "" {
		return n.Bind
	}
	return n.Inner
}

// Gateway holds the settings of a data-plane node.
type Gateway struct {
	Node `yaml:",inline"`
	Map  string `arg:"--map" yaml:"map" help:"GraphViz or GeoJSON file that tells how far zones are apart"`
	// Chart holds the distances read from the file Map.
	Chart *topology.Distances `arg:"-" yaml:"-"`
}

// Version returns the text printed for --version.
func (Gateway) Version() string { return "gateway " + Version }

// Description returns the head of the help text.
func (Gateway) Description() string {
	return "gateway takes callers' requests and passes them to targets."
}

// Controller holds the settings of a control-plane node.
type Controller struct {
	Node `yaml:",inline"`
	Data string `arg:"--data" yaml:"data" help:"folder on a disk that lasts; without it this controller does not vote"`
	Core int    `arg:"--core" yaml:"core" validate:"omitempty,oneof=1 3 5" help:"voters of a first core, the same on every controller [default: 3]"`
}

// Version returns the text printed for --version.
func (Controller) Version() string { return "controller " + Version }

// Description returns the head of the help text.
func (Controller) Description() string {
	return "controller keeps the shared state, watches targets and brings changes into force."
}

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return strings.Split(f.Tag.Get("yaml"), ",")[0] })
	for n, f := range map[string]validator.Func{
		"ipport": func(f validator.FieldLevel) bool { return validIPPort(f.Field().String()) },
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

func validIPPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := net.LookupPort("tcp", port)
	return err == nil && n > 0 && strings.Trim(port, "0123456789") == ""
}

// ErrHelpShown means that help or version was printed and nothing is to be run.
var ErrHelpShown = errors.New("shown")

// Read fills dest, a pointer to Gateway or Controller, from args and the settings file that
// they name. Errors name the faulty field.
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
		if err := readFile(n.Startup, dest); err != nil {
			return err
		}
		// Flags take precedence over the file, so they are parsed again after it. A list
		// given by flags replaces that of the file.
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
	if controller, ok := dest.(*Controller); ok && controller.Core == 0 {
		controller.Core = 3
	}
	return validate(dest)
}

func parse(p *arg.Parser, dest any, args []string, out io.Writer) error {
	err := p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return ErrHelpShown
	case errors.Is(err, arg.ErrVersion):
		if v, ok := dest.(arg.Versioned); ok {
			_, _ = fmt.Fprintln(out, v.Version())
		}
		return ErrHelpShown
	}
	return err
}

// NodeOf returns the settings of dest that are common to both programs.
func NodeOf(dest any) *Node {
	switch s := dest.(type) {
	case *Gateway:
		return &s.Node
	case *Controller:
		return &s.Node
	}
	panic("settings of an unknown program")
}

func readFile(path string, dest any) error {
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

// validate checks dest against its tags, and the rules that tags cannot express.
func validate(dest any) error {
	if err := structValidator.Struct(dest); err != nil {
		var fs validator.ValidationErrors
		if !errors.As(err, &fs) {
			return err
		}
		return errors.New(strings.Join(lo.Map(fs, func(f validator.FieldError, _ int) string { return describe(f) }), "; "))
	}
	n := NodeOf(dest)
	if n.Inner == n.Door || n.Bind == n.Door {
		return fmt.Errorf("door: %s is also the inner address", n.Door)
	}
	if gateway, ok := dest.(*Gateway); ok && gateway.Map != "" {
		distances, err := topology.Read(gateway.Map)
		if err != nil {
			return fmt.Errorf("map: %w", err)
		}
		gateway.Chart = distances
	}
	if controller, ok := dest.(*Controller); ok && controller.Data != "" {
		i, err := os.Stat(controller.Data)
		if err != nil {
			return fmt.Errorf("data: %w", err)
		}
		if !i.IsDir() {
			return fmt.Errorf("data: %s is no folder", controller.Data)
		}
	}
	return nil
}

func describe(fieldErr validator.FieldError) string {
	switch fieldErr.Tag() {
	case "required":
		return fieldErr.Field() + ": is missing"
	case "ipport":
		return fmt.Sprintf("%s: %q is not IP:port", fieldErr.Field(), fieldErr.Value())
	case "name":
		return fmt.Sprintf("%s: %q may hold letters, digits, . _ and - only", fieldErr.Field(), fieldErr.Value())
	case "oneof":
		return fmt.Sprintf("%s: %v is none of %s", fieldErr.Field(), fieldErr.Value(), fieldErr.Param())
	}
	return fmt.Sprintf("%s: %v breaks %s %s", fieldErr.Field(), fieldErr.Value(), fieldErr.Tag(), fieldErr.Param())
}

// Logger returns a logger that writes JSON lines to w.
func Logger(w io.Writer, n Node, program string) *log.Logger {
	lv, err := log.ParseLevel(n.Level)
	if err != nil {
		lv = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Level: lv}).
		With("program", program, "node", n.ID, "zone", n.Zone)
}
