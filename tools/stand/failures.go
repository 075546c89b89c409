package stand

// Failures names every failure that the simulator and the fleet inject. Both have a test that compares
// their own list with this one, so that neither lacks a failure of the other.
var Failures = []string{
	"node killed", "node frozen", "node stopped as planned", "all nodes restarted in turn",
	"gateways killed together", "core killed", "half of all killed", "zone killed",
	"disk lost", "sync failed", "disk slow", "control machine swapped", "disk lost at the last moment",
	"node cut off", "link cut", "core cut apart", "zone cut off", "halves", "messages lost",
	"target crashed", "target misbehaved", "target left", "address passed on", "release", "target removed", "target lost for good",
	"crowd", "storm of changes",
}

// SimulatorOnly lists the failures that need the simulator's disks or network, or machines that a
// fleet does not have.
var SimulatorOnly = []string{"sync failed", "disk slow", "messages lost", "control machine swapped", "disk lost at the last moment"}
