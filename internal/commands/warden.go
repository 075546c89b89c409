package commands

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/quorum"
	"walkrudder/internal/registry"
	"walkrudder/internal/steperr"
)

const (
	wardenEvery = 500 * time.Millisecond
	// suspectAt is the suspicion from which a target is noted as suspected.
	suspectAt = registry.SuspectAt
	// goneAt is the suspicion, and goneQuiet the silence, that all judges must see
	// before a target run is let go.
	goneAt    = 0.9999
	goneQuiet = 20 * time.Second
	// together is the share of a service's targets that may stand suspected at
	// once; beyond it the fault is taken to be on this side (design 10.5).
	together = 0.5
	// missing is how long a voter's lease must be lapsed before its seat goes to
	// one that stands by.
	missing = 6 * time.Second
)

// Warden does the duties that one controller does at a time: it notes suspicions, lets
// silent targets go, and keeps the core's seats filled. It acts only while it
// holds the duty's lease; every step is safe should two overlap.
type Warden struct {
	House   *registry.House
	Book    *ledger.Book
	Tenant  *membership.Tenant
	Drainer *Drainer
	Prop    *quorum.Proposer
	Line    link.Line
	Clock   clock.Clock
	Faults  *fault.Set
	Log     *log.Logger

	// suspect holds what the ledger says is suspected; nil while another may write to
	// it.
	suspect map[ledger.Target]bool
	absent  map[string]time.Time // by disk
}

// Duty is the name of the warden's lease.
const Duty = "warden"

// Run works until ctx ends.
func (w *Warden) Run(ctx context.Context) {
	w.Tenant.Seek(Duty)
	w.absent = map[string]time.Time{}
	for w.Clock.Sleep(ctx, wardenEvery) == nil {
		_ = w.House.Sweep(ctx)
		if !w.Tenant.Holds(Duty) {
			// What another warden does meanwhile is not followed here.
			w.suspect, w.absent = nil, map[string]time.Time{}
			continue
		}
		cx, end := context.WithTimeout(ctx, 5*time.Second)
		err := errors.Join(w.judge(cx), w.seats(cx))
		end()
		if err != nil && ctx.Err() == nil {
			w.Log.Warn("warden's round not finished", "step", "warden", "err", err)
		}
	}
}

// judge looks at every target once.
func (w *Warden) judge(ctx context.Context) error {
	if w.suspect == nil {
		m, err := w.Book.Suspected(ctx)
		if err != nil {
			return err
		}
		w.suspect = m
	}
	all := registry.Collect(ctx, w.Line, w.Tenant.Members())
	total, bad := map[string]int{}, map[string]int{}
	for _, x := range all {
		if x.Gone {
			continue
		}
		total[x.Beat.Service]++
		if x.W >= suspectAt {
			bad[x.Beat.Service]++
		}
	}
	// Beats may fail to reach those that are asked here. A target that answers the
	// gateways' own probes is not silent (design 10.7).
	var views map[ledger.Target]registry.Watched
	for _, x := range all {
		t := ledger.Target{ID: x.Beat.ID, Service: x.Beat.Service, Inc: x.Beat.Inc}
		if x.Gone {
			delete(w.suspect, t)
			continue
		}
		if x.W >= suspectAt {
			if views == nil {
				views = registry.Views(ctx, w.Line, w.Tenant.Members())
			}
			if views[t].Vouched() {
				continue
			}
		}
		over := float64(bad[t.Service]) > together*float64(total[t.Service])
		switch {
		case x.W >= suspectAt && !w.suspect[t] && !over:
			if err := w.Book.Note(ctx, ledger.Note{Kind: ledger.NoteSuspect, Target: &t, Seq: x.Beat.Seq, W: x.W,
				Why: fmt.Sprintf("silent for %s, fitted alpha %.3f s beta %.2f", x.Quiet.Round(time.Millisecond), x.Fit.Alpha, x.Fit.Beta)}); err != nil {
				return err
			}
			w.suspect[t] = true
			w.mark(ctx, t, true, false)
		case x.W < suspectAt && w.suspect[t]:
			if err := w.Book.Note(ctx, ledger.Note{Kind: ledger.NoteTrust, Target: &t, Seq: x.Beat.Seq, W: x.W, Why: "beats again"}); err != nil {
				return err
			}
			delete(w.suspect, t)
		}
		if x.W >= goneAt && x.Quiet > goneQuiet && !over && w.agreed(ctx, t) && w.Tenant.Holds(Duty) {
			if err := w.Drainer.Gone(ctx, t, x.W, fmt.Sprintf("silent for %s, a majority of its homes agree", x.Quiet.Round(time.Second))); err != nil {
				return err
			}
			w.Log.Info("target let go", "step", "let go", "mate", t.Service+"/"+t.ID)
			w.mark(ctx, t, true, true)
		}
	}
	return nil
}

