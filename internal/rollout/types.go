// Package rollout brings a decided change into force on every gateway (design 8.2). It stages
// the new sheet on all of them, holds their requests, records the activation of the new version,
// and lets the gateways serve it. The messages call the activation "flip".
package rollout

import "walkrudder/internal/spec"

type (
	// StageAsk sends a gateway the sheet of version N to be staged.
	StageAsk struct {
		N     uint64
		Sheet spec.Sheet
	}
	// HoldAsk stops new sends under versions below N, on behalf of the roll-out By.
	HoldAsk struct {
		N  uint64
		By string
	}
	// FreeAsk releases By's hold.
	FreeAsk HoldAsk
	// FlipAsk announces that the activation of N is decided: no lower version is served from
	// then on. Open allows N to be served. Gateways lists the voting gateways, and Round is the
	// revision of that list.
	FlipAsk struct {
		N        uint64
		Open     bool
		Round    uint64
		Gateways []string
	}
	// CountAsk announces the list of voting gateways with revision Round. Sure means that the
	// list is decided; otherwise it is about to be, and already binds each gateway that agrees.
	CountAsk struct {
		Round    uint64
		Gateways []string
		Sure     bool
	}
	// GatewayTold answers StageAsk, HoldAsk, FreeAsk, FlipAsk and CountAsk; N is the version in
	// force at the gateway.
	GatewayTold struct {
		OK bool
		N  uint64
	}
	// ConfirmAsk asks a controller what is in force, by a majority read begun after the
	// request arrived; the sender's lease was granted before.
	ConfirmAsk struct {
		ID   string
		Have uint64 // version of the sheet that the sender has
	}
	// ConfirmTold answers ConfirmAsk. Settled means that no decided change waits to come
	// into force, Open that N may be served. Sheet is sent if Have differs from N.
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
	// Leave is a target run that is leaving, or that was removed if Gone is set.
	Leave struct {
		Service string
		ID      string
		Inc     uint64
		Gone    bool
	}
	// LastAsk asks any node whether it holds a lease from a majority, and a gateway also
	// for the last sheet that was confirmed to it.
	LastAsk struct{ Have uint64 }
	// LastTold answers LastAsk. Held means that the node holds a lease from a majority, and
	// Fresh that the lease was renewed recently. Confirmed means that this run of the gateway
	// has learned from a majority what is in force. Shut means that N is decided and not known
	// here to be open.
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
	// PartAsk announces that a gateway stops as planned and serves no more.
	PartAsk struct{ ID string }
	// PartTold answers PartAsk.
	PartTold struct{ OK bool }
)
