package day

import (
	"slices"
	"sync"
	"time"
)

// ProcessSet is a set of processes of a machine.
type ProcessSet int

// Process sets.
const (
	Gateway ProcessSet = 1 << iota
	Controller
	Both = Gateway | Controller
)

func (m *Machine) kill(p ProcessSet) {
	var wg sync.WaitGroup
	if p&Gateway != 0 {
		wg.Go(m.killGateway)
	}
	if p&Controller != 0 {
		wg.Go(m.killController)
	}
	wg.Wait()
}

// pickMachines returns n random machines of a list, with no more disk machines among them than may
// be lost.
func (w *World) pickMachines(n int, of []*Machine) []*Machine {
	var out []*Machine
	disks := 0
	for _, m := range pickN(w, of, len(of)) {
		if m.disk != nil {
			if disks == w.Deployment.MaxLostMachines {
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

// FreezeControllers freezes n machines that run a controller, and thaws them.
func FreezeControllers(n int, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		var ends []func()
		for _, m := range w.pickMachines(n, w.controllers()) {
			endFault := w.beginFault(m, Frozen)
			m.host.Freeze()
			ends = append(ends, func() { m.host.Thaw(); endFault() })
		}
		return runAll(ends)
	})
}

// KillProcesses kills processes of n machines and starts them again after a time.
func KillProcesses(n int, p ProcessSet, d time.Duration) Scenario {
	return func(w *World) {
		of := w.Machines
		if p == Controller {
			of = w.controllers()
		}
		inParallel(w.pickMachines(n, of), func(m *Machine) {
			endFault := w.beginFault(m, Down)
			m.kill(p)
			time.Sleep(d)
			m.startAll()
			endFault()
		})
	}
}

// KillShare kills processes of a share of the machines at the same time, including any number of core machines.
func KillShare(share float64, p ProcessSet, d time.Duration) Scenario {
	return func(w *World) {
		inParallel(pickShare(w, w.Machines, share), func(m *Machine) {
			endFault := w.beginFault(m, Down)
			m.kill(p)
			time.Sleep(d)
			m.startAll()
			endFault()
		})
	}
}

// FreezeMachines freezes n machines and thaws them.
func FreezeMachines(n int, d time.Duration) Scenario {
	return func(w *World) {
		inParallel(w.pickMachines(n, w.Machines), func(m *Machine) {
			endFault := w.beginFault(m, Frozen)
			m.host.Freeze()
			time.Sleep(d)
			m.host.Thaw()
			endFault()
		})
	}
}

// RollingRestart stops and starts all machines one after another.
func RollingRestart(pause time.Duration) Scenario {
	return func(w *World) {
		for _, m := range w.Machines {
			endFault := w.beginFault(m, PlannedStop)
			m.stop()
			m.startAll()
			endFault()
			time.Sleep(pause)
		}
	}
}

// RestartControllers stops and starts controllers in overlapping sequence: the next one stops after a
// pause, whether the previous one is back or not, but no more core machines are stopped at once than may be lost.
func RestartControllers(times int, pause time.Duration) Scenario {
	return func(w *World) {
		var wg sync.WaitGroup
		stopped := make(chan struct{}, w.Deployment.MaxLostMachines)
		for i := range times {
			of := w.controllers()
			m := of[i%len(of)]
			wg.Go(func() {
				if m.disk != nil {
					stopped <- struct{}{}
					defer func() { <-stopped }()
				}
				endFault := w.beginFault(m, PlannedStop)
				m.stop()
				m.startAll()
				endFault()
			})
			time.Sleep(pause/2 + w.randDuration(pause))
		}
		wg.Wait()
	}
}

func runAll(fs []func()) func() {
	return func() {
		for _, f := range fs {
			f()
		}
	}
}

func machineIDs(ms []*Machine) (out []string) {
	for _, m := range ms {
		out = append(out, m.ID)
	}
	return out
}

// PartitionMachines partitions the machines in two, each with a part of the core; the smaller part is recorded
// as faulty.
func PartitionMachines(d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		small := w.pickMinority()
		var rest []*Machine
		for _, m := range w.Machines {
			switch {
			case slices.Contains(small, m):
			case m.disk == nil && w.randIntN(3) == 0:
				small = append(small, m)
			default:
				rest = append(rest, m)
			}
		}
		return w.partition(small, rest, true)
	})
}

// partition partitions some machines from others; the first are recorded as faulty.
func (w *World) partition(isolated, rest []*Machine, both bool) func() {
	var ends []func()
	for _, m := range isolated {
		ends = append(ends, w.beginFault(m, Partitioned))
	}
	ends = append(ends, w.net.CutGroups(machineIDs(isolated), machineIDs(rest), both))
	if !both && w.randIntN(2) == 0 {
		ends = append(ends, w.net.CutGroups(machineIDs(rest), machineIDs(isolated), false))
	}
	return runAll(ends)
}

// IsolateMachines partitions n machines from all others and from the targets of other zones, in one
// direction or both.
func IsolateMachines(n int, both bool, d time.Duration) Scenario {
	return During(d, BeginIsolation(n, both))
}

// BeginIsolation returns the function that begins the partition of IsolateMachines.
func BeginIsolation(n int, both bool) func(*World) func() {
	return func(w *World) func() {
		var ends []func()
		for _, m := range w.pickMachines(n, w.Machines) {
			rest := slices.DeleteFunc(slices.Clone(w.Machines), func(o *Machine) bool { return o == m })
			ends = append(ends, w.partition([]*Machine{m}, rest, both))
			for _, t := range w.targets.ready("") {
				if t.Zone != m.Zone {
					ends = append(ends, w.beginTargetPathFault(t.ID), w.net.CutGroups([]string{m.ID}, []string{t.host.ID}, true))
				}
			}
		}
		return runAll(ends)
	}
}

// DelayMachines adds a delay to all messages to and from n machines. Computation on the machine is not
// slowed down.
func DelayMachines(n int, by, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		var ends []func()
		for _, m := range w.pickMachines(n, w.Machines) {
			endFault := w.beginFault(m, Slow)
			m.host.SetExtraLatency(by)
			ends = append(ends, func() { m.host.SetExtraLatency(0); endFault() })
		}
		return runAll(ends)
	})
}

// LoseMessages loses a share of the messages to and from n machines.
func LoseMessages(n int, share float64, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		var ends []func()
		for _, m := range w.pickMachines(n, w.Machines) {
			endFault := w.beginFault(m, LinkFault)
			m.host.SetLossRate(share)
			ends = append(ends, func() { m.host.SetLossRate(0); endFault() })
		}
		return runAll(ends)
	})
}

// ResetMachineConnections resets all connections of n machines.
func ResetMachineConnections(n int) Scenario {
	return func(w *World) {
		for _, m := range w.pickMachines(n, w.Machines) {
			endFault := w.beginFault(m, LinkFault)
			m.host.Reset()
			endFault()
		}
	}
}

// ReplaceSeeds replaces the seeds by other machines that run a controller.
func ReplaceSeeds(w *World) {
	var seeds []string
	for _, m := range pickN(w, w.controllers(), 3) {
		seeds = append(seeds, m.internalAddr())
	}
	w.mu.Lock()
	w.seeds = seeds
	w.mu.Unlock()
	for _, m := range w.Machines {
		m.mu.Lock()
		n, s := m.controller, m.subscriber
		m.mu.Unlock()
		if n != nil {
			n.SetSeeds(seeds)
		}
		if s != nil {
			s.SetSeeds(seeds)
		}
	}
}
