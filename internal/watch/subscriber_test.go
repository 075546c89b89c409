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

// delayedTransport is a link.Transport with a delay in each direction. A request takes one round trip,
// and two more on a new connection.
type delayedTransport struct {
	delay       time.Duration
	mu          sync.Mutex
	controllers map[string]*testPublisher
	connected   map[string]bool
	silent      map[string]bool
	sentBytes   int // total size of the changes sent
}

// newDelayedTransport returns a transport to new controllers that know each other, each in a zone of
// its own, with the given delay in each direction.
func newDelayedTransport(delay time.Duration, ids ...string) *delayedTransport {
	f := &delayedTransport{delay: delay, controllers: map[string]*testPublisher{}, connected: map[string]bool{}, silent: map[string]bool{}}
	var members []Member
	for _, id := range ids {
		b := newTestPublisher()
		me := Member{ID: id, Kind: Controller, Inner: id, Zone: "z" + id, Inc: 7, Seat: quorum.Seat{ID: id, Disk: "d" + id}}
		b.Me = func() Member { return me }
		b.Others = func() []Member { return members }
		members = append(members, me)
		f.controllers[id] = b
	}
	return f
}

// setDelay sets the delay of each direction from now on.
func (f *delayedTransport) setDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func (f *delayedTransport) Call(ctx context.Context, addr string, ask any) (any, error) {
	f.mu.Lock()
	b, first, silent, delay := f.controllers[addr], !f.connected[addr], f.silent[addr], f.delay
	f.connected[addr] = true
	f.mu.Unlock()
	roundTrips := 1
	if first {
		roundTrips = 3
	}
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for range 2*roundTrips - 1 {
		if err := (clock.Wall{}).Sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
	a, ok := ask.(WatchAsk)
	if !ok {
		return nil, errors.New("unexpected request type")
	}
	r, err := b.handleWatch(ctx, a)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.sentBytes += len(r.Packed)
	for _, i := range r.Items {
		f.sentBytes += len(i.Name) + len(i.Body)
	}
	f.mu.Unlock()
	return r, (clock.Wall{}).Sleep(ctx, delay)
}

// A controller that is partitioned from the others, but not from the gateway, takes over a
// second to notice; or it falls silent. Even on a slow link, the gateway receives in time what
// the other controllers learned meanwhile, because it follows two.
func TestNewsComeThoughTheControllerFollowedMissesThem(t *testing.T) {
	for name, mute := range map[string]bool{"cut off": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newDelayedTransport(120*time.Millisecond, "a", "b", "c", "d", "e")
				var mu sync.Mutex
				versions := map[string]uint64{}
				s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Transport: f, Clock: clock.Wall{}, Log: log.New(nil),
					OnUpdate: func(w WatchTold) {
						mu.Lock()
						defer mu.Unlock()
						for _, i := range w.Items {
							versions[i.Name] = i.Version
						}
					}}
				s.Init([]string{"b", "c"})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { s.Run(ctx); close(done) }()
				mergeAtAll := func(v uint64, but string) {
					for id, b := range f.controllers {
						if id != but {
							b.Replica.MergeItems([]item.Item{testItem("x", v)})
						}
					}
				}
				mergeAtAll(1, "")
				time.Sleep(12 * time.Second)
				for v := uint64(2); v < 8; v++ {
					at := s.Following().Inner
					if mute {
						f.mu.Lock()
						f.silent[at] = true
						f.mu.Unlock()
					}
					mergeAtAll(v, at)
					time.Sleep(1200 * time.Millisecond)
					f.controllers[at].fresh.Store(false)
					f.controllers[at].Replica.Wake()
					time.Sleep(300 * time.Millisecond)
					mu.Lock()
					if versions["x"] != v {
						t.Errorf("version %d known 1.5 s after version %d was merged at all controllers except the followed %s", versions["x"], v, at)
					}
					mu.Unlock()
					f.mu.Lock()
					f.silent[at] = false
					f.mu.Unlock()
					f.controllers[at].Replica.MergeItems([]item.Item{testItem("x", v)})
					f.controllers[at].fresh.Store(true)
					time.Sleep(10 * time.Second)
				}
				cancel()
				<-done
			})
		})
	}
}

