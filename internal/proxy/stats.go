package proxy

import "sync/atomic"

// Stats are counters since the start, for operators. Callers, Inside and MemoryUsed are present
// values: open caller connections, requests being read or answered, and bytes held.
//
// Of the attempts, TurnedAway counts those with outcomeRejected, Stale outcomeStaleConn, Spoilt
// outcomeInvalid, Mute outcomeSilent, CutShort outcomeCanceled and Withheld outcomeNotSent.
// Of the requests that may have run, Late counts those without an answer at the deadline, and
// Unknown those given up before it. Waited counts requests that queued for capacity, OverBudget
// sends that the retry budget did not allow, and Overfull callers' connections refused because
// there were too many and requests refused because the memory budget was used up.
type Stats struct {
	Callers, Inside, MemoryUsed             int64
	Requests, NoRoute, Refused, Late        uint64
	Unknown, Waited, Hedges, OverBudget     uint64
	Dials, DialsFailed                      uint64
	Probes, ProbesAnswered, ProbesSaved     uint64
	Answered, TurnedAway, Misdirected       uint64
	Unreachable, Reset, Stale, Spoilt, Mute uint64
	CutShort, Withheld, Malformed, Overfull uint64
	// Erred counts those in Answered that report a failure of the run itself, PassedOver how often
	// a run was skipped because of the outcomes of its requests.
	Erred, PassedOver uint64
	// Behind counts those in Refused that arrived while the node's updates were late.
	Behind uint64
	// Passed counts large answers that were streamed to callers while they were received.
	Passed uint64
	// Surplus counts answers to earlier requests that were skipped.
	Surplus uint64
	// NewsTurns counts transitions of the update age between fresh, late and cut off.
	NewsTurns uint64
	// CallersGone counts requests canceled because their callers had disconnected.
	CallersGone uint64
	// TooSlow counts answers cut off because their callers read less than the minimum rate.
	TooSlow uint64
}

type stats struct {
	callers, inside                     atomic.Int64
	requests, noRoute, refused, late    atomic.Uint64
	unknown, waited, hedges, overBudget atomic.Uint64
	dials, dialsFailed                  atomic.Uint64
	probes, probesAnswered, probesSaved atomic.Uint64
	malformed, overfull, surplus        atomic.Uint64
	passedOver, behind, passed          atomic.Uint64
	callersGone, tooSlow, newsTurns     atomic.Uint64
	byOutcome                           [outcomeCount]atomic.Uint64
}

func (s *stats) record(o outcome) { s.byOutcome[o].Add(1) }

// Stats reads the counters.
func (n *Node) Stats() Stats {
	s := &n.stats
	of := func(o outcome) uint64 { return s.byOutcome[o].Load() }
	return Stats{
		Callers: s.callers.Load(), Inside: s.inside.Load(), MemoryUsed: n.memory.used.Load(),
		Requests: s.requests.Load(), NoRoute: s.noRoute.Load(), Refused: s.refused.Load(), Late: s.late.Load(),
		Unknown: s.unknown.Load(), Waited: s.waited.Load(), Hedges: s.hedges.Load(), OverBudget: s.overBudget.Load(),
		Dials: s.dials.Load(), DialsFailed: s.dialsFailed.Load(),
		Probes: s.probes.Load(), ProbesAnswered: s.probesAnswered.Load(), ProbesSaved: s.probesSaved.Load(),
		Answered: of(outcomeAnswered) + of(outcomeServerError), Erred: of(outcomeServerError), TurnedAway: of(outcomeRejected), Misdirected: of(outcomeMisdirected),
		Unreachable: of(outcomeUnreachable), Reset: of(outcomeReset), Stale: of(outcomeStaleConn), Spoilt: of(outcomeInvalid), Mute: of(outcomeSilent),
		CutShort: of(outcomeCanceled), Withheld: of(outcomeNotSent), Malformed: s.malformed.Load(), Overfull: s.overfull.Load(),
		PassedOver: s.passedOver.Load(), Behind: s.behind.Load(), Passed: s.passed.Load(), Surplus: s.surplus.Load(),
		NewsTurns: s.newsTurns.Load(), CallersGone: s.callersGone.Load(), TooSlow: s.tooSlow.Load(),
	}
}
