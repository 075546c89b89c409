// Package rollout brings a decided change into force on every gateway: stage it
// everywhere, hold, decide the flip, release (design 8.2).
package rollout

import "walkrudder/internal/spec"

type (
	// StageAsk hands a gateway version N, to be kept ready.
	StageAsk struct {
		N     uint64
		Sheet spec.Sheet
	}
	// HoldAsk stops new sends under versions below N, on behalf of By.
	HoldAsk struct {
		N  uint64
		By string
	}
	// FreeAsk ends By's hold.
	FreeAsk HoldAsk
	// FlipAsk says that the flip to N is decided: nothing below it is served any
	// more. Open lets it be served. Gateways are those that count, by the list of
	// Round.
	FlipAsk struct {
		N        uint64
		Open     bool
		Round    uint64
		Gateways []string
	}
	// CountAsk tells which gateways count. Sure says that the list is decided; else it
	// is about to be, and holds already for whoever agrees.
	CountAsk struct {
		Round    uint64
		Gateways []string
		Sure     bool
	}
	// GatewayTold answers the five; N is the version in force there.
	GatewayTold struct {
		OK bool
		N  uint64
	}
	// ConfirmAsk asks a controller what is in force, by a majority read begun after
	// the ask; the asker's lease was granted before.
	ConfirmAsk struct {
		ID   string
		Have uint64 // version the asker has the sheet of
	}
	// ConfirmTold answers it. Settled says that no decided change waits to come into
	// force, Open that N may be served. Sheet is sent where Have differs from N.
	ConfirmTold struct {
		OK       bool
		Settled  bool
		Open     bool
		N        uint64
		Round    uint64
		Gateways []string
		Sheet    *spec.Sheet
		Leaves   []Leave
	}
	// Leave is a target run that was acknowledged as leaving, or let go.
	Leave struct {
		Service string
		ID      string
		Inc     uint64
		Gone    bool
	}
	// LastAsk asks any node whether it has a majority's lease, and a gateway for the
	// last sheet that it had confirmed.
	LastAsk struct{ Have uint64 }
	// LastTold answers it. Fresh says that the lease was renewed lately. Confirmed says that this run of a gateway has had word
	// from a majority of what is in force; Shut, that N is decided and not known here
	// to be open.
	LastTold struct {
		ID        string
		Held      bool
		Fresh     bool
		Confirmed bool
		Shut      bool
		N         uint64
		Round     uint64
		Gateways  []string
		Sheet     *spec.Sheet
	}
	// PartAsk says that a gateway stops as planned and serves no more.
	PartAsk struct{ ID string }
	// PartTold answers it.
	PartTold struct{ OK bool }
)
