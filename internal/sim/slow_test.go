package sim

import (
	"context"
	"testing"
	"time"
)

// One slow disk of three must not slow down or fail any call, whatever happened to another disk
// before: the other two are a majority.
func TestSlowDiskRefusesNobody(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]func(*World, *Node){
		"nothing":      func(*World, *Node) {},
		"planned stop": func(w *World, n *Node) { n.GracefulStop(); n.Start() },
		"failed sync":  func(w *World, n *Node) { n.Disk.FailNextSync() },
		"killed":       func(w *World, n *Node) { n.Kill(); time.Sleep(time.Second); n.Start() },
		"lost":         func(w *World, n *Node) { n.Kill(); n.Disk.Wipe(); time.Sleep(time.Second); n.Start() },
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, func(ctx context.Context, w *World) {
				w.Go(w.PollReadiness)
				callCtx, cancel := context.WithTimeout(ctx, 16*time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() { w.RunCallers(callCtx, 40); close(done) }()
				time.Sleep(time.Second)
				before(w, w.Node("m3"))
				time.Sleep(6 * time.Second)
				from := time.Now()
				w.Node("m1").Disk.SetSyncTime(50*time.Millisecond, 400*time.Millisecond)
				<-done
				bad, slow := len(w.Records.Failed(from)), time.Duration(0)
				for _, o := range w.Records.Outcomes {
					if !o.Sent.Before(from) {
						slow = max(slow, o.Done.Sub(o.Sent))
					}
				}
				if v := w.Records.Check(); bad > 0 || len(v.Violations) > 0 || v.Successes < 300 || slow > 700*time.Millisecond {
					t.Errorf("%d calls failed, the slowest took %s, %v %v %v", bad, slow, v.RefusalReasons, v.Classes, v.Violations)
				}
			})
		})
	}
}
