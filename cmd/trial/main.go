// Command trial is the drill: it raises a deployment of real processes, takes a
// zone out while callers call, brings it back, and checks the promises from the
// targets' and callers' own records.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/samber/lo"

	"walkrudder/tools/stand"
)

type args struct {
	Bin   string        `arg:"--bin,required" help:"folder with the programs gateway and controller"`
	Plan  string        `arg:"--plan" default:"alcazar" help:"alcazar or grachtwerk"`
	Zone  string        `arg:"--zone" default:"z1" help:"the zone to take out"`
	How   string        `arg:"--how" default:"kill" help:"kill, freeze or cut (its network, both ways)"`
	Out   time.Duration `arg:"--out" default:"10s" help:"how long the zone is out"`
	Dir   string        `arg:"--dir" help:"folder for logs and data; a new one by default"`
	Net   uint8         `arg:"--net" default:"40" help:"second number of the 127.x addresses"`
	JSON  bool          `arg:"--json" help:"print the report as JSON only"`
	Plant bool          `arg:"--plant" help:"plant a double run in the records, to see the drill fail"`
}

// Description heads the help.
func (args) Description() string {
	return "trial takes a zone out, brings it back and checks the promises. Exit 0 only if all held, 1 if not, 2 for bad arguments."
}

// report is what the drill found.
type report struct {
	Plan       string        `json:"plan"`
	Zone       string        `json:"zone"`
	How        string        `json:"how"`
	Nodes      int           `json:"nodes_out"`
	Targets    int           `json:"targets_out"`
	LateFails  int           `json:"failed_later_than_15s_after"`
	RecoveryMS float64       `json:"last_failure_after_return_ms"`
	Verdict    stand.Verdict `json:"verdict"`
	Held       bool          `json:"held"`
}

// recoverWithin is the promise on serving after machines come back.
const recoverWithin = 15 * time.Second

// ways are the ways in which a zone is taken out.
var ways = []string{"kill", "freeze", "cut"}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(argv []string, out, errw io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "trial"}, &a)
	if err == nil {
		err = p.Parse(argv)
	}
	if err == arg.ErrHelp {
		p.WriteHelp(out)
		return 0
	}
	plan, perr := stand.PlanByName(a.Plan)
	switch {
	case err != nil:
	case perr != nil:
		err = fmt.Errorf("--plan: %w", perr)
	case !slices.Contains(ways, a.How):
		err = fmt.Errorf("--how: %q is none of %s", a.How, strings.Join(ways, ", "))
	case a.Out < time.Second || a.Out > 10*time.Minute:
		err = fmt.Errorf("--out: %s is not between 1s and 10m", a.Out)
	case !hasZone(plan, a.Zone):
		err = fmt.Errorf("--zone: %s has no zone %q", plan.Name, a.Zone)
	}
	for _, prog := range []string{"gateway", "controller"} {
		if err == nil {
			if _, e := os.Stat(a.Bin + "/" + prog); e != nil {
				err = fmt.Errorf("--bin: %w", e)
			}
		}
	}
	if err == nil && a.Dir == "" {
		a.Dir, err = os.MkdirTemp("", "trial-")
	}
	if err != nil {
		_, _ = fmt.Fprintln(errw, "trial:", err)
		return 2
	}
	r, err := drill(a, plan, out)
	if err != nil {
		_, _ = fmt.Fprintln(errw, "trial:", err, "; logs in", a.Dir)
		return 1
	}
	print(out, a, r)
	if !r.Held {
		return 1
	}
	return 0
}

func hasZone(p stand.Plan, z string) bool {
	for i := range p.Zones {
		if z == fmt.Sprintf("z%d", i+1) {
			return true
		}
	}
	return false
}

