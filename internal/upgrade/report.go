package upgrade

import "walkrudder/internal/link"

// RouteCount is the answers on one route since the order of the upgrade, of both versions.
type RouteCount struct {
	Route    string
	Old, New Tally
}

// TargetCount is the answers of one target of the new version since then.
type TargetCount struct {
	Target string
	Tally
}

// Report is what a gateway tells of a service whose upgrade is under way.
type Report struct {
	Gateway string
	Inc     uint64 // of this life of the gateway
	Seq     uint64 // rises with each report of a life: one may overtake another on its way
	Service string
	// Order names the upgrade, and Number is the newest step that the gateway goes by.
	Order, Number uint64
	// OldUnderWay is how many requests the gateway has at targets of another version than the new one.
	OldUnderWay int
	// Stopped says that the gateway sends nothing to the new version, by its own judgement.
	Stopped bool
	Routes  []RouteCount
	// Targets are those whose counts have changed since the report before: one that was lost is made up for by the next
	// change.
	Targets []TargetCount
}

// ReportAsk brings reports to a controller.
type ReportAsk struct{ Reports []Report }

// ReportTold answers it.
type ReportTold struct{}

func init() { link.RegisterPair[ReportAsk, ReportTold]() }
