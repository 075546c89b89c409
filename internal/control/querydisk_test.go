package control

import (
	"testing"
	"time"
)

func TestDisksTellOfTheirWrites(t *testing.T) {
	runCluster(t, 29, smallCluster, func(cl *cluster) {
		transport := cl.operatorTransport()
		// The run journal is written from the start; each change is also synced to the disk.
		before := mustAsk[DiskRow](cl, transport, cl.controllers[0], DiskAsk{}).Rows
		cl.mustApply(baseChange(2), cl.controllers[:1])
		time.Sleep(propagationLimit)
		for _, m := range cl.controllers {
			rows := mustAsk[DiskRow](cl, transport, m, DiskAsk{}).Rows
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
		if after := mustAsk[DiskRow](cl, transport, cl.controllers[0], DiskAsk{}).Rows; after[0].Writes <= before[0].Writes {
			t.Errorf("%d writes before a change, %d after", before[0].Writes, after[0].Writes)
		}
	})
}
