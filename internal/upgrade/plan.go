package upgrade

import (
	"fmt"
	"time"
)

const (
	// defaultExposure is the part of the requests, in thousandths, that a bad version may get if the order gives none.
	defaultExposure = 100
	// canaryExposureRatio is the share during the canary phase, when only few targets are used, relative to the exposure.
	canaryExposureRatio = 0.5
	// canaryTermRatio is the part of the term for which the canary phase lasts: faults may appear late.
	canaryTermRatio = 0.42
	// stepTermRatio, relative to the term, and minStepDuration are how long each later step lasts.
	stepTermRatio   = 0.06
	minStepDuration = time.Second
	// deadlineRatio is the part of the term after which an upgrade without enough answers is reverted, and one whose last
	// requests at old targets have not ended is completed.
	deadlineRatio = 0.93
	// minSlotRatio is how many slots the new targets must have, relative to the old ones, before their share rises above the first.
	minSlotRatio = 0.8
	// minStoppedGateways and minStoppedRatio are how many gateways, and what part of them, must have stopped for a revert.
	minStoppedGateways, minStoppedRatio = 2, 0.05
)

// shareMultiples are the shares of the steps between the first and the last, as multiples of the exposure.
var shareMultiples = []int{2, 4}

// Evidence is what is known of an active upgrade.
type Evidence struct {
	// Elapsed is the time since the order, SinceFirstAnswer that since the first answer of the new version, and SinceStep that
	// since this step became known.
	Elapsed, SinceFirstAnswer, SinceStep time.Duration
	// OldSlots and NewSlots are the slots of the ready targets.
	OldSlots, NewSlots int
	EnoughAnswers      bool
	DegradedRoute      string
	Degraded           bool
	// Gateways is how many gateways report on this upgrade, and Stopped how many of them have stopped on their own.
	Gateways, Stopped int
	// OldDrained means that every gateway applies this step and has no requests in progress at old targets.
	OldDrained bool
	// OldVersions are the versions of the ready targets, without the new version and denied ones.
	OldVersions []string
}

// NextStep returns the next step of an upgrade, if it is due.
func (u Upgrade) NextStep(e Evidence) (Upgrade, bool) {
	if !u.Active() {
		return u, false
	}
	ofTerm := func(p float64) time.Duration { return time.Duration(p * float64(u.Term)) }
	overdue := e.Elapsed >= ofTerm(deadlineRatio)
	minDuration := max(minStepDuration, ofTerm(stepTermRatio))
	switch {
	case e.Degraded:
		return u.Revert(fmt.Sprintf("answers on route %s are worse than those of the old version", e.DegradedRoute)), true
	case e.Stopped >= minStoppedGateways && float64(e.Stopped) >= minStoppedRatio*float64(e.Gateways):
		return u.Revert("gateways have stopped by their own judgement"), true
	case u.Share >= FullShare && e.SinceStep >= minDuration && (e.OldDrained || overdue):
		return u.Complete(e.OldVersions), true
	case u.Share >= FullShare:
		return u, false
	case overdue:
		return u.Revert("not enough answers by the term"), true
	case u.Phase == Canary && (e.SinceFirstAnswer < ofTerm(canaryTermRatio) || !e.EnoughAnswers || float64(e.NewSlots) < minSlotRatio*float64(e.OldSlots)):
		return u, false
	case u.Phase == Shifting && e.SinceStep < minDuration:
		return u, false
	}
	for _, share := range shareMultiples {
		if share *= u.Exposure; share > u.Share && share < FullShare {
			return u.WithShare(share), true
		}
	}
	return u.WithShare(FullShare), true
}
