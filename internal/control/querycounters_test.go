package control

import (
	"testing"

	"walkrudder/internal/target"
)

func TestCountersCount(t *testing.T) {
	play(t, 30, small, func(w *world) {
		l, m := w.operator(), w.controllers[0]
		good := target.Heartbeat{ID: "i-1", Service: "a", Addr: "10.0.0.1:80", Zone: "z0", Slots: 2, Seq: 1}
		_ = w.beat(m, good)
		_ = w.beat(m, target.Heartbeat{})
		w.order(base(1), []*controllerHost{m})
		bad := base(1)
		bad.Routes[0].Version, bad.Routes[0].Host = 9, ""
		if ps, _ := w.apply(m, bad); len(ps) == 0 {
			t.Fatal("taken")
		}
		if _, err := m.control().Current(w.ctx); err != nil {
			t.Fatal(err)
		}
		_ = m.control().Leave(w.ctx, "i-1")
		for name, want := range map[string]uint64{"beats": 2, "beats_refused": 1, "beats_failed": 0, "changes": 2, "changes_refused": 1, "reads": 1, "leavings": 1,
			"item_merges": 4, "run_merges": 2} {
			if got := counter(w, l, m, name); got != want {
				t.Errorf("%s is %d, want %d", name, got, want)
			}
		}
		for _, name := range []string{"asks", "queries", "goroutines", "heap_bytes"} {
			if counter(w, l, m, name) == 0 {
				t.Errorf("%s is 0", name)
			}
		}
	})
}
