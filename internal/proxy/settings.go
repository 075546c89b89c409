package proxy

import (
	"time"

	"github.com/go-playground/validator/v10"

	"walkrudder/internal/steperr"
)

// Dialect names the header fields that callers, proxies and targets agreed on.
// Whoever embeds the proxy gives them; nothing here knows a platform's names.
type Dialect struct {
	RequestID  string `validate:"required"` // names the request, both ways
	Remaining  string `validate:"required"` // how many milliseconds the caller waits
	Seal       string `validate:"required"` // stands in each success of a target
	Expect     string `validate:"required"` // names the run that is meant
	NotRun     string `validate:"required"` // the target says that it did not run the request
	RetryAfter string `validate:"required"`
	Instance   string `validate:"required"` // names the run in a health answer
}

// Settings are what a node is told at its start.
type Settings struct {
	ID      string            `validate:"required"`
	Zone    string            `validate:"required"`
	Zones   map[string]string // zone -> region
	Dialect Dialect

	BudgetRatio  float64       `validate:"gte=0,lte=10"`
	BudgetWindow time.Duration `validate:"gt=0"`
	BudgetSlack  int           `validate:"gte=0"`

	MemoryMB int `validate:"gte=0"` // 0 is 256
	MaxFiles int `validate:"gte=0"` // 0 is 1024
	// LinkMbps is the width of the machine's link; 0 is not known, and taken for wide.
	LinkMbps float64 `validate:"gte=0"`
	Bind     string  // own IP to call from; "" leaves it to the system

	// Grace is how long a planned stop may take.
	Grace time.Duration `validate:"gt=0"`
	// Linger is how long after a planned stop began new callers are taken, and idle
	// ones kept: those who send callers here notice late. 0 is 2.5 s.
	Linger time.Duration `validate:"gte=0"`
	// ProbeEvery is the mean interval of health probes to one run; 0 is 4 s. Probes
	// wait for a slot at their target as requests do, so they are few: the interval grows,
	// up to eight times, where they would be more than FreeProbes a second (0 is 2) and
	// more than a tenth of the requests.
	ProbeEvery time.Duration `validate:"gte=0"`
	FreeProbes float64       `validate:"gte=0"`
	// DialTime bounds a connect within the region; 0 is 400 ms. A cut is silent.
	DialTime time.Duration `validate:"gte=0"`
	// NewsWithin is how old what the node knows of routes may be for it to go by that, and
	// NewsLost the age from which on it takes itself for cut off, and serves with what it
	// knows; 0 is any age. Between the two it refuses: a change may be in force that it has
	// yet to hear of.
	NewsWithin time.Duration `validate:"gte=0"`
	NewsLost   time.Duration `validate:"gte=0"`
	// MaxAnswer bounds a target's answer, which is held whole; 0 is 8 MiB.
	MaxAnswer int `validate:"gte=0"`
	// LeastRate is how many bytes a second a caller must take of its answer, on average over 10 s, for its connection to be
	// kept; 0 is 256.
	LeastRate int `validate:"gte=0,lte=1048576"`
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	return steperr.Wrap("settings", "", validator.New(validator.WithRequiredStructEnabled()).Struct(s))
}

// filled puts defaults where nothing was given.
func (s Settings) filled() Settings {
	def(&s.MemoryMB, 256)
	def(&s.MaxFiles, 1024)
	def(&s.Grace, 6*time.Second)
	def(&s.Linger, 2500*time.Millisecond)
	def(&s.ProbeEvery, 4*time.Second)
	def(&s.FreeProbes, 2)
	def(&s.DialTime, 400*time.Millisecond)
	def(&s.MaxAnswer, 8<<20)
	def(&s.LeastRate, 256)
	def(&s.BudgetWindow, 10*time.Second)
	return s
}

// Narrow tells whether the link is so narrow that large bodies hold small messages up.
func (s Settings) Narrow() bool { return s.LinkMbps > 0 && s.LinkMbps < wideMbps }

// stopTime is how long a planned stop may take before the process must be on its way out.
func (s Settings) stopTime() time.Duration { return max(0, s.Grace-stopMargin) }

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
