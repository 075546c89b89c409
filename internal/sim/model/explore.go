package model

import (
	"context"
	"fmt"
	"maps"
	"strings"
)

// Counterexample is a schedule that violated an invariant.
type Counterexample struct {
	Scenario  string
	Violation string
	// Deviations are the choices other than the default, by step: together with the scenario they
	// reproduce the run.
	Deviations map[int]int
	Steps      []string
}

// String lists the steps.
func (c Counterexample) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\ndeviations:", c.Scenario, c.Violation)
	for _, i := range sortedPositions(c.Deviations) {
		fmt.Fprintf(&b, " %d:%d", i, c.Deviations[i])
	}
	b.WriteByte('\n')
	for i, s := range c.Steps {
		mark := " "
		if c.Deviations[i] > 0 {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %3d %s\n", mark, i, s)
	}
	return b.String()
}

// Bubble runs f in its own testing/synctest bubble.
type Bubble func(f func(ctx context.Context))

// Result sums up an exploration.
type Result struct {
	Schedules int
	Steps     int
	Found     *Counterexample // nil if no invariant was violated
}

// runSchedule runs one schedule in a bubble and records its choices.
func runSchedule(bubble Bubble, s Scenario, chooser Chooser) (r *recorder, violation string, steps []string) {
	r = &recorder{chooser: chooser}
	bubble(func(ctx context.Context) { violation, steps = executeSchedule(ctx, s, r) })
	return r, violation, steps
}

// Replay runs the schedule with these deviations. It returns nil if no invariant was violated.
func Replay(bubble Bubble, s Scenario, at map[int]int) *Counterexample {
	r, violation, steps := runSchedule(bubble, s, &Deviations{At: at})
	if violation == "" {
		return nil
	}
	return &Counterexample{s.Name, violation, r.deviations(), steps}
}

// maxShrinkRuns bounds the runs that are spent on shortening a counterexample.
const maxShrinkRuns = 60

// shrink removes deviations that are not needed to violate an invariant.
func shrink(bubble Bubble, s Scenario, c *Counterexample) *Counterexample {
	for runs := 0; runs < maxShrinkRuns; {
		shorter := false
		for _, i := range sortedPositions(c.Deviations) {
			runs++
			at := maps.Clone(c.Deviations)
			delete(at, i)
			if got := Replay(bubble, s, at); got != nil {
				c, shorter = got, true
				break
			}
		}
		if !shorter {
			break
		}
	}
	return c
}

// Exhaust runs every schedule with up to depth deviations from the default. Of the first deviations
// it takes only those of the given part, so that several explorations can share the work.
func Exhaust(bubble Bubble, s Scenario, depth, part, parts int) (res Result) {
	var extend func(at map[int]int, from, left int)
	extend = func(at map[int]int, from, left int) {
		r, violation, steps := runSchedule(bubble, s, &Deviations{At: at})
		res.Schedules++
		res.Steps += len(steps)
		if violation != "" {
			res.Found = shrink(bubble, s, &Counterexample{s.Name, violation, r.deviations(), steps})
			return
		}
		if left == 0 {
			return
		}
		for i := from; i < len(r.options); i++ {
			for c := 1; c < r.options[i]; c++ {
				if len(at) == 0 && (i+c)%parts != part {
					continue
				}
				next := maps.Clone(at)
				next[i] = c
				if extend(next, i+1, left-1); res.Found != nil {
					return
				}
			}
		}
	}
	extend(map[int]int{}, 0, depth)
	return res
}

// RandomWalks runs the random schedules of count seeds, beginning with first, until one violates an invariant.
func RandomWalks(bubble Bubble, s Scenario, first uint64, count int) (res Result) {
	for seed := first; seed < first+uint64(count); seed++ {
		r, violation, steps := runSchedule(bubble, s, NewWalk(seed))
		res.Schedules++
		res.Steps += len(steps)
		if violation != "" {
			res.Found = shrink(bubble, s, &Counterexample{fmt.Sprintf("%s, walk %d", s.Name, seed), violation, r.deviations(), steps})
			return res
		}
	}
	return res
}
