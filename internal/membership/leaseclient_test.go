package membership

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/storage"
)

// memDisk is a disk in memory.
type memDisk map[string][]byte

func (m memDisk) Load() (map[string][]byte, error) { return m, nil }
func (m memDisk) Commit(ps []storage.Put) error {
	for _, p := range ps {
		m[p.Key] = p.Value
	}
	return nil
}
func (m memDisk) Close() error { return nil }

// cluster is three lease servers, each reached with a delay or not at all.
type cluster struct {
	mu      sync.Mutex
	servers map[string]*link.Mux
	delay   map[string]time.Duration
	core    quorum.Core
}

var errUnreachable = errors.New("unreachable")

func (l *cluster) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.mu.Lock()
	mux, delay := l.servers[addr], l.delay[addr]
	l.mu.Unlock()
	if delay < 0 {
		return nil, errUnreachable
	}
	if (clock.Wall{}).Sleep(ctx, time.Millisecond+delay) != nil {
		return nil, ctx.Err()
	}
	return mux.Dispatch(ctx, link.Identity{ID: "t"}, ask)
}

// setDelay sets the delay of requests to a lease server; below 0 it is unreachable.
func (l *cluster) setDelay(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[id] = d
}

func newCluster(ctx context.Context, t *testing.T) *cluster {
	l := &cluster{servers: map[string]*link.Mux{}, delay: map[string]time.Duration{}, core: quorum.Core{Epoch: 1}}
	var voters []*quorum.Voter
	for _, id := range []string{"a", "b", "c"} {
		v, err := quorum.NewVoter(quorum.Seat{ID: id, Addr: id}, memDisk{}, "disk-"+id, l, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		mux := link.NewMux()
		v.Serve(mux)
		NewLeaseServer(v, clock.Wall{}).Serve(mux)
		l.servers[id] = mux
		l.core.Seats = append(l.core.Seats, v.Seat())
		voters = append(voters, v)
		go v.Run(ctx)
	}
	for i := range voters {
		for _, seal := range []bool{false, true} {
			if _, err := link.Call[quorum.FormTold](ctx, l, l.core.Seats[i].Addr, quorum.FormAsk{By: "a", Core: l.core, Seal: seal}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return l
}

func hasMember(ms []Member, id string) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.ID == id })
}

// nearestTo is the network of a node whose requests reach the i-th lease server first.
func (l *cluster) nearestTo(i int) *cluster {
	network := &cluster{servers: l.servers, delay: map[string]time.Duration{}}
	for j, id := range []string{"a", "b", "c"} {
		network.setDelay(id, time.Duration((j-i+3)%3)*5*time.Millisecond)
	}
	return network
}

func (l *cluster) leaseClient(id string, transport link.Transport) *LeaseClient {
	p := quorum.NewProposer(id, transport, clock.Wall{})
	p.Learn(l.core)
	return &LeaseClient{Transport: transport, Clock: clock.Wall{}, Proposer: p, Self: func() Member { return Member{ID: id, Inc: 1, Kind: "gateway"} }}
}

// A lease that moves from one majority of lease servers to another must be in every table read
// meanwhile, however far apart in time the servers answer.
func TestTableNeverMissesALeaseThatMovesBetweenCourts(t *testing.T) {
	for late := time.Duration(0); late < time.Second; late += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l := newCluster(ctx, t)
			holderNetwork := &cluster{servers: l.servers, delay: map[string]time.Duration{"c": -1}}
			holder, reader := l.leaseClient("f", holderNetwork), l.leaseClient("r", l)
			go holder.Run(ctx)
			go reader.Run(ctx)
			time.Sleep(3 * time.Second) // warm-up of the lease servers
			// f renews at a and b; then at b and c instead. The reader can't reach b, gets c's
			// answer at once and a's late.
			l.setDelay("b", -1)
			l.setDelay("a", late)
			time.AfterFunc(10*time.Millisecond, func() {
				holderNetwork.setDelay("a", -1)
				holderNetwork.setDelay("c", 0)
			})
			ms, err := reader.ReadTable(ctx)
			if err == nil && holder.Held() && !hasMember(ms, "f") {
				t.Errorf("a's answer %s late: the table lacks a gateway whose lease is in force", late)
			}
			if late == 0 && (err != nil || !hasMember(ms, "f")) {
				t.Errorf("prompt answers: %v %v", ms, err)
			}
		})
	}
}

func TestHeldEndsBeforeTheCourtsForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newCluster(ctx, t)
		holderNetwork := &cluster{servers: l.servers, delay: map[string]time.Duration{}}
		holder, reader := l.leaseClient("f", holderNetwork), l.leaseClient("r", l)
		holder.RequestDuty("duty")
		go holder.Run(ctx)
		go reader.Run(ctx)
		time.Sleep(4 * time.Second)
		since, ok := holder.HeldSince()
		if !ok || !holder.HoldsDuty("duty") {
			t.Fatal("no lease or duty after four seconds")
		}
		for _, id := range []string{"a", "b", "c"} {
			holderNetwork.setDelay(id, -1)
		}
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			ms, err := reader.ReadTable(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if holder.Held() && !hasMember(ms, "f") {
				t.Fatal("the lease servers dropped a lease that its holder still relies on")
			}
		}
		if holder.Held() || holder.HoldsDuty("duty") {
			t.Fatal("lease or duty still held after the lease servers went silent")
		}
		for _, id := range []string{"a", "b", "c"} {
			holderNetwork.setDelay(id, 0)
		}
		time.Sleep(time.Second)
		if again, ok := holder.HeldSince(); !ok || !again.After(since) {
			t.Fatal("a broken lease was reported as unbroken")
		}
	})
}

// Several nodes that request a duty at once may each be granted it by a minority. One of them must
// come to hold it, and never two.
func TestOneOfManyComesToHoldADuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newCluster(ctx, t)
		var all []*LeaseClient
		for i, id := range []string{"x", "y", "z"} {
			x := l.leaseClient(id, l.nearestTo(i))
			x.RequestDuty("duty")
			all = append(all, x)
			go x.Run(ctx)
		}
		held := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			n := 0
			for _, x := range all {
				if x.HoldsDuty("duty") {
					n++
				}
			}
			if n > 1 {
				t.Fatalf("%d nodes hold one duty", n)
			}
			held += n
		}
		if held < 500 {
			t.Fatalf("the duty was held in %d of 1000 samples", held)
		}
	})
}
