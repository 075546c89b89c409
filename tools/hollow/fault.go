package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// faultTime bounds a run's failure.
const faultTime = 4 * time.Minute

// observation follows what a failure does until all is well or most is over.
type observation struct {
	t      *town
	begun  time.Time
	events []Event
}

func (x *observation) note(what string, v float64) {
	x.events = append(x.events, Event{time.Since(x.begun).Seconds(), what, v})
}

// acks has changes made until one is acknowledged.
func (x *observation) acks(ctx context.Context, what string, controllers []int, most time.Duration) bool {
	begun := time.Now()
	for k := 0; time.Since(begun) < most && ctx.Err() == nil; k++ {
		got, err := x.t.change(ctx, controllers[k%len(controllers)], Order{Count: x.t.c.Changes, Services: x.t.c.Services})
		if err == nil {
			x.note(fmt.Sprintf("change acknowledged, %s; ms of its own", what), float64(got.Ended-got.Begun)/1e6)
			return true
		}
	}
	x.note("no change acknowledged, "+what+"; tried for s", time.Since(begun).Seconds())
	return false
}

// reach notes when all of some gateways have the newest version, since when it was
// acknowledged.
func (x *observation) reach(ctx context.Context, what string, ps []*process, most time.Duration) {
	n, had := 0, 0
	for _, p := range ps {
		n += p.size
	}
	v, begun := x.t.version, time.Now()
	for time.Since(begun) < most && ctx.Err() == nil {
		m, _ := tell(ctx, ps, same(Order{Op: "seen"}))
		for _, y := range m {
			had += len(y.Seen[v])
		}
		if had >= n {
			x.note("all have it, "+what+"; gateways", float64(n))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	x.note("not all have it, "+what+"; gateways that do", float64(had))
}

// ready notes how many of some gateways follow a fresh controller.
func (x *observation) ready(ctx context.Context, what string, ps []*process) int {
	n := 0
	m, _ := tell(ctx, ps, same(Order{Op: "mark"}))
	for _, y := range m {
		n += y.Ready
	}
	x.note("gateways with a fresh controller, "+what, float64(n))
	return n
}

func (x *observation) suspected(ctx context.Context, what string) {
	most := int64(0)
	for _, y := range x.t.look(ctx) {
		most = max(most, y.Counts["suspected"])
	}
	x.note("runs suspected, at most at a controller, "+what, float64(most))
}

// used notes what was used between two looks.
func (x *observation) used(a, b map[*process]Told, what string) {
	w := Window{Roles: map[string]PerNode{}, Messages: map[string][2]float64{}, Took: map[string]Times{}, Counts: map[string]int64{}}
	w.fill(a, b)
	for _, r := range []string{"controllers", "gateways"} {
		x.note("% of a core at one of "+r+", "+what, 100*w.Roles[r].Core)
		x.note("B/s to one of "+r+", "+what, w.Roles[r].In)
	}
	for _, k := range slices.Sorted(maps.Keys(w.Counts)) {
		x.note(k+", "+what, float64(w.Counts[k]))
	}
	x.note("asks of gateways at one controller a second, "+what, w.Messages["gateway in news.WatchAsk"][0])
}

func (t *town) fault(ctx context.Context, what string) ([]Event, error) {
	x := &observation{t: t, begun: time.Now()}
	switch what {
	case "zone":
		x.zone(ctx)
	case "regions":
		x.regions(ctx)
	case "control":
		x.control(ctx)
	default:
		return nil, fmt.Errorf("no such failure: %s", what)
	}
	return x.events, ctx.Err()
}

// pick lists processes by zone.
func pick(ps []*process, in func(zone int) bool) (out []*process) {
	for _, p := range ps {
		if p != nil && in(p.zone) {
			out = append(out, p)
		}
	}
	return out
}

// zone loses zone 0 with all that is in it, and gets its controllers back.
func (x *observation) zone(ctx context.Context) {
	t := x.t
	lost := func(z int) bool { return z == 0 }
	rest := func(z int) bool { return z != 0 }
	x.begun = time.Now()
	var back, left []int
	for i, p := range t.controllers {
		if lost(p.zone) {
			p.kill()
			t.controllers[i] = nil
			back = append(back, i)
		} else {
			left = append(left, i)
		}
	}
	for _, p := range append(pick(t.gateways, lost), pick(t.targets, lost)...) {
		p.kill()
	}
	t.gateways, t.targets = pick(t.gateways, rest), pick(t.targets, rest)
	x.note("zone lost; controllers", float64(len(back)))
	x.acks(ctx, "a zone lost", left, 20*time.Second)
	x.reach(ctx, "a zone lost", t.gateways, 20*time.Second)
	for range 6 {
		time.Sleep(2 * time.Second)
		x.suspected(ctx, "a zone lost")
	}
	x.ready(ctx, "a zone lost", t.gateways)
	for _, i := range back {
		if err := t.controller(ctx, i, false); err != nil {
			x.note("controller does not come back: "+err.Error(), 0)
			return
		}
	}
	x.note("controllers of the zone started", float64(len(back)))
	if d, err := t.until(ctx, 30*time.Second, func() (bool, error) { return t.readyControllers(ctx) == len(t.controllers), nil }); err == nil {
		x.note("all controllers ready after s", d.Seconds())
	} else {
		x.note("controllers not all ready: "+err.Error(), float64(t.readyControllers(ctx)))
	}
	x.acks(ctx, "the zone's controllers back", left, 20*time.Second)
}

// apartTime is how long regions are apart.
const apartTime = 90 * time.Second

// regions cuts the two regions apart, and joins them again.
func (x *observation) regions(ctx context.Context) {
	t := x.t
	var far [regions][]string // IPs of the controllers that a region can't reach
	var own [regions][]int
	for i, p := range t.controllers {
		r := regionOf(p.zone)
		own[r] = append(own[r], i)
		far[1-r] = append(far[1-r], ip(t.net, controllerNet, i))
	}
	in := func(r int) []*process { return pick(t.gateways, func(z int) bool { return regionOf(z) == r }) }
	cut := func(on bool) {
		_, _ = tell(ctx, t.all(), func(p *process) Order {
			if !on {
				return Order{Op: "cut"}
			}
			return Order{Op: "cut", Cut: far[regionOf(p.zone)]}
		})
	}
	x.begun = time.Now()
	cut(true)
	x.note("regions apart; controllers on the greater side", float64(len(own[0])))
	x.acks(ctx, "greater side", own[0], 20*time.Second)
	x.reach(ctx, "greater side", in(0), 20*time.Second)
	x.acks(ctx, "lesser side", own[1], 5*time.Second)
	for time.Since(x.begun) < apartTime && ctx.Err() == nil {
		time.Sleep(15 * time.Second)
		x.ready(ctx, "greater side", in(0))
		x.ready(ctx, "lesser side", in(1))
		x.suspected(ctx, "apart")
		x.acks(ctx, "greater side", own[0], 5*time.Second)
	}
	a, _ := tell(ctx, t.all(), same(Order{Op: "mark"}))
	cut(false)
	x.begun = time.Now()
	x.note("regions joined", 0)
	x.reach(ctx, "lesser side, of what was acknowledged last while apart", in(1), 20*time.Second)
	if d, err := t.until(ctx, 30*time.Second, func() (bool, error) { return t.readyGateways(ctx) >= t.c.Gateways, nil }); err == nil {
		x.note("all gateways with a fresh controller after s", d.Seconds())
	}
	b, _ := tell(ctx, t.all(), same(Order{Op: "mark"}))
	x.used(a, b, "from the join until now")
	x.suspected(ctx, "joined")
	time.Sleep(5 * time.Second)
	x.suspected(ctx, "joined")
	x.acks(ctx, "joined", own[1], 10*time.Second)
	x.reach(ctx, "joined", t.gateways, 10*time.Second)
}

// control loses controllers one after the other, until none can be borne any more.
func (x *observation) control(ctx context.Context) {
	t := x.t
	left := []int{}
	for i := range t.controllers {
		left = append(left, i)
	}
	for k := 0; len(left) > (len(t.controllers)-1)/2; k++ {
		i := left[len(left)-1]
		t.controllers[i].kill()
		t.controllers[i] = nil
		left = left[:len(left)-1]
		x.begun = time.Now()
		x.note(fmt.Sprintf("controller %d lost; left", i), float64(len(left)))
		if !x.acks(ctx, fmt.Sprintf("%d left", len(left)), left, 6*time.Second) {
			continue
		}
		x.reach(ctx, fmt.Sprintf("%d left", len(left)), t.gateways, 10*time.Second)
		time.Sleep(5 * time.Second)
		x.ready(ctx, fmt.Sprintf("%d left", len(left)), t.gateways)
		x.suspected(ctx, fmt.Sprintf("%d left", len(left)))
		if w, err := t.window(ctx, "", 6*time.Second, nil); err == nil {
			x.note(fmt.Sprintf("%% of a core at the busiest controller, %d left", len(left)), 100*w.Roles["controllers"].MostCore)
			x.note(fmt.Sprintf("MB at the largest controller, %d left", len(left)), w.Roles["controllers"].MostRSS)
		}
	}
	x.ready(ctx, "no majority", t.gateways)
}
