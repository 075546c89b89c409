package control

import "sync/atomic"

// callCounter counts the calls of one kind, those refused for their content, and those that failed.
type callCounter struct{ total, refused, failed atomic.Uint64 }

func (c *callCounter) record(refused bool, err error) {
	c.total.Add(1)
	switch {
	case refused:
		c.refused.Add(1)
	case err != nil:
		c.failed.Add(1)
	}
}

// callCounters are the counters of a node since its start.
type callCounters struct {
	beats, departures, changes, reads, queries callCounter
	// orders counts upgrade orders.
	orders callCounter
	// unknown counts calls of the external interface that do not exist.
	unknown callCounter
}

// CountUnknownCall counts a call that does not exist in the external interface.
func (n *Node) CountUnknownCall() { n.calls.unknown.record(true, nil) }
