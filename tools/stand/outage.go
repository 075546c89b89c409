package stand

// OutageTracker records the outage of one node. It is not safe for concurrent use: its owner
// guards it by a lock.
type OutageTracker struct {
	Rec       *Records
	Node      string
	endOutage func()
}

// Begin begins an outage unless one is in progress.
func (s *OutageTracker) Begin(cause string) {
	if s.endOutage == nil {
		s.endOutage = s.Rec.BeginOutage(s.Node, cause)
	}
}

// End ends the outage, if any.
func (s *OutageTracker) End() {
	if s.endOutage != nil {
		s.endOutage()
		s.endOutage = nil
	}
}
