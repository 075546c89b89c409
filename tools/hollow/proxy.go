package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/proxy"
	"walkrudder/internal/target"
)

// dialect are the header fields of the tool's own callers and stand-ins.
var dialect = proxy.HeaderNames{RequestID: "X-Id", RemainingTime: "X-Left", Seal: "X-Seal", ExpectedRun: "X-Run",
	NotRun: "X-Not-Run", RetryAfter: "Retry-After", Instance: "X-Instance"}

// ProxyArgs describe one real proxy that holds a table of the given size.
type ProxyArgs struct {
	For      time.Duration `arg:"--for" default:"1m"`
	Routes   int           `arg:"--routes"`
	Services int           `arg:"--services" default:"1"`
	Gateways int           `arg:"--gateways" default:"1" help:"how many such nodes it is told there are"`
	Probe    time.Duration `arg:"--probe" help:"mean time between probes of a run; 0 is the product's own"`
}

func (a *ProxyArgs) start(ctx context.Context) (*handler, error) {
	places := map[string]string{}
	for z := range zones {
		places[zoneName(z)] = fmt.Sprintf("region%d", regionOf(z))
	}
	s := proxy.Settings{ID: "gateway0", Zone: zoneName(0), Zones: places, Headers: dialect, BudgetRatio: 0.2, BudgetWindow: 10 * time.Second, BudgetSlack: 68,
		MemoryMB: 284, MaxFiles: 4100, Grace: 6 * time.Second, ProbeInterval: a.Probe}
	if err := s.Check(); err != nil {
		return nil, err
	}
	n := proxy.New(proxy.Config{Settings: s, Clock: clock.Wall{}, Log: quiet()})
	begun := time.Now()
	var items []item.Item
	for _, x := range services(a.Services, 1) {
		items = append(items, x.Item())
	}
	for _, x := range routes(0, a.Routes, a.Services, 1) {
		items = append(items, x.Item())
	}
	n.ApplyItems(items)
	items = nil
	compiled := time.Since(begun)
	near := max(1, a.Gateways/zones)
	n.SetGateways(a.Gateways, near)
	n.SetSynced(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	life, end := context.WithCancel(ctx)
	go func() { _ = n.Serve(ln) }()
	go n.Run(life)
	go func() {
		// The number of nodes comes with each answer of the control plane.
		for (clock.Wall{}).Sleep(life, time.Second) == nil {
			n.SetGateways(a.Gateways, near)
		}
	}()
	do := func(_ context.Context, o Order) (t Told) {
		t.Took = map[string][]int64{}
		switch o.Op {
		case "mark":
		case "runs":
			begun := time.Now()
			n.ApplyRuns(runsAt(o.Ports, a.Services))
			t.Took["placed"] = []int64{int64(time.Since(begun))}
		case "apply":
			begun := time.Now()
			var is []item.Item
			for _, x := range routes(o.First, o.Count, a.Services, o.Version) {
				is = append(is, x.Item())
			}
			n.ApplyItems(is)
			t.Took["change"] = []int64{int64(time.Since(begun))}
		default:
			t.Err = "no such order"
		}
		x := n.Stats()
		t.Counts = map[string]int64{"requests": int64(x.Requests), "answered": int64(x.Answered), "refused": int64(x.Refused), "late": int64(x.Late), "dials": int64(x.Dials),
			"dials failed": int64(x.DialsFailed), "probes": int64(x.Probes), "probes answered": int64(x.ProbesAnswered), "waited": int64(x.Waited), "hedges": int64(x.Hedges),
			"stale": int64(x.Stale), "reset": int64(x.Reset), "callers": x.Callers}
		return t
	}
	return &handler{do: do, hello: Told{Inner: ln.Addr().String(), Took: map[string][]int64{"compiled": {int64(compiled)}}},
		stop: func() { end(); _ = ln.Close() }}, nil
}

func runName(n int) string { return "i-" + strconv.Itoa(n) }

// runsAt spreads runs at ports over services and zones: the runs of a service are in as
// many zones as there are.
func runsAt(ports string, services int) (out []target.Run) {
	if ports == "" {
		return nil
	}
	for n, p := range strings.Split(ports, ",") {
		out = append(out, target.Run{ID: runName(n), Service: serviceName(n % services), Addr: "127.0.0.1:" + p, Zone: zoneName(n / services % zones), Slots: 3, State: target.Ready, Seq: 1})
	}
	return out
}
