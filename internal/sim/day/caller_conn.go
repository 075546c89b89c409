package day

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"walkrudder/internal/http1/http1test"
	"walkrudder/internal/sim/simnet"
)

// callerConn is a connection of a caller.
type callerConn struct {
	conn       *simnet.Conn
	reader     *bufio.Reader
	machine    string
	gatewayRun int
	idleUntil  time.Time // until when it may be reused while idle
}

// dial connects to a machine, waiting at most a second.
func (w *World) dial(p *simnet.Proc, m *Machine, deadline time.Time) (*callerConn, error) {
	limit := time.Now().Add(time.Second)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(p.Context(), limit)
	defer cancel()
	nc, err := p.Dial(ctx, m.gatewayAddr())
	if err != nil {
		return nil, err
	}
	_, run := m.rotationState()
	return &callerConn{conn: nc.(*simnet.Conn), reader: bufio.NewReader(nc), machine: m.ID, gatewayRun: run}, nil
}

// exchange sends a request, reads its response and reports whether the connection stays open.
func (w *World) exchange(s *callerConn, q *Request, deadline time.Time) (stays bool) {
	q.Machine, q.GatewayRun, q.Sent, q.Deadline = s.machine, s.gatewayRun, w.now(), deadline.Sub(w.startedAt)
	w.updateRecord(func(r *Record) { r.Requests = append(r.Requests, q) })
	got := *q
	defer func() {
		got.Done = w.now()
		w.updateRecord(func(*Record) { *q = got })
		if !stays {
			_ = s.conn.Close()
		}
	}()
	if s.reader.Buffered() > 0 {
		got.UnsolicitedBytes = true
	}
	waitUntil, disconnects := w.callerWait(deadline)
	if s.conn.SetDeadline(waitUntil) != nil {
		return false
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.Method, q.Path, q.Host, headerNames.RequestID, q.ID, headerNames.RemainingTime, time.Until(deadline).Milliseconds())
	switch {
	case q.Body == "":
		text += "\r\n"
	case w.randIntN(2) == 0:
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	default:
		k := 1 + w.randIntN(len(q.Body))
		text += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", k, q.Body[:k])
		if k < len(q.Body) {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(q.Body)-k, q.Body[k:])
		}
		text += "0\r\n\r\n"
	}
	if _, err := io.WriteString(s.conn, text); err != nil {
		return false
	}
	got.FullySent = true
	fail := func(err error, begun bool) bool {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			got.TimedOut, got.Disconnected = true, disconnects
		} else {
			got.BadResponse = begun
		}
		return false
	}
	if _, err := s.reader.Peek(1); err != nil {
		return fail(err, false)
	}
	got.MalformedHead = http1test.CheckHead(s.reader) != nil
	p, err := http.ReadResponse(s.reader, &http.Request{Method: q.Method})
	if err != nil {
		return fail(err, true)
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		got.Truncated = p.ContentLength > int64(len(b)) && p.StatusCode == 200 && p.Header.Get(headerNames.RequestID) == q.ID && p.Header.Get(headerNames.Seal) != ""
		return fail(err, true)
	}
	got.Status, got.ResponseID, got.Seal, got.BodyDigest = p.StatusCode, p.Header.Get(headerNames.RequestID), p.Header.Get(headerNames.Seal), bodyDigest(string(b))
	if x := p.Header.Get(headerNames.RetryAfter); x != "" {
		if sec, err := strconv.ParseFloat(x, 64); err == nil {
			got.RetryAfter = time.Duration(sec * float64(time.Second))
		}
	}
	if s.reader.Buffered() > 0 {
		got.UnsolicitedBytes = true
		return false
	}
	idle := 10 * time.Second
	if _, x, ok := strings.Cut(p.Header.Get("Keep-Alive"), "timeout="); ok {
		if sec, err := strconv.Atoi(x); err == nil {
			idle = time.Duration(sec) * time.Second
		}
	}
	s.idleUntil = time.Now().Add(idle - time.Second)
	return !p.Close
}
