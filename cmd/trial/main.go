// Command trial runs an availability test: it starts a deployment of real processes, takes
// a zone out of service under load, brings it back, and checks the guarantees against the
// records of the targets and callers.
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

// Description returns the text at the head of the help.
func (args) Description() string {
	return "trial takes a zone out, brings it back and checks the promises. Exit 0 only if all held, 1 if not, 2 for bad arguments."
}

// report is the result of a trial.
type report struct {
	Plan       string            `json:"plan"`
	Zone       string            `json:"zone"`
	How        string            `json:"how"`
	Nodes      int               `json:"nodes_out"`
	Targets    int               `json:"targets_out"`
	LateFails  int               `json:"failed_later_than_15s_after"`
	RecoveryMS float64           `json:"last_failure_after_return_ms"`
	Verdict    stand.CheckResult `json:"verdict"`
	Held       bool              `json:"held"`
}

// maxRecovery is the guaranteed time after machines come back by which requests are served again.
const maxRecovery = 15 * time.Second

// outageKinds are the ways to take a zone out of service.
var outageKinds = []string{"kill", "freeze", "cut"}

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
	plan, planErr := stand.PlanByName(a.Plan)
	switch {
	case err != nil:
	case planErr != nil:
		err = fmt.Errorf("--plan: %w", planErr)
	case !slices.Contains(outageKinds, a.How):
		err = fmt.Errorf("--how: %q is none of %s", a.How, strings.Join(outageKinds, ", "))
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
	r, err := runTrial(a, plan, out)
	if err != nil {
		_, _ = fmt.Fprintln(errw, "trial:", err, "; logs in", a.Dir)
		return 1
	}
	printReport(out, a, r)
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

// runTrial runs the trial and returns its report; out gets progress lines unless JSON is requested.
func runTrial(a args, plan stand.Plan, out io.Writer) (*report, error) {
	deployment, err := stand.NewDeployment(plan, a.Dir, a.Bin, a.Net, a.How == "cut")
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	startCtx, cancelStart := context.WithTimeout(ctx, time.Minute)
	defer cancelStart()
	if err := deployment.Start(startCtx); err != nil {
		return nil, err
	}
	logf := func(format string, args ...any) {
		if !a.JSON {
			_, _ = fmt.Fprintf(out, format+"\n", args...)
		}
	}
	sleep := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go deployment.Balancer.Run(loadCtx)
	callersDone, operatorDone := make(chan struct{}), make(chan struct{})
	go func() { deployment.Callers.Run(loadCtx); close(callersDone) }()
	go func() { deployment.RunOperator(loadCtx, func(uint64) {}); close(operatorDone) }()
	go deployment.Callers.CallContinuously(loadCtx, plan.CallKinds[0], "hammer")
	// Run undisturbed at first: the limit on refused requests is relative to all requests.
	sleep(20 * time.Second)
	result := &report{Plan: plan.Name, Zone: a.Zone, How: a.How}
	logf("%s: zone %s goes out (%s)", plan.Name, a.Zone, a.How)
	for _, n := range deployment.Fleet.Nodes {
		if n.Zone != a.Zone {
			continue
		}
		result.Nodes++
		switch a.How {
		case "freeze":
			n.Freeze()
		case "kill":
			n.Kill()
		}
	}
	for _, target := range deployment.Targets {
		if target.Zone == a.Zone {
			result.Targets++
			if a.How != "cut" {
				target.Crash()
			}
		}
	}
	if a.How == "cut" {
		deployment.CutZones(a.Zone)
	}
	// Drain a target in another zone during the outage.
	sleep(a.Out / 3)
	if target, ok := lo.Find(deployment.Targets, func(target *stand.Target) bool { return target.Zone != a.Zone }); ok {
		leaveCtx, cancel := context.WithTimeout(ctx, a.Out/3)
		_, _ = target.Leave(leaveCtx)
		cancel()
	}
	sleep(a.Out - a.Out/3)
	logf("zone %s comes back: %d nodes, %d targets", a.Zone, result.Nodes, result.Targets)
	returned := time.Now()
	if a.How == "cut" {
		deployment.Relays.SetCut(nil)
	}
	for _, n := range deployment.Fleet.Nodes {
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
	for _, target := range deployment.Targets {
		if target.Zone == a.Zone && a.How != "cut" {
			if err := target.Start(ctx); err != nil {
				return nil, err
			}
		}
	}
	sleep(maxRecovery + 5*time.Second)
	stopLoad()
	<-callersDone
	<-operatorDone
	if a.Plant && len(deployment.Rec.Execs) > 0 {
		for _, o := range deployment.Rec.Outcomes {
			if !o.Repeatable && o.Status == 200 {
				deployment.Rec.RecordExec(stand.Exec{At: time.Now(), Order: o.Order, Path: o.Path, Service: o.Service, Target: "planted"})
				break
			}
		}
	}
	checkCtx, cancelCheck := context.WithTimeout(ctx, 20*time.Second)
	defer cancelCheck()
	result.Verdict = deployment.Check(checkCtx)
	for _, o := range deployment.Rec.Failed(returned) {
		result.RecoveryMS = max(result.RecoveryMS, float64(o.Sent.Sub(returned).Milliseconds()))
		if o.Sent.Sub(returned) > maxRecovery {
			result.LateFails++
		}
	}
	result.Held = len(result.Verdict.Violations) == 0 && !result.Verdict.TooManyRefusals && result.LateFails == 0
	return result, nil
}

func printReport(out io.Writer, a args, r *report) {
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