// mark tells every controller's house; one that misses it shows the target a while
// longer, and gateways know better.
func (w *Warden) mark(ctx context.Context, t ledger.Target, suspect, gone bool) {
	cx, end := context.WithTimeout(ctx, 300*time.Millisecond)
	defer end()
	var wg sync.WaitGroup
	for _, m := range w.Tenant.Kind("controller") {
		wg.Go(func() {
			_, _ = link.Call[registry.MarkTold](cx, w.Line, m.Inner, registry.MarkAsk{Service: t.Service, ID: t.ID, Inc: t.Inc, Suspect: suspect, Gone: gone})
		})
	}
	wg.Wait()
}

// agreed asks the homes of the service, which all hear its beats: a majority of
// them must suspect the run, and none may have heard of it lately.
func (w *Warden) agreed(ctx context.Context, t ledger.Target) bool {
	hs := registry.Homes(t.Service, w.Tenant.Members())
	yes := 0
	for _, m := range hs {
		cx, end := context.WithTimeout(ctx, 500*time.Millisecond)
		r, err := link.Call[registry.JudgeTold](cx, w.Line, m.Inner, registry.JudgeAsk{Service: t.Service, ID: t.ID, Inc: t.Inc})
		end()
		if err != nil {
			continue
		}
		if r.Known && (r.W < goneAt || time.Duration(r.Quiet) < goneQuiet) {
			return false
		}
		if r.Known {
			yes++
		}
	}
	return yes > len(hs)/2
}

// seats fills a seat whose disk is gone: by its own node's new disk, or by a disk
// node that stands by once the voter has been missing for long. One at a time:
// the swap before must be finished first (design 4.4).
func (w *Warden) seats(ctx context.Context) error {
	core := w.Prop.Core()
	if done, err := w.finish(ctx, core); err != nil || !done {
		return err
	}
	disks := map[string]membership.Member{}
	var spare []quorum.Seat
	for _, m := range w.Tenant.Kind("controller") {
		if m.Disk.Disk == "" {
			continue
		}
		disks[m.Disk.Disk] = m
		if _, in := core.Seat(m.ID); !in {
			spare = append(spare, m.Disk)
		}
	}
	now := w.Clock.Now()
	for _, s := range core.Seats {
		if _, ok := disks[s.Disk]; ok {
			delete(w.absent, s.Disk)
			continue
		}
		if _, ok := w.absent[s.Disk]; !ok {
			w.absent[s.Disk] = now
		}
		// The same node with an emptied disk takes its own seat at once.
		for _, m := range disks {
			if m.ID == s.ID {
				return w.swap(ctx, core, s, m.Disk)
			}
		}
		if now.Sub(w.absent[s.Disk]) <= missing {
			continue
		}
		if in, ok := (quorum.Tolerance{}).Replacement(core.Seats, s, spare); ok {
			return w.swap(ctx, core, s, in)
		}
	}
	return w.wished(ctx, core, disks)
}

// wish is a swap that an operator asked for.
type wish struct{ Out, In string }

// Wish notes that a voter is to give its seat to a disk node that stands by; the
// warden's holder sees to it (design 4.4).
func (w *Warden) Wish(ctx context.Context, out, in string) error {
	core := w.Prop.Core()
	if _, ok := core.Seat(out); !ok {
		return steperr.New("swap", out, "has no seat")
	}
	if _, ok := core.Seat(in); ok {
		return steperr.New("swap", in, "has a seat already")
	}
	if !slices.ContainsFunc(w.Tenant.Kind("controller"), func(m membership.Member) bool { return m.ID == in && m.Disk.Disk != "" }) {
		return steperr.New("swap", in, "no such disk node has a lease now")
	}
	raw := ledger.Encode(wish{out, in})
	_, err := w.Prop.Change(ctx, ledger.WishItem, func([]byte) ([]byte, error) { return raw, nil })
	return err
}

