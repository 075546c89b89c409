package day

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"walkrudder/internal/http1/http1test"
	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// targetRequest is one request received by a target.
type targetRequest struct {
	target   *Target
	conn     *simnet.Conn
	request  *http.Request
	body     string
	previous string // the previous response on the connection
	response string
	arrival  *Arrival
}

// update changes the arrival in the record.
func (x *targetRequest) update(f func(*Arrival)) {
	x.target.world.updateRecord(func(*Record) { f(x.arrival) })
}

func (x *targetRequest) serve() bool {
	t, w := x.target, x.target.world
	f := t.currentFault()
	if x.request.URL.Path == "/health" {
		return x.respondHealth(f)
	}
	id := x.request.Header.Get(headerNames.RequestID)
	x.arrival = &Arrival{ID: id, Method: x.request.Method, Path: x.request.RequestURI, Host: x.request.Host, Body: x.body, Run: t.ID, Service: t.Service, Version: t.Version, Machine: x.conn.Peer().Host.ID, ArrivedAt: w.now()}
	w.updateRecord(func(r *Record) { r.Arrivals = append(r.Arrivals, x.arrival) })
	if got := x.request.Header.Get(headerNames.ExpectedRun); got != "" && got != t.ID {
		x.update(func(a *Arrival) { a.Misdirected = true })
		return x.respond(421, "", "another run")
	}
	if id == "" {
		return x.respond(400, headerNames.NotRun+": 1\r\n", "no id")
	}
	if f.AnswersOnlyHealth {
		return x.holdOpen()
	}
	if w.randFloat() < f.ResetBeforeRun || f.FullByReset {
		x.conn.Abort()
		return false
	}
	left, _ := strconv.Atoi(x.request.Header.Get(headerNames.RemainingTime))
	until := time.Now().Add(time.Duration(left) * time.Millisecond)
	switch err := t.acquireSlot(x.conn, until, f.Full); {
	case errors.Is(err, errFull), errors.Is(err, errLate):
		return x.respond(503, headerNames.NotRun+": 1\r\nRetry-After: 0.2\r\n", err.Error())
	case err != nil:
		return false
	}
	ok := x.run(f, until)
	t.releaseSlot()
	return ok
}

var (
	errFull       = errors.New("full")
	errLate       = errors.New("too late")
	errCallerGone = errors.New("the caller has gone")
)

// acquireSlot waits for a slot.
func (t *Target) acquireSlot(c *simnet.Conn, until time.Time, full bool) error {
	t.mu.Lock()
	if full || len(t.queue) >= t.world.Deployment.Queue {
		t.mu.Unlock()
		return errFull
	}
	if t.usedSlots < t.world.Deployment.Slots {
		t.usedSlots++
		t.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	t.queue = append(t.queue, turn)
	t.mu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		var err error
		change := c.Changed()
		if c.Closed() {
			err = errCallerGone
		} else {
			select {
			case <-turn:
				return nil
			case <-timer.C:
				err = errLate
			case <-t.proc.Context().Done():
				err = errCallerGone
			case <-change:
				continue
			}
		}
		t.mu.Lock()
		i := slices.Index(t.queue, turn)
		if i >= 0 {
			t.queue = slices.Delete(t.queue, i, i+1)
		}
		t.mu.Unlock()
		if i < 0 {
			t.releaseSlot() // the slot was granted in the meantime
		}
		return err
	}
}

// releaseSlot passes the slot to the next request in the queue.
func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) > 0 {
		close(t.queue[0])
		t.queue = t.queue[1:]
		return
	}
	t.usedSlots--
}

// run performs the work and responds.
func (x *targetRequest) run(f TargetFault, until time.Time) bool {
	t, w := x.target, x.target.world
	if t.proc.Ended() {
		return false
	}
	seal := w.newID("seal-")
	body := w.responseBody(x.arrival.Path, x.arrival.ID, seal)
	x.update(func(a *Arrival) { a.Ran, a.StartedAt, a.Seal, a.BodyDigest = true, w.now(), seal, bodyDigest(body) })
	d := time.Duration(float64(w.workTime(x.arrival.Path)) * t.workFactor * (0.5 + 0.5*w.randExp()))
	if w.now()-t.startedAt < t.warmup {
		d *= 2
	}
	if f.WorkFactor > 0 {
		d = time.Duration(float64(d) * f.WorkFactor)
	}
	failing, slow := t.drawDefect(x.arrival.Path)
	if slow {
		d *= slowFactor
	}
	late := time.Now().Add(d).After(until)
	if late {
		d = time.Until(until)
	}
	x.update(func(a *Arrival) { a.DueAt = w.now() + d })
	timer := time.NewTimer(d)
	defer timer.Stop()
	for done := false; !done; {
		change := x.conn.Changed()
		if x.conn.Closed() {
			x.update(func(a *Arrival) { a.FinishedAt = w.now() })
			return false
		}
		select {
		case <-timer.C:
			done = true
		case <-t.proc.Context().Done():
			return false
		case <-change:
		}
	}
	x.update(func(a *Arrival) { a.FinishedAt = w.now() })
	if late {
		return x.respond(504, "", "out of time")
	}
	if failing {
		return x.respond(500, "", "flawed")
	}
	switch p := w.randFloat(); {
	case p < f.NoResponse:
		return x.holdOpen()
	case p < f.NoResponse+f.ResetAfterRun:
		x.update(func(a *Arrival) { a.ResponseFault = true })
		x.conn.Abort()
		return false
	case p < f.NoResponse+f.ResetAfterRun+f.Corrupt:
		return x.respondCorrupted(f.Corruption, seal, body)
	}
	return x.respond(200, headerNames.Seal+": "+seal+"\r\n", body)
}

