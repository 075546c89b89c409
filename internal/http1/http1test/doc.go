// Package http1test has sample responses, malformed and well-formed, and a strict reader of responses. Tests and the
// simulated targets and callers use it; it shares no code with package http1, which it checks.
package http1test
