package quorum

import (
	"context"
	"slices"
	"sync"

	"walkrudder/internal/link"
)

// propose forms a first core if that is this node's task. consents are the formations
// that the seeds consented to.
func (b *Bootstrapper) propose(ctx context.Context, consents []form) {
	timedOut := b.Clock.Now().Sub(b.noCoreSince) >= formationTimeout
	formation, isNew, ok := b.selectFormation(b.liveDisks(), append(consents, b.consent()), timedOut)
	if !ok {
		return
	}
	ask := FormAsk{By: formation.By, Core: formation.Core}
	self := b.Voter.Seat()
	if isNew {
		// This node consents first, and its consent survives a restart: a formation
		// that was proposed is proposed again unchanged.
		if consenting, _ := b.sendForm(ctx, []string{self.Addr}, ask); len(consenting) == 0 {
			return
		}
	}
	seats := make([]string, len(formation.Core.Seats))
	for i, s := range formation.Core.Seats {
		seats[i] = s.Addr
	}
	seedsAndSeats := append(slices.Clone(b.Seeds), seats...)
	slices.Sort(seedsAndSeats)
	seedsAndSeats = slices.Compact(append(seedsAndSeats, self.Addr))
	consenting, foundLowerID := b.sendForm(ctx, b.Seeds, ask)
	if foundLowerID {
		// The formation with the lower ID takes precedence. A seed that consented to
		// another formation shows that this one was never sealed, so it can be dropped.
		ask.Drop = true
		b.sendForm(ctx, seedsAndSeats, ask)
		return
	}
	if len(consenting) < len(b.Seeds) {
		return
	}
	consenting, _ = b.sendForm(ctx, seats, ask)
	granted := 0
	for _, s := range formation.Core.Seats {
		if slices.Contains(consenting, s.Disk) {
			granted++
		}
	}
	if granted == len(seats) || timedOut && granted >= formation.Core.QuorumSize() {
		// No other formation can succeed, so this core is valid even if the seal
		// reaches only one seat now. A seat that is not up yet joins later, like any other.
		ask.Seal = true
		b.sendForm(ctx, seedsAndSeats, ask)
	}
}

// selectFormation returns the formation that this node has to carry out, if any: its own
// unfinished one or one whose proposer is not alive, else a new one if this is the disk
// node with the lowest ID. Of several unfinished ones the one with the highest proposer
// ID is selected first: it either completes, or is found to block a lower one and is dropped.
func (b *Bootstrapper) selectFormation(disks []knownSeat, consents []form, timedOut bool) (formation form, isNew, ok bool) {
	self := b.Voter.Seat().ID
	lowest := len(disks) > 0 && disks[0].seat.ID == self
	othersInProgress := false
	for _, consent := range consents {
		proposerAlive := slices.ContainsFunc(disks, func(k knownSeat) bool { return k.seat.ID == consent.By })
		switch {
		case consent.By == "":
		case consent.By == self || lowest && !proposerAlive:
			if consent.By >= formation.By {
				formation, ok = consent, true
			}
		default:
			othersInProgress = true
		}
	}
	if ok || othersInProgress || !lowest {
		return formation, false, ok
	}
	size := b.Size
	if len(disks) < size {
		if !timedOut {
			return form{}, false, false
		}
		size = len(disks) - 1 + len(disks)%2
	}
	seats := make([]Seat, len(disks))
	for i, k := range disks {
		seats[i] = k.seat
	}
	chosen := b.Tolerance.Choose(seats, size)
	if !timedOut && !b.Tolerance.ExposureOf(chosen).AtMost(b.Attainable) {
		return form{}, false, false
	}
	return form{self, Core{Epoch: 1, Seats: chosen}}, true, true
}

// sendForm sends ask to all of addrs and returns the disks of those that granted it.
// foundLowerID reports whether one of them has consented to a formation whose proposer has a lower ID.
func (b *Bootstrapper) sendForm(ctx context.Context, addrs []string, ask FormAsk) (disks []string, foundLowerID bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			answer, err := link.Call[FormTold](ctx, b.Transport, addr, ask)
			if err != nil {
				return
			}
			b.Proposer.Learn(answer.Core)
			mu.Lock()
			defer mu.Unlock()
			if answer.OK {
				disks = append(disks, answer.Disk)
			} else if answer.Core.Epoch == 0 && answer.By != "" && answer.By < ask.By {
				foundLowerID = true
			}
		})
	}
	wg.Wait()
	return disks, foundLowerID
}
