package proxy

import (
	"time"

	"github.com/go-playground/validator/v10"

	"walkrudder/internal/steperr"
)

// HeaderNames are the names of the header fields that callers, proxies and targets agreed on.
// The embedding program supplies them; this package knows no platform's names.
type HeaderNames struct {
	RequestID     string `validate:"required"` // identifies the request, in both directions
	RemainingTime string `validate:"required"` // milliseconds that the caller still waits
	Seal          string `validate:"required"` // present in every successful answer of a target
	ExpectedRun   string `validate:"required"` // identifies the run that is addressed
	NotRun        string `validate:"required"` // the target states that it did not run the request
	RetryAfter    string `validate:"required"`
	Instance      string `validate:"required"` // identifies the run in a health answer
}

// Settings are the configuration of a node at its start.
type Settings struct {
	ID      string            `validate:"required"`
	Zone    string            `validate:"required"`
	Zones   map[string]string // zone -> region
	Headers HeaderNames

	BudgetRatio  float64       `validate:"gte=0,lte=10"`
	BudgetWindow time.Duration `validate:"gt=0"`
	BudgetSlack  int           `validate:"gte=0"`

	MemoryMB int `validate:"gte=0"` // 0 is 256
	MaxFiles int `validate:"gte=0"` // 0 is 1024
	// LinkMbps is the rate of the machine's link; 0 means unknown and is treated as wide.
	LinkMbps float64 `validate:"gte=0"`
	Bind     string  // local IP for outgoing connections; "" leaves it to the system

	// Grace is the maximum duration of a planned stop.
	Grace time.Duration `validate:"gt=0"`
	// Linger is how long after the start of a planned stop new connections are accepted and idle
	// ones kept, because load balancers notice the stop late. 0 means 2.5 s.
	Linger time.Duration `validate:"gte=0"`
	// ProbeInterval is the mean interval of health probes to one run; 0 means 4 s. Probes occupy
	// a slot at their target like requests, so they are limited: the interval grows up to
	// eightfold if there would be more than FreeProbes a second (0 means 2) and more than a
	// tenth of the requests.
	ProbeInterval time.Duration `validate:"gte=0"`
	FreeProbes    float64       `validate:"gte=0"`
	// DialTimeout bounds a connect within the region; 0 means 400 ms. A network partition gives no error.
	DialTimeout time.Duration `validate:"gte=0"`
	// NewsWithin is the maximum age of the known routes at which the node uses them normally, and
	// NewsLost the age from which it considers itself cut off and serves with what it
	// knows; 0 means any age. Between the two it refuses requests, because a change that it has not
	// received may be in force.
	NewsWithin time.Duration `validate:"gte=0"`
	NewsLost   time.Duration `validate:"gte=0"`
	// MaxAnswerBytes bounds a target's answer that is buffered completely; 0 means 8 MiB.
	MaxAnswerBytes int `validate:"gte=0"`
	// MinReadRate is how many bytes a second a caller must read of its answer, on average over 10 s, for its connection to be
	// kept; 0 means 256.
	MinReadRate int `validate:"gte=0,lte=1048576"`
}

// Check validates the settings.
func (s Settings) Check() error {
	return steperr.Wrap("settings", "", validator.New(validator.WithRequiredStructEnabled()).Struct(s))
}

// withDefaults replaces zero values by the defaults.
func (s Settings) withDefaults() Settings {
	setDefault(&s.MemoryMB, 256)
	setDefault(&s.MaxFiles, 1024)
	setDefault(&s.Grace, 6*time.Second)
	setDefault(&s.Linger, 2500*time.Millisecond)
	setDefault(&s.ProbeInterval, 4*time.Second)
	setDefault(&s.FreeProbes, 2)
	setDefault(&s.DialTimeout, 400*time.Millisecond)
	setDefault(&s.MaxAnswerBytes, 8<<20)
	setDefault(&s.MinReadRate, 256)
	setDefault(&s.BudgetWindow, 10*time.Second)
	return s
}

// NarrowLink reports whether the link is so narrow that large bodies delay small messages.
func (s Settings) NarrowLink() bool { return s.LinkMbps > 0 && s.LinkMbps < wideLinkMbps }

// stopTimeout is how long a planned stop may take before the process must begin to exit.
func (s Settings) stopTimeout() time.Duration { return max(0, s.Grace-stopMargin) }

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
