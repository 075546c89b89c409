// Package fault numbers the points at which tests bring failures about
// (design 9.2). In a daemon nothing is armed and At costs one nil check.
package fault

import "sync"

// The numbered points, each hit in turn by the tests.
const (
	BeforePromise   = 1  // voter: a promise is about to be synced
	AfterPromise    = 2  // voter: a promise is on disk, not yet told
	BeforeAccept    = 3  // voter: an accept is about to be synced
	AfterAccept     = 4  // voter: an accept is on disk, not yet told
	AfterDecided    = 5  // roll: the change is decided, nothing staged
	AfterStaged     = 6  // roll: every leased gateway has staged
	AfterHeld       = 7  // roll: every leased gateway holds
	AfterFlipped    = 8  // roll: the flip is decided, no gateway told
	BeforeAck       = 9  // roll: in force everywhere, operator not told
	AfterLeaveNoted = 10 // drain: the leaving is decided, no gateway told
	BeforeLeaveAck  = 11 // drain: gateways hold it, target not told
	BeforeSend      = 12 // passage: target elected, nothing written
	AfterSend       = 13 // passage: request written, no answer read
	AfterSeal       = 14 // swap: former voters sealed, nothing pulled
	AfterPull       = 15 // swap: items pulled, not yet voting
	AfterTold       = 16 // roll: gateways know of the flip, none shows it
)

// Points is the number of fault points.
const Points = 16

// Set holds what is armed at one node. A nil Set is never armed.
type Set struct {
	mu sync.Mutex
	at map[int]func()
}

// Arm lets f run once, the next time point n is reached.
func (s *Set) Arm(n int, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[int]func(){}
	}
	s.at[n] = f
}

// At marks that the running code is at point n.
func (s *Set) At(n int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	f := s.at[n]
	delete(s.at, n)
	s.mu.Unlock()
	if f != nil {
		f()
	}
}
