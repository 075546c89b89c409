package stand

// Failures names every failure that simulator and fleet bring about, so that neither
// lacks what the other has; a test of each holds its own list against this one.
var Failures = []string{
	"node killed", "node frozen", "node stopped as planned", "all nodes restarted in turn",
	"gateways killed together", "core killed", "half of all killed", "zone killed",
	"disk lost", "sync failed", "disk slow", "control machine swapped", "disk lost at the last moment",
	"node cut off", "link cut", "core cut apart", "zone cut off", "halves", "messages lost",
	"target crashed", "target misbehaved", "target left", "address passed on", "release", "target removed", "target lost for good",
	"crowd", "storm of changes",
}

// Simulated are those of them that take a disk or a network of the simulator's, or
// machines that a fleet does not have.
var Simulated = []string{"sync failed", "disk slow", "messages lost", "control machine swapped", "disk lost at the last moment"}
