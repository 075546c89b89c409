package passage

import (
	"context"

	"walkrudder/internal/link"
	"walkrudder/internal/owner"
)

const (
	// plainStories and oddStories are how many calls are remembered: those that
	// went straight through, and the others.
	plainStories = 4096
	oddStories   = 16384
	// maxSteps bounds the steps of one call.
	maxSteps = 24
)

// Step is one thing that befell a call.
type Step struct {
	MS   int64  `json:"at_ms"` // since the call came
	Step string `json:"step"`
	Mate string `json:"mate,omitempty"`
	What string `json:"what"`
}

// Story is what became of a call.
type Story struct {
	Call   string `json:"call"`
	Method string `json:"method"`
	URI    string `json:"uri"`
	Came   string `json:"came"`
	Status int    `json:"status"`
	Code   string `json:"code,omitempty"`
	Sends  int    `json:"sends"`
	Steps  []Step `json:"steps"`
}

type (
	// StoryAsk asks a gateway what became of a call.
	StoryAsk struct{ Call string }
	// StoryTold answers it.
	StoryTold struct {
		Known bool
		Story Story
	}
)

func init() { link.RegisterPair[StoryAsk, StoryTold]() }

// ring keeps the names of the last so many calls.
type ring struct {
	names []string
	next  int
}

// stories is a gateway's memory of calls (design 13.9).
type stories struct {
	own        *owner.Owner
	by         map[string]Story
	plain, odd ring
}

func newStories() *stories {
	return &stories{own: owner.New(1024), by: map[string]Story{}, plain: ring{names: make([]string, plainStories)}, odd: ring{names: make([]string, oddStories)}}
}

// keep remembers a story; when many come at once, some are not.
func (s *stories) keep(x Story) {
	s.own.Post(func() {
		r := &s.odd
		if x.Status < 300 && x.Sends == 1 && x.Code == "" {
			r = &s.plain
		}
		delete(s.by, r.names[r.next])
		r.names[r.next] = x.Call
		r.next = (r.next + 1) % len(r.names)
		s.by[x.Call] = x
	})
}

// Serve teaches d to tell stories.
func (p *Passage) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a StoryAsk) (StoryTold, error) {
		return owner.Get(ctx, p.stories.own, func() StoryTold {
			x, ok := p.stories.by[a.Call]
			return StoryTold{ok, x}
		})
	})
}

// step adds to the call's story.
func (p *Passage) step(t *Trip, step, mate, what string) {
	ms := p.Clock.Now().Sub(t.Came).Milliseconds()
	t.smu.Lock()
	defer t.smu.Unlock()
	if len(t.steps) < maxSteps {
		t.steps = append(t.steps, Step{ms, step, mate, what})
	}
}

// record remembers what became of a call, now that its caller has his answer.
func (p *Passage) record(t *Trip) {
	x := Story{Call: t.Call, Method: t.Req.Method, URI: t.Req.URI[:min(len(t.Req.URI), 256)], Came: t.Came.UTC().Format("2006-01-02T15:04:05.000Z")}
	t.smu.Lock()
	x.Steps = append(x.Steps, t.steps...)
	t.smu.Unlock()
	for _, s := range x.Steps {
		if s.Step == "send" {
			x.Sends++
		}
	}
	switch {
	case t.Out != nil:
		x.Status, x.Code = t.Out.Status, t.Out.Code
		x.Steps = append(x.Steps, Step{p.Clock.Now().Sub(t.Came).Milliseconds(), "answer", "", t.Out.Code + ": " + t.Out.Why})
	case t.Answer != nil:
		x.Status = t.Answer.Status
	}
	p.stories.keep(x)
}
