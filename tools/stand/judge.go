package stand

import (
	"context"
	"time"

	"walkrudder/internal/queries"
)

// Judge checks the records, and the picture as every controller reads it.
func (t *Town) Judge(ctx context.Context) Verdict {
	v := t.Rec.Check()
	for _, door := range t.Fleet.Doors("controller") {
		var p queries.FullState
		if err := SayTo(ctx, door, "show picture", &p); err != nil {
			v.broke("picture at %s not read: %v", t.Fleet.Name(door), err)
			continue
		}
		for _, b := range t.Rec.Picture(p) {
			v.broke("%s", b)
		}
	}
	if t.Rec.Changed() < 2 || v.Judged == 0 || v.Successes == 0 {
		v.broke("nothing went on: %d changes, shown %d times, %d successes", t.Rec.Changed(), v.Judged, v.Successes)
	}
	return v
}

// Operate moves a repeatable path to another service and back, again and again, until
// ctx ends; say is told of each version. The last order is seen to its end.
func (t *Town) Operate(ctx context.Context, say func(version uint64)) {
	var k Kind
	for _, x := range t.Plan.Kinds {
		if x.Repeatable && x.Size == 0 {
			k = x
		}
	}
	other := k.Service
	for n := range t.Plan.Targets {
		if n != k.Service {
			other = n
		}
	}
	for i := 0; ctx.Err() == nil; i++ {
		svc := k.Service
		if i%2 == 0 {
			svc = other
		}
		cx, end := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		if r, err := t.Bind(cx, k, svc); err == nil {
			say(r.Version)
		}
		end()
		select {
		case <-ctx.Done():
		case <-time.After(3 * time.Second):
		}
	}
}

// Hammer is a client that calls again and again without a pause until ctx ends.
func (c *Callers) Hammer(ctx context.Context, k Kind, client string) {
	for ctx.Err() == nil {
		c.call(k, "", "", client)
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}
