package proxy

import (
	"sync/atomic"
	"time"
)

// A node's copy of routes, targets and upgrades is valid for a limited time, like a lease. Once it is older than the time
// in which changes take effect, no request based on it may arrive at a target. So the network delay to the target counts
// as part of the age (design 24.11).

// configState classifies the age of a node's copy of the control plane's state.
type configState int32

const (
	// configFresh: recent enough to route by.
	configFresh configState = iota
	// configStale: so old that a change unknown to this node may be in force.
	configStale
	// configIsolated: so old that the node considers itself cut off. The control plane does not expect it to know of
	// changes any more, and it goes on serving.
	configIsolated
)

var configStateNames = map[configState]string{configFresh: "fresh", configStale: "late", configIsolated: "cut off"}

const (
	// slowConnect is the connect time from which the node's own link is considered congested.
	slowConnect = 150 * time.Millisecond
	// maxDelay bounds the assumed network delay of a request.
	maxDelay = time.Second
	// congestedFactor multiplies the age from which a node on a congested link considers itself cut off.
	congestedFactor = 2
)

// configAgeMonitor holds the node's last configState and the delays measured on its link.
type configAgeMonitor struct {
	state       atomic.Int32 // the last configState
	roundTrip   atomic.Int64 // network time of the last exchange with the control plane
	congestedAt atomic.Int64 // when a message was last seen to be delayed
}

// SetControlRoundTrip sets how long the last exchange with the control plane spent on the network, there and back.
func (n *Node) SetControlRoundTrip(took time.Duration) {
	n.configAge.roundTrip.Store(int64(took))
	n.recordRoundTrip(took)
}

// recordRoundTrip records how long a message and its reply took.
func (n *Node) recordRoundTrip(took time.Duration) {
	if took > slowConnect {
		n.configAge.congestedAt.Store(n.clock.Now().UnixNano())
	}
}

// congested reports whether the node's own link delayed messages recently: then a silent control plane is weak evidence of
// a partition.
func (n *Node) congested(now time.Time) bool {
	at := n.configAge.congestedAt.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < n.settings.NewsLost
}

// configState returns the state and the age of this node's copy.
func (n *Node) configState() (configState, time.Duration) {
	at := n.asOf.Load()
	if at == nil || n.settings.NewsWithin <= 0 {
		return configFresh, 0
	}
	now := n.clock.Now()
	age, isolatedAfter := now.Sub(*at), n.settings.NewsLost
	if age >= isolatedAfter && n.congested(now) {
		isolatedAfter *= congestedFactor
	}
	state := configFresh
	switch {
	case age >= isolatedAfter:
		state = configIsolated
	case age > max(n.settings.NewsWithin, minConfigAgeLimit):
		state = configStale
	}
	n.setConfigState(state, age)
	return state, age
}

// setConfigState counts and logs a change of state.
func (n *Node) setConfigState(state configState, age time.Duration) {
	previous := configState(n.configAge.state.Swap(int32(state)))
	if previous == state {
		return
	}
	n.stats.newsTurns.Add(1)
	n.log.Warn("what this node knows has another age", "step", "news", "was", configStateNames[previous], "is", configStateNames[state],
		"age_ms", age.Milliseconds(), "way_ms", n.sendDelay().Milliseconds())
}

// sendDelay estimates the network delay of a request to a target by the last exchange with the control plane.
func (n *Node) sendDelay() time.Duration {
	return min(time.Duration(n.configAge.roundTrip.Load()), maxDelay)
}

// configStale reports whether a change that this node does not know may be in force. A node that considers itself cut off
// is not stale.
func (n *Node) configStale() bool {
	state, _ := n.configState()
	return state == configStale
}

// configStaleOnArrival reports whether a request that is sent now might arrive when the state is stale.
func (n *Node) configStaleOnArrival() bool {
	state, age := n.configState()
	return state == configStale || state == configFresh && age > 0 && age+n.sendDelay() > max(n.settings.NewsWithin, minConfigAgeLimit)
}

// controlLost reports whether this node has heard nothing from the control plane for so long that it must not send requests
// to a new version any more.
func (n *Node) controlLost() bool {
	at := n.asOf.Load()
	return at == nil || n.settings.NewsLost > 0 && n.clock.Now().Sub(*at) > n.settings.NewsLost
}
