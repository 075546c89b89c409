package stand

import (
	"context"
	"time"

	"walkrudder/internal/queries"
)

// Check checks the records, and the full state that each controller returns.
func (d *Deployment) Check(ctx context.Context) CheckResult {
	v := d.Rec.Check()
	for _, addr := range d.Fleet.PublicAddrs("controller") {
		var p queries.FullState
		if err := QueryNode(ctx, addr, "show picture", &p); err != nil {
			v.addViolation("full state at %s not read: %v", d.Fleet.NodeAt(addr), err)
			continue
		}
		for _, b := range d.Rec.CheckFullState(p) {
			v.addViolation("%s", b)
		}
	}
	if d.Rec.AckedChanges() < 2 || v.ChangesShown == 0 || v.Successes == 0 {
		v.addViolation("too little happened: %d changes, shown %d times, %d successes", d.Rec.AckedChanges(), v.ChangesShown, v.Successes)
	}
	return v
}

// RunOperator moves a repeatable path to another service and back until ctx ends. It calls report with
// each version. The last change is not cut short by the end of ctx.
func (d *Deployment) RunOperator(ctx context.Context, report func(version uint64)) {
	var k CallKind
	for _, x := range d.Plan.CallKinds {
		if x.Repeatable && x.AnswerBytes == 0 {
			k = x
		}
	}
	other := k.Service
	for n := range d.Plan.Targets {
		if n != k.Service {
			other = n
		}
	}
	for i := 0; ctx.Err() == nil; i++ {
		svc := k.Service
		if i%2 == 0 {
			svc = other
		}
		changeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		if r, err := d.BindPath(changeCtx, k, svc); err == nil {
			report(r.Version)
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(3 * time.Second):
		}
	}
}

// CallContinuously is a client that calls in a loop, with a pause of 5 ms, until ctx ends.
func (c *Callers) CallContinuously(ctx context.Context, k CallKind, client string) {
	for ctx.Err() == nil {
		c.callAsClient(k, "", "", client)
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}
