package day

import (
	"slices"
	"time"
)

// FinalFaultKind is how the final fault of a day affects the machines.
type FinalFaultKind int

// Kinds of final faults.
const (
	AllKilled             FinalFaultKind = iota
	AllLosePower                         // with the loss of unsynced writes
	DisksLostAllKilled                   // as many disks, or those of a domain, as may be lost, and all processes are killed
	DisksLostAllLosePower                // the same disks, and all machines lose power, also those without a disk
)

// FailAllMachines ends all processes at the same time and starts them again. The day continues long
// enough to observe whether requests are served.
func FailAllMachines(how FinalFaultKind, d time.Duration) Scenario {
	return func(w *World) {
		at := w.now()
		w.updateRecord(func(r *Record) { r.FinalFault = &FinalFault{At: at} })
		lost := w.pickLosableDisks()
		inParallel(w.Machines, func(m *Machine) {
			endFault := w.beginFault(m, Down)
			switch how {
			case AllLosePower, DisksLostAllLosePower:
				m.powerLoss()
			default:
				m.killAll()
			}
			if (how == DisksLostAllKilled || how == DisksLostAllLosePower) && slices.Contains(lost, m) {
				if err := m.disk.Wipe(); err != nil {
					w.t.Error(err)
				}
			}
			time.Sleep(d)
			m.host.SetPowerOff(false)
			m.startAll()
			endFault()
		})
		w.updateRecord(func(r *Record) { r.FinalFault.RestartedAt = w.now() })
	}
}
