package model

import (
	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

// Scenarios lists the scenarios that are explored. Each is the smallest one that can bring about
// its failure.
func Scenarios() []Scenario {
	ready := []target.Run{{ID: "i-1", Service: "s", Addr: "10.0.0.1:80", Zone: "z", Slots: 1, Seq: 5, State: target.Ready}}
	return []Scenario{
		{Name: "two contents of one version, 3 seats", Seats: 3, Budget: Budget{MessageLosses: 2, Duplicates: 1, Crashes: 1, PowerLosses: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), SubmitChange("b", RouteChange(2, "b", "r"), "n2", "n3")}},
		{Name: "two contents of one version, 5 seats", Seats: 5, Budget: Budget{MessageLosses: 2, Duplicates: 1, Crashes: 2, PowerLosses: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), SubmitChange("b", RouteChange(2, "b", "r"), "n4", "n5")}},
		{Name: "calls that share a name", Seats: 3, Budget: Budget{MessageLosses: 2, Crashes: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r", "q"), "n1", "n3"), SubmitChange("b", RouteChange(2, "b", "q", "p"), "n2", "n1"), SubmitChange("c", RouteChange(2, "c", "r"), "n3", "n2")}},
		{Name: "an older version beside a newer", Seats: 3, Budget: Budget{MessageLosses: 2, Crashes: 1, PowerLosses: 1},
			Actors: []Actor{SubmitChange("new", RouteChange(5, "new", "r"), "n1", "n2"), SubmitChange("old", RouteChange(3, "old", "r"), "n2", "n3"), SubmitChange("other old", RouteChange(3, "other", "r"), "n3", "n1")}},
		{Name: "reads beside a change", Seats: 3, Budget: Budget{MessageLosses: 1, Crashes: 1, Partitions: 2, DiskLosses: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), Read("n2"), Read("n3"), Read("n1")}},
		{Name: "a disk lost beside a change", Seats: 3, Budget: Budget{MessageLosses: 1, DiskLosses: 1, Crashes: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), Reconfigure("n1"), Reconfigure("n2"), Read("n3")}},
		{Name: "a seat passed on beside a race", Seats: 3, Spares: 1, Budget: Budget{MessageLosses: 1, Crashes: 1, Partitions: 2, Timeouts: 2},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n4"), SubmitChange("b", RouteChange(2, "b", "r"), "n2", "n4"), Reconfigure("n1"), Reconfigure("n2"), Reconfigure("n4")}},
		{Name: "a second loss after a replacement", Seats: 3, Spares: 2, Budget: Budget{MessageLosses: 1, Crashes: 1, Partitions: 1, DiskLosses: 2, PowerLosses: 1, Timeouts: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2", "n4"), Reconfigure("n1"), Reconfigure("n2"), Read("n4"), Reconfigure("n1")}},
		{Name: "a decided core given up beside its carrying", Seats: 3, Spares: 2, Budget: Budget{MessageLosses: 2, Crashes: 1, Partitions: 3, DiskLosses: 1, Timeouts: 2},
			Actors: []Actor{Script("first", TogglePartition("n3"), Reconfigure("n1"), SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2")),
				Script("second", TogglePartition("n4"), TogglePartition("n3"), Reconfigure("n2"), SubmitChange("b", RouteChange(3, "b", "r"), "n3", "n2"))}},
		{Name: "two disks lost of five", Seats: 5, Spares: 1, Budget: Budget{MessageLosses: 1, DiskLosses: 2, PowerLosses: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2", "n3"), Reconfigure("n1"), Reconfigure("n4"), Read("n5")}},
		{Name: "a first core formed in trouble", Seats: 3, Spares: 1, Unformed: true, Budget: Budget{MessageLosses: 3, Duplicates: 1, Crashes: 2, OneWayPartitions: 2, Timeouts: 2},
			Actors: []Actor{Script("first", Bootstrap("n1"), SubmitChange("base", baseChange(), "n1", "n2"), SubmitChange("a", RouteChange(2, "a", "r"), "n2", "n1")), Bootstrap("n2"), Bootstrap("n3"), Bootstrap("n4")}},
		{Name: "nodes that stand still beside a race", Seats: 3, Spares: 1, Budget: Budget{MessageLosses: 1, Freezes: 4, Timeouts: 2},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), SubmitChange("b", RouteChange(2, "b", "r"), "n2", "n3"), Reconfigure("n1"), Reconfigure("n2"), Read("n3")}},
		{Name: "nodes that are not heard", Seats: 3, Spares: 1, Budget: Budget{MessageLosses: 1, Crashes: 1, OneWayPartitions: 4, Timeouts: 2, DiskLosses: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n4"), SubmitChange("b", RouteChange(2, "b", "r"), "n2", "n3"), Reconfigure("n1"), Reconfigure("n4"), Read("n2")}},
		{Name: "a leaving beside losses", Seats: 3, JournalRuns: ready, Budget: Budget{MessageLosses: 1, Crashes: 1, PowerLosses: 1, DiskLosses: 1},
			Actors: []Actor{Leave("i-1", "n1", "n2", "n3"), Read("n2"), Reconfigure("n3"), Read("n3")}},
		{Name: "a core that grows beside a change", Seats: 1, Spares: 2, Size: 3, Tolerance: quorum.Tolerance{Machines: 1}, Budget: Budget{MessageLosses: 2, Crashes: 1, Partitions: 2, Timeouts: 2},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), Reconfigure("n1"), SubmitChange("b", RouteChange(3, "b", "r"), "n2", "n3"), Reconfigure("n2"), Read("n3")}},
		{Name: "a core of three that grows to five", Seats: 3, Spares: 2, Size: 5, Tolerance: quorum.Tolerance{Machines: 2}, Budget: Budget{MessageLosses: 1, Crashes: 1, Partitions: 1, Timeouts: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n4"), Reconfigure("n1"), Reconfigure("n3"), Read("n5")}},
		{Name: "a seat moved to another zone beside a race", Seats: 3, Spares: 1, Zones: []string{"a", "a", "b", "c"}, Tolerance: quorum.Tolerance{Zones: 1}, Budget: Budget{MessageLosses: 1, Crashes: 1, Partitions: 2, Timeouts: 2},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n4"), SubmitChange("b", RouteChange(2, "b", "r"), "n3", "n4"), Reconfigure("n1"), Reconfigure("n3"), Read("n4")}},
		{Name: "a zone lost with its disks beside a change", Seats: 3, Spares: 2, Zones: []string{"a", "b", "c", "a", "b"}, Tolerance: quorum.Tolerance{Zones: 1}, Budget: Budget{MessageLosses: 1, ZoneLosses: 1, Crashes: 1, Partitions: 2},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), Reconfigure("n2"), Reconfigure("n3"), Read("n3"), Reconfigure("n1")}},
	}
}
