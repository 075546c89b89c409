package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// LoadArgs say what to measure of the request path.
type LoadArgs struct {
	Routes   int           `arg:"--routes" default:"6600"`
	Services int           `arg:"--services" default:"390"`
	Runs     int           `arg:"--runs" default:"6240"`
	Gateways int           `arg:"--gateways" default:"680"`
	Rates    []float64     `arg:"--rates" help:"calls a second, open loop; 0 is none at all"`
	Closed   []int         `arg:"--closed" help:"so many callers that call again at once"`
	Skew     float64       `arg:"--skew" help:"Zipf exponent of the routes, above 1; else all alike"`
	Fresh    int           `arg:"--fresh" help:"a caller's calls on one connection; 0 is all"`
	Work     time.Duration `arg:"--work" default:"5ms" help:"how long a stand-in takes"`
	Probe    time.Duration `arg:"--probe" help:"mean time between the proxy's probes of a run; 0 is the product's own"`
	For      time.Duration `arg:"--for" default:"8s" help:"length of each measurement"`
	Times    int           `arg:"--times" default:"1"`
	Out      string        `arg:"--out"`
}

// LoadReport is one measurement.
type LoadReport struct {
	At                     time.Time
	Machine                Machine
	Routes, Services, Runs int
	Skew                   float64
	Probe                  time.Duration
	Rate                   float64
	Closed                 int
	Done, Failed           int
	// Took is how long calls through the proxy took, Direct calls past it in the same
	// span of time, for whatever else the machine does befalls both.
	Took, Direct Times
	// Core is the proxy's part of a core, PerCall what of that goes to one call, with all
	// else that it does.
	Core    float64
	PerCall time.Duration
	RSS     float64 // MB
	Counts  map[string]int64
}

func (a *LoadArgs) run(ctx context.Context, out, errw io.Writer) error {
	if len(a.Rates)+len(a.Closed) == 0 {
		a.Rates = []float64{0, 100, 191, 400, 800}
	}
	life := 30*time.Second + time.Duration(a.Times*(len(a.Rates)+len(a.Closed)))*(a.For+5*time.Second)
	ctx, end := context.WithTimeout(ctx, min(life, maxLife))
	defer end()
	var w io.Writer = io.Discard
	if a.Out != "" {
		f, err := os.OpenFile(a.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		w = f
	}
	stands, hello, err := begin(ctx, errw, "stands", "--for", life.String(), "--count", fmt.Sprint(max(a.Runs, 1)), "--work", a.Work.String())
	if err != nil {
		return err
	}
	defer stands.stop()
	ports := hello.Inner
	if a.Runs == 0 {
		ports = ""
	}
	p, told, err := begin(ctx, errw, "proxy", "--for", life.String(), "--routes", fmt.Sprint(a.Routes), "--services", fmt.Sprint(a.Services), "--gateways", fmt.Sprint(a.Gateways), "--probe", a.Probe.String())
	if err != nil {
		return err
	}
	defer p.stop()
	placed, err := p.order(ctx, Order{Op: "runs", Ports: ports})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n## %d routes, %d services, %d runs, skew %g, probes each %v (0 is the product's own), load before %s: table made in %.1f ms, runs taken in %.1f ms\n", a.Routes, a.Services, a.Runs, a.Skew, a.Probe, machine().Load,
		float64(told.Took["compiled"][0])/1e6, float64(placed.Took["placed"][0])/1e6)
	fmt.Fprint(out, "\n| callers | calls/s | done | failed | ms half / 99 in 100 / worst | past it | % of a core | us a call | MB | dials/s | probes/s | refused | late |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	direct := strings.Split(hello.Inner, ",")
	for range max(1, a.Times) {
		for i := range len(a.Rates) + len(a.Closed) {
			rep := LoadReport{At: time.Now(), Machine: machine(), Routes: a.Routes, Services: a.Services, Runs: a.Runs, Skew: a.Skew, Probe: a.Probe}
			if i < len(a.Rates) {
				rep.Rate = a.Rates[i]
			} else {
				rep.Closed = a.Closed[i-len(a.Rates)]
			}
			if err := a.measure(ctx, &rep, p, told.Inner, direct); err != nil {
				return err
			}
			if err := json.NewEncoder(w).Encode(rep); err != nil {
				return err
			}
			s := a.For.Seconds()
			fmt.Fprintf(out, "| %s | %g | %d | %d | %.2f / %.2f / %.1f | %.2f / %.2f / %.1f (%d) | %.2f | %.0f | %.1f | %.1f | %.1f | %d | %d |\n", each(rep.Closed), rep.Rate, rep.Done, rep.Failed,
				rep.Took.P50, rep.Took.P99, rep.Took.Worst, rep.Direct.P50, rep.Direct.P99, rep.Direct.Worst, rep.Direct.N,
				100*rep.Core, float64(rep.PerCall.Nanoseconds())/1000, rep.RSS, float64(rep.Counts["dials"])/s, float64(rep.Counts["probes"])/s, rep.Counts["refused"], rep.Counts["late"])
		}
	}
	// What a change costs a proxy.
	if a.Routes > 0 {
		h := histogram()
		for v := range 20 {
			t, err := p.order(ctx, Order{Op: "apply", Count: 4, Version: uint64(v + 2)})
			if err != nil {
				return err
			}
			record(h, time.Duration(t.Took["change"][0]))
		}
		fmt.Fprintf(out, "\nchanges of 4 routes taken in: %v ms\n", times(h))
	}
	return nil
}

func each(n int) string {
	if n == 0 {
		return "open"
	}
	return strconv.Itoa(n)
}

func begin(ctx context.Context, errw io.Writer, role string, argv ...string) (*process, Told, error) {
	p, err := launch(role, 0, 1, errw, argv...)
	if err != nil {
		return nil, Told{}, err
	}
	cx, end := context.WithTimeout(ctx, orderTime)
	defer end()
	t, err := p.wait(cx)
	if err != nil {
		p.kill()
	}
	return p, t, err
}

// pastRate is the rate of the calls past the proxy.
const pastRate = 100

// callers bounds the calls under way of the open loop.
const callers = 96

// measure makes calls for a while and looks at the proxy before and after.
func (a *LoadArgs) measure(ctx context.Context, rep *LoadReport, p *process, proxy string, direct []string) error {
	cx, end := context.WithTimeout(ctx, a.For+2*time.Second)
	defer end()
	// A little first, so that nothing is measured that happens once.
	const warm = 2 * time.Second
	from := time.Now().Add(warm)
	l := &loop{a: a, h: histogram(), proxy: proxy, from: from}
	past := &loop{a: a, h: histogram(), direct: direct, from: from}
	var wg sync.WaitGroup
	wg.Go(func() {
		switch {
		case rep.Closed > 0:
			l.closed(cx, rep.Closed)
		case rep.Rate > 0:
			l.open(cx, rep.Rate)
		default:
			<-cx.Done()
		}
	})
	if a.Runs > 0 {
		wg.Go(func() { past.open(cx, pastRate) })
	}
	select {
	case <-time.After(warm):
	case <-cx.Done():
	}
	x, err := p.order(ctx, Order{Op: "mark"})
	if err != nil {
		return err
	}
	wg.Wait()
	y, err := p.order(ctx, Order{Op: "mark"})
	if err != nil {
		return err
	}
	rep.Counts = map[string]int64{}
	for k, v := range y.Counts {
		rep.Counts[k] = v - x.Counts[k]
	}
	s := spent(x.Usage, y.Usage)
	rep.Core, rep.RSS = s.Core, float64(s.RSS)/(1<<20)
	if n := rep.Counts["requests"]; n > 0 {
		rep.PerCall = (y.Usage.CPU - x.Usage.CPU) / time.Duration(n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rep.Took, rep.Done, rep.Failed = times(l.h), l.done, l.failed
	past.mu.Lock()
	defer past.mu.Unlock()
	rep.Direct = times(past.h)
	return ctx.Err()
}

// loop makes calls.
type loop struct {
	a      *LoadArgs
	proxy  string    // "" for calls past it,
	direct []string  // to these
	from   time.Time // what was due before does not count

	mu           sync.Mutex
	h            *hdrhistogram.Histogram
	done, failed int
}

func (l *loop) note(due time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case due.Before(l.from):
	case err != nil:
		l.failed++
	default:
		l.done++
		record(l.h, time.Since(due))
	}
}

// closed has n callers that call again at once.
func (l *loop) closed(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c := l.caller(i)
			defer c.hangUp()
			for ctx.Err() == nil {
				due := time.Now()
				l.note(due, c.call())
			}
		})
	}
	wg.Wait()
}

