package proxy

import (
	"cmp"
	"slices"
	"time"

	"walkrudder/internal/target"
)

// maxReportedServices bounds the services listed in a report.
const maxReportedServices = 5

// Report is the status of a node in one log line.
type Report struct {
	Ready        bool  `json:"ready"`
	Synced       bool  `json:"synced"`
	Stopping     bool  `json:"stopping"`
	Routes       int   `json:"routes"`
	Services     int   `json:"services"`
	Gateways     int64 `json:"gateways"`
	GatewaysNear int64 `json:"gateways_near"`
	// ProbeMS is the current interval of probes to a healthy run.
	ProbeMS int64 `json:"probe_ms"`
	Runs    Runs  `json:"runs"`
	// Budget lists the services that had a request lately, those with the least budget left
	// first.
	Budget   []BudgetLeft `json:"budget"`
	UnderWay InFlight     `json:"under_way"`
	Counters Stats        `json:"counters"`
}

// Runs counts the known runs.
type Runs struct {
	Known    int `json:"known"`
	Ready    int `json:"ready"`
	Draining int `json:"draining"`
	// Worked are those in this node's working set.
	Worked int `json:"worked_with"`
	// Suspected are those that the control plane considers silent, and Doubted those in the
	// working set that this node would avoid. PassedOver are actually avoided: at most
	// half of a service's runs.
	Suspected  int `json:"suspected"`
	Doubted    int `json:"doubted"`
	PassedOver int `json:"passed_over"`
	// Misdirected are those at whose address another run answered.
	Misdirected int `json:"misdirected"`
}

// BudgetLeft is the number of additional sends that a service may make now.
type BudgetLeft struct {
	Service string `json:"service"`
	Sends   int    `json:"sends_left"`
}

// countRuns adds the runs of a service to r, and reports whether the service was used lately. Unlike
// ejections, it changes no state.
func (s *service) countRuns(r *Runs, now time.Time) (used bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Known += len(s.endpoints)
	for _, e := range s.endpoints {
		switch e.run.State {
		case target.Ready:
			r.Ready++
		case target.Draining:
			r.Draining++
		}
		if e.run.Suspected() {
			r.Suspected++
		}
		if e.replaced {
			r.Misdirected++
		}
	}
	usable, doubted := 0, 0
	for _, e := range s.subset {
		if !e.available() {
			continue
		}
		usable++
		if e.suspicion(now) >= suspicionThreshold {
			doubted++
		}
	}
	r.Worked += len(s.subset)
	r.Doubted += doubted
	r.PassedOver += min(doubted, usable/2)
	return !s.lastUsed.IsZero() && now.Sub(s.lastUsed) < probeAfterUse
}

// Report returns the current status.
func (n *Node) Report() Report {
	now := n.clock.Now()
	v := n.view.Load()
	r := Report{Ready: n.Ready(), Synced: n.synced.Load(), Stopping: n.stopping.Load(), Routes: v.table.Len(), Services: len(v.services),
		Gateways: n.gateways.Load(), GatewaysNear: n.gatewaysNear.Load(), ProbeMS: n.probePacer.interval().Milliseconds(), Budget: []BudgetLeft{}, UnderWay: n.inFlight(), Counters: n.Stats()}
	for _, s := range n.allServices() {
		if s.countRuns(&r.Runs, now) {
			r.Budget = append(r.Budget, BudgetLeft{s.name, s.budget.Remaining()})
		}
	}
	slices.SortFunc(r.Budget, func(a, b BudgetLeft) int {
		return cmp.Or(cmp.Compare(a.Sends, b.Sends), cmp.Compare(a.Service, b.Service))
	})
	r.Budget = r.Budget[:min(len(r.Budget), maxReportedServices)]
	return r
}
