package day

import (
	"slices"
	"sync"
	"time"
)

// splitLosableDisks returns as many random core machines as may be lost, and the remaining ones.
func (w *World) splitLosableDisks() (losable, others []*Machine) {
	core := w.coreMachines()
	losable = w.pickLosableDisks()
	others = slices.DeleteFunc(slices.Clone(core), func(m *Machine) bool { return slices.Contains(losable, m) })
	return losable, others
}

// restart kills a machine's processes and starts them again after a pause.
func (w *World) restart(m *Machine, pause time.Duration) {
	endFault := w.beginFault(m, Down)
	m.killAll()
	time.Sleep(pause)
	m.startAll()
	endFault()
}

// SplitCore partitions the core machines into halves; all other machines reach both.
func SplitCore(d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		core := pickN(w, w.coreMachines(), len(w.coreMachines()))
		half := len(core) / 2
		return w.partition(core[:half], core[half:], true)
	})
}

// ResetCoreConnections repeatedly resets the connections of one or all core machines, so that changes and reads are
// interrupted at any step.
func ResetCoreConnections(times int) Scenario {
	return func(w *World) {
		for range times {
			machines := w.coreMachines()
			if w.randIntN(3) > 0 {
				machines = []*Machine{pickOne(w, machines)}
			}
			for _, m := range machines {
				endFault := w.beginFault(m, LinkFault)
				m.host.Reset()
				endFault()
			}
			time.Sleep(w.randDuration(60 * time.Millisecond))
		}
	}
}

// DropFromCore drops all messages from some core machines, which still receive those of all others.
func DropFromCore(d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		isolated, _ := w.splitLosableDisks()
		rest := slices.DeleteFunc(slices.Clone(w.Machines), func(m *Machine) bool { return slices.Contains(isolated, m) })
		var ends []func()
		for _, m := range isolated {
			ends = append(ends, w.beginFault(m, Partitioned))
		}
		return runAll(append(ends, w.net.CutGroups(machineIDs(isolated), machineIDs(rest), false)))
	})
}

// RestartPartitionedCore partitions some core machines, restarts them during the partition, and then
// restarts the remaining ones one after another.
func RestartPartitionedCore(d time.Duration) Scenario {
	return func(w *World) {
		isolated, others := w.splitLosableDisks()
		heal := w.partition(isolated, others, true)
		time.Sleep(d / 3)
		inParallel(isolated, func(m *Machine) { w.restart(m, time.Second) })
		time.Sleep(d / 3)
		for _, m := range others {
			w.restart(m, time.Second)
		}
		time.Sleep(d / 3)
		heal()
	}
}

// RestartMajorityAfterHeal partitions some core machines while changes are made and kills the remaining ones
// right after the partition heals, so that those that missed the changes are the first to be available.
func RestartMajorityAfterHeal(d time.Duration) Scenario {
	return func(w *World) {
		isolated, others := w.splitLosableDisks()
		heal := w.partition(isolated, others, true)
		ApplyChanges(4, d/8)(w)
		time.Sleep(d / 2)
		heal()
		time.Sleep(w.randDuration(300 * time.Millisecond))
		inParallel(others, func(m *Machine) { w.restart(m, 2*time.Second) })
	}
}

// LoseDiskWhileOthersBehind makes some core machines miss changes. Then one of the others loses its disk, and the
// rest are without power for a while before the partition heals.
func LoseDiskWhileOthersBehind(d time.Duration) Scenario {
	return func(w *World) {
		isolated, others := w.splitLosableDisks()
		heal := w.partition(isolated, others, true)
		ApplyChanges(4, d/8)(w)
		var wg sync.WaitGroup
		wg.Go(func() { w.powerOff(others[0], true, time.Second) })
		for _, m := range others[1:] {
			wg.Go(func() { w.powerOff(m, false, d) })
		}
		time.Sleep(d / 2)
		heal()
		wg.Wait()
	}
}

// DrainViaPartitionedController isolates a core machine and makes draining targets report to it first.
func DrainViaPartitionedController(service string, share float64, d time.Duration) Scenario {
	return func(w *World) {
		isolated, others := w.splitLosableDisks()
		heal := w.partition(isolated, others, true)
		draining := pickShare(w, w.targets.ready(service), share)
		for _, t := range draining {
			t.mu.Lock()
			t.homeController = isolated[0].ID
			t.mu.Unlock()
		}
		var wg sync.WaitGroup
		for _, t := range draining {
			wg.Go(t.drainAndStop)
		}
		time.Sleep(d)
		heal()
		wg.Wait()
	}
}

// RestartWithPartitionedSeeds partitions some core machines, configures them as the only seeds and restarts other
// machines, which then know no other member.
func RestartWithPartitionedSeeds(restarted int, d time.Duration) Scenario {
	return func(w *World) {
		isolated, others := w.splitLosableDisks()
		heal := w.partition(isolated, others, true)
		w.mu.Lock()
		seeds := w.seeds
		w.seeds = nil
		for _, m := range isolated {
			w.seeds = append(w.seeds, m.internalAddr())
		}
		w.mu.Unlock()
		free := slices.DeleteFunc(slices.Clone(w.Machines), func(m *Machine) bool { return m.disk != nil })
		inParallel(pickN(w, free, min(restarted, len(free))), func(m *Machine) { w.restart(m, time.Second) })
		time.Sleep(d)
		w.mu.Lock()
		w.seeds = seeds
		w.mu.Unlock()
		heal()
	}
}
