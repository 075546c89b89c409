package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
)

// delayedLine is a line on which each way takes a while: a question over it and, where the link
// is new, two more round trips first.
type delayedLine struct {
	delay       time.Duration
	mu          sync.Mutex
	controllers map[string]*testPublisher
	connected   map[string]bool
	silent      map[string]bool
	bytes       int // of news
}

// newDelayedLine has controllers that know each other, each in a zone of its own.
func newDelayedLine(way time.Duration, ids ...string) *delayedLine {
	f := &delayedLine{delay: way, controllers: map[string]*testPublisher{}, connected: map[string]bool{}, silent: map[string]bool{}}
	var all []Member
	for _, id := range ids {
		b := newTestPublisher()
		me := Member{ID: id, Kind: Controller, Inner: id, Zone: "z" + id, Inc: 7, Seat: quorum.Seat{ID: id, Disk: "d" + id}}
		b.Me = func() Member { return me }
		b.Others = func() []Member { return all }
		all = append(all, me)
		f.controllers[id] = b
	}
	return f
}

// setDelay has each way take so long from now on.
func (f *delayedLine) setDelay(way time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = way
}

func (f *delayedLine) Call(ctx context.Context, addr string, ask any) (any, error) {
	f.mu.Lock()
	b, first, mute, way := f.controllers[addr], !f.connected[addr], f.silent[addr], f.delay
	f.connected[addr] = true
	f.mu.Unlock()
	trips := 1
	if first {
		trips = 3
	}
	if mute {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for range 2*trips - 1 {
		if err := (clock.Wall{}).Sleep(ctx, way); err != nil {
			return nil, err
		}
	}
	a, ok := ask.(WatchAsk)
	if !ok {
		return nil, errors.New("no such question")
	}
	r, err := b.handleWatch(ctx, a)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.bytes += len(r.Packed)
	for _, i := range r.Items {
		f.bytes += len(i.Name) + len(i.Body)
	}
	f.mu.Unlock()
	return r, (clock.Wall{}).Sleep(ctx, way)
}

// TestNewsComeThoughTheControllerFollowedMissesThem: a controller that is cut off from the others, but
// not from the gateway, takes over a second to notice; or it falls silent. On a slow link the
// gateway hears all the same in time what another controller was told in the meantime, for it
// follows two.
func TestNewsComeThoughTheControllerFollowedMissesThem(t *testing.T) {
	for name, mute := range map[string]bool{"cut off": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newDelayedLine(120*time.Millisecond, "a", "b", "c", "d", "e")
				var mu sync.Mutex
				known := map[string]uint64{}
				s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Line: f, Clock: clock.Wall{}, Log: log.New(nil),
					OnUpdate: func(w WatchTold) {
						mu.Lock()
						defer mu.Unlock()
						for _, i := range w.Items {
							known[i.Name] = i.Version
						}
					}}
				s.Init([]string{"b", "c"})
				ctx, end := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { s.Run(ctx); close(done) }()
				tell := func(v uint64, but string) {
					for id, b := range f.controllers {
						if id != but {
							b.Replica.MergeItems([]item.Item{testItem("x", v)})
						}
					}
				}
				tell(1, "")
				time.Sleep(12 * time.Second)
				for v := uint64(2); v < 8; v++ {
					at := s.Following().Inner
					if mute {
						f.mu.Lock()
						f.silent[at] = true
						f.mu.Unlock()
					}
					tell(v, at)
					time.Sleep(1200 * time.Millisecond)
					f.controllers[at].fresh.Store(false)
					f.controllers[at].Replica.Wake()
					time.Sleep(300 * time.Millisecond)
					mu.Lock()
					if known["x"] != v {
						t.Errorf("version %d known 1.5 s after %d was told to all controllers but %s, which it followed", known["x"], v, at)
					}
					mu.Unlock()
					f.mu.Lock()
					f.silent[at] = false
					f.mu.Unlock()
					f.controllers[at].Replica.MergeItems([]item.Item{testItem("x", v)})
					f.controllers[at].fresh.Store(true)
					time.Sleep(10 * time.Second)
				}
				end()
				<-done
			})
		})
	}
}

