package watch

import "walkrudder/internal/item"

// Report describes, for operators, the controllers that a gateway follows and what it received.
type Report struct {
	Synced bool `json:"synced"`
	// BehindMS is the age of the known state: everything acknowledged until BehindMS ago is known
	// here. -1 means that there is none yet.
	BehindMS int64                `json:"behind_ms"`
	Follows  []FollowedController `json:"follows"`
	// Newest is the item that changed last here. Items and Runs are the numbers of changes
	// received.
	Newest  string `json:"newest_item"`
	Version uint64 `json:"newest_version"`
	Dropped bool   `json:"newest_dropped"`
	Items   uint64 `json:"item_changes"`
	Runs    uint64 `json:"run_changes"`
}

// FollowedController describes a controller that is currently followed.
type FollowedController struct {
	Controller string `json:"controller"` // "" before its first answer
	Inner      string `json:"inner"`
	Zone       string `json:"zone"`
	SinceMS    int64  `json:"since_ms"`
	Fresh      bool   `json:"fresh"`
	// Items and Runs are the received changes of this controller, in its own sequence numbers.
	Items uint64 `json:"items"`
	Runs  uint64 `json:"runs"`
}

// Report returns the state of this gateway's subscription.
func (s *Subscriber) Report() Report {
	now := s.Clock.Now()
	r := Report{BehindMS: -1, Follows: []FollowedController{}}
	s.mu.Lock()
	r.Synced = s.synced
	if !s.asOf.IsZero() {
		r.BehindMS = now.Sub(s.asOf).Milliseconds()
	}
	for i, a := range s.following {
		if a != "" {
			p := s.states[a]
			r.Follows = append(r.Follows, FollowedController{Controller: p.controller.ID, Inner: a, Zone: p.controller.Zone, SinceMS: now.Sub(s.followedSince[i]).Milliseconds(),
				Fresh: s.answers[i].Fresh, Items: p.cursor.Items, Runs: p.cursor.Runs})
		}
	}
	s.mu.Unlock()
	s.replica.WithItems(func(x *item.Set) {
		r.Items = x.Seq()
		if last, _, _ := x.Since(x.Seq()-min(x.Seq(), 1), 1, 0); len(last) > 0 {
			r.Newest, r.Version, r.Dropped = last[0].Name, last[0].Version, last[0].Gone
		}
	})
	r.Runs = s.replica.Cursor().Runs
	return r
}
