package proxy

import (
	"sync/atomic"
	"time"
)

// What a node knows of routes, targets and upgrades is a lease with one end: once it is older than changes have time to come
// into force, a request that goes by it may not arrive at a target any more. So the time that the way there takes
// is part of the age (design 24.11).

// newsState is what a node's knowledge of the control plane's word is worth.
type newsState int32

const (
	// newsFresh is news young enough to go by.
	newsFresh newsState = iota
	// newsLate is news so old that a change may be in force of which the node has yet to hear.
	newsLate
	// newsCutOff is news so old that the node takes itself for cut off: nobody expects it to know, and it serves on.
	newsCutOff
)

var newsNames = map[newsState]string{newsFresh: "fresh", newsLate: "late", newsCutOff: "cut off"}

const (
	// slowConnect is the time for a connect from which on the node's own link holds messages up.
	slowConnect = 150 * time.Millisecond
	// mostWay bounds the time that the way of a request is taken to need.
	mostWay = time.Second
	// crowdedFactor is how many times as old as usual the news must be for a node on a crowded link to take itself for cut off.
	crowdedFactor = 2
)

// newsWatch notes the turns of a node's news, and what its link does to messages.
type newsWatch struct {
	was       atomic.Int32
	way       atomic.Int64 // there and back, of the last word from the control plane
	crowdedAt atomic.Int64 // when a message was last seen to take long
}

// SetNewsWay tells how long the last question to the control plane and its answer were on their way.
func (n *Node) SetNewsWay(way time.Duration) {
	n.newsWatch.way.Store(int64(way))
	n.noteConnect(way)
}

// noteConnect takes in how long a message there and one back took.
func (n *Node) noteConnect(took time.Duration) {
	if took > slowConnect {
		n.newsWatch.crowdedAt.Store(n.clock.Now().UnixNano())
	}
}

// crowded tells whether the node's own link held messages up of late: silence of the control plane says little then.
func (n *Node) crowded(now time.Time) bool {
	at := n.newsWatch.crowdedAt.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < n.settings.NewsLost
}

// news is what this node's knowledge is worth now, and how old it is.
func (n *Node) news() (newsState, time.Duration) {
	at := n.asOf.Load()
	if at == nil || n.settings.NewsWithin <= 0 {
		return newsFresh, 0
	}
	now := n.clock.Now()
	age, lost := now.Sub(*at), n.settings.NewsLost
	if age >= lost && n.crowded(now) {
		lost *= crowdedFactor
	}
	state := newsFresh
	switch {
	case age >= lost:
		state = newsCutOff
	case age > max(n.settings.NewsWithin, minNewsAgeLimit):
		state = newsLate
	}
	n.noteNews(state, age)
	return state, age
}

// noteNews tells of a turn.
func (n *Node) noteNews(state newsState, age time.Duration) {
	was := newsState(n.newsWatch.was.Swap(int32(state)))
	if was == state {
		return
	}
	n.stats.newsTurns.Add(1)
	n.log.Warn("what this node knows has another age", "step", "news", "was", newsNames[was], "is", newsNames[state],
		"age_ms", age.Milliseconds(), "way_ms", n.way().Milliseconds())
}

// way is how long a request may need to a target, by what the last word from the control plane needed.
func (n *Node) way() time.Duration { return min(time.Duration(n.newsWatch.way.Load()), mostWay) }

// behind tells whether a change may be in force that the node has yet to hear of, though
// it is in touch, but for a while.
func (n *Node) behind() bool {
	state, _ := n.news()
	return state == newsLate
}

// outdated tells whether a request that leaves now might arrive when that is so.
func (n *Node) outdated() bool {
	state, age := n.news()
	return state == newsLate || state == newsFresh && age > 0 && age+n.way() > max(n.settings.NewsWithin, minNewsAgeLimit)
}

// newsLost tells whether this node has heard nothing from the control plane for so long that it goes by no share of a new
// version.
func (n *Node) newsLost() bool {
	at := n.asOf.Load()
	return at == nil || n.settings.NewsLost > 0 && n.clock.Now().Sub(*at) > n.settings.NewsLost
}
