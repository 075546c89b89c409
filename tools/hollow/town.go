package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Case is one deployment to be measured.
type Case struct {
	Name                                             string
	Gateways, Targets, Routes, Services, Controllers int
	Homes                                            bool          // targets go where the answer to a beat says
	Every                                            time.Duration // between beats
	Changes                                          int           // routes in each change
	Replace                                          float64       // targets replaced a second, in the last window
	Fault                                            string        `json:",omitempty"`
}

// town is a deployment under way.
type town struct {
	c           Case
	net         int
	life        time.Duration
	dir         string
	errw        io.Writer
	inner       []string
	door        []string
	controllers []*process // nil is one that is lost
	gateways    []*process
	targets     []*process
	version     uint64
}

// firstPort and lastPort are below the ports from which the system makes connections: a
// port chosen there would be taken by one before its own process listens.
const (
	firstPort = 20000
	lastPort  = 21000
)

// free finds a port at an IP, from the given one on.
func free(ip string, from int) (addr string, next int, err error) {
	for p := from; p < lastPort; p++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
		if err == nil {
			return l.Addr().String(), p + 1, l.Close()
		}
	}
	return "", 0, fmt.Errorf("no port free at %s", ip)
}

// build starts everything and returns when all know all.
func build(ctx context.Context, c Case, netNo int, life time.Duration, errw io.Writer) (t *town, first time.Duration, err error) {
	t = &town{c: c, net: netNo, life: life, errw: errw}
	defer func() {
		if err != nil {
			t.end()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "hollow-"); err != nil {
		return t, 0, err
	}
	for i := range c.Controllers {
		in, next, err := free(ip(netNo, controllerNet, i), firstPort)
		if err != nil {
			return t, 0, err
		}
		out, _, err := free(ip(netNo, controllerNet, i), next)
		if err != nil {
			return t, 0, err
		}
		t.inner, t.door = append(t.inner, in), append(t.door, out)
	}
	t.controllers = make([]*process, c.Controllers)
	for i := range c.Controllers {
		if err := t.controller(ctx, i, true); err != nil {
			return t, 0, err
		}
	}
	if _, err := t.until(ctx, 30*time.Second, func() (bool, error) { return t.readyControllers(ctx) == c.Controllers, nil }); err != nil {
		return t, 0, fmt.Errorf("controllers not ready: %w", err)
	}
	if first, err = t.apply(ctx, 0, Order{Count: c.Routes, Services: c.Services}); err != nil {
		return t, 0, err
	}
	common := []string{"--for", life.String(), "--net", fmt.Sprint(netNo), "--seeds", strings.Join(t.inner, ",")}
	for z := range zones {
		n := part(c.Targets, z)
		if n == 0 {
			continue
		}
		argv := []string{"--for", life.String(), "--net", fmt.Sprint(netNo), "--zone", fmt.Sprint(z), "--count", fmt.Sprint(n), "--services", fmt.Sprint(c.Services),
			"--every", c.Every.String(), "--doors", strings.Join(t.door, ",")}
		if c.Homes {
			argv = append(argv, "--homes")
		}
		p, err := t.start(ctx, "targets", z, n, argv...)
		if err != nil {
			return t, first, err
		}
		t.targets = append(t.targets, p)
	}
	for z := range zones {
		n := part(c.Gateways, z)
		if n == 0 {
			continue
		}
		p, err := t.start(ctx, "gateways", z, n, append(append([]string{}, common...), "--zone", fmt.Sprint(z), "--count", fmt.Sprint(n))...)
		if err != nil {
			return t, first, err
		}
		t.gateways = append(t.gateways, p)
	}
	_, err = t.until(ctx, 60*time.Second, func() (bool, error) {
		if t.readyGateways(ctx) < c.Gateways {
			return false, nil
		}
		for _, l := range t.look(ctx) {
			if l.Counts["runs"] < int64(c.Targets) || l.Counts["gateways"] < int64(c.Gateways) {
				return false, nil
			}
		}
		return true, nil
	})
	if err != nil {
		return t, first, fmt.Errorf("not all know all: %w", err)
	}
	return t, first, nil
}

// part is how many of n are in zone z.
func part(n, z int) int { return (n + zones - 1 - z) / zones }

func (t *town) start(ctx context.Context, role string, zone, size int, argv ...string) (*process, error) {
	p, err := launch(role, zone, size, t.errw, argv...)
	if err != nil {
		return nil, err
	}
	cx, end := context.WithTimeout(ctx, orderTime)
	defer end()
	if _, err := p.wait(cx); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// controller starts the i-th controller, on the disk that it had.
func (t *town) controller(ctx context.Context, i int, first bool) error {
	dir := filepath.Join(t.dir, fmt.Sprintf("controller%d", i))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	argv := []string{"--for", t.life.String(), "--net", fmt.Sprint(t.net), "--n", fmt.Sprint(i), "--inner", t.inner[i], "--door", t.door[i], "--seeds", strings.Join(t.inner, ","),
		"--bear", fmt.Sprint((t.c.Controllers - 1) / 2), "--dir", dir, "--every", t.c.Every.String()}
	if first {
		argv = append(argv, "--first")
	}
	p, err := t.start(ctx, "controllers", controllerZone(i), 1, argv...)
	if err == nil {
		t.controllers[i] = p
	}
	return err
}

// all are the processes that run.
func (t *town) all() (ps []*process) {
	for _, l := range [][]*process{t.controllers, t.gateways, t.targets} {
		for _, p := range l {
			if p != nil {
				ps = append(ps, p)
			}
		}
	}
	return ps
}

// tell gives an order to some processes at the same time.
func tell(ctx context.Context, ps []*process, o func(*process) Order) (map[*process]Told, error) {
	out := map[*process]Told{}
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	for _, p := range ps {
		if p == nil {
			continue
		}
		wg.Go(func() {
			x, err := p.order(ctx, o(p))
			mu.Lock()
			defer mu.Unlock()
			out[p] = x
			errs = append(errs, err)
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

func same(o Order) func(*process) Order { return func(*process) Order { return o } }

func (t *town) look(ctx context.Context) map[*process]Told {
	m, _ := tell(ctx, t.controllers, same(Order{Op: "look"}))
	return m
}

func (t *town) readyControllers(ctx context.Context) (n int) {
	for _, x := range t.look(ctx) {
		n += x.Ready
	}
	return n
}

func (t *town) readyGateways(ctx context.Context) (n int) {
	m, _ := tell(ctx, t.gateways, same(Order{Op: "mark"}))
	for _, x := range m {
		n += x.Ready
	}
	return n
}

// until looks until f says that it is so, and tells how long that took.
func (t *town) until(ctx context.Context, most time.Duration, f func() (bool, error)) (time.Duration, error) {
	begun := time.Now()
	for {
		ok, err := f()
		switch {
		case err != nil:
			return time.Since(begun), err
		case ok:
			return time.Since(begun), nil
		case time.Since(begun) > most:
			return time.Since(begun), fmt.Errorf("not within %v", most)
		}
		select {
		case <-ctx.Done():
			return time.Since(begun), ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// apply has the i-th controller take a change, as the next version.
func (t *town) apply(ctx context.Context, i int, o Order) (time.Duration, error) {
	x, err := t.change(ctx, i, o)
	return time.Duration(x.Ended - x.Begun), err
}

func (t *town) change(ctx context.Context, i int, o Order) (Told, error) {
	if t.controllers[i] == nil {
		return Told{}, errEnded
	}
	o.Op, o.Version = "apply", t.version+1
	x, err := t.controllers[i].order(ctx, o)
	if err == nil {
		t.version++
	}
	return x, err
}

// any is some controller that runs.
func (t *town) any() int {
	for {
		if i := rand.IntN(len(t.controllers)); t.controllers[i] != nil {
			return i
		}
	}
}

// end ends every process.
func (t *town) end() {
	var wg sync.WaitGroup
	for _, p := range t.all() {
		wg.Go(p.stop)
	}
	wg.Wait()
	if t.dir != "" {
		_ = os.RemoveAll(t.dir)
	}
}
