// Package registry keeps the tables of targets: at each service's home controller in every
// zone, and at the gateways that subscribe there (design 12).
package registry

import "walkrudder/internal/httpapi"

// Entry is what is known of a target run.
type Entry struct {
	Beat    httpapi.Beat
	Gone    bool // let go by agreement
	Suspect bool // by the home's detector
	W       float64
}

// View is one target run as a gateway's own probes show it.
type View struct {
	Service string
	ID      string
	Inc     uint64
	W       float64
	// Proved says that it answered a probe by its name lately.
	Proved bool
}

// later tells whether b is news against what is held: a later run, or a later
// beat of the same.
func later(b, held httpapi.Beat) bool {
	return b.Inc > held.Inc || b.Inc == held.Inc && b.Seq > held.Seq
}

type (
	// BeatAsk hands a beat on to a home.
	BeatAsk struct{ Beat httpapi.Beat }
	// BeatTold answers it.
	BeatTold struct {
		OK   bool
		Seq  uint64 // the largest met for this run
		Gone bool
	}
	// WatchAsk waits for news of a service past version Seen of the home's run.
	WatchAsk struct {
		Service string
		Run     uint64
		Seen    uint64
		WaitMS  int
	}
	// WatchTold answers it; Entries is the whole table of the service, where Same
	// is false.
	WatchTold struct {
		Run     uint64
		Version uint64
		Same    bool
		Entries []Entry
	}
	// DrainAsk tells a gateway that a target run is leaving, or was let go.
	DrainAsk struct {
		Service string
		ID      string
		Inc     uint64
		Gone    bool
	}
	// DrainTold answers it.
	DrainTold struct{ OK bool }
	// MarkAsk tells a controller what was decided of a target run.
	MarkAsk struct {
		Service string
		ID      string
		Inc     uint64
		Suspect bool
		Gone    bool
	}
	// MarkTold answers it.
	MarkTold struct{ OK bool }
	// SeenAsk asks a controller for all that its house holds.
	SeenAsk struct{ From string }
	// SeenTold answers it.
	SeenTold struct{ Seen []Seen }
	// ViewAsk asks a gateway how it sees the targets that it probes.
	ViewAsk struct{ From string }
	// ViewTold answers it.
	ViewTold struct{ Views []View }
	// JudgeAsk asks a controller for its own suspicion of a target run.
	JudgeAsk struct {
		Service string
		ID      string
		Inc     uint64
	}
	// JudgeTold answers it. Known is false where no beat of the run came here.
	JudgeTold struct {
		Known bool
		Seq   uint64
		W     float64
		Quiet int64 // nanoseconds since the last beat
	}
)
