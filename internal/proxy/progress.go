package proxy

import (
	"sync/atomic"
	"time"
)

// stage is what a request under way waits for.
type stage uint32

const (
	choosing  stage = iota // room at a target
	queued                 // a place among the downloads under way
	asking                 // the answer of a target
	answering              // its answer to be written
	stages
)

// String names the stage in logs.
func (s stage) String() string {
	return [stages]string{"choosing", "queued", "asking", "answering"}[s]
}

// progress is how far a request has come, for those who look from outside its goroutine.
type progress struct {
	stage   atomic.Uint32
	size    atomic.Int64 // of the body of its answer, once that is known
	written atomic.Int64 // of it, taken by the caller's connection
	paced   atomic.Int64 // nanoseconds waited for the pace of large bodies
}

func (p *progress) enter(s stage) { p.stage.Store(uint32(s)) }

func (p *progress) at() stage { return stage(p.stage.Load()) }

// Unfinished is a request under way.
type Unfinished struct {
	Request string        `json:"request"`
	Stage   string        `json:"stage"`
	Age     time.Duration `json:"age"`
	Sent    bool          `json:"sent"`    // a target may have it
	Size    int64         `json:"size"`    // of the answer's body, bytes; 0 is not known yet
	Written int64         `json:"written"` // of it, bytes
	Paced   time.Duration `json:"paced"`   // for which its writer waited for the pace of large bodies
}

// UnderWay counts requests by what they wait for.
type UnderWay struct {
	Choosing  int `json:"choosing"`
	Queued    int `json:"queued"`
	Asking    int `json:"asking"`
	Answering int `json:"answering"`
	// Owed is what is still to be written of the answers of the last kind, in bytes.
	Owed int64 `json:"owed"`
}

// served lists the exchanges whose requests were read and are not answered.
func (n *Node) served() (out []*exchange) {
	n.cm.Lock()
	defer n.cm.Unlock()
	for c := range n.callers {
		if x := c.serves.Load(); x != nil {
			out = append(out, x)
		}
	}
	return out
}

// underWay counts what is under way now.
func (n *Node) underWay() (u UnderWay) {
	for _, x := range n.served() {
		switch x.progress.at() {
		case choosing:
			u.Choosing++
		case queued:
			u.Queued++
		case asking:
			u.Asking++
		case answering:
			u.Answering++
			u.Owed += x.progress.size.Load() - x.progress.written.Load()
		}
	}
	return u
}

// unfinished describes what is under way now.
func (n *Node) unfinished() (out []Unfinished) {
	now := n.clock.Now()
	for _, x := range n.served() {
		p := &x.progress
		out = append(out, Unfinished{Request: string(x.id), Stage: p.at().String(), Age: now.Sub(x.came), Sent: x.sent(),
			Size: p.size.Load(), Written: p.written.Load(), Paced: time.Duration(p.paced.Load())})
	}
	return out
}
