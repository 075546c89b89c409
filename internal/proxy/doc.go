// Package proxy is the request path of the data plane for routes by host and prefix
// (design 24): it takes requests in, chooses a run of the route's service, sends, checks
// what comes back, and answers.
//
// # Stages
//
// The stages are those of the design (13.1): read, place, acquire, attempt, check,
// answer. They are joined by calls in the goroutine of the caller's connection and not
// by queues, for each queue would cost a wake-up a request, and processor time is what
// these machines have least of. The one queue is where waiting is of use: before a
// service's targets (waiting), bounded and by priority. What else is held is bounded by
// counts: connections of callers, bytes held, requests under way at each run. Only an
// attempt besides, for a request whose first target is silent, has a goroutine of its
// own.
//
// Weighed: stages with workers and queues as in internal/passage (five wake-ups a
// request); fasthttp's own server (its limits can't change while it runs, it reads a
// body before its handler can refuse it, and its shutdown may close a connection on
// which a request has just been read); its client (13.4).
//
// # State
//
// Routes and limits are a snapshot that news replace. Each service's runs are under one
// lock for a look at some dozens of them; nothing waits under it. A queue with an owner
// would put two wake-ups into each choice (2.7 has the like).
//
// # What may run twice
//
// A request that may run once is sent again only where no byte of it left, or the target
// said that it did not run. Whatever left may have run: a caller is told "not run" (503)
// only where all targets that were asked said so. A connection on which a request was
// given up is reset, so that nothing leaves later.
package proxy
