package passage

import (
	"context"

	"walkrudder/internal/link"
	"walkrudder/internal/owner"
)

const (
	// maxNormalStories and maxNotableStories are the numbers of calls remembered: those
	// answered successfully at the first send, and all others.
	maxNormalStories  = 4096
	maxNotableStories = 16384
	// maxSteps bounds the steps recorded per call.
	maxSteps = 24
)

// Step is one event in the processing of a call. Mate is the target concerned, if any.
type Step struct {
	MS   int64  `json:"at_ms"` // since the call arrived
	Step string `json:"step"`
	Mate string `json:"mate,omitempty"`
	What string `json:"what"`
}

// Story is the record of a call. Came is its time of arrival, and Sends the number of its
// steps that sent it to a target.
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
	// StoryAsk asks a gateway for the record of a call.
	StoryAsk struct{ Call string }
	// StoryTold answers StoryAsk.
	StoryTold struct {
		Known bool
		Story Story
	}
)

func init() { link.RegisterPair[StoryAsk, StoryTold]() }

// ring holds the IDs of the most recent calls.
type ring struct {
	calls []string
	next  int
}

// storyLog holds a gateway's records of recent calls (design 13.9).
type storyLog struct {
	owner           *owner.Owner
	byCall          map[string]Story
	normal, notable ring
}

func newStoryLog() *storyLog {
	return &storyLog{owner: owner.New(1024), byCall: map[string]Story{}, normal: ring{calls: make([]string, maxNormalStories)}, notable: ring{calls: make([]string, maxNotableStories)}}
}

// add stores a record; under load some records are dropped.
func (s *storyLog) add(story Story) {
	s.owner.Post(func() {
		r := &s.notable
		if story.Status < 300 && story.Sends == 1 && story.Code == "" {
			r = &s.normal
		}
		delete(s.byCall, r.calls[r.next])
		r.calls[r.next] = story.Call
		r.next = (r.next + 1) % len(r.calls)
		s.byCall[story.Call] = story
	})
}

// Serve registers the handler for StoryAsk.
func (p *Pipeline) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a StoryAsk) (StoryTold, error) {
		return owner.Call(ctx, p.stories.owner, func() StoryTold {
			x, ok := p.stories.byCall[a.Call]
			return StoryTold{ok, x}
		})
	})
}

// addStep appends a step to the call's record.
func (p *Pipeline) addStep(call *Call, step, mate, what string) {
	ms := p.Clock.Now().Sub(call.Arrived).Milliseconds()
	call.stepsMu.Lock()
	defer call.stepsMu.Unlock()
	if len(call.steps) < maxSteps {
		call.steps = append(call.steps, Step{ms, step, mate, what})
	}
}

// saveStory stores the record of a call after its caller has been answered.
func (p *Pipeline) saveStory(call *Call) {
	story := Story{Call: call.ID, Method: call.Req.Method, URI: call.Req.URI[:min(len(call.Req.URI), 256)], Came: call.Arrived.UTC().Format("2006-01-02T15:04:05.000Z")}
	call.stepsMu.Lock()
	story.Steps = append(story.Steps, call.steps...)
	call.stepsMu.Unlock()
	for _, step := range story.Steps {
		if step.Step == "send" {
			story.Sends++
		}
	}
	switch {
	case call.ErrorResponse != nil:
		story.Status, story.Code = call.ErrorResponse.Status, call.ErrorResponse.Code
		story.Steps = append(story.Steps, Step{p.Clock.Now().Sub(call.Arrived).Milliseconds(), "answer", "", call.ErrorResponse.Code + ": " + call.ErrorResponse.Reason})
	case call.Response != nil:
		story.Status = call.Response.Status
	}
	p.stories.add(story)
}
