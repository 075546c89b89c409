package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
)

func TestAGatewayReportsWhomItFollowsAndSinceWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &delayedTransport{delay: 10 * time.Millisecond, controllers: map[string]*testPublisher{}, connected: map[string]bool{}, silent: map[string]bool{}}
		var all []Member
		for _, id := range []string{"a", "b", "c"} {
			b := newTestPublisher()
			me := Member{ID: id, Kind: Controller, Inner: "in-" + id, Zone: "z" + id, Inc: 7, Seat: quorum.Seat{ID: id, Disk: "d" + id}}
			b.Me = func() Member { return me }
			b.Others = func() []Member { return all }
			all = append(all, me)
			f.controllers["in-"+id] = b
		}
		s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Transport: f, Clock: clock.Wall{}, Log: log.New(nil), OnUpdate: func(WatchTold) {}}
		s.Init([]string{"in-a", "in-b", "in-c"})
		if r := s.Report(); r.Synced || r.BehindMS != -1 || len(r.Follows) > 0 || r.Newest != "" {
			t.Errorf("before its first request: %+v", r)
		}
		ctx, end := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		for _, b := range f.controllers {
			b.Replica.MergeItems([]item.Item{testItem("x", 3), {Key: testItem("y", 4).Key, Version: 4, Gone: true}})
		}
		time.Sleep(time.Second)
		r := s.Report()
		if !r.Synced || r.BehindMS < 0 || r.BehindMS > 1100 || len(r.Follows) != 2 || r.Newest != "y" || r.Version != 4 || !r.Dropped || r.Items != 2 {
			t.Fatalf("%+v", r)
		}
		own, other := r.Follows[0], r.Follows[1]
		if own.Controller != "a" || own.Inner != "in-a" || own.Zone != "za" || !own.Fresh || own.Items != 2 || other.Controller == "a" || own.SinceMS < 5000 {
			t.Errorf("%+v", r.Follows)
		}
		// The controller of its own zone falls silent: the first slot switches to another one
		// just now, and the second slot is unchanged.
		f.mu.Lock()
		f.silent["in-a"] = true
		f.mu.Unlock()
		time.Sleep(1900 * time.Millisecond)
		q := s.Report().Follows
		if q[0].Controller == "a" || q[0].SinceMS >= 1900 || q[1].Controller != other.Controller || q[1].SinceMS != other.SinceMS+1900 {
			t.Errorf("before %+v, now %+v", r.Follows, q)
		}
		end()
		<-done
	})
}

// A gateway that selects the same controller again has followed it without interruption.
func TestAGatewayThatStaysHasFollowedSinceItCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &delayedTransport{delay: 10 * time.Millisecond, controllers: map[string]*testPublisher{}, connected: map[string]bool{}, silent: map[string]bool{}}
		for _, id := range []string{"a", "b"} {
			b := newTestPublisher()
			b.Me = func() Member { return Member{ID: id, Kind: Controller, Inner: "in-" + id, Zone: "z" + id, Inc: 7} }
			f.controllers["in-"+id] = b
		}
		s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Transport: f, Clock: clock.Wall{}, Log: log.New(nil), OnUpdate: func(WatchTold) {}}
		s.Init([]string{"in-a", "in-b"})
		ctx, end := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		before := s.Report().Follows
		for _, b := range f.controllers {
			b.fresh.Store(false)
			b.Replica.Wake()
		}
		time.Sleep(5 * time.Second)
		now := s.Report().Follows
		if len(before) != 2 || len(now) != 2 {
			t.Fatalf("%+v, then %+v", before, now)
		}
		for i := range now {
			if now[i].Inner != before[i].Inner || now[i].Fresh || now[i].SinceMS != before[i].SinceMS+5000 {
				t.Errorf("%+v, then %+v", before[i], now[i])
			}
		}
		end()
		<-done
	})
}
