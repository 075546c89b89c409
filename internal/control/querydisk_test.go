package control

import (
	"testing"
	"time"
)

func TestDisksTellOfTheirWrites(t *testing.T) {
	play(t, 29, small, func(w *world) {
		l := w.operator()
		// The gateway of notes began with the core; each change is synced besides.
		before := look[DiskRow](w, l, w.controllers[0], DiskAsk{}).Rows
		w.order(base(2), w.controllers[:1])
		time.Sleep(bound)
		for _, m := range w.controllers {
			rows := look[DiskRow](w, l, m, DiskAsk{}).Rows
			if m.disk == nil {
				if len(rows) != 0 {
					t.Errorf("%s has no disk: %+v", m.id, rows)
				}
				continue
			}
			if len(rows) != 2 || !rows[0].Synced || rows[1].Synced || rows[0].Writes == 0 || rows[0].Failures > 0 || !rows[0].LastMS.Known || rows[0].LastMS.Value > 3000 ||
				rows[0].Bytes.Known || rows[0].UnderWayMS.Known {
				t.Errorf("%s: %+v", m.id, rows)
			}
		}
		if after := look[DiskRow](w, l, w.controllers[0], DiskAsk{}).Rows; after[0].Writes <= before[0].Writes {
			t.Errorf("%d writes before a change, %d after", before[0].Writes, after[0].Writes)
		}
	})
}
