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

	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// visit is one request at a target.
type visit struct {
	t      *Target
	c      *simnet.Conn
	q      *http.Request
	body   string
	before string // the whole answer before it on the connection
	sent   string
	a      *Arrival
}

// change writes into the record of the request.
func (x *visit) change(f func(*Arrival)) {
	x.t.w.note(func(*Record) { f(x.a) })
}

func (x *visit) serve() bool {
	t, w := x.t, x.t.w
	f := t.wrong()
	if x.q.URL.Path == "/health" {
		return x.health(f)
	}
	id := x.q.Header.Get(dialect.RequestID)
	x.a = &Arrival{ID: id, Method: x.q.Method, Path: x.q.RequestURI, Host: x.q.Host, Body: x.body, Run: t.ID, Service: t.Service, Version: t.Version, Machine: x.c.Peer().Host.ID, At: w.now()}
	w.note(func(r *Record) { r.Arrivals = append(r.Arrivals, x.a) })
	if got := x.q.Header.Get(dialect.ExpectedRun); got != "" && got != t.ID {
		x.change(func(a *Arrival) { a.Misdirected = true })
		return x.say(421, "", "another run")
	}
	if id == "" {
		return x.say(400, dialect.NotRun+": 1\r\n", "no id")
	}
	if f.Mute {
		return x.hang()
	}
	if w.real() < f.Grey || f.FullHard {
		x.c.Abort()
		return false
	}
	left, _ := strconv.Atoi(x.q.Header.Get(dialect.RemainingTime))
	until := time.Now().Add(time.Duration(left) * time.Millisecond)
	switch err := t.enter(x.c, until, f.Full); {
	case errors.Is(err, errFull), errors.Is(err, errLate):
		return x.say(503, dialect.NotRun+": 1\r\nRetry-After: 0.2\r\n", err.Error())
	case err != nil:
		return false
	}
	ok := x.run(f, until)
	t.exit()
	return ok
}

var (
	errFull = errors.New("full")
	errLate = errors.New("too late")
	errGone = errors.New("the caller has gone")
)

// enter waits for a slot.
func (t *Target) enter(c *simnet.Conn, until time.Time, full bool) error {
	t.mu.Lock()
	if full || len(t.queue) >= t.w.Shape.Queue {
		t.mu.Unlock()
		return errFull
	}
	if t.active < t.w.Shape.Slots {
		t.active++
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
		if c.Gone() {
			err = errGone
		} else {
			select {
			case <-turn:
				return nil
			case <-timer.C:
				err = errLate
			case <-t.p.Context().Done():
				err = errGone
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
			t.exit() // the turn came meanwhile
		}
		return err
	}
}

// exit hands the slot on.
func (t *Target) exit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) > 0 {
		close(t.queue[0])
		t.queue = t.queue[1:]
		return
	}
	t.active--
}

// run does the work and answers.
func (x *visit) run(f Fault, until time.Time) bool {
	t, w := x.t, x.t.w
	if t.p.Ended() {
		return false
	}
	seal := w.id("seal-")
	body := w.bodyOf(x.a.Path, x.a.ID, seal)
	x.change(func(a *Arrival) { a.Ran, a.RanAt, a.Seal, a.Answer = true, w.now(), seal, digest(body) })
	d := time.Duration(float64(w.workOf(x.a.Path)) * t.speed * (0.5 + 0.5*w.exp()))
	if w.now()-t.started < t.warm {
		d *= 2
	}
	if f.Factor > 0 {
		d = time.Duration(float64(d) * f.Factor)
	}
	failing, slow := t.ails(x.a.Path)
	if slow {
		d *= slowFlaw
	}
	late := time.Now().Add(d).After(until)
	if late {
		d = time.Until(until)
	}
	x.change(func(a *Arrival) { a.Due = w.now() + d })
	timer := time.NewTimer(d)
	defer timer.Stop()
	for done := false; !done; {
		change := x.c.Changed()
		if x.c.Gone() {
			x.change(func(a *Arrival) { a.Done = w.now() })
			return false
		}
		select {
		case <-timer.C:
			done = true
		case <-t.p.Context().Done():
			return false
		case <-change:
		}
	}
	x.change(func(a *Arrival) { a.Done = w.now() })
	if late {
		return x.say(504, "", "out of time")
	}
	if failing {
		return x.say(500, "", "flawed")
	}
	switch p := w.real(); {
	case p < f.Silent:
		return x.hang()
	case p < f.Silent+f.Resets:
		x.change(func(a *Arrival) { a.BrokeOff = true })
		x.c.Abort()
		return false
	case p < f.Silent+f.Resets+f.Garbles:
		return x.garbled(f.Garble, seal, body)
	}
	return x.say(200, dialect.Seal+": "+seal+"\r\n", body)
}

