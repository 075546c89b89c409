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

	"walkrudder/internal/sim/simnet"
)

// session is a caller's connection.
type session struct {
	c       *simnet.Conn
	r       *bufio.Reader
	machine string
	life    int
	until   time.Time // how long it may lie idle
}

// dial connects to a machine, for a second at most.
func (w *World) dial(p *simnet.Proc, m *Machine, deadline time.Time) (*session, error) {
	limit := time.Now().Add(time.Second)
	if deadline.Before(limit) {
		limit = deadline
	}
	cx, end := context.WithDeadline(p.Context(), limit)
	defer end()
	nc, err := p.Dial(cx, m.frontAddr())
	if err != nil {
		return nil, err
	}
	_, life := m.isIn()
	return &session{c: nc.(*simnet.Conn), r: bufio.NewReader(nc), machine: m.ID, life: life}, nil
}

// exchange sends a request and reads its answer, and tells whether the connection stays.
func (w *World) exchange(s *session, q *Request, deadline time.Time) (stays bool) {
	q.Machine, q.Life, q.Sent, q.Deadline = s.machine, s.life, w.now(), deadline.Sub(w.began)
	w.note(func(r *Record) { r.Requests = append(r.Requests, q) })
	got := *q
	defer func() {
		got.Done = w.now()
		w.note(func(*Record) { *q = got })
		if !stays {
			_ = s.c.Close()
		}
	}()
	if s.r.Buffered() > 0 {
		got.Surplus = true
	}
	patience, leaves := w.patienceOf(deadline)
	if s.c.SetDeadline(patience) != nil {
		return false
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.Method, q.Path, q.Host, dialect.RequestID, q.ID, dialect.RemainingTime, time.Until(deadline).Milliseconds())
	switch {
	case q.Body == "":
		text += "\r\n"
	case w.chance(2) == 0:
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	default:
		k := 1 + w.chance(len(q.Body))
		text += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", k, q.Body[:k])
		if k < len(q.Body) {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(q.Body)-k, q.Body[k:])
		}
		text += "0\r\n\r\n"
	}
	if _, err := io.WriteString(s.c, text); err != nil {
		return false
	}
	got.Whole = true
	fail := func(err error, begun bool) bool {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			got.GaveUp, got.Left = true, leaves
		} else {
			got.Broken = begun
		}
		return false
	}
	if _, err := s.r.Peek(1); err != nil {
		return fail(err, false)
	}
	p, err := http.ReadResponse(s.r, &http.Request{Method: q.Method})
	if err != nil {
		return fail(err, true)
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		got.Short = p.ContentLength > int64(len(b)) && p.StatusCode == 200 && p.Header.Get(dialect.RequestID) == q.ID && p.Header.Get(dialect.Seal) != ""
		return fail(err, true)
	}
	got.Status, got.AnswerID, got.Seal, got.Answer = p.StatusCode, p.Header.Get(dialect.RequestID), p.Header.Get(dialect.Seal), digest(string(b))
	if x := p.Header.Get(dialect.RetryAfter); x != "" {
		if sec, err := strconv.ParseFloat(x, 64); err == nil {
			got.RetryAfter = time.Duration(sec * float64(time.Second))
		}
	}
	if s.r.Buffered() > 0 {
		got.Surplus = true
		return false
	}
	idle := 10 * time.Second
	if _, x, ok := strings.Cut(p.Header.Get("Keep-Alive"), "timeout="); ok {
		if sec, err := strconv.Atoi(x); err == nil {
			idle = time.Duration(sec) * time.Second
		}
	}
	s.until = time.Now().Add(idle - time.Second)
	return !p.Close
}
