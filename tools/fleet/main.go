// Command fleet runs a whole deployment as real processes on this machine with stand-in targets and
// callers, and prints what the checker found.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alexflint/go-arg"

	"walkrudder/internal/queries"
	"walkrudder/tools/stand"
)

type args struct {
	Plan  string        `arg:"--plan" default:"alcazar" help:"alcazar or grachtwerk"`
	For   time.Duration `arg:"--for" default:"20s" help:"how long callers call"`
	Bin   string        `arg:"--bin,required" help:"folder with the programs gateway and controller"`
	Dir   string        `arg:"--dir" help:"folder for logs and data; a new one by default"`
	Fail  bool          `arg:"--failures" help:"kill, freeze, stop and empty nodes and misuse targets meanwhile"`
	Roll  bool          `arg:"--rolling" help:"stop every node in turn as planned and start it again, with slow targets"`
	Cuts  bool          `arg:"--cuts" help:"with --failures: also cut zones, halves and single nodes off"`
	Times int           `arg:"--times" default:"1" help:"so many times the nodes, targets and calls"`
	Seed  uint64        `arg:"--seed" default:"1" help:"of the failures"`
	Net   uint8         `arg:"--net" default:"20" help:"second number of the 127.x addresses"`
}

func (args) Description() string {
	return "fleet runs a deployment as real processes with stand-in targets and callers, and checks the promises from their records."
}

func main() { os.Exit(run()) }

func run() int {
	var a args
	arg.MustParse(&a)
	plan, err := stand.PlanByName(a.Plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet: plan:", err)
		return 2
	}
	plan = plan.Scaled(max(1, a.Times))
	if a.Dir == "" {
		if a.Dir, err = os.MkdirTemp("", "fleet-"); err != nil {
			fmt.Fprintln(os.Stderr, "fleet: dir:", err)
			return 2
		}
	}
	d, err := stand.NewDeployment(plan, a.Dir, a.Bin, a.Net, a.Cuts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 2
	}
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	defer d.Stop()
	startCtx, cancelStart := context.WithTimeout(ctx, 30*time.Second)
	defer cancelStart()
	began := time.Now()
	if err := d.Start(startCtx); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err, "; logs in", a.Dir)
		return 1
	}
	fmt.Printf("%s: %d processes, %d targets, serving after %.1f s; logs in %s\n", plan.Name, len(d.Fleet.Nodes), len(d.Targets), time.Since(began).Seconds(), a.Dir)
	runCtx, cancelRun := context.WithTimeout(ctx, a.For)
	defer cancelRun()
	go d.Balancer.Run(runCtx)
	operatorDone := make(chan struct{})
	go func() {
		defer close(operatorDone)
		d.RunOperator(runCtx, func(n uint64) { fmt.Printf("version %d in force\n", n) })
	}()
	if a.Roll {
		for _, x := range d.Targets {
			x.MeanWork = 400 * time.Millisecond
		}
		go restartInTurn(runCtx, d)
	}
	if a.Fail {
		// Failures end 20 s before the calls, so that the deployment can recover.
		failureCtx, cancelFailures := context.WithTimeout(runCtx, a.For-20*time.Second)
		defer cancelFailures()
		go injectFailures(failureCtx, d, a.Seed)
	}
	usageBefore := map[*stand.Node]stand.Usage{}
	for _, n := range d.Fleet.Nodes {
		usageBefore[n], _ = n.Usage()
	}
	began = time.Now()
	d.Callers.Run(runCtx)
	<-operatorDone
	printUsage(d, usageBefore, time.Since(began))
	for _, l := range d.Rec.Timeline() {
		fmt.Println(l)
	}
	checkCtx, cancelCheck := context.WithTimeout(ctx, 20*time.Second)
	defer cancelCheck()
	v := d.Check(checkCtx)
	if a.Fail && len(v.FailureCounts) == 0 {
		v.Violations = append(v.Violations, "no failure was injected")
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
	if len(v.Violations) > 0 || v.TooManyRefusals {
		return 1
	}
	return 0
}

// printUsage prints the resource use of the processes and how long changes and leaves took to be
// acknowledged.
func printUsage(d *stand.Deployment, before map[*stand.Node]stand.Usage, elapsed time.Duration) {
	for _, kind := range []string{"gateway", "controller"} {
		var cpu, mem []float64
		for _, n := range d.Fleet.NodesOf(kind) {
			if u, ok := n.Usage(); ok && u.CPU >= before[n].CPU {
				cpu = append(cpu, 100*float64(u.CPU-before[n].CPU)/float64(elapsed))
				mem = append(mem, float64(u.RSS)/(1<<20))
			}
		}
		same := func(x float64) float64 { return x }
		fmt.Printf("each %s: %s %% of a core, %s MiB at most\n", kind, stand.SpreadOf(cpu, same), stand.SpreadOf(mem, same))
	}
	ms := func(elapsed time.Duration) float64 { return float64(elapsed.Microseconds()) / 1000 }
	queryCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var p queries.FullState
	if err := d.Query(queryCtx, "show picture", &p); err != nil {
		fmt.Println("suspicions not read:", err)
	} else {
		ns := stand.Suspicions(p)
		bad, after := d.Rec.ClassifySuspicions(ns)
		fmt.Printf("suspected by mistake: %d of %d; crashed targets suspected after %s ms\n", bad, len(ns), stand.SpreadOf(after, ms))
	}
	cs, ls := d.Rec.AckLatencies()
	fmt.Printf("change in force after %s ms, leave acknowledged after %s ms\n", stand.SpreadOf(cs, ms), stand.SpreadOf(ls, ms))
}
