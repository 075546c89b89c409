package quorum

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/fault"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"

	"github.com/samber/lo"
)

// decodeCore decodes a core from JSON, always into a new value. Decoding into an existing
// Core would overwrite slices that are shared with the proposer's core and between the
// nodes of one process.
func decodeCore(b []byte) (c Core, err error) {
	err = json.Unmarshal(b, &c)
	return c, err
}

// chosenCore decodes the core that coreRegister holds and sets the ballot that chose it.
func chosenCore(held Item) (Core, error) {
	c, err := decodeCore(held.Value)
	c.Decided = held.Accepted
	return c, err
}

// applyCore puts next into effect: it seals the former voters, then makes the seats that
// do not vote yet join. Every step is idempotent and can be run by any node. It succeeds
// once a majority votes: that majority can be sealed for the following reconfiguration,
// so a seat that never joins does not block its own replacement.
func (rc *Reconfigurer) applyCore(ctx context.Context, v view, next Core) error {
	if next.Epoch > v.core.Epoch {
		// The decision may be old. Sealing the voters for a core whose majority is down
		// would stop the core that works.
		if err := rc.checkReachable(v, next); err != nil {
			return err
		}
	}
	sealed := rc.sealVoters(ctx, v, next)
	if next.Epoch > v.core.Epoch {
		rc.Faults.Hit(fault.AfterSeal)
	}
	from, err := pullSources(next, sealed)
	if err != nil {
		return err
	}
	rc.Proposer.Learn(next)
	votes, nonVoting := 0, map[string]time.Time{}
	var joiners []Seat
	for _, s := range next.Seats {
		if sealed[s.Disk] {
			votes++
			continue
		}
		since, known := rc.nonVoting[s.Disk]
		nonVoting[s.Disk] = lo.Ternary(known, since, v.now)
		if v.heardWithin(s, rc.missingAfter()) {
			joiners = append(joiners, s)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range joiners {
		wg.Go(func() {
			n, err := rc.joinSeat(ctx, next, from, s)
			if rc.Log != nil {
				rc.Log.Info("seat asked to join", "step", "join", "peer", s.ID, "epoch", next.Epoch, "items", n, "err", err)
			}
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				votes++
				delete(nonVoting, s.Disk)
			}
		})
	}
	wg.Wait()
	rc.checkedEpoch, rc.nonVoting = next.Epoch, nonVoting
	if votes < next.QuorumSize() {
		rc.checkedEpoch = 0
		return steperr.New("join", "", "%d seats of epoch %d vote, need %d", votes, next.Epoch, next.QuorumSize())
	}
	return nil
}

// joinSeat makes s pull all acknowledged items and vote; it returns the number of items pulled.
func (rc *Reconfigurer) joinSeat(ctx context.Context, next Core, from pullSource, s Seat) (int, error) {
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answer, err := link.Call[JoinTold](joinCtx, rc.Transport, s.Addr, JoinAsk{Next: next, From: rc.pickSources(from, s)})
	if err == nil && !answer.OK {
		err = steperr.New("join", s.ID, "voter is already in a later epoch than %d", next.Epoch)
	}
	return answer.Items, err
}

// sealVoters informs the nodes of the seats of next and of the former seats that next takes over, and
// returns the disks that are in its epoch. A node that has both a new and a former seat is asked once:
// its answer names its present disk. Nodes that were not heard from recently are not waited for.
func (rc *Reconfigurer) sealVoters(ctx context.Context, v view, next Core) map[string]bool {
	seats := slices.Concat(next.Seats, next.Before)
	recentlyHeard := map[string]bool{}
	for _, s := range seats {
		if v.heardWithin(s, rc.missingAfter()) {
			recentlyHeard[s.Addr] = true
		}
	}
	addrs := lo.Uniq(lo.Map(seats, func(s Seat, _ int) string { return s.Addr }))
	sealCtx, cancel := context.WithTimeout(ctx, sealTimeout)
	type result struct {
		addr, disk string
		sealed     bool
	}
	results := make(chan result, len(addrs))
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			r, err := link.Call[SealTold](sealCtx, rc.Transport, addr, SealAsk{Next: next})
			if err == nil && !r.OK {
				rc.Proposer.Learn(r.Core)
			}
			results <- result{addr, r.Disk, err == nil && r.OK}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		close(results)
	}()
	sealed := map[string]bool{}
	awaited := len(recentlyHeard)
	for res := range results {
		if res.sealed {
			sealed[res.disk] = true
		}
		if recentlyHeard[res.addr] {
			awaited--
		}
		if awaited == 0 {
			if _, err := pullSources(next, sealed); err == nil {
				break
			}
		}
	}
	return sealed
}

// pullSource is a set of sealed voters; a joining seat has to pull from `required` of them.
type pullSource struct {
	seats    []Seat
	required int
}

// pullSources returns the voters that a joining seat of next pulls from, given the disks that are in
// the epoch of next: N-Q+1 of the former voters, which together hold everything acknowledged up to
// the seal, or a majority of next itself, which intersects every majority since.
func pullSources(next Core, sealed map[string]bool) (pullSource, error) {
	sealedOf := func(seats []Seat) []Seat {
		return lo.Filter(seats, func(s Seat, _ int) bool { return sealed[s.Disk] })
	}
	if own := sealedOf(next.Seats); len(own) >= next.QuorumSize() {
		return pullSource{own, next.QuorumSize()}, nil
	}
	before := Core{Seats: next.Before}
	former := sealedOf(next.Before)
	if len(next.Before) > 0 && len(former) >= before.BlockingSize() {
		return pullSource{former, before.BlockingSize()}, nil
	}
	return pullSource{}, steperr.New("seal", "", "%d of %d voters sealed for epoch %d", len(former), before.BlockingSize(), next.Epoch)
}

// pickSources picks the voters that s pulls from: those in its own zone first, since
// cross-zone traffic costs money; the others in random order, so that a retry is likely
// to avoid a voter that does not answer.
func (rc *Reconfigurer) pickSources(from pullSource, s Seat) []Seat {
	shuffle := rc.Shuffle
	if shuffle == nil {
		shuffle = rand.Shuffle
	}
	all := slices.Clone(from.seats)
	shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b Seat) int {
		return cmp.Compare(lo.Ternary(a.Zone == s.Zone, 0, 1), lo.Ternary(b.Zone == s.Zone, 0, 1))
	})
	return all[:from.required]
}