func drill(a args, plan stand.Plan, out io.Writer) (*report, error) {
	t, err := stand.NewDeployment(plan, a.Dir, a.Bin, a.Net, a.How == "cut")
	if err != nil {
		return nil, err
	}
	defer t.Stop()
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	up, done := context.WithTimeout(ctx, time.Minute)
	defer done()
	if err := t.Start(up); err != nil {
		return nil, err
	}
	say := func(format string, args ...any) {
		if !a.JSON {
			_, _ = fmt.Fprintf(out, format+"\n", args...)
		}
	}
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	go t.Balancer.Run(calls)
	fin, ops := make(chan struct{}), make(chan struct{})
	go func() { t.Callers.Run(calls); close(fin) }()
	go func() { t.RunOperator(calls, func(uint64) {}); close(ops) }()
	go t.Callers.CallContinuously(calls, plan.CallKinds[0], "hammer")
	// A while of calm: what is refused is judged against all calls.
	wait(20 * time.Second)
	r := &report{Plan: plan.Name, Zone: a.Zone, How: a.How}
	say("%s: zone %s goes out (%s)", plan.Name, a.Zone, a.How)
	for _, n := range t.Fleet.Nodes {
		if n.Zone != a.Zone {
			continue
		}
		r.Nodes++
		switch a.How {
		case "freeze":
			n.Freeze()
		case "kill":
			n.Kill()
		}
	}
	for _, x := range t.Targets {
		if x.Zone == a.Zone {
			r.Targets++
			if a.How != "cut" {
				x.Crash()
			}
		}
	}
	if a.How == "cut" {
		t.CutZones(a.Zone)
	}
	// A target elsewhere is emptied meanwhile.
	wait(a.Out / 3)
	if x, ok := lo.Find(t.Targets, func(x *stand.Target) bool { return x.Zone != a.Zone }); ok {
		cx, end := context.WithTimeout(ctx, a.Out/3)
		_, _ = x.Leave(cx)
		end()
	}
	wait(a.Out - a.Out/3)
	say("zone %s comes back: %d nodes, %d targets", a.Zone, r.Nodes, r.Targets)
	back := time.Now()
	if a.How == "cut" {
		t.Relays.SetCut(nil)
	}
	for _, n := range t.Fleet.Nodes {
		switch {
		case n.Zone != a.Zone:
		case a.How == "freeze":
			n.Unfreeze()
		case a.How == "kill":
			if err := n.Start(); err != nil {
				return nil, err
			}
		}
	}
	for _, x := range t.Targets {
		if x.Zone == a.Zone && a.How != "cut" {
			if err := x.Start(ctx); err != nil {
				return nil, err
			}
		}
	}
	wait(recoverWithin + 5*time.Second)
	stop()
	<-fin
	<-ops
	if a.Plant && len(t.Rec.Execs) > 0 {
		for _, o := range t.Rec.Outcomes {
			if !o.Repeatable && o.Status == 200 {
				t.Rec.RecordExec(stand.Exec{At: time.Now(), Order: o.Order, Path: o.Path, Service: o.Service, Target: "planted"})
				break
			}
		}
	}
	jx, quit := context.WithTimeout(ctx, 20*time.Second)
	defer quit()
	r.Verdict = t.Check(jx)
	for _, o := range t.Rec.Failed(back) {
		r.RecoveryMS = max(r.RecoveryMS, float64(o.Sent.Sub(back).Milliseconds()))
		if o.Sent.Sub(back) > recoverWithin {
			r.LateFails++
		}
	}
	r.Held = len(r.Verdict.Violations) == 0 && !r.Verdict.TooManyRefusals && r.LateFails == 0
	return r, nil
}

func print(out io.Writer, a args, r *report) {
	if a.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		_ = e.Encode(r)
		return
	}
	v := r.Verdict
	_, _ = fmt.Fprintf(out, "calls %d, successes %d, refused %d, outcome unknown %d; %v\n", v.Calls, v.Successes, v.Refusals, v.Unknown, v.Classes)
	_, _ = fmt.Fprintf(out, "median %.1f ms, 99 of 100 within %.1f ms; extra sends %d\n", v.P50MS, v.P99MS, v.ExtraSends)
	_, _ = fmt.Fprintf(out, "last failure %.0f ms after the zone's return; %d later than 15 s\n", r.RecoveryMS, r.LateFails)
	for _, b := range v.Violations {
		_, _ = fmt.Fprintln(out, "BROKEN:", b)
	}
	if v.TooManyRefusals {
		_, _ = fmt.Fprintln(out, "BROKEN: refused too often:", v.RefusalReasons)
	}
	if r.Held {
		_, _ = fmt.Fprintln(out, "all promises held")
	} else {
		_, _ = fmt.Fprintln(out, "NOT all promises held")
	}
}
