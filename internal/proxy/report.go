package proxy

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/target"
)

// fewServices is how many services a report names.
const fewServices = 5

// Report is what a node tells people of itself in one log line.
type Report struct {
	Ready        bool  `json:"ready"`
	Synced       bool  `json:"synced"`
	Stopping     bool  `json:"stopping"`
	Routes       int   `json:"routes"`
	Services     int   `json:"services"`
	Gateways     int64 `json:"gateways"`
	GatewaysNear int64 `json:"gateways_near"`
	// ProbeMS is the interval at which a run that is well is probed now.
	ProbeMS int64 `json:"probe_ms"`
	Runs    Runs  `json:"runs"`
	// Budget is of the services that had a request lately, those with the least left
	// first.
	Budget   []Left   `json:"budget"`
	UnderWay UnderWay `json:"under_way"`
	Counters Stats    `json:"counters"`
}

// Runs counts the runs known.
type Runs struct {
	Known    int `json:"known"`
	Ready    int `json:"ready"`
	Draining int `json:"draining"`
	// Worked are those that this node works with.
	Worked int `json:"worked_with"`
	// Suspected are those that the control plane holds for silent, and Doubted those
	// worked with that this node would pass over. PassedOver are passed over: never more
	// than half of a service's.
	Suspected  int `json:"suspected"`
	Doubted    int `json:"doubted"`
	PassedOver int `json:"passed_over"`
	// Misdirected are those at whose address another run answered.
	Misdirected int `json:"misdirected"`
}

// Left is what one service may still spend on further sends at this moment.
type Left struct {
	Service string `json:"service"`
	Sends   int    `json:"sends_left"`
}

// count adds what a service knows. It changes nothing: unlike a choice, it pardons none.
func (s *service) count(r *Runs, now time.Time) (used bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Known += len(s.all)
	for _, e := range s.all {
		switch e.run.State {
		case target.Ready:
			r.Ready++
		case target.Draining:
			r.Draining++
		}
		if e.run.Suspected() {
			r.Suspected++
		}
		if e.gone {
			r.Misdirected++
		}
	}
	takes, doubted := 0, 0
	for _, e := range s.work {
		if !e.takes() {
			continue
		}
		takes++
		if e.suspicion(now) >= suspectAt {
			doubted++
		}
	}
	r.Worked += len(s.work)
	r.Doubted += doubted
	r.PassedOver += min(doubted, takes/2)
	return !s.usedAt.IsZero() && now.Sub(s.usedAt) < usedFor
}

// Report tells how things are now.
func (n *Node) Report() Report {
	now := n.clock.Now()
	v := n.view.Load()
	r := Report{Ready: n.Ready(), Synced: n.synced.Load(), Stopping: n.stopping.Load(), Routes: v.table.Len(), Services: len(v.services),
		Gateways: n.gateways.Load(), GatewaysNear: n.gatewaysNear.Load(), ProbeMS: n.rhythm.interval().Milliseconds(), Budget: []Left{}, UnderWay: n.underWay(), Counters: n.Stats()}
	for _, s := range n.all() {
		if s.count(&r.Runs, now) {
			r.Budget = append(r.Budget, Left{s.name, s.acct.Remaining()})
		}
	}
	slices.SortFunc(r.Budget, func(a, b Left) int { return cmp.Or(cmp.Compare(a.Sends, b.Sends), cmp.Compare(a.Service, b.Service)) })
	r.Budget = r.Budget[:min(len(r.Budget), fewServices)]
	return r
}
