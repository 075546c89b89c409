// Command fleet runs a whole deployment as real processes on this machine, with
// stand-in targets and callers, and reports what the checker found.
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
	p, err := stand.Plans(a.Plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet: plan:", err)
		return 2
	}
	p = p.Times(max(1, a.Times))
	if a.Dir == "" {
		if a.Dir, err = os.MkdirTemp("", "fleet-"); err != nil {
			fmt.Fprintln(os.Stderr, "fleet: dir:", err)
			return 2
		}
	}
	t, err := stand.NewTown(p, a.Dir, a.Bin, a.Net, a.Cuts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 2
	}
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	defer t.Lower()
	up, done := context.WithTimeout(ctx, 30*time.Second)
	defer done()
	began := time.Now()
	if err := t.Raise(up); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err, "; logs in", a.Dir)
		return 1
	}
	fmt.Printf("%s: %d processes, %d targets, serving after %.1f s; logs in %s\n", p.Name, len(t.Fleet.Nodes), len(t.Targets), time.Since(began).Seconds(), a.Dir)
	cx, stop := context.WithTimeout(ctx, a.For)
	defer stop()
	go t.Platform.Run(cx)
	ops := make(chan struct{})
	go func() {
		defer close(ops)
		t.Operate(cx, func(n uint64) { fmt.Printf("version %d in force\n", n) })
	}()
	if a.Roll {
		for _, x := range t.Targets {
			x.Work = 400 * time.Millisecond
		}
		go rolling(cx, t)
	}
	if a.Fail {
		// The last seconds are for coming back.
		fx, fin := context.WithTimeout(cx, a.For-20*time.Second)
		defer fin()
		go failures(fx, t, a.Seed)
	}
	from := map[*stand.Node]stand.Usage{}
	for _, n := range t.Fleet.Nodes {
		from[n], _ = n.Use()
	}
	began = time.Now()
	t.Callers.Go(cx)
	<-ops
	usage(t, from, time.Since(began))
	for _, l := range t.Rec.Timeline() {
		fmt.Println(l)
	}
	jx, quit := context.WithTimeout(ctx, 20*time.Second)
	defer quit()
	v := t.Judge(jx)
	if a.Fail && len(v.Acts) == 0 {
		v.Broken = append(v.Broken, "no failure was brought about")
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
	if len(v.Broken) > 0 || v.Refused {
		return 1
	}
	return 0
}

// usage tells what the processes used, and how long changes and leavings took to
// their acknowledgement.
func usage(t *stand.Town, from map[*stand.Node]stand.Usage, d time.Duration) {
	for _, kind := range []string{"gateway", "controller"} {
		var cpu, mem []float64
		for _, n := range t.Fleet.Of(kind) {
			if u, ok := n.Use(); ok && u.CPU >= from[n].CPU {
				cpu = append(cpu, 100*float64(u.CPU-from[n].CPU)/float64(d))
				mem = append(mem, float64(u.RSS)/(1<<20))
			}
		}
		same := func(x float64) float64 { return x }
		fmt.Printf("each %s: %s %% of a core, %s MiB at most\n", kind, stand.SpreadOf(cpu, same), stand.SpreadOf(mem, same))
	}
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	cx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	var p queries.FullState
	if err := t.Say(cx, "show picture", &p); err != nil {
		fmt.Println("suspicions not read:", err)
	} else {
		ns := stand.Suspicions(p)
		bad, after := t.Rec.Suspected(ns)
		fmt.Printf("suspected by mistake: %d of %d; crashed targets suspected after %s ms\n", bad, len(ns), stand.SpreadOf(after, ms))
	}
	cs, ls := t.Rec.Took()
	fmt.Printf("change in force after %s ms, leaving acknowledged after %s ms\n", stand.SpreadOf(cs, ms), stand.SpreadOf(ls, ms))
}
