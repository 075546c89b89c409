package control

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/quorum"
)

// Operators see the location of each seat of the core, and whether the core tolerates the losses that it should.
func TestTheCoreTellsWhereItsSeatsStand(t *testing.T) {
	s := domainClusterShapes["three regions of two zones"]
	s.disks, s.layout = 3, s.layout[:3] // two disks in the north and one in the south do not tolerate the loss of a region
	runCluster(t, 34, s, func(cl *cluster) {
		cl.mustApply(baseChange(2), cl.controllers)
		time.Sleep(recoveryTime)
		transport, m := cl.operatorTransport(), cl.controllers[0]
		a := mustAsk[SeatRow](cl, transport, m, CoreAsk{})
		if len(a.Rows) != 3 {
			t.Fatalf("%+v", a.Rows)
		}
		for i, want := range []SeatRow{
			{ID: "m0", Region: "north", Zone: "north-a", RegionSeats: 2, ZoneSeats: 1},
			{ID: "m1", Region: "north", Zone: "north-b", RegionSeats: 2, ZoneSeats: 1},
			{ID: "m2", Region: "south", Zone: "south-a", RegionSeats: 1, ZoneSeats: 1},
		} {
			got := a.Rows[i]
			if got.ID != want.ID || got.Region != want.Region || got.Zone != want.Zone || got.RegionSeats != want.RegionSeats || got.ZoneSeats != want.ZoneSeats ||
				got.Epoch != 1 || !got.HeardMS.Known || got.HeardMS.Value > 1000 {
				t.Errorf("%+v", got)
			}
		}
		for name, want := range map[string]uint64{"core_epoch": 1, "core_seats": 3, "core_exposed_regions": 1, "core_exposed_zones": 0, "core_exposed_machines": 0} {
			if got := mustReadCounter(cl, transport, m, name); got != want {
				t.Errorf("%s is %d, want %d", name, got, want)
			}
		}
	})
}

// The losses that the core tolerates are logged when they change, and so is the loss of its majority.
func TestTheCoreIsLoggedWhenItChanges(t *testing.T) {
	var out bytes.Buffer
	n := &Node{Config: Config{Settings: Settings{Tolerance: quorum.Tolerance{Regions: 1}}, Log: log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter})}}
	seats := []quorum.Seat{{ID: "a", Zone: "n1", Region: "north", Disk: "1"}, {ID: "b", Zone: "n2", Region: "north", Disk: "2"}, {ID: "c", Zone: "s1", Region: "south", Disk: "3"}}
	exposed := coreStatus{epoch: 1, exposure: n.Tolerance.ExposureOf(seats), quorum: true}
	n.logCoreChange(coreStatus{quorum: true}, exposed, seats, nil)
	n.logCoreChange(exposed, exposed, seats, nil)
	silent := silentSeats(seats, []quorum.DiskContact{{Seat: seats[2]}, {Seat: seats[0], Ago: time.Minute}})
	lost := exposed
	lost.quorum = false
	n.logCoreChange(exposed, lost, seats, silent)
	n.logCoreChange(lost, lost, seats, silent)
	n.logCoreChange(lost, exposed, seats, nil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for i, want := range []string{`does not bear every loss`, `"silent":["a","b"]`, `heard again`} {
		if i >= len(lines) || !strings.Contains(lines[i], want) {
			t.Errorf("line %d: want %s in %v", i, want, lines)
		}
	}
	if len(lines) != 3 || !strings.Contains(lines[0], `north/n1/a`) {
		t.Errorf("%v", lines)
	}
}
