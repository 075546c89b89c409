package day

import (
	"slices"
	"time"
)

// dark takes the power of a machine for a time, and its disk with it where that is lost.
func (w *World) dark(m *Machine, diskLost bool, d time.Duration) {
	over := w.trouble(m, Down)
	m.powerLoss()
	if diskLost && m.disk != nil {
		if err := m.disk.Wipe(); err != nil {
			w.t.Error(err)
		}
	}
	time.Sleep(d)
	m.host.SetPowerOff(false)
	m.bootAll()
	over()
}

// AfterAck takes the power, or the whole disk, from the machine that has just
// acknowledged a change.
func AfterAck(disk bool, d time.Duration) Trouble {
	return func(w *World) {
		o := w.operator(w.id("ack"))
		c, name := w.edit()
		_, m := o.send(c, true)
		if m == nil {
			return
		}
		o.watch(name)
		w.dark(m, disk, d)
	}
}

// CutAndLost cuts a machine with a disk off from all others, has an operator send a change
// to it alone, and takes its power and its disk once it has said yes or the patience is
// over. The change is then sent to the others.
func CutAndLost(patience, d time.Duration) Trouble {
	return func(w *World) {
		m := pick(w, w.core())
		mend := w.apart([]*Machine{m}, slices.DeleteFunc(slices.Clone(w.Machines), func(o *Machine) bool { return o == m }), true)
		o := w.operator(w.id("alone"))
		c, name := w.edit()
		order := o.begin(c, true)
		o.press(order, c, []*Machine{m}, w.now()+patience)
		m.powerLoss()
		if err := m.disk.Wipe(); err != nil {
			w.t.Error(err)
		}
		mend()
		over := w.trouble(m, Down)
		o.watch(name)
		if !order.settled() {
			o.press(order, c, w.controllers(), w.now()+pressTime)
		}
		time.Sleep(d)
		m.host.SetPowerOff(false)
		m.bootAll()
		over()
	}
}

// AfterLeaving takes the power from the machine that has just acknowledged that a target
// leaves.
func AfterLeaving(service string, d time.Duration) Trouble {
	return func(w *World) {
		list := w.herd.of(service)
		if len(list) < 2 {
			return
		}
		t := pick(w, list)
		w.wg.Go(t.leave)
		select {
		case <-t.drained:
		case <-t.gone:
			return
		}
		t.mu.Lock()
		m := w.machine(t.by)
		t.mu.Unlock()
		w.dark(m, false, d)
	}
}

// DiskSlow slows the syncs of n disks.
func DiskSlow(n int, d time.Duration) Trouble {
	return For(d, func(w *World) func() {
		var ends []func()
		for _, m := range some(w, w.core(), n) {
			over := w.trouble(m, DiskTrouble)
			m.disk.SetSyncTime(100*time.Millisecond, 900*time.Millisecond)
			ends = append(ends, func() { m.disk.SetSyncTime(200*time.Microsecond, 3*time.Millisecond); over() })
		}
		return all(ends)
	})
}

// DiskRefuses has a disk refuse its syncs; the controller on it ends, and comes back.
func DiskRefuses(d time.Duration) Trouble {
	return func(w *World) {
		m := pick(w, w.core())
		over := w.trouble(m, DiskTrouble)
		m.disk.SetFailing(true)
		time.Sleep(d)
		m.disk.SetFailing(false)
		m.killController()
		m.bootAll()
		over()
	}
}
