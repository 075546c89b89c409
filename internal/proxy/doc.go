// Package proxy is the request path of the data plane for routes by host and prefix
// (design 24): it reads requests, selects a run of the route's service, sends the request,
// validates the answer and returns it to the caller.
//
// # Stages
//
// The stages are those of the design (13.1): read, place, acquire, attempt, check,
// answer. They are connected by function calls in the goroutine of the caller's connection
// rather than by queues: each queue would cost one goroutine wake-up per request, and CPU
// time is the scarcest resource of these machines. The only queue is the bounded priority
// queue in front of a service's targets (waitQueue). Everything else that is held is bounded
// by counts: caller connections, buffered bytes, requests in flight per run. Two kinds of attempt
// run in a goroutine of their own: a hedged attempt, made when the first target is silent, and an
// attempt at a download whose answer may be streamed (attemptStreaming).
//
// Alternatives considered: stages with workers and queues as in internal/passage (five
// wake-ups per request); the fasthttp server (its limits can't change while it runs, it reads
// a body before the handler can refuse it, and its shutdown may close a connection on which
// a request has just been read); the fasthttp client (13.4).
//
// # State
//
// Routes and limits are an immutable snapshot that each update replaces. The runs of a
// service are guarded by one lock, which is held for a scan of a few dozen entries and never
// while waiting. A queue with an owner goroutine would add two wake-ups to each selection
// (design 2.7 makes the same choice).
//
// # At-most-once requests
//
// A request that may run only once is sent again only if no byte of it was sent, or the target
// stated that it did not run it. Anything that was sent may have run: a caller gets "not run"
// (503) only if every target that was asked said so. A connection on which a request was
// abandoned is reset, so that no buffered bytes are sent later.
package proxy
