// Command hollow measures what the product costs at a size beyond this machine: hollow
// processes hold many gateways or targets that speak the real links and carry no traffic,
// around real control-plane nodes; and one real proxy carries calls between stand-ins.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"walkrudder/internal/shell"
)

type args struct {
	Controller *ControllerArgs `arg:"subcommand:controllers" help:"one control-plane node (started by run)"`
	Gateways   *GatewaysArgs   `arg:"subcommand:gateways" help:"many subscribers (started by run)"`
	Targets    *TargetsArgs    `arg:"subcommand:targets" help:"many targets that beat (started by run)"`
	Run        *RunArgs        `arg:"subcommand:run" help:"run a plan of hollow deployments"`
	Slopes     *SlopesArgs     `arg:"subcommand:slopes" help:"lines through the reports of run"`
	Plot       *PlotArgs       `arg:"subcommand:plot" help:"pictures of the lines that slopes fits"`
	Proxy      *ProxyArgs      `arg:"subcommand:proxy" help:"one real proxy (started by load)"`
	Stands     *StandsArgs     `arg:"subcommand:stands" help:"stand-in targets (started by load)"`
	Load       *LoadArgs       `arg:"subcommand:load" help:"calls through one proxy, and the same without it"`
}

func (args) Description() string {
	return "hollow measures the control plane with hollow nodes, and the request path with one real proxy. Everything stays on loopback and ends by itself."
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(argv []string, in io.Reader, out, errw io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "hollow", Out: out}, &a)
	if err == nil {
		err = p.Parse(argv)
	}
	if err == arg.ErrHelp {
		p.WriteHelp(out)
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(errw, "hollow:", err)
		return 2
	}
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer end()
	if a.Controller != nil || a.Gateways != nil || a.Proxy != nil {
		// As the programs that they stand for.
		shell.TuneGC(0)
	}
	switch {
	case a.Controller != nil:
		err = child(ctx, a.Controller.For, in, out, a.Controller.start)
	case a.Gateways != nil:
		err = child(ctx, a.Gateways.For, in, out, a.Gateways.start)
	case a.Targets != nil:
		err = child(ctx, a.Targets.For, in, out, a.Targets.start)
	case a.Proxy != nil:
		err = child(ctx, a.Proxy.For, in, out, a.Proxy.start)
	case a.Stands != nil:
		err = child(ctx, a.Stands.For, in, out, a.Stands.start)
	case a.Load != nil:
		err = a.Load.run(ctx, out, errw)
	case a.Slopes != nil:
		err = a.Slopes.run(out)
	case a.Plot != nil:
		err = a.Plot.run(out)
	case a.Run != nil:
		err = a.Run.run(ctx, out, errw)
	default:
		p.WriteHelp(errw)
		return 2
	}
	if err != nil {
		_, _ = fmt.Fprintln(errw, "hollow:", err)
		return 1
	}
	return 0
}

// maxLife bounds every process that is started, whatever it is told.
const maxLife = 20 * time.Minute

// Order is what the starter tells a process, one a line.
type Order struct {
	Op string
	// Cut lists the IPs that can't be reached from now on, for "cut".
	Cut []string `json:",omitempty"`
	// First, Count, Version and Services describe routes, for "apply".
	First, Count, Services int    `json:",omitempty"`
	Version                uint64 `json:",omitempty"`
	// Rate is how many targets are replaced a second, for "replace".
	Rate float64 `json:",omitempty"`
	// Ports are those of runs, with commas, for "runs".
	Ports string `json:",omitempty"`
	// Dir is where a profile goes, for "profile"; the next such order ends it.
	Dir string `json:",omitempty"`
}

// Told answers an order, or greets.
type Told struct {
	Err   string `json:",omitempty"`
	Inner string `json:",omitempty"`
	Door  string `json:",omitempty"`
	Usage Usage
	Wire  map[string]Count `json:",omitempty"`
	// Begun and Ended are wall times in nanoseconds, for "apply": all processes share
	// one machine's clock.
	Begun, Ended int64 `json:",omitempty"`
	Ready        int   `json:",omitempty"` // nodes that are
	// Seen are the times at which gateways had a version, by version.
	Seen map[uint64][]int64 `json:",omitempty"`
	// Took are times in nanoseconds, by what took them.
	Took   map[string][]int64 `json:",omitempty"`
	Counts map[string]int64   `json:",omitempty"`
}

// handler carries out orders until its process ends; stop ends its parts.
type handler struct {
	do    func(context.Context, Order) Told
	hello Told
	stop  func()
}

// child runs one process's part: it answers orders until the starter closes its input,
// a signal comes, or its time is over.
func child(ctx context.Context, life time.Duration, in io.Reader, out io.Writer, start func(context.Context) (*handler, error)) error {
	ctx, end := context.WithTimeout(ctx, min(max(life, time.Second), maxLife))
	defer end()
	h, err := start(ctx)
	if err != nil {
		return err
	}
	defer h.stop()
	enc := json.NewEncoder(out)
	if err := enc.Encode(h.hello); err != nil {
		return err
	}
	orders := make(chan Order)
	go func() {
		defer end()
		for dec := json.NewDecoder(in); ; {
			var o Order
			if dec.Decode(&o) != nil {
				return
			}
			select {
			case orders <- o:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-orders:
			t := h.do(ctx, o)
			t.Usage = use()
			if err := enc.Encode(t); err != nil {
				return err
			}
		}
	}
}
