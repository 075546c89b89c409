// Package registry keeps the tables of targets: at each service's home controller in every
// zone, and at the gateways that subscribe to these (design 12).
package registry

import "walkrudder/internal/httpapi"

// Entry is the known state of a target run.
type Entry struct {
	Beat    httpapi.Beat
	Gone    bool    // removed by a decision of the core
	Suspect bool    // suspected by the home's detector
	W       float64 // suspicion level by the home's detector; set by List
}

// View is one target run as a gateway's own probes see it.
type View struct {
	Service string
	ID      string
	Inc     uint64
	W       float64 // suspicion level by the gateway's detector
	// Proved says that the target recently answered a probe with its own identity.
	Proved bool
}

// isNewer reports whether beat b is newer than the held one: of a later run, or a later beat
// of the same run.
func isNewer(b, held httpapi.Beat) bool {
	return b.Inc > held.Inc || b.Inc == held.Inc && b.Seq > held.Seq
}

type (
	// BeatAsk forwards a beat to a home.
	BeatAsk struct{ Beat httpapi.Beat }
	// BeatTold answers BeatAsk.
	BeatTold struct {
		OK   bool
		Seq  uint64 // the largest received of this run
		Gone bool
	}
	// WatchAsk waits for a version of a service's table after Seen of the home's run Run.
	WatchAsk struct {
		Service string
		Run     uint64
		Seen    uint64
		WaitMS  int
	}
	// WatchTold answers WatchAsk. Unless Same is set, Entries is the whole table of the
	// service.
	WatchTold struct {
		Run     uint64
		Version uint64
		Same    bool
		Entries []Entry
	}
	// DrainAsk informs a gateway that a target run is leaving, or gone.
	DrainAsk struct {
		Service string
		ID      string
		Inc     uint64
		Gone    bool
	}
	// DrainTold answers DrainAsk.
	DrainTold struct{ OK bool }
	// MarkAsk informs a controller of what was decided about a target run.
	MarkAsk struct {
		Service string
		ID      string
		Inc     uint64
		Suspect bool
		Gone    bool
	}
	// MarkTold answers MarkAsk.
	MarkTold struct{ OK bool }
	// SeenAsk requests the whole table of a controller.
	SeenAsk struct{ From string }
	// SeenTold answers SeenAsk.
	SeenTold struct{ Seen []Seen }
	// ViewAsk requests a gateway's view of the targets that it probes.
	ViewAsk struct{ From string }
	// ViewTold answers ViewAsk.
	ViewTold struct{ Views []View }
	// JudgeAsk requests a controller's own suspicion of a target run.
	JudgeAsk struct {
		Service string
		ID      string
		Inc     uint64
	}
	// JudgeTold answers JudgeAsk. Known is false if the controller has no beat of the run.
	JudgeTold struct {
		Known bool
		Seq   uint64
		W     float64 // suspicion level
		Quiet int64   // nanoseconds since the last beat, without pauses of the controller's process
	}
)
