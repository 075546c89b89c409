// Package httpapi holds every format that callers, targets and the platform see,
// so that another dialect of them is a change in one place (design 11).
package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strconv"
)

// Beat is what a target announces every few seconds, as JSON by POST to any
// controller's BeatPath.
type Beat struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving"`
	// Seq numbers the beats of one run.
	Seq uint64 `json:"call_seq"`
	// Inc is the run: larger for a later one.
	Inc uint64 `json:"incarnation"`
	// EveryMS is the target's own interval.
	EveryMS int `json:"heartbeat_ms"`
}

// The paths of the controllers and gateways.
const (
	BeatPath    = "/v1/beats"
	ReadyPath   = "/_walkrudder/ready"
	MetricsPath = "/_walkrudder/metrics"
	ProbePath   = "/_walkrudder/probe"
	// MaxBeat bounds a beat in bytes.
	MaxBeat = 4 << 10
)

var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ReadBeat reads and checks a beat.
func ReadBeat(b []byte) (t Beat, err error) {
	if len(b) > MaxBeat {
		return t, errors.New("beat too large")
	}
	if err := json.Unmarshal(b, &t); err != nil {
		return t, fmt.Errorf("beat is no JSON object of the expected form: %w", err)
	}
	switch {
	case !name.MatchString(t.ID):
		return t, fmt.Errorf("id: %q is no name", t.ID)
	case !name.MatchString(t.Service):
		return t, fmt.Errorf("service: %q is no name", t.Service)
	case t.Zone != "" && !name.MatchString(t.Zone):
		return t, fmt.Errorf("zone: %q is no name", t.Zone)
	case t.Seq == 0:
		return t, errors.New("call_seq: starts at 1")
	case t.Capacity < 0 || t.Capacity > 1<<20:
		return t, fmt.Errorf("capacity: %d is out of range", t.Capacity)
	case t.EveryMS < 0 || t.EveryMS > 600_000:
		return t, fmt.Errorf("heartbeat_ms: %d is out of range", t.EveryMS)
	}
	h, p, err := net.SplitHostPort(t.Addr)
	if err != nil || net.ParseIP(h) == nil {
		return t, fmt.Errorf("addr: %q is not IP:port", t.Addr)
	}
	if n, err := strconv.Atoi(p); err != nil || n < 1 || n > 65535 {
		return t, fmt.Errorf("addr: port %q is out of range", p)
	}
	if t.EveryMS == 0 {
		t.EveryMS = 2000
	}
	if t.Capacity == 0 {
		t.Capacity = 1
	}
	return t, nil
}

// ProbeAnswer is what a target says to a probe.
type ProbeAnswer struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Inc     uint64 `json:"incarnation"`
	Seq     uint64 `json:"seq"` // the probe's own number, repeated
	Leaving bool   `json:"leaving"`
}

// ReadProbe reads a probe's answer.
func ReadProbe(b []byte) (p ProbeAnswer, err error) {
	if len(b) > MaxBeat {
		return p, errors.New("probe answer too large")
	}
	err = json.Unmarshal(b, &p)
	return p, err
}

// ProbeURI is the path and query of probe number n.
func ProbeURI(n uint64) string { return ProbePath + "?seq=" + strconv.FormatUint(n, 10) }

// ProbeNumber is the number of a probe's sending.
func ProbeNumber(n uint64) string { return "p" + strconv.FormatUint(n, 10) }

// BeatAnswer is what a controller answers to a beat. Leaving repeats that no new work
// is sent any more; Gone tells a run that it was let go and must start anew.
type BeatAnswer struct {
	OK      bool   `json:"ok"`
	Seq     uint64 `json:"call_seq"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
}
