package proxy

import (
	"sync/atomic"
	"time"
)

// stage is what a request in flight is waiting for.
type stage uint32

const (
	stageChoosing  stage = iota // capacity at a target
	stageQueued                 // a download slot
	stageAsking                 // the answer of a target
	stageAnswering              // the answer to be written
	stageCount
)

// String names the stage in logs.
func (s stage) String() string {
	return [stageCount]string{"choosing", "queued", "asking", "answering"}[s]
}

// progress is the state of a request in flight, for readers outside its goroutine.
type progress struct {
	stage   atomic.Uint32
	size    atomic.Int64 // of the answer body, once known
	written atomic.Int64 // bytes of it accepted by the caller's connection
	paced   atomic.Int64 // nanoseconds spent waiting for the rate limit of large bodies
}

func (p *progress) setStage(s stage) { p.stage.Store(uint32(s)) }

func (p *progress) currentStage() stage { return stage(p.stage.Load()) }

// Unfinished describes a request in flight.
type Unfinished struct {
	Request string        `json:"request"`
	Stage   string        `json:"stage"`
	Age     time.Duration `json:"age"`
	Sent    bool          `json:"sent"`    // a target may have received it
	Size    int64         `json:"size"`    // of the answer body in bytes; 0 if not known yet
	Written int64         `json:"written"` // bytes of it written
	Paced   time.Duration `json:"paced"`   // time its writer spent waiting for the rate limit of large bodies
}

// InFlight counts requests by what they are waiting for.
type InFlight struct {
	Choosing  int `json:"choosing"`
	Queued    int `json:"queued"`
	Asking    int `json:"asking"`
	Answering int `json:"answering"`
	// Owed is the number of bytes still to be written for the requests in Answering.
	Owed int64 `json:"owed"`
}

// exchanges returns the requests that were read and are not answered yet.
func (n *Node) exchanges() (out []*exchange) {
	n.callersMu.Lock()
	defer n.callersMu.Unlock()
	for c := range n.callers {
		if x := c.current.Load(); x != nil {
			out = append(out, x)
		}
	}
	return out
}

// inFlight counts the requests in flight by stage.
func (n *Node) inFlight() (u InFlight) {
	for _, x := range n.exchanges() {
		switch x.progress.currentStage() {
		case stageChoosing:
			u.Choosing++
		case stageQueued:
			u.Queued++
		case stageAsking:
			u.Asking++
		case stageAnswering:
			u.Answering++
			u.Owed += x.progress.size.Load() - x.progress.written.Load()
		}
	}
	return u
}

// listUnfinished describes the requests in flight.
func (n *Node) listUnfinished() (out []Unfinished) {
	now := n.clock.Now()
	for _, x := range n.exchanges() {
		p := &x.progress
		out = append(out, Unfinished{Request: string(x.id), Stage: p.currentStage().String(), Age: now.Sub(x.receivedAt), Sent: x.anySent(),
			Size: p.size.Load(), Written: p.written.Load(), Paced: time.Duration(p.paced.Load())})
	}
	return out
}