// TestAGatewayKnowsWhatIsYoungEnough: where a change has less than the usual time, a gateway asks so
// often that it never goes by what is older, also on a slow link.
func TestAGatewayKnowsWhatIsYoungEnough(t *testing.T) {
	oldest := func(t *testing.T, within time.Duration) (old time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			f := newDelayedLine(120*time.Millisecond, "a", "b", "c")
			s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Line: f, Clock: clock.Wall{}, Log: log.New(nil), ChangeDeadline: within, OnUpdate: func(WatchTold) {}}
			s.Init([]string{"b", "c"})
			ctx, end := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { s.Run(ctx); close(done) }()
			time.Sleep(5 * time.Second)
			for range 2000 {
				time.Sleep(10 * time.Millisecond)
				old = max(old, time.Since(s.AsOf()))
			}
			end()
			<-done
		})
		return old
	}
	for _, c := range []struct{ within, most time.Duration }{{0, usualChangeDeadline}, {5 * time.Second, usualChangeDeadline}, {1500 * time.Millisecond, 1500 * time.Millisecond}, {minChangeDeadline, minChangeDeadline}} {
		if old := oldest(t, c.within); old >= c.most {
			t.Errorf("within %v: went by what was %v old", c.within, old)
		}
	}
	if old := oldest(t, 0); old < minChangeDeadline {
		t.Errorf("asks are as frequent without need: %v at the oldest", old)
	}
}

// Guards against incident 40: on a link that held messages up for a second a gateway gave up each question shortly before
// its answer came, made connections that took as long, and heard nothing for seconds.
func TestALinkThatHoldsMessagesUpStillBringsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDelayedLine(10*time.Millisecond, "a", "b", "c")
		s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Line: f, Clock: clock.Wall{}, Log: log.New(nil), SlowLink: true, OnUpdate: func(WatchTold) {}}
		s.Init([]string{"a", "b", "c"})
		ctx, end := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		const way = 700 * time.Millisecond
		f.setDelay(way)
		time.Sleep(5 * time.Second)
		old := time.Duration(0)
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			old = max(old, time.Since(s.AsOf()))
		}
		end()
		<-done
		// A question is asked as soon as the last one is answered, waits, and is told of at once.
		if most := 4*way + slowLinkWait + 100*time.Millisecond; old > most {
			t.Errorf("went by what was %v old, %v at the most is wanted", old, most)
		}
	})
}

// TestAStartIsToldOnce: a gateway that starts is told what there is by one controller and not by two
// at once; where the first says nothing, the second is asked without a long wait.
func TestAStartIsToldOnce(t *testing.T) {
	start := func(mute string) (bytes int, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			f := newDelayedLine(5*time.Millisecond, "a", "b", "c")
			f.silent[mute] = true
			for _, b := range f.controllers {
				var items []item.Item
				for i := range 6000 {
					items = append(items, testItem(fmt.Sprintf("%x-%d", xxhash.Sum64String(fmt.Sprint(i)), i), 1))
				}
				b.Replica.MergeItems(items)
			}
			s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Line: f, Clock: clock.Wall{}, Log: log.New(nil), OnUpdate: func(WatchTold) {}}
			s.Init([]string{"a", "b", "c"})
			ctx, end := context.WithCancel(t.Context())
			done := make(chan struct{})
			began := time.Now()
			go func() { s.Run(ctx); close(done) }()
			for !s.Synced() && time.Since(began) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			took = time.Since(began)
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			bytes = f.bytes
			f.mu.Unlock()
			if s.answers[1].Inc == 0 {
				t.Error("no second controller is followed")
			}
			end()
			<-done
		})
		return bytes, took
	}
	one, took := start("")
	if took > time.Second {
		t.Errorf("took %v", took)
	}
	items := 0
	for i := range 6000 {
		items += len(fmt.Sprintf("%x-%d", xxhash.Sum64String(fmt.Sprint(i)), i))
	}
	if one > items*3/2 {
		t.Errorf("%d bytes of news for names of %d", one, items)
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, took := start(id); took > 800*time.Millisecond {
			t.Errorf("took %v while %s is silent", took, id)
		}
	}
}
