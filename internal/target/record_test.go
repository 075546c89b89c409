package target

import (
	"testing"
	"time"
)

func TestARecordHoldsARunForTheNextLife(t *testing.T) {
	for _, r := range []Run{
		{ID: "i", Service: "a", Addr: "10.0.0.1:80", Zone: "z", Version: "v2", Slots: 3, State: Ready, Seq: 7, Silent: 2, Cold: time.Second},
		{ID: "i", State: Ended},
		{ID: "i", Service: "a", Addr: "x", State: Draining, Seq: 1 << 63},
	} {
		b := r.Record()
		got, err := ReadRecord(b)
		r.Cold, r.Recalled = 0, true
		if err != nil || got != r {
			t.Errorf("%+v, %v; want %+v", got, err, r)
		}
		for n := range b {
			if _, err := ReadRecord(b[:n]); err == nil {
				t.Errorf("%d of %d bytes were accepted as a record", n, len(b))
			}
		}
		if _, err := ReadRecord(append(b, 0)); err == nil {
			t.Error("trailing bytes were accepted")
		}
	}
	for name, r := range map[string]Run{"no id": {State: Ready}, "no state": {ID: "i"}, "a later state": {ID: "i", State: Ended + 1}} {
		if _, err := ReadRecord(r.Record()); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A record of a release that did not record versions can still be read after an upgrade.
func TestAnOlderRecordIsRead(t *testing.T) {
	old := []byte{recordFormatV1, byte(Ready), 1, 'i', 1, 'a', 1, 'x', 1, 'z', 3, 7, 2}
	want := Run{ID: "i", Service: "a", Addr: "x", Zone: "z", Slots: 3, State: Ready, Seq: 7, Silent: 2, Recalled: true}
	if got, err := ReadRecord(old); err != nil || got != want {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
}
