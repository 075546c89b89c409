package proxy

import "walkrudder/internal/watch"

// Follow has the node take what a subscriber hears.
func (n *Node) Follow(sub *watch.Subscriber) {
	sub.OnUpdate = func(t watch.WatchTold) {
		n.TakeItems(t.Items)
		n.TakeRuns(t.Runs)
		n.SetGateways(t.Gateways, t.GatewaysNear)
		if sub.Synced() {
			n.SetSynced(true)
			n.SetAsOf(sub.AsOf())
			n.SetNewsWay(sub.RoundTrip())
		}
	}
}
