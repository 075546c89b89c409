// Package roll brings a decided change into force on every flow: stage it
// everywhere, hold, decide the flip, release (design 8.2).
package roll

import "walkrudder/internal/spec"

type (
	// StageAsk hands a flow version N, to be kept ready.
	StageAsk struct {
		N     uint64
		Sheet spec.Sheet
	}
	// HoldAsk stops new sends under versions below N.
	HoldAsk struct{ N uint64 }
	// FlipAsk puts N in force; the flip is decided. Flows are those that count.
	FlipAsk struct {
		N     uint64
		Flows []string
	}
	// FlowTold answers the three; N is the version in force there.
	FlowTold struct {
		OK bool
		N  uint64
	}
	// ConfirmAsk asks a mind what is in force, by a majority read begun after
	// the ask; the asker's lease was granted before.
	ConfirmAsk struct {
		ID   string
		Have uint64 // version the asker has the sheet of
	}
	// ConfirmTold answers it. Settled says that no decided change waits for its
	// flip. Sheet is sent where Have differs from N.
	ConfirmTold struct {
		OK      bool
		Settled bool
		N       uint64
		Flows   []string
		Sheet   *spec.Sheet
		Leaves  []Leave
	}
	// Leave is a target run that was acknowledged as leaving, or let go.
	Leave struct {
		Service string
		ID      string
		Inc     uint64
		Gone    bool
	}
	// LastAsk asks any node whether it has a majority's lease, and a flow for the
	// last sheet that it had confirmed.
	LastAsk struct{ Have uint64 }
	// LastTold answers it. Confirmed says that this run of a flow has had word
	// from a majority of what is in force; Hold is the version it holds work for.
	LastTold struct {
		ID        string
		Held      bool
		Confirmed bool
		Hold      uint64
		N         uint64
		Flows     []string
		Sheet     *spec.Sheet
	}
	// PartAsk says that a flow stops as planned and serves no more.
	PartAsk struct{ ID string }
	// PartTold answers it.
	PartTold struct{ OK bool }
)
