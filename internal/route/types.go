// Package route holds what operators declare of routes, services and limits: its
// checks, and the compiled table that the request path reads (design 21).
package route

// Repeat says what may be done again with a request.
type Repeat uint8

// What a route's requests bear.
const (
	// Once is for requests that may run at most once.
	Once Repeat = iota + 1
	// Idempotent is for requests that may run more than once.
	Idempotent
	// Download is for large answers; as repeatable as Idempotent.
	Download
)

// Repeatable tells whether a request may be sent again after it may have run.
func (r Repeat) Repeatable() bool { return r == Idempotent || r == Download }

// Share is a service's part of a route's requests.
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
	Repeat  Repeat
	// HoldMS is the longest time for which a request is held, in milliseconds; 0 is
	// no bound of the route's own.
	HoldMS int
	// AimMS is the time within which an answer earns its full worth; 0 is none.
	AimMS int
	// Priority is the rank in a crowd, 0 the highest.
	Priority int
	// Attempts is the largest number of targets for one request; 0 means 1.
	Attempts int
	// Shares are the services; one service alone has all.
	Shares []Share `validate:"required,min=1,max=64,dive"`
	// Source is the operator's own text of this route, handed back as it came.
	Source []byte
}

// Service is a kind of target.
type Service struct {
	Name    string `validate:"required,max=256"`
	Version uint64
	// Health is the path of the targets' health answer.
	Health string
	// MaxConns is how many connections one target accepts from all callers together;
	// 0 is not known.
	MaxConns int
	Source   []byte
}

// Limits bound what a caller may send; 0 is no bound.
type Limits struct {
	Version     uint64
	HeaderBytes int
	BodyBytes   int
	HeaderMS    int
	IdleMS      int
	Source      []byte
}
