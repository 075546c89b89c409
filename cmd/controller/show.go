package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	"walkrudder/internal/control"
	"walkrudder/internal/link"
)

// The lists that `controller show` can request.
const (
	listItems    = "items"
	listRuns     = "runs"
	listMembers  = "members"
	listCore     = "core"
	listDisk     = "disk"
	listCounters = "counters"
	listRollouts = "rollouts"
)

var allLists = []string{listItems, listRuns, listMembers, listCore, listDisk, listCounters, listRollouts}

// showArgs are the arguments of `controller show`.
type showArgs struct {
	Node    string        `arg:"positional,required" placeholder:"NODE-ADDRESS" help:"inner address of a controller on the platform, IP:port"`
	List    string        `arg:"positional,required" placeholder:"LIST" help:"items, runs, members, core, disk, counters or rollouts"`
	Service string        `arg:"--service" placeholder:"S" help:"runs of this service only"`
	Prefix  string        `arg:"--prefix" placeholder:"P" help:"what begins so: items by name, or by host and path; runs by ID; counters by name; rollouts by service"`
	After   string        `arg:"--after" placeholder:"KEY" help:"the page past this key; an answer that was cut names it"`
	Most    int           `arg:"--most" placeholder:"N" help:"rows of one answer, 1000 at most [default: 200]"`
	JSON    bool          `arg:"--json" help:"print the answer as JSON"`
	Timeout time.Duration `arg:"--timeout" default:"3s" help:"how long to wait for the answer"`
}

// Description returns the text at the head of the help.
func (showArgs) Description() string {
	return "controller show asks a running controller of the platform what it knows. It changes nothing.\nExit code 0 when it was answered, 1 when it was not, 2 for bad arguments."
}

// check validates the arguments.
func (a showArgs) check() error {
	_, port, err := net.SplitHostPort(a.Node)
	if err != nil {
		return fmt.Errorf("NODE-ADDRESS: %w", err)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("NODE-ADDRESS: %q is no port", port)
	}
	switch {
	case !slices.Contains(allLists, a.List):
		return fmt.Errorf("LIST: %q is none of %s", a.List, strings.Join(allLists, ", "))
	case a.Service != "" && a.List != listRuns:
		return errors.New("--service: goes with runs alone")
	case a.Prefix != "" && (a.List == listMembers || a.List == listCore || a.List == listDisk):
		return fmt.Errorf("--prefix: does not go with %s", a.List)
	case a.Most < 0 || a.Most > 1000:
		return fmt.Errorf("--most: %d is not from 1 to 1000", a.Most)
	case a.Timeout < 10*time.Millisecond || a.Timeout > time.Minute:
		return fmt.Errorf("--timeout: %v is not from 10ms to 1m", a.Timeout)
	}
	return nil
}

// show requests one list from one node and returns the exit code: 0 for success, 1 for failure, 2 for
// invalid arguments.
func show(args []string, out, errw io.Writer) int {
	var a showArgs
	if code, done := parseArgs("show", "controller show:", args, &a, func(*arg.Parser) error { return a.check() }, out, errw); done {
		return code
	}
	transport := link.NewTCP(link.Identity{ID: "show", Kind: "tool"}, "", log.New(io.Discard))
	defer transport.Close()
	return a.execute(transport, out, errw)
}

// execute requests the list and prints it.
func (a showArgs) execute(transport link.Transport, out, errw io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	page := control.Page{After: a.After, Most: a.Most}
	var err error
	switch a.List {
	case listItems:
		err = printRows[control.ItemRow](ctx, a, transport, control.ItemsAsk{Page: page, Prefix: a.Prefix}, out)
	case listRuns:
		err = printRows[control.RunRow](ctx, a, transport, control.RunsAsk{Page: page, Service: a.Service, Prefix: a.Prefix}, out)
	case listMembers:
		err = printRows[control.MemberRow](ctx, a, transport, control.MembersAsk{Page: page}, out)
	case listCore:
		err = printRows[control.SeatRow](ctx, a, transport, control.CoreAsk{Page: page}, out)
	case listDisk:
		err = printRows[control.DiskRow](ctx, a, transport, control.DiskAsk{Page: page}, out)
	case listCounters:
		err = printRows[control.CounterRow](ctx, a, transport, control.CountersAsk{Page: page, Prefix: a.Prefix}, out)
	case listRollouts:
		err = printRows[control.UpgradeRow](ctx, a, transport, control.UpgradesAsk{Page: page, Prefix: a.Prefix}, out)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errw, "controller show: %s not told: %v\n", a.List, err)
		return 1
	}
	return 0
}

// printRows sends one request and prints the rows of its answer.
func printRows[R any](ctx context.Context, a showArgs, transport link.Transport, request any, out io.Writer) error {
	answer, err := link.Call[control.Answer[R]](ctx, transport, a.Node, request)
	if err != nil {
		return err
	}
	if a.JSON {
		b, err := json.Marshal(answer)
		if err == nil {
			_, err = fmt.Fprintln(out, string(b))
		}
		return err
	}
	b, err := json.Marshal(answer.Rows)
	if err != nil {
		return err
	}
	freshness := "fresh: knows all that was acknowledged until " + strconv.FormatInt(answer.BehindMS, 10) + " ms ago"
	if !answer.Fresh {
		freshness = "NOT FRESH: may miss what was acknowledged"
	}
	_, _ = fmt.Fprintf(out, "# %s in %s, %s\n", answer.Node, answer.Zone, freshness)
	printTable(b, out)
	if answer.Next != "" {
		_, _ = fmt.Fprintf(out, "# %d of %d rows; the next: --after %q\n", len(answer.Rows), answer.Total, answer.Next)
	}
	return nil
}
