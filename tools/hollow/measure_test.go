package main

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestFiguresOfAWindow(t *testing.T) {
	const s = int64(time.Second)
	m1, m2 := &process{role: "controllers", size: 1}, &process{role: "controllers", size: 1}
	f, x := &process{role: "gateways", size: 10}, &process{role: "targets", size: 50}
	look := func(at, cpu, in, out int64) Told {
		return Told{Usage: Usage{At: at * s, CPU: time.Duration(cpu) * time.Millisecond, RSS: 20 << 20}, Wire: map[string]Count{
			"gateway in news.WatchAsk": {in, 100 * in}, "gateway out news.WatchTold": {out, 300 * out}, "controller in news.WatchAsk": {in, 10 * in}, "target in http": {in, 20 * in}, "target out http": {in, 8 * in}}}
	}
	a := map[*process]Told{m1: look(5, 100, 10, 10), m2: look(5, 0, 0, 0), f: {Usage: Usage{At: 5 * s}}, x: {Usage: Usage{At: 5 * s}}}
	b := map[*process]Told{m1: look(7, 300, 30, 20), m2: look(7, 20, 20, 30), f: {Usage: Usage{At: 7 * s, CPU: time.Second, RSS: 30 << 20}},
		x: {Usage: Usage{At: 7 * s}, Took: map[string][]int64{"beat": {int64(2 * time.Millisecond), int64(4 * time.Millisecond)}}, Counts: map[string]int64{"beat": 2}}}
	w := Window{Roles: map[string]PerNode{}, Messages: map[string][2]float64{}, Took: map[string]Times{}, Counts: map[string]int64{}}
	w.fill(a, b)
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > 1e-9*math.Max(1, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	near("seconds", w.Seconds, 2)
	near("a controller's part of a core", w.Roles["controllers"].Core, 0.055)
	near("the busiest controller's", w.Roles["controllers"].MostCore, 0.1)
	near("a gateway's", w.Roles["gateways"].Core, 0.05)
	near("a gateway's MB", w.Roles["gateways"].RSS, 3)
	near("asks at a controller a second", w.Messages["gateway in news.WatchAsk"][0], 10)
	near("their bytes", w.Messages["gateway in news.WatchAsk"][1], 1000)
	// 40 asks and 40 answers of gateways in 2 s, 40 asks of controllers and of targets.
	near("bytes to a controller", w.Roles["controllers"].In, (40*100+40*20+40*10)/4.)
	near("bytes from a controller", w.Roles["controllers"].Out, (40*300+40*8+40*10)/4.)
	near("bytes to a gateway", w.Roles["gateways"].In, 40*300/2./10)
	near("bytes from a gateway", w.Roles["gateways"].Out, 40*100/2./10)
	if w.Counts["beat"] != 2 || w.Took["beat"].N != 2 || math.Abs(w.Took["beat"].Worst-4) > 0.01 {
		t.Errorf("%v %v", w.Counts, w.Took)
	}
}

// A gateway that got two versions at once has both; one that hears an old one again is not
// counted twice.
func TestVersionsSeen(t *testing.T) {
	s := &seen{at: map[uint64][]int64{}, last: map[int]uint64{}, told: map[string]int64{}}
	s.note(0, 1, 10)
	s.note(0, 3, 20)
	s.note(0, 2, 30)
	s.note(1, 3, 25)
	if got := fmt.Sprint(s.take()); got != "map[1:[10 25] 2:[20 25] 3:[20 25]]" {
		t.Error(got)
	}
	s.note(1, 4, 40)
	if got := fmt.Sprint(s.take()); got != "map[4:[40]]" {
		t.Error(got)
	}
}

func TestTimesAreBounded(t *testing.T) {
	h := histogram()
	for _, d := range []time.Duration{-time.Second, 0, time.Hour, 5 * time.Millisecond} {
		record(h, d)
	}
	if x := times(h); x.N != 4 || x.Worst < 59_900 || x.P50 > 0.01 {
		t.Errorf("%+v", x)
	}
}

func TestSizesAreReadFromStatus(t *testing.T) {
	if n := field("Name:\tx\nVmHWM:\t  900 kB\nVmRSS:\t  120 kB\n", "VmRSS:"); n != 120<<10 {
		t.Error(n)
	}
	if field("Name: x\n", "VmRSS:") != 0 || field("VmRSS:\n", "VmRSS:") != 0 {
		t.Error("a size out of nothing")
	}
	if u := use(); u.RSS <= 0 || u.At == 0 {
		t.Errorf("%+v", u)
	}
}
