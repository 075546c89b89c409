package day

import (
	"slices"
	"sync"
	"time"
)

// Part is a process of a machine.
type Part int

// Parts.
const (
	Gateway Part = 1 << iota
	Controller
	Both = Gateway | Controller
)

func (m *Machine) kill(p Part) {
	var wg sync.WaitGroup
	if p&Gateway != 0 {
		wg.Go(m.killGateway)
	}
	if p&Controller != 0 {
		wg.Go(m.killController)
	}
	wg.Wait()
}

// among chooses n machines: all, those that serve the control plane, or those with a
// disk. Of the latter no more than may be lost.
func (w *World) among(n int, of []*Machine) []*Machine {
	var out []*Machine
	disks := 0
	for _, m := range some(w, of, len(of)) {
		if m.disk != nil {
			if disks == w.Shape.Bear {
				continue
			}
			disks++
		}
		if len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// ControllersFroze freezes n machines that serve the control plane, and thaws them.
func ControllersFroze(n int, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		var ends []func()
		for _, m := range w.among(n, w.controllers()) {
			over := w.trouble(m, Frozen)
			m.host.Freeze()
			ends = append(ends, func() { m.host.Thaw(); over() })
		}
		return all(ends)
	})
}

// Killed kills processes of n machines and starts them again after a time.
func Killed(n int, p Part, d time.Duration) Trouble {
	return func(w *World) {
		of := w.Machines
		if p == Controller {
			of = w.controllers()
		}
		each(w.among(n, of), func(m *Machine) {
			over := w.trouble(m, Down)
			m.kill(p)
			time.Sleep(d)
			m.bootAll()
			over()
		})
	}
}

// Herd kills many processes at one moment, core and all.
func Herd(part float64, p Part, d time.Duration) Trouble {
	return func(w *World) {
		each(share(w, w.Machines, part), func(m *Machine) {
			over := w.trouble(m, Down)
			m.kill(p)
			time.Sleep(d)
			m.bootAll()
			over()
		})
	}
}

// Froze freezes n machines and thaws them.
func Froze(n int, d time.Duration) Trouble {
	return func(w *World) {
		each(w.among(n, w.Machines), func(m *Machine) {
			over := w.trouble(m, Frozen)
			m.host.Freeze()
			time.Sleep(d)
			m.host.Thaw()
			over()
		})
	}
}

// Rolled stops and starts all machines in turn.
func Rolled(pause time.Duration) Trouble {
	return func(w *World) {
		for _, m := range w.Machines {
			over := w.trouble(m, Planned)
			m.stop()
			m.bootAll()
			over()
			time.Sleep(pause)
		}
	}
}

// ControllersRolled stops and starts controllers in series that overlap: the next stop comes after a
// pause, whether the one before has come back or not, but no more of a core are away than may be lost.
func ControllersRolled(times int, pause time.Duration) Trouble {
	return func(w *World) {
		var wg sync.WaitGroup
		away := make(chan struct{}, w.Shape.Bear)
		for i := range times {
			of := w.controllers()
			m := of[i%len(of)]
			wg.Go(func() {
				if m.disk != nil {
					away <- struct{}{}
					defer func() { <-away }()
				}
				over := w.trouble(m, Planned)
				m.stop()
				m.bootAll()
				over()
			})
			time.Sleep(pause/2 + w.within(pause))
		}
		wg.Wait()
	}
}

func all(fs []func()) func() {
	return func() {
		for _, f := range fs {
			f()
		}
	}
}

func ids(ms []*Machine) (out []string) {
	for _, m := range ms {
		out = append(out, m.ID)
	}
	return out
}

// CoreCut cuts the machines in two, each with a part of the core; the smaller part counts
// as troubled.
func CoreCut(d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		small := w.smallerPart()
		var rest []*Machine
		for _, m := range w.Machines {
			switch {
			case slices.Contains(small, m):
			case m.disk == nil && w.chance(3) == 0:
				small = append(small, m)
			default:
				rest = append(rest, m)
			}
		}
		return w.apart(small, rest, true)
	})
}

// apart cuts some machines off from others; the first count as troubled.
func (w *World) apart(some, rest []*Machine, both bool) func() {
	var ends []func()
	for _, m := range some {
		ends = append(ends, w.trouble(m, CutOff))
	}
	ends = append(ends, w.net.CutGroups(ids(some), ids(rest), both))
	if !both && w.chance(2) == 0 {
		ends = append(ends, w.net.CutGroups(ids(rest), ids(some), false))
	}
	return all(ends)
}

// NodeCut cuts n machines off from all others, and from the targets of other zones; one
// way or both.
func NodeCut(n int, both bool, d time.Duration) Trouble { return For(d, CutOffNodes(n, both)) }

// CutOffNodes begins what NodeCut does.
func CutOffNodes(n int, both bool) func(*World) func() {
	return func(w *World) func() {
		var ends []func()
		for _, m := range w.among(n, w.Machines) {
			rest := slices.DeleteFunc(slices.Clone(w.Machines), func(o *Machine) bool { return o == m })
			ends = append(ends, w.apart([]*Machine{m}, rest, both))
			for _, t := range w.herd.of("") {
				if t.Zone != m.Zone {
					ends = append(ends, w.harm(t.ID), w.net.CutGroups([]string{m.ID}, []string{t.host.ID}, true))
				}
			}
		}
		return all(ends)
	}
}

// Slowed adds a time to all that comes to and goes from n machines. What a machine does by
// itself is not slower here.
func Slowed(n int, by, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		var ends []func()
		for _, m := range w.among(n, w.Machines) {
			over := w.trouble(m, Slow)
			m.host.SetExtraLatency(by)
			ends = append(ends, func() { m.host.SetExtraLatency(0); over() })
		}
		return all(ends)
	})
}

// Lossy loses a share of what comes to and goes from n machines.
func Lossy(n int, part float64, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		var ends []func()
		for _, m := range w.among(n, w.Machines) {
			over := w.trouble(m, Links)
			m.host.SetLossRate(part)
			ends = append(ends, func() { m.host.SetLossRate(0); over() })
		}
		return all(ends)
	})
}

// MachinesReset resets all connections of n machines.
func MachinesReset(n int) Trouble {
	return func(w *World) {
		for _, m := range w.among(n, w.Machines) {
			over := w.trouble(m, Links)
			m.host.Reset()
			over()
		}
	}
}

// SeedTurnover exchanges the seeds for other machines that serve the control plane.
func SeedTurnover(w *World) {
	var seeds []string
	for _, m := range some(w, w.controllers(), 3) {
		seeds = append(seeds, m.innerAddr())
	}
	w.mu.Lock()
	w.seeds = seeds
	w.mu.Unlock()
	for _, m := range w.Machines {
		m.mu.Lock()
		n, s := m.controller, m.sub
		m.mu.Unlock()
		if n != nil {
			n.SetSeeds(seeds)
		}
		if s != nil {
			s.SetSeeds(seeds)
		}
	}
}
