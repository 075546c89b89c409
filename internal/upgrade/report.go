package upgrade

import "walkrudder/internal/link"

// RouteCount counts the answers on one route since the upgrade was ordered, for both versions.
type RouteCount struct {
	Route    string
	Old, New Tally
}

// TargetCount counts the answers of one target of the new version since the upgrade was ordered.
type TargetCount struct {
	Target string
	Tally
}

// Report is what a gateway reports of a service with an active upgrade.
type Report struct {
	Gateway string
	Inc     uint64 // the incarnation of the gateway's process
	Seq     uint64 // increases with each report of an incarnation, since reports may arrive out of order
	Service string
	// Order identifies the upgrade, and Number is the newest step that the gateway applies.
	Order, Number uint64
	// OldUnderWay is how many requests the gateway has in progress at targets of other versions than the new one.
	OldUnderWay int
	// Stopped says that the gateway stopped sending to the new version on its own.
	Stopped bool
	Routes  []RouteCount
	// Targets are those whose counts have changed since the last report. Counts of a lost report are made up for by the next
	// change.
	Targets []TargetCount
}

// ReportAsk sends reports to a controller.
type ReportAsk struct{ Reports []Report }

// ReportTold answers ReportAsk.
type ReportTold struct{}

func init() { link.RegisterPair[ReportAsk, ReportTold]() }
