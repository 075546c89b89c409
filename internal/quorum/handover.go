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

// decodeCore reads a core into slices of its own: others are shared between nodes
// of one process and with what is known.
func decodeCore(b []byte) (c Core, err error) {
	err = json.Unmarshal(b, &c)
	return c, err
}

// chosenCore reads a core from its register, with the ballot by which it is chosen.
func chosenCore(held Item) (Core, error) {
	c, err := decodeCore(held.Value)
	c.Decided = held.Accepted
	return c, err
}

// carry brings next about: it seals the voters before, then has the seats join that
// do not vote yet. Every step may be done again, by anybody. It is content once a
// majority votes: they can be sealed for the swap after, so that a seat that never
// joins does not stand in the way of its own replacement.
func (w *Reconfigurer) carry(ctx context.Context, v view, next Core) error {
	if next.Epoch > v.core.Epoch {
		// A decision may be old. Sealing for a core whose majority is not there would
		// end the one that works.
		if err := w.reachable(v, next); err != nil {
			return err
		}
	}
	at := w.roll(ctx, v, next)
	if next.Epoch > v.core.Epoch {
		w.Faults.At(fault.AfterSeal)
	}
	from, err := sources(next, at)
	if err != nil {
		return err
	}
	w.Prop.Learn(next)
	votes, open := 0, map[string]time.Time{}
	var out []Seat
	for _, s := range next.Seats {
		if at[s.Disk] {
			votes++
			continue
		}
		since, known := w.open[s.Disk]
		open[s.Disk] = lo.Ternary(known, since, v.now)
		if v.heard(s, w.missing()) {
			out = append(out, s)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range out {
		wg.Go(func() {
			n, err := w.join(ctx, next, from, s)
			if w.Log != nil {
				w.Log.Info("seat asked to join", "step", "join", "peer", s.ID, "epoch", next.Epoch, "items", n, "err", err)
			}
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				votes++
				delete(open, s.Disk)
			}
		})
	}
	wg.Wait()
	w.settled, w.open = next.Epoch, open
	if votes < next.QuorumSize() {
		w.settled = 0
		return steperr.New("join", "", "%d seats of epoch %d vote, need %d", votes, next.Epoch, next.QuorumSize())
	}
	return nil
}

// join has s pull what was acknowledged and vote; it tells how many items came.
func (w *Reconfigurer) join(ctx context.Context, next Core, from source, s Seat) (int, error) {
	cx, end := context.WithTimeout(ctx, joinTime)
	defer end()
	r, err := link.Ask[JoinTold](cx, w.Line, s.Addr, JoinAsk{Next: next, From: w.nearest(from, s)})
	if err == nil && !r.OK {
		err = steperr.New("join", s.ID, "stands at a later epoch than %d", next.Epoch)
	}
	return r.Items, err
}

// roll tells the nodes of the seats of next, and of those before, that next takes over, and yields the
// disks that stand at its epoch. A node is asked once, also where it has a seat of each: its answer
// names the disk that it has now. It does not wait for those that were not heard lately.
func (w *Reconfigurer) roll(ctx context.Context, v view, next Core) map[string]bool {
	seats := slices.Concat(next.Seats, next.Before)
	lively := map[string]bool{}
	for _, s := range seats {
		if v.heard(s, w.missing()) {
			lively[s.Addr] = true
		}
	}
	nodes := lo.Uniq(lo.Map(seats, func(s Seat, _ int) string { return s.Addr }))
	cx, end := context.WithTimeout(ctx, rollTime)
	type back struct {
		addr, disk string
		sealed     bool
	}
	ch := make(chan back, len(nodes))
	var wg sync.WaitGroup
	for _, addr := range nodes {
		wg.Go(func() {
			r, err := link.Ask[SealTold](cx, w.Line, addr, SealAsk{Next: next})
			if err == nil && !r.OK {
				w.Prop.Learn(r.Core)
			}
			ch <- back{addr, r.Disk, err == nil && r.OK}
		})
	}
	go func() {
		wg.Wait()
		end()
		close(ch)
	}()
	at := map[string]bool{}
	wait := len(lively)
	for b := range ch {
		if b.sealed {
			at[b.disk] = true
		}
		if lively[b.addr] {
			wait--
		}
		if wait == 0 {
			if _, err := sources(next, at); err == nil {
				break
			}
		}
	}
	return at
}

// source is a set of sealed voters, so many of which a joiner has to pull from.
type source struct {
	seats []Seat
	need  int
}

// sources tells whom a joiner of next pulls from, given the disks that stand at its
// epoch: N-Q+1 of the voters before, which together hold whatever was acknowledged
// up to the seal; or a majority of next itself, which meets all holders since.
func sources(next Core, at map[string]bool) (source, error) {
	of := func(seats []Seat) []Seat {
		return lo.Filter(seats, func(s Seat, _ int) bool { return at[s.Disk] })
	}
	if own := of(next.Seats); len(own) >= next.QuorumSize() {
		return source{own, next.QuorumSize()}, nil
	}
	before := Core{Seats: next.Before}
	sealed := of(next.Before)
	if len(next.Before) > 0 && len(sealed) >= before.BlockingSize() {
		return source{sealed, before.BlockingSize()}, nil
	}
	return source{}, steperr.New("seal", "", "%d of %d voters sealed for epoch %d", len(sealed), before.BlockingSize(), next.Epoch)
}

// nearest picks from whom s pulls: its own zone first, for what crosses zones is
// paid for; the rest by chance, so that one that does not answer is passed by at
// the next try.
func (w *Reconfigurer) nearest(f source, s Seat) []Seat {
	shuffle := w.Shuffle
	if shuffle == nil {
		shuffle = rand.Shuffle
	}
	all := slices.Clone(f.seats)
	shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b Seat) int {
		return cmp.Compare(lo.Ternary(a.Zone == s.Zone, 0, 1), lo.Ternary(b.Zone == s.Zone, 0, 1))
	})
	return all[:f.need]
}
