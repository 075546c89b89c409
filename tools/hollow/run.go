package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// RunArgs say what to measure.
type RunArgs struct {
	Plan        string        `arg:"positional,required" help:"a plan's name"`
	Times       int           `arg:"--times" default:"1" help:"run each case so often"`
	Warm        time.Duration `arg:"--warm" default:"6s" help:"wait before the first window"`
	Measure     time.Duration `arg:"--measure" default:"12s" help:"length of each window"`
	Net         int           `arg:"--net" default:"70" help:"second number of the 127.x addresses"`
	Out         string        `arg:"--out" help:"file for the report as JSON, a line a case"`
	Gateways    int           `arg:"--gateways" help:"a plan's cases at another size; 0 leaves it"`
	Targets     int           `arg:"--targets"`
	Routes      int           `arg:"--routes"`
	Service     int           `arg:"--services"`
	Controllers int           `arg:"--controllers"`
	Replace     float64       `arg:"--replace" help:"targets replaced a second in the last window"`
	Profile     string        `arg:"--profile" help:"folder for profiles of the first controller"`
}

// Report is what one case gave.
type Report struct {
	Case    Case
	At      time.Time
	Machine Machine
	// First is how long the first configuration took to be acknowledged.
	First time.Duration
	// Start are the news that all gateways were told from their start to the first window.
	Start   map[string]int64
	Windows []Window
	Events  []Event `json:",omitempty"`
	Err     string  `json:",omitempty"`
}

// Event is something that happened in a run with a failure.
type Event struct {
	After float64 // seconds since the failure
	What  string
	Value float64 `json:",omitempty"`
}

// Machine is what else the machine did.
type Machine struct {
	CPUs int
	Load string // before the case
}

func (a *RunArgs) run(ctx context.Context, out, errw io.Writer) error {
	cases, ok := plans()[a.Plan]
	if !ok {
		return fmt.Errorf("plan %q is none of %v", a.Plan, planNames())
	}
	var w io.Writer = io.Discard
	if a.Out != "" {
		f, err := os.OpenFile(a.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		w = f
	}
	for _, c := range cases {
		c = a.sized(c)
		for range max(1, a.Times) {
			r := a.one(ctx, c, errw)
			if err := json.NewEncoder(w).Encode(r); err != nil {
				return err
			}
			markdown(out, r)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	return nil
}

// sized is a case at the sizes that were asked for.
func (a *RunArgs) sized(c Case) Case {
	was := c
	for _, x := range []struct {
		to  *int
		ask int
	}{{&c.Gateways, a.Gateways}, {&c.Targets, a.Targets}, {&c.Routes, a.Routes}, {&c.Services, a.Service}, {&c.Controllers, a.Controllers}} {
		if x.ask > 0 {
			*x.to = x.ask
		}
	}
	if a.Replace > 0 {
		c.Replace = a.Replace
	}
	if c != was {
		c.Name += ", sized"
	}
	return c
}

// one builds, measures and ends one deployment.
func (a *RunArgs) one(ctx context.Context, c Case, errw io.Writer) (r Report) {
	const building = 2 * time.Minute
	life := min(building+a.Warm+3*a.Measure+faultTime, maxLife)
	ctx, end := context.WithTimeout(ctx, life)
	defer end()
	r = Report{Case: c, At: time.Now(), Machine: machine()}
	t, first, err := build(ctx, c, a.Net, life, errw)
	if err != nil {
		r.Err = err.Error()
		return r
	}
	defer t.end()
	r.First = first
	time.Sleep(a.Warm)
	r.Start = map[string]int64{}
	m, _ := tell(ctx, t.gateways, same(Order{Op: "mark"}))
	for _, x := range m {
		for k, v := range x.Counts {
			r.Start[k] += v
		}
	}
	note := func(w Window, err error) bool {
		if err != nil {
			r.Err = err.Error()
			return false
		}
		r.Windows = append(r.Windows, w)
		return true
	}
	if a.Profile != "" && c.Fault == "" {
		for _, p := range t.controllers[:1] {
			prof := Order{Op: "profile", Dir: a.Profile}
			if _, err := p.order(ctx, prof); err != nil {
				r.Err = err.Error()
				return r
			}
			defer func() {
				if _, err := p.order(ctx, prof); err != nil {
					r.Err = err.Error()
				}
			}()
		}
	}
	if !note(t.window(ctx, "calm", a.Measure, nil)) {
		return r
	}
	if c.Fault != "" {
		r.Events, err = t.fault(ctx, c.Fault)
		if err != nil {
			r.Err = err.Error()
		}
		return r
	}
	one := Order{Count: c.Changes, Services: c.Services}
	if c.Changes > 0 && !note(t.window(ctx, "one change a second", a.Measure, func(cx context.Context, w *Window) { t.changes(cx, w, time.Second, one) })) {
		return r
	}
	if c.Replace > 0 {
		pace := func(rate float64) error {
			_, err := tell(ctx, t.targets, func(p *process) Order { return Order{Op: "replace", Rate: rate * float64(p.size) / float64(c.Targets)} })
			return err
		}
		if err := pace(c.Replace); err != nil {
			r.Err = err.Error()
			return r
		}
		if !note(t.window(ctx, fmt.Sprintf("%g targets replaced a second", c.Replace), a.Measure, nil)) {
			return r
		}
	}
	for _, x := range t.look(ctx) {
		r.Windows[len(r.Windows)-1].Counts["suspected"] = max(r.Windows[len(r.Windows)-1].Counts["suspected"], x.Counts["suspected"])
	}
	return r
}