// If the deadline of changes is shorter than usual, a gateway polls often enough that its
// state is never older than the deadline, also on a slow link.
func TestAGatewayKnowsWhatIsYoungEnough(t *testing.T) {
	maxAge := func(t *testing.T, within time.Duration) (old time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			f := newDelayedTransport(120*time.Millisecond, "a", "b", "c")
			s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Transport: f, Clock: clock.Wall{}, Log: log.New(nil), ChangeDeadline: within, OnUpdate: func(WatchTold) {}}
			s.Init([]string{"b", "c"})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { s.Run(ctx); close(done) }()
			time.Sleep(5 * time.Second)
			for range 2000 {
				time.Sleep(10 * time.Millisecond)
				old = max(old, time.Since(s.AsOf()))
			}
			cancel()
			<-done
		})
		return old
	}
	for _, c := range []struct{ within, most time.Duration }{{0, usualChangeDeadline}, {5 * time.Second, usualChangeDeadline}, {1500 * time.Millisecond, 1500 * time.Millisecond}, {minChangeDeadline, minChangeDeadline}} {
		if old := maxAge(t, c.within); old >= c.most {
			t.Errorf("deadline %v: used state that was %v old", c.within, old)
		}
	}
	if old := maxAge(t, 0); old < minChangeDeadline {
		t.Errorf("polls just as often with the usual deadline: state at most %v old", old)
	}
}

// Guards against incident 40: on a link that delayed messages by a second, a gateway gave up each request
// shortly before its answer came, opened connections that took as long, and received nothing for seconds.
func TestALinkThatHoldsMessagesUpStillBringsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDelayedTransport(10*time.Millisecond, "a", "b", "c")
		s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Transport: f, Clock: clock.Wall{}, Log: log.New(nil), SlowLink: true, OnUpdate: func(WatchTold) {}}
		s.Init([]string{"a", "b", "c"})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		const delay = 700 * time.Millisecond
		f.setDelay(delay)
		time.Sleep(5 * time.Second)
		maxAge := time.Duration(0)
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			maxAge = max(maxAge, time.Since(s.AsOf()))
		}
		cancel()
		<-done
		// A request is sent as soon as the previous one is answered, waits, and is answered at once.
		if limit := 4*delay + slowLinkWait + 100*time.Millisecond; maxAge > limit {
			t.Errorf("used state that was %v old, want at most %v", maxAge, limit)
		}
	})
}

// A starting gateway receives the initial state from one controller and not from two at once. If
// the first does not answer, the second is asked without a long wait.
func TestAStartIsToldOnce(t *testing.T) {
	start := func(mute string) (bytes int, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			f := newDelayedTransport(5*time.Millisecond, "a", "b", "c")
			f.silent[mute] = true
			for _, b := range f.controllers {
				var items []item.Item
				for i := range 6000 {
					items = append(items, testItem(fmt.Sprintf("%x-%d", xxhash.Sum64String(fmt.Sprint(i)), i), 1))
				}
				b.Replica.MergeItems(items)
			}
			s := &Subscriber{Me: Member{ID: "f", Kind: Gateway, Zone: "za", Inc: 1}, Transport: f, Clock: clock.Wall{}, Log: log.New(nil), OnUpdate: func(WatchTold) {}}
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
			bytes = f.sentBytes
			f.mu.Unlock()
			if s.answers[1].Inc == 0 {
				t.Error("no second controller is followed")
			}
			end()
			<-done
		})
		return bytes, took
	}
	sent, took := start("")
	if took > time.Second {
		t.Errorf("took %v", took)
	}
	items := 0
	for i := range 6000 {
		items += len(fmt.Sprintf("%x-%d", xxhash.Sum64String(fmt.Sprint(i)), i))
	}
	if sent > items*3/2 {
		t.Errorf("%d bytes of changes for %d bytes of names", sent, items)
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, took := start(id); took > 800*time.Millisecond {
			t.Errorf("took %v while %s is silent", took, id)
		}
	}
}
