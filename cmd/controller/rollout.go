package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	"walkrudder/internal/control"
	"walkrudder/internal/link"
	"walkrudder/internal/upgrade"
)

// rolloutArgs are the arguments of `controller rollout`.
type rolloutArgs struct {
	Start   *rolloutStart  `arg:"subcommand:start" help:"order that a service's requests move to targets of another version"`
	Revert  *rolloutRevert `arg:"subcommand:revert" help:"take a roll-out that is under way back"`
	Status  *rolloutStatus `arg:"subcommand:status" help:"tell how roll-outs go"`
	Timeout time.Duration  `arg:"--timeout" default:"4s" help:"how long to wait for the answer"`
}

type (
	rolloutStart struct {
		Node    string        `arg:"positional,required" placeholder:"NODE-ADDRESS" help:"inner address of a controller on the platform, IP:port"`
		Service string        `arg:"positional,required" placeholder:"SERVICE"`
		Version string        `arg:"positional,required" placeholder:"VERSION" help:"what the new targets tell with their beats"`
		Term    time.Duration `arg:"--term,required" placeholder:"TIME" help:"by when it is to have ended, as 15m"`
	}
	rolloutRevert struct {
		Node    string `arg:"positional,required" placeholder:"NODE-ADDRESS"`
		Service string `arg:"positional,required" placeholder:"SERVICE"`
	}
	rolloutStatus struct {
		Node    string `arg:"positional,required" placeholder:"NODE-ADDRESS"`
		Service string `arg:"positional" placeholder:"SERVICE" help:"only services whose name begins so"`
		JSON    bool   `arg:"--json" help:"print the answer as JSON"`
	}
)

// Description returns the text at the head of the help.
func (rolloutArgs) Description() string {
	return "controller rollout moves a service's requests to targets of another version (docs/rollouts.md).\nExit code 0 when it was done, 1 when it was not, 2 for bad arguments."
}

// node returns the address of the controller to call.
func (a rolloutArgs) node() string {
	switch {
	case a.Start != nil:
		return a.Start.Node
	case a.Revert != nil:
		return a.Revert.Node
	}
	return a.Status.Node
}

// check validates the arguments.
func (a *rolloutArgs) check(p *arg.Parser) error {
	if p.Subcommand() == nil {
		return errors.New("one of start, revert or status is wanted")
	}
	_, _, err := net.SplitHostPort(a.node())
	return err
}

// rollout runs `controller rollout` and returns its exit code: 0 for success, 1 for failure, 2 for invalid arguments.
func rollout(args []string, out, errw io.Writer) int {
	var a rolloutArgs
	if code, done := parseArgs("rollout", "controller rollout:", args, &a, a.check, out, errw); done {
		return code
	}
	transport := link.NewTCP(link.Identity{ID: "rollout", Kind: "tool"}, "", log.New(io.Discard))
	defer transport.Close()
	return a.execute(transport, out, errw)
}

// execute sends the request and prints the result.
func (a rolloutArgs) execute(transport link.Transport, out, errw io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	var err error
	switch {
	case a.Start != nil:
		order := upgrade.Order{Service: a.Start.Service, To: a.Start.Version, Term: a.Start.Term}
		_, err = link.Call[control.UpgradeTold](ctx, transport, a.Start.Node, control.UpgradeOrderAsk{Order: order})
	case a.Revert != nil:
		_, err = link.Call[control.UpgradeTold](ctx, transport, a.Revert.Node, control.UpgradeRevertAsk{Service: a.Revert.Service})
	default:
		status := showArgs{Node: a.Status.Node, JSON: a.Status.JSON}
		err = printRows[control.UpgradeRow](ctx, status, transport, control.UpgradesAsk{Prefix: a.Status.Service}, out)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errw, "controller rollout:", err)
		return 1
	}
	if a.Status == nil {
		_, _ = fmt.Fprintln(out, "acknowledged")
	}
	return 0
}