// open makes calls at moments that do not depend on the answers; a call that finds no
// free caller waits for one, and its wait counts.
func (l *loop) open(ctx context.Context, rate float64) {
	due := make(chan time.Time, 1<<14)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := l.caller(i)
			defer c.hangUp()
			for t := range due {
				l.note(t, c.call())
			}
		})
	}
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		}
		select {
		case due <- next:
		default:
			l.note(next, errFull)
		}
	}
	close(due)
	wg.Wait()
}

var errFull = errors.New("more calls than callers can make")

func (l *loop) caller(i int) *caller {
	c := &caller{l: l, to: l.proxy, rnd: rand.New(rand.NewPCG(rand.Uint64(), uint64(i)))}
	if l.proxy == "" {
		c.to = "127.0.0.1:" + l.direct[i%len(l.direct)]
	}
	if l.a.Skew > 1 {
		c.zipf = rand.NewZipf(c.rnd, l.a.Skew, 8, uint64(l.a.Routes-1))
	}
	return c
}

// caller is one client with a kept connection.
type caller struct {
	l    *loop
	to   string
	rnd  *rand.Rand
	zipf *rand.Zipf
	c    net.Conn
	r    *bufio.Reader
	n    int
	seq  int
	res  fasthttp.Response
}

func (c *caller) hangUp() {
	if c.c != nil {
		_ = c.c.Close()
		c.c = nil
	}
}

const callTime = 3 * time.Second

func (c *caller) call() (err error) {
	if c.c == nil {
		if c.c, err = net.DialTimeout("tcp", c.to, time.Second); err != nil {
			return err
		}
		c.r, c.n = bufio.NewReader(c.c), 0
	}
	defer func() {
		if c.n++; err != nil || c.l.a.Fresh > 0 && c.n >= c.l.a.Fresh {
			c.hangUp()
		}
	}()
	route := c.rnd.IntN(max(1, c.l.a.Routes))
	if c.zipf != nil {
		// Neighbours in rank are not neighbours in the table.
		route = int(c.zipf.Uint64() * 2654435761 % uint64(c.l.a.Routes))
	}
	c.seq++
	if err := c.c.SetDeadline(time.Now().Add(callTime)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.c, "GET %sx HTTP/1.1\r\nHost: %s\r\n%s: q%d\r\n%s: %d\r\n\r\n", prefix(route), host(route), dialect.RequestID, c.seq, dialect.RemainingTime, callTime.Milliseconds()); err != nil {
		return err
	}
	c.res.Reset()
	if err := c.res.Read(c.r); err != nil {
		return err
	}
	if c.res.StatusCode() != 200 {
		return fmt.Errorf("status %d", c.res.StatusCode())
	}
	return nil
}