// holdOpen keeps the connection open without a response until the other side has gone.
func (x *targetRequest) holdOpen() bool {
	for !x.conn.Closed() && !x.target.proc.Ended() {
		changed := x.conn.Changed()
		if x.conn.Closed() {
			break
		}
		select {
		case <-changed:
		case <-x.target.proc.Context().Done():
		}
	}
	return false
}

// respondCorrupted writes a corrupted response.
func (x *targetRequest) respondCorrupted(g CorruptionKind, seal, body string) bool {
	x.update(func(a *Arrival) { a.ResponseFault = true })
	sealed := headerNames.Seal + ": " + seal + "\r\n"
	whole := x.formatResponse(200, x.arrival.ID, sealed, body)
	write := func(s string) bool {
		_, err := io.WriteString(x.conn, s)
		return err == nil
	}
	switch g {
	case WrongBytes:
		write("\x16\x03\x01 no answer at all\r\n\r\n" + body)
		return false
	case TrailingBytes:
		x.update(func(a *Arrival) { a.Status = 200 })
		if x.target.world.randIntN(2) == 0 {
			return write(whole + "HTTP/1.1 200 OK\r\n")
		}
		if !write(whole) {
			return false
		}
		time.Sleep(x.target.world.randDuration(50 * time.Millisecond))
		return write("more of it")
	case TruncatedBody:
		write(whole[:len(whole)-1-x.target.world.randIntN(len(body)-1)])
		return false
	case OtherRequestID:
		x.update(func(a *Arrival) { a.Status = 200 })
		return write(x.formatResponse(200, "other-"+x.arrival.ID, sealed, body))
	}
	if g == FalseUnavailable {
		x.update(func(a *Arrival) { a.Status = 503 })
		return write(x.formatResponse(503, x.arrival.ID, "Retry-After: 0.1\r\n", "no"))
	}
	if g == Unsealed {
		return write(x.formatResponse(200, x.arrival.ID, "", body[1:]))
	}
	if g == Malformed {
		return write(http1test.DrawMalformed(x.target.world.randIntN).Response(x.formatFields(x.arrival.ID, sealed), body))
	}
	if g == EndsEarlyUnframed {
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", headerNames.RequestID, x.arrival.ID, sealed, body[:len(body)/2]))
		return false
	}
	x.update(func(a *Arrival) { a.Status = 200 })
	x.response = whole
	return write(x.previous + whole)
}

// formatResponse returns a response as sent on the connection.
func (x *targetRequest) formatResponse(status int, id, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), x.formatFields(id, more), len(body), body)
}

// formatFields returns the field lines of a response, without the one that gives its length.
func (x *targetRequest) formatFields(id, more string) string {
	fields := fmt.Sprintf("%s: %s\r\n%sKeep-Alive: timeout=%d\r\n", headerNames.RequestID, id, more, x.target.idleSeconds)
	if x.target.currentState() != target.Ready {
		fields += "Connection: close\r\n"
	}
	return fields
}

// respond sends a response and reports whether the connection stays open.
func (x *targetRequest) respond(status int, more, body string) bool {
	x.update(func(a *Arrival) { a.Status = status })
	x.response = x.formatResponse(status, x.arrival.ID, more, body)
	_, err := io.WriteString(x.conn, x.response)
	return err == nil && x.target.currentState() == target.Ready
}

// respondHealth answers a health check, which waits for a slot as a request does.
func (x *targetRequest) respondHealth(f TargetFault) bool {
	t := x.target
	status := 200
	if !f.AnswersOnlyHealth {
		if err := t.acquireSlot(x.conn, time.Now().Add(5*time.Second), f.Full); errors.Is(err, errCallerGone) {
			return false
		} else if err != nil {
			status = 503
		} else {
			t.releaseSlot()
		}
	}
	if f.HealthFails || t.currentState() != target.Ready {
		status = 503
	}
	fields := fmt.Sprintf("%s: %s\r\nKeep-Alive: timeout=%d\r\n", headerNames.Instance, t.ID, t.idleSeconds)
	response := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
	if t.world.randFloat() < f.MalformedHealth {
		response = http1test.DrawMalformed(t.world.randIntN).Response(fields, "well")
	}
	_, err := io.WriteString(x.conn, response)
	return err == nil
}

// streamOf returns the stream to which a path belongs, or a short default for the routes that
// operators add.
func (w *World) streamOf(path string) Stream {
	for _, s := range w.Deployment.Streams {
		if strings.HasPrefix(path, "/"+s.Route+"/") {
			return s
		}
	}
	return Stream{WorkTime: 20 * time.Millisecond, BodyBytes: 100}
}

func (w *World) workTime(path string) time.Duration { return w.streamOf(path).WorkTime }

// responseBody returns the body of a response, which is different for each run of each request.
func (w *World) responseBody(path, id, seal string) string {
	s := "body of " + id + " under " + seal + " "
	return s + strings.Repeat("x", max(0, w.streamOf(path).BodyBytes-len(s)))
}
