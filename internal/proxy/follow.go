package proxy

import "walkrudder/internal/watch"

// Follow applies every update that the subscriber receives to the node.
func (n *Node) Follow(sub *watch.Subscriber) {
	sub.OnUpdate = func(t watch.WatchTold) {
		n.ApplyItems(t.Items)
		n.ApplyRuns(t.Runs)
		n.SetGateways(t.Gateways, t.GatewaysNear)
		if sub.Synced() {
			n.SetSynced(true)
			n.SetAsOf(sub.AsOf())
			n.SetControlRoundTrip(sub.RoundTrip())
		}
	}
}
