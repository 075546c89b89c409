package day

import (
	"slices"
	"time"
)

// powerOff cuts the power of a machine for a time and, if diskLost is set, erases its disk.
func (w *World) powerOff(m *Machine, diskLost bool, d time.Duration) {
	endFault := w.beginFault(m, Down)
	m.powerLoss()
	if diskLost && m.disk != nil {
		if err := m.disk.Wipe(); err != nil {
			w.t.Error(err)
		}
	}
	time.Sleep(d)
	m.host.SetPowerOff(false)
	m.startAll()
	endFault()
}

// PowerLossAfterAck cuts the power of the machine that has just acknowledged a change, and erases its disk if
// that is set.
func PowerLossAfterAck(disk bool, d time.Duration) Scenario {
	return func(w *World) {
		o := w.operator(w.newID("ack"))
		c, name := w.randomEdit()
		_, m := o.sendToAny(c, true)
		if m == nil {
			return
		}
		o.probeRepeatedly(name)
		w.powerOff(m, disk, d)
	}
}

// LoseIsolatedMachine isolates a machine with a disk from all others, has an operator send a change to it
// alone, and cuts its power and erases its disk once it has acknowledged or the wait is over. The change is
// then sent to the other controllers.
func LoseIsolatedMachine(wait, d time.Duration) Scenario {
	return func(w *World) {
		m := pickOne(w, w.coreMachines())
		heal := w.partition([]*Machine{m}, slices.DeleteFunc(slices.Clone(w.Machines), func(o *Machine) bool { return o == m }), true)
		o := w.operator(w.newID("alone"))
		c, name := w.randomEdit()
		change := o.recordChange(c, true)
		o.sendUntil(change, c, []*Machine{m}, w.now()+wait)
		m.powerLoss()
		if err := m.disk.Wipe(); err != nil {
			w.t.Error(err)
		}
		heal()
		endFault := w.beginFault(m, Down)
		o.probeRepeatedly(name)
		if !change.answered() {
			o.sendUntil(change, c, w.controllers(), w.now()+maxSendTime)
		}
		time.Sleep(d)
		m.host.SetPowerOff(false)
		m.startAll()
		endFault()
	}
}

// PowerLossAfterDrainAck cuts the power of the machine that has just acknowledged that a target
// drains.
func PowerLossAfterDrainAck(service string, d time.Duration) Scenario {
	return func(w *World) {
		list := w.targets.ready(service)
		if len(list) < 2 {
			return
		}
		t := pickOne(w, list)
		w.activities.Go(t.drainAndStop)
		select {
		case <-t.drainAcked:
		case <-t.ended:
			return
		}
		t.mu.Lock()
		m := w.machine(t.ackedBy)
		t.mu.Unlock()
		w.powerOff(m, false, d)
	}
}

// SlowDisks slows down the syncs of n disks.
func SlowDisks(n int, d time.Duration) Scenario {
	return During(d, func(w *World) func() {
		var ends []func()
		for _, m := range pickN(w, w.coreMachines(), n) {
			endFault := w.beginFault(m, DiskFault)
			m.disk.SetSyncTime(100*time.Millisecond, 900*time.Millisecond)
			ends = append(ends, func() { m.disk.SetSyncTime(200*time.Microsecond, 3*time.Millisecond); endFault() })
		}
		return runAll(ends)
	})
}

// RefuseSyncs makes a disk refuse its syncs, which ends the controller on it; later both work again.
func RefuseSyncs(d time.Duration) Scenario {
	return func(w *World) {
		m := pickOne(w, w.coreMachines())
		endFault := w.beginFault(m, DiskFault)
		m.disk.SetFailing(true)
		time.Sleep(d)
		m.disk.SetFailing(false)
		m.killController()
		m.startAll()
		endFault()
	}
}
