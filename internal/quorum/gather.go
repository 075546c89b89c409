package quorum

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/link"
)

// voterTimeout bounds the wait for one voter's reply.
const voterTimeout = 1500 * time.Millisecond

// voterReply is a voter's reply with the seat it came from.
type voterReply[R any] struct {
	Seat  Seat
	Reply R
}

// gather sends requests to all seats in parallel and returns the valid replies as soon
// as enough is satisfied, or when all have replied or ctx ends. Requests still in flight
// are not canceled, so that the remaining copies are written too. Newer cores found in
// replies are learned.
func gather[R any](ctx context.Context, p *Proposer, seats []Seat, ask func(Seat) any, header func(R) Told, enough func([]voterReply[R]) bool) []voterReply[R] {
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voterTimeout)
	type result struct {
		reply voterReply[R]
		ok    bool
	}
	results := make(chan result, len(seats))
	var wg sync.WaitGroup
	for _, s := range seats {
		wg.Go(func() {
			r, err := link.Call[R](askCtx, p.Transport, s.Addr, ask(s))
			if err != nil {
				results <- result{}
				return
			}
			head := header(r)
			if !head.OK {
				p.Learn(head.Core)
			}
			results <- result{voterReply[R]{s, r}, head.OK && head.Disk == s.Disk}
		})
	}
	go func() {
		wg.Wait()
		cancel()
	}()
	var replies []voterReply[R]
	for range seats {
		select {
		case res := <-results:
			if res.ok {
				replies = append(replies, res.reply)
				if enough(replies) {
					return replies
				}
			}
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}

// atLeast returns a condition for gather that is satisfied by n valid replies.
func atLeast[R any](n int) func([]voterReply[R]) bool {
	return func(h []voterReply[R]) bool { return len(h) >= n }
}
