// Package httpapi defines the formats exchanged with callers, targets and the platform. They
// are kept in one place, so that another protocol variant changes only this package (design 11).
package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strconv"
)

// Beat is the heartbeat that a target sends every few seconds as JSON, by POST to BeatPath of
// any controller.
type Beat struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving"`
	// Seq numbers the heartbeats of one run.
	Seq uint64 `json:"call_seq"`
	// Inc is the incarnation of the run; a later run has a larger one.
	Inc uint64 `json:"incarnation"`
	// EveryMS is the target's heartbeat interval.
	EveryMS int `json:"heartbeat_ms"`
}

// The HTTP paths of controllers, gateways and targets.
const (
	BeatPath    = "/v1/beats"
	ReadyPath   = "/_walkrudder/ready"
	MetricsPath = "/_walkrudder/metrics"
	ProbePath   = "/_walkrudder/probe"
	// MaxBeatBytes bounds the size of a heartbeat in bytes.
	MaxBeatBytes = 4 << 10
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ParseBeat parses and validates a heartbeat and sets its defaults.
func ParseBeat(b []byte) (t Beat, err error) {
	if len(b) > MaxBeatBytes {
		return t, errors.New("beat too large")
	}
	if err := json.Unmarshal(b, &t); err != nil {
		return t, fmt.Errorf("beat is no JSON object of the expected form: %w", err)
	}
	switch {
	case !namePattern.MatchString(t.ID):
		return t, fmt.Errorf("id: %q is no name", t.ID)
	case !namePattern.MatchString(t.Service):
		return t, fmt.Errorf("service: %q is no name", t.Service)
	case t.Zone != "" && !namePattern.MatchString(t.Zone):
		return t, fmt.Errorf("zone: %q is no name", t.Zone)
	case t.Seq == 0:
		return t, errors.New("call_seq: starts at 1")
	case t.Capacity < 0 || t.Capacity > 1<<20:
		return t, fmt.Errorf("capacity: %d is out of range", t.Capacity)
	case t.EveryMS < 0 || t.EveryMS > 600_000:
		return t, fmt.Errorf("heartbeat_ms: %d is out of range", t.EveryMS)
	}
	host, port, err := net.SplitHostPort(t.Addr)
	if err != nil || net.ParseIP(host) == nil {
		return t, fmt.Errorf("addr: %q is not IP:port", t.Addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return t, fmt.Errorf("addr: port %q is out of range", port)
	}
	if t.EveryMS == 0 {
		t.EveryMS = 2000
	}
	if t.Capacity == 0 {
		t.Capacity = 1
	}
	return t, nil
}

// ProbeResponse is a target's response to a probe.
type ProbeResponse struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Inc     uint64 `json:"incarnation"`
	Seq     uint64 `json:"seq"` // the probe's sequence number
	Leaving bool   `json:"leaving"`
}

// ParseProbe parses the response to a probe.
func ParseProbe(b []byte) (p ProbeResponse, err error) {
	if len(b) > MaxBeatBytes {
		return p, errors.New("probe answer too large")
	}
	err = json.Unmarshal(b, &p)
	return p, err
}

// ProbeURI returns the path and query of probe number n.
func ProbeURI(n uint64) string { return ProbePath + "?seq=" + strconv.FormatUint(n, 10) }

// ProbeNumber returns the request number of probe number n.
func ProbeNumber(n uint64) string { return "p" + strconv.FormatUint(n, 10) }

// BeatResponse is a controller's response to a heartbeat. Leaving confirms that no new requests
// are sent to the target. Gone informs a run that it was removed and must restart.
type BeatResponse struct {
	OK      bool   `json:"ok"`
	Seq     uint64 `json:"call_seq"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
}
