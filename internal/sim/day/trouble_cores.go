package day

import (
	"slices"
	"sync"
	"time"
)

// divide draws as many core machines as may be lost, and the other ones.
func (w *World) divide() (few, others []*Machine) {
	core := w.core()
	few = w.losableDisks()
	others = slices.DeleteFunc(slices.Clone(core), func(m *Machine) bool { return slices.Contains(few, m) })
	return few, others
}

// restart kills the processes of a machine, and starts them again.
func (w *World) restart(m *Machine, pause time.Duration) {
	over := w.trouble(m, Down)
	m.killAll()
	time.Sleep(pause)
	m.bootAll()
	over()
}

// CoreSplit cuts half of the core machines from the other half; all other machines reach both.
func CoreSplit(d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		core := some(w, w.core(), len(w.core()))
		half := len(core) / 2
		return w.apart(core[:half], core[half:], true)
	})
}

// CoreReset resets the connections of core machines, one or all, again and again: changes and reads are
// struck at every moment.
func CoreReset(times int) Trouble {
	return func(w *World) {
		for range times {
			struck := w.core()
			if w.chance(3) > 0 {
				struck = []*Machine{pick(w, struck)}
			}
			for _, m := range struck {
				over := w.trouble(m, Links)
				m.host.Reset()
				over()
			}
			time.Sleep(w.within(60 * time.Millisecond))
		}
	}
}

// CoreNotHeard lets nobody hear some of the core machines, which hear all others.
func CoreNotHeard(d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		few, _ := w.divide()
		rest := slices.DeleteFunc(slices.Clone(w.Machines), func(m *Machine) bool { return slices.Contains(few, m) })
		var ends []func()
		for _, m := range few {
			ends = append(ends, w.trouble(m, CutOff))
		}
		return all(append(ends, w.net.CutGroups(ids(few), ids(rest), false)))
	})
}

// CoreCutAndRestarted cuts some core machines off, starts them anew while they are cut off, and
// then the other ones, one after the other.
func CoreCutAndRestarted(d time.Duration) Trouble {
	return func(w *World) {
		few, others := w.divide()
		heal := w.apart(few, others, true)
		time.Sleep(d / 3)
		each(few, func(m *Machine) { w.restart(m, time.Second) })
		time.Sleep(d / 3)
		for _, m := range others {
			w.restart(m, time.Second)
		}
		time.Sleep(d / 3)
		heal()
	}
}

// CoreRelieved cuts some core machines off while changes are made, and kills the other ones just
// after the cut has healed: those that missed the changes are the first to be there.
func CoreRelieved(d time.Duration) Trouble {
	return func(w *World) {
		few, others := w.divide()
		heal := w.apart(few, others, true)
		Changes(4, d/8)(w)
		time.Sleep(d / 2)
		heal()
		time.Sleep(w.within(300 * time.Millisecond))
		each(others, func(m *Machine) { w.restart(m, 2*time.Second) })
	}
}

// CoreBehind has some core machines miss changes; then one of the others loses its disk, and the
// rest are dark for a time before the cut heals.
func CoreBehind(d time.Duration) Trouble {
	return func(w *World) {
		few, others := w.divide()
		heal := w.apart(few, others, true)
		Changes(4, d/8)(w)
		var wg sync.WaitGroup
		wg.Go(func() { w.dark(others[0], true, time.Second) })
		for _, m := range others[1:] {
			wg.Go(func() { w.dark(m, false, d) })
		}
		time.Sleep(d / 2)
		heal()
		wg.Wait()
	}
}

// CoreLured cuts a core machine off, and has targets that leave tell it first.
func CoreLured(service string, part float64, d time.Duration) Trouble {
	return func(w *World) {
		few, others := w.divide()
		heal := w.apart(few, others, true)
		leaving := share(w, w.herd.of(service), part)
		for _, t := range leaving {
			t.mu.Lock()
			t.home = few[0].ID
			t.mu.Unlock()
		}
		var wg sync.WaitGroup
		for _, t := range leaving {
			wg.Go(t.leave)
		}
		time.Sleep(d)
		heal()
		wg.Wait()
	}
}

// CoreSeeded cuts some core machines off, names them as the only seeds, and starts other machines
// anew, which then know nobody else.
func CoreSeeded(restarted int, d time.Duration) Trouble {
	return func(w *World) {
		few, others := w.divide()
		heal := w.apart(few, others, true)
		w.mu.Lock()
		before := w.seeds
		w.seeds = nil
		for _, m := range few {
			w.seeds = append(w.seeds, m.innerAddr())
		}
		w.mu.Unlock()
		free := slices.DeleteFunc(slices.Clone(w.Machines), func(m *Machine) bool { return m.disk != nil })
		each(some(w, free, min(restarted, len(free))), func(m *Machine) { w.restart(m, time.Second) })
		time.Sleep(d)
		w.mu.Lock()
		w.seeds = before
		w.mu.Unlock()
		heal()
	}
}