// wished carries out what an operator asked for, while it still makes sense.
func (w *Warden) wished(ctx context.Context, core quorum.Core, disks map[string]membership.Member) error {
	raw, err := w.Prop.Read(ctx, ledger.WishItem)
	if quorum.IsNeverWritten(err) || err == nil && raw == nil {
		return nil
	}
	if err != nil {
		return steperr.At("read wish", "", err)
	}
	x, err := ledger.Decode[wish](raw)
	if err != nil {
		return steperr.At("read wish", "", err)
	}
	out, has := core.Seat(x.Out)
	if _, in := core.Seat(x.In); !has || in {
		if x.Out == "" {
			return nil
		}
		// Done, or overtaken by events: a wish is carried out once.
		_, err := w.Prop.Change(ctx, ledger.WishItem, func(old []byte) ([]byte, error) {
			if string(old) != string(raw) {
				return old, nil
			}
			return ledger.Encode(wish{}), nil
		})
		return err
	}
	for _, m := range disks {
		if m.ID == x.In {
			return w.swap(ctx, core, out, m.Disk)
		}
	}
	return nil
}

// swap decides the next core and carries it out.
func (w *Warden) swap(ctx context.Context, core quorum.Core, out, in quorum.Seat) error {
	if !w.Tenant.Holds(Duty) {
		return nil
	}
	next := quorum.Core{Epoch: core.Epoch + 1}
	for _, s := range core.Seats {
		if s == out {
			s = in
		}
		next.Seats = append(next.Seats, s)
	}
	raw := ledger.Encode(next)
	_, err := w.Prop.Change(ctx, ledger.CoreItem, func(old []byte) ([]byte, error) {
		if old != nil {
			o, err := ledger.Decode[quorum.Core](old)
			if err != nil {
				return nil, err
			}
			if o.Epoch > core.Epoch {
				// A swap is decided already: that one is finished first.
				return old, nil
			}
		}
		return raw, nil
	})
	if err != nil {
		return steperr.At("decide swap", in.ID, err)
	}
	w.Log.Info("seat passes on", "step", "swap", "mate", in.ID, "out", out.ID, "epoch", next.Epoch)
	_, err = w.finish(ctx, core)
	return err
}

// finish carries a decided swap out; done says that none is left over.
func (w *Warden) finish(ctx context.Context, core quorum.Core) (done bool, err error) {
	raw, err := w.Prop.Read(ctx, ledger.CoreItem)
	if quorum.IsNeverWritten(err) || err == nil && raw == nil {
		return true, nil
	}
	if err != nil {
		return false, steperr.At("read core", "", err)
	}
	next, err := ledger.Decode[quorum.Core](raw)
	if err != nil {
		return false, steperr.At("read core", "", err)
	}
	if next.Epoch < core.Epoch {
		return true, nil
	}
	var from, out []quorum.Seat
	for _, s := range w.former(core, next) {
		cx, end := context.WithTimeout(ctx, time.Second)
		r, err := link.Call[quorum.SealTold](cx, w.Line, s.Addr, quorum.SealAsk{Next: next})
		end()
		if err == nil && r.OK && r.Disk == s.Disk {
			from = append(from, s)
		}
	}
	w.Faults.At(fault.AfterSeal)
	need := core.BlockingSize()
	if next.Epoch == core.Epoch {
		// Sealed before; only a joiner may still be missing. The continuing seats
		// together hold what any former majority accepted.
		need = core.QuorumSize()
	}
	if len(from) < need {
		return false, steperr.New("seal", "", "%d of %d former voters sealed", len(from), need)
	}
	for _, s := range next.Seats {
		if !slices.Contains(from, s) {
			out = append(out, s)
		}
	}
	votes := len(next.Seats) - len(out)
	for _, s := range out {
		cx, end := context.WithTimeout(ctx, 3*time.Second)
		r, err := link.Call[quorum.JoinTold](cx, w.Line, s.Addr, quorum.JoinAsk{Next: next, From: from})
		end()
		if err != nil || !r.OK {
			w.Log.Debug("seat not yet joined", "step", "join", "mate", s.ID, "err", err)
			continue
		}
		votes++
		if r.Items > 0 {
			_ = w.Book.Note(ctx, ledger.Note{Kind: ledger.NoteSwap, N: next.Epoch, Why: fmt.Sprintf("%s votes on disk %s with %d items", s.ID, s.Disk, r.Items)})
		}
	}
	w.Prop.Learn(next)
	// A majority that votes in the newest epoch can be sealed for the one after:
	// a seat that never joins does not stand in the way of its own replacement.
	return votes >= next.QuorumSize(), nil
}

// former lists the voters that a joiner may pull from.
func (w *Warden) former(core, next quorum.Core) []quorum.Seat {
	if next.Epoch > core.Epoch {
		return core.Seats
	}
	return next.Seats
}