// hang keeps the connection without a word until the other side has gone.
func (x *visit) hang() bool {
	for !x.c.Gone() && !x.t.p.Ended() {
		change := x.c.Changed()
		if x.c.Gone() {
			break
		}
		select {
		case <-change:
		case <-x.t.p.Context().Done():
		}
	}
	return false
}

// garbled spoils an answer.
func (x *visit) garbled(g Garble, seal, body string) bool {
	x.change(func(a *Arrival) { a.BrokeOff = true })
	sealed := dialect.Seal + ": " + seal + "\r\n"
	whole := x.text(200, x.a.ID, sealed, body)
	write := func(s string) bool {
		_, err := io.WriteString(x.c, s)
		return err == nil
	}
	switch g {
	case WrongBytes:
		write("\x16\x03\x01 no answer at all\r\n\r\n" + body)
		return false
	case Extra:
		x.change(func(a *Arrival) { a.Status = 200 })
		if x.t.w.chance(2) == 0 {
			return write(whole + "HTTP/1.1 200 OK\r\n")
		}
		if !write(whole) {
			return false
		}
		time.Sleep(x.t.w.within(50 * time.Millisecond))
		return write("more of it")
	case Short:
		write(whole[:len(whole)-1-x.t.w.chance(len(body)-1)])
		return false
	case OtherID:
		x.change(func(a *Arrival) { a.Status = 200 })
		return write(x.text(200, "other-"+x.a.ID, sealed, body))
	}
	if g == Promise {
		x.change(func(a *Arrival) { a.Status = 503 })
		return write(x.text(503, x.a.ID, "Retry-After: 0.1\r\n", "no"))
	}
	if g == Unsealed {
		return write(x.text(200, x.a.ID, "", body[1:]))
	}
	if g == Unframed {
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", dialect.RequestID, x.a.ID, sealed, body[:len(body)/2]))
		return false
	}
	x.change(func(a *Arrival) { a.Status = 200 })
	x.sent = whole
	return write(x.before + whole)
}

// text is an answer.
func (x *visit) text(status int, id, more, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), dialect.RequestID, id, more, len(body), x.t.keep)
	if x.t.now() != target.Ready {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return b.String()
}

// say answers, and tells whether the connection stays.
func (x *visit) say(status int, more, body string) bool {
	x.change(func(a *Arrival) { a.Status = status })
	x.sent = x.text(status, x.a.ID, more, body)
	_, err := io.WriteString(x.c, x.sent)
	return err == nil && x.t.now() == target.Ready
}

// health answers a probe; it waits for a slot as a request does.
func (x *visit) health(f Fault) bool {
	t := x.t
	status := 200
	if !f.Mute {
		if err := t.enter(x.c, time.Now().Add(5*time.Second), f.Full); errors.Is(err, errGone) {
			return false
		} else if err != nil {
			status = 503
		} else {
			t.exit()
		}
	}
	if f.Unwell || t.now() != target.Ready {
		status = 503
	}
	_, err := fmt.Fprintf(x.c, "HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: 0\r\nKeep-Alive: timeout=%d\r\n\r\n", status, http.StatusText(status), dialect.Instance, t.ID, t.keep)
	return err == nil
}

// streamOf is the stream to which a path belongs; the routes that operators add have that
// of a lookup.
func (w *World) streamOf(path string) Stream {
	for _, s := range w.Shape.Streams {
		if strings.HasPrefix(path, "/"+s.Route+"/") {
			return s
		}
	}
	return Stream{Work: 20 * time.Millisecond, Body: 100}
}

func (w *World) workOf(path string) time.Duration { return w.streamOf(path).Work }

// bodyOf is the body of an answer, different for each run of each request.
func (w *World) bodyOf(path, id, seal string) string {
	s := "body of " + id + " under " + seal + " "
	return s + strings.Repeat("x", max(0, w.streamOf(path).Body-len(s)))
}
