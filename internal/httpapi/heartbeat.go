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
	// EveryMS is the target's heartbeat interval in milliseconds; 0 means 2000.
	EveryMS int `json:"heartbeat_ms"`
}

// The HTTP paths of controllers, gateways and targets.
const (
	BeatPath    = "/v1/beats"
	ReadyPath   = "/_walkrudder/ready"
	MetricsPath = "/_walkrudder/metrics"
	ProbePath   = "/_walkrudder/probe"
	// MaxBeatBytes bounds the size of a heartbeat, and of a response to a probe, in bytes.
	MaxBeatBytes = 4 << 10
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ParseBeat parses and validates a heartbeat and sets its defaults.
func ParseBeat(b []byte) (beat Beat, err error) {
	if len(b) > MaxBeatBytes {
		return beat, errors.New("beat too large")
	}
	if err := json.Unmarshal(b, &beat); err != nil {
		return beat, fmt.Errorf("beat is no JSON object of the expected form: %w", err)
	}
	switch {
	case !namePattern.MatchString(beat.ID):
		return beat, fmt.Errorf("id: %q is no name", beat.ID)
	case !namePattern.MatchString(beat.Service):
		return beat, fmt.Errorf("service: %q is no name", beat.Service)
	case beat.Zone != "" && !namePattern.MatchString(beat.Zone):
		return beat, fmt.Errorf("zone: %q is no name", beat.Zone)
	case beat.Seq == 0:
		return beat, errors.New("call_seq: starts at 1")
	case beat.Capacity < 0 || beat.Capacity > 1<<20:
		return beat, fmt.Errorf("capacity: %d is out of range", beat.Capacity)
	case beat.EveryMS < 0 || beat.EveryMS > 600_000:
		return beat, fmt.Errorf("heartbeat_ms: %d is out of range", beat.EveryMS)
	}
	host, port, err := net.SplitHostPort(beat.Addr)
	if err != nil || net.ParseIP(host) == nil {
		return beat, fmt.Errorf("addr: %q is not IP:port", beat.Addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return beat, fmt.Errorf("addr: port %q is out of range", port)
	}
	if beat.EveryMS == 0 {
		beat.EveryMS = 2000
	}
	if beat.Capacity == 0 {
		beat.Capacity = 1
	}
	return beat, nil
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

// ProbeRequestID returns the value of RequestHeader for probe number n.
func ProbeRequestID(n uint64) string { return "p" + strconv.FormatUint(n, 10) }

// BeatResponse is a controller's response to a heartbeat. Leaving confirms that no new requests
// are sent to the target. Gone informs a run that it was removed and must restart.
type BeatResponse struct {
	OK      bool   `json:"ok"`
	Seq     uint64 `json:"call_seq"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
}
