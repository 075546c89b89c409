package day

import (
	"slices"
	"time"
)

// End is how a day's closing fault takes the machines.
type End int

// Ends of a day.
const (
	AllKilled     End = iota
	AllPower          // with what was not synced
	DisksLost         // as many disks, or those of a domain, as may be lost, and all killed
	DisksAndPower     // the same, and all other machines lose power, also those without a disk
)

// Closes ends all processes at one moment, and starts them again. The day goes on for
// long enough to see whether requests are served.
func Closes(how End, d time.Duration) Trouble {
	return func(w *World) {
		at := w.now()
		w.note(func(r *Record) { r.Closing = &Closing{At: at} })
		lost := w.losableDisks()
		each(w.Machines, func(m *Machine) {
			over := w.trouble(m, Down)
			switch how {
			case AllPower, DisksAndPower:
				m.powerLoss()
			default:
				m.killAll()
			}
			if (how == DisksLost || how == DisksAndPower) && slices.Contains(lost, m) {
				if err := m.disk.Wipe(); err != nil {
					w.t.Error(err)
				}
			}
			time.Sleep(d)
			m.host.SetPowerOff(false)
			m.bootAll()
			over()
		})
		w.note(func(r *Record) { r.Closing.Back = w.now() })
	}
}
