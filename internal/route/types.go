// Package route holds the routes, services and limits that operators declare: their
// validation, and the compiled table that the request path reads (design 21).
package route

// RetryPolicy determines whether a request may be sent again after it may have run.
type RetryPolicy uint8

// The retry policies of routes.
const (
	// AtMostOnce is for requests that may run at most once.
	AtMostOnce RetryPolicy = iota + 1
	// Idempotent is for requests that may run more than once.
	Idempotent
	// Download is for large answers; it allows retries like Idempotent.
	Download
)

// AllowsRetry reports whether a request may be sent again after it may have run.
func (r RetryPolicy) AllowsRetry() bool { return r == Idempotent || r == Download }

// Share is the weight of one service among the services of a route.
type Share struct {
	Service string `validate:"required,max=256"`
	Weight  float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name    string `validate:"required,max=256"`
	Version uint64
	Host    string `validate:"required,max=256"`
	Prefix  string `validate:"required,max=2048"`
	Repeat  RetryPolicy
	// HoldMS is the longest time for which a request may wait, in milliseconds; 0 means
	// that the route sets no limit.
	HoldMS int
	// AimMS is the target response time in milliseconds, within which an answer has its full value;
	// 0 means that there is none.
	AimMS int
	// Priority is the rank under overload; 0 is the highest.
	Priority int
	// Attempts is the largest number of targets tried for one request; 0 means 1.
	Attempts int
	// Shares are the services; a single one gets all requests.
	Shares []Share `validate:"required,min=1,max=64,dive"`
	// Source is the operator's original text of this route, returned unchanged.
	Source []byte
}

// Service is a group of interchangeable targets.
type Service struct {
	Name    string `validate:"required,max=256"`
	Version uint64
	// Health is the path of the targets' health check.
	Health string
	// MaxConns is how many connections one target accepts from all clients together;
	// 0 means unknown.
	MaxConns int
	Source   []byte
}

// Limits bound what a client may send; 0 selects the default of the gateways.
type Limits struct {
	Version     uint64
	HeaderBytes int
	BodyBytes   int
	HeaderMS    int // time from the first byte of a request to the end of its header, in milliseconds
	IdleMS      int // time that a connection may wait for its next request, in milliseconds
	Source      []byte
}
