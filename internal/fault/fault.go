// Package fault numbers the points of the code at which tests inject failures (design
// 9.2). A daemon arms none of them, and Hit then costs one nil check.
package fault

import "sync"

// The numbered fault points. Tests inject a failure at each of them in turn.
const (
	BeforePromise     = 1  // voter: a promise is about to be synced
	AfterPromise      = 2  // voter: a promise is on disk, not yet answered
	BeforeAccept      = 3  // voter: an accept is about to be synced
	AfterAccept       = 4  // voter: an accept is on disk, not yet answered
	AfterDecided      = 5  // rollout: the change is decided, nothing is staged
	AfterStaged       = 6  // rollout: every gateway with a lease has staged the change
	AfterHeld         = 7  // rollout: every gateway with a lease holds back new sends
	AfterFlipped      = 8  // rollout: the flip is decided, no gateway is notified
	BeforeAck         = 9  // rollout: in force at every gateway, not yet acknowledged to the operator
	AfterLeaveDecided = 10 // drain: the leave is decided, no gateway is notified
	BeforeLeaveAck    = 11 // drain: gateways have recorded the leave, not yet acknowledged to the target
	BeforeSend        = 12 // passage: target selected, nothing written
	AfterSend         = 13 // passage: request written, its outcome not yet processed
	AfterSeal         = 14 // reconfiguration: former voters sealed, no items pulled
	AfterPull         = 15 // reconfiguration: items pulled, not yet voting
	AfterFlipNotified = 16 // rollout: a majority of the gateways knows of the flip, none uses the new sheet yet
)

// NumPoints is the number of fault points.
const NumPoints = 16

// Set holds the armed fault points of one node. In a nil Set none is armed.
type Set struct {
	mu    sync.Mutex
	armed map[int]func()
}

// Arm makes the next Hit of point n call f, once.
func (s *Set) Arm(n int, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed == nil {
		s.armed = map[int]func(){}
	}
	s.armed[n] = f
}

// Hit is called by the code at point n. It runs and disarms the armed function, if any.
func (s *Set) Hit(n int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	f := s.armed[n]
	delete(s.armed, n)
	s.mu.Unlock()
	if f != nil {
		f()
	}
}
