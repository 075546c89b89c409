package proxy

import "walkrudder/internal/news"

// Follow has the node take what a subscriber hears.
func (n *Node) Follow(sub *news.Subscriber) {
	sub.OnNews = func(t news.WatchTold) {
		n.TakeItems(t.Items)
		n.TakeRuns(t.Runs)
		n.SetFlows(t.Flows, t.FlowsNear)
		if sub.Synced() {
			n.SetSynced(true)
			n.SetAsOf(sub.AsOf())
		}
	}
}
