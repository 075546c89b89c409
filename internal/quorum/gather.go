package quorum

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/link"
)

// askTime bounds the wait for one voter.
const askTime = 1500 * time.Millisecond

// heard is a voter's answer with the seat it came from.
type heard[R any] struct {
	Seat Seat
	R    R
}

// gather asks all seats at once and returns the good answers as soon as enough
// says so, or when all have answered or ctx ends. Asks still under way go on: a
// third copy is written although nobody waits for it. It learns newer cores on
// the way.
func gather[R any](ctx context.Context, p *Proposer, seats []Seat, ask func(Seat) any, told func(R) Told, enough func([]heard[R]) bool) []heard[R] {
	cx, end := context.WithTimeout(context.WithoutCancel(ctx), askTime)
	type back struct {
		h  heard[R]
		ok bool
	}
	ch := make(chan back, len(seats))
	var wg sync.WaitGroup
	for _, s := range seats {
		wg.Go(func() {
			r, err := link.Ask[R](cx, p.Line, s.Addr, ask(s))
			if err != nil {
				ch <- back{}
				return
			}
			t := told(r)
			if !t.OK {
				p.Learn(t.Core)
			}
			ch <- back{heard[R]{s, r}, t.OK && t.Disk == s.Disk}
		})
	}
	go func() {
		wg.Wait()
		end()
	}()
	var got []heard[R]
	for range seats {
		select {
		case b := <-ch:
			if b.ok {
				got = append(got, b.h)
				if enough(got) {
					return got
				}
			}
		case <-ctx.Done():
			return got
		}
	}
	return got
}

func atLeast[R any](n int) func([]heard[R]) bool {
	return func(h []heard[R]) bool { return len(h) >= n }
}
