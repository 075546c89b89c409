package model

import (
	"strings"
	"testing"

	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

// seatOf returns a node's seat as the node itself reports it.
func seatOf(w *World, id string) quorum.Seat { return w.nodes[id].voter().Seat() }

// acceptAll is the header of an answer that accepts everything.
func acceptAll(w *World, id string) quorum.Told {
	return quorum.Told{OK: true, Disk: seatOf(w, id).Disk}
}

// plantedFault is a fault and the invariant that it must violate.
type plantedFault struct {
	name      string
	scenario  Scenario
	inject    func(w *World)
	violation string // part of the message of the violated invariant
}

// abandonedCoreWithLateSeals decides on a core, abandons it for another one, and delivers the seal
// requests for the first just before the second takes over. The core has four seats: two of them are
// enough to be sealed, so two cores could take over side by side.
func abandonedCoreWithLateSeals() Scenario {
	const abandonedEpoch = 2
	isAbandonedSeal := func(ask any) bool {
		a, ok := ask.(quorum.SealAsk)
		return ok && a.Next.Epoch == abandonedEpoch
	}
	return Scenario{Seats: 4, Spares: 2,
		Hold: func(_, to string, ask any) bool {
			switch a := ask.(type) {
			case quorum.SealAsk:
				return a.Next.Epoch == abandonedEpoch || a.Next.Epoch > abandonedEpoch && to == "n1"
			case quorum.JoinAsk:
				return to == "n1"
			}
			return false
		},
		Actors: []Actor{Script("swaps",
			TogglePartition("n4"), Reconfigure("n1"), TogglePartition("n4"),
			Partition("n1", "n3", "n4", "n6"), Reconfigure("n1"), Partition("n1", "n2", "n5"),
			DeliverHeld("seals of the core given up", func(to string, ask any) bool {
				return isAbandonedSeal(ask) && (to == "n1" || to == "n2")
			}),
			Reconfigure("n2"), Reconfigure("n3"),
			SubmitChange("a", RouteChange(2, "a", "r"), "n2"), SubmitChange("b", RouteChange(2, "b", "r"), "n3"))}}
}

func plantedFaults() []plantedFault {
	ready := []target.Run{{ID: "i-1", Service: "s", Addr: "10.0.0.1:80", Zone: "z", Slots: 1, Seq: 5, State: target.Ready}}
	conflicting := []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2"), SubmitChange("b", RouteChange(2, "b", "r"), "n2", "n3")}
	twoLosses := []Actor{Script("losses", SubmitChange("a", RouteChange(2, "a", "r"), "n1"), LoseDisk("n3"), Reconfigure("n1"), LoseDisk("n2"), Reconfigure("n1"), Read("n1"))}
	return []plantedFault{
		{"acknowledged before the sync", Scenario{Seats: 3, Budget: Budget{PowerLosses: 1}, Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1")}},
			func(w *World) {
				for _, n := range w.nodeList {
					n.disk.acksBeforeSync = true
				}
			}, "confirmed"},
		{"a joiner votes before it pulled", Scenario{Seats: 3, Actors: twoLosses},
			func(w *World) {
				w.Tamper = func(_, _ string, ask any) (any, any, bool) {
					if a, ok := ask.(quorum.JoinAsk); ok {
						a.From = nil
						ask = a
					}
					return ask, nil, false
				}
			}, "vote without"},
		{"one seat too few is sealed", Scenario{Seats: 3, Spares: 1, Actors: []Actor{
			Script("swap", TogglePartition("n3"), Reconfigure("n1"), Partition("n1", "n4"), SubmitChange("b", RouteChange(2, "b", "r"), "n3"), SubmitChange("a", RouteChange(2, "a", "r"), "n1"))}},
			func(w *World) {
				// n2 counts as sealed though the request never reached it.
				w.Tamper = func(_, to string, ask any) (any, any, bool) {
					if to != "n2" || w.finishing {
						return ask, nil, false
					}
					switch a := ask.(type) {
					case quorum.SealAsk:
						return ask, quorum.SealTold{Told: acceptAll(w, to)}, true
					case quorum.ListAsk:
						a.Epoch = w.nodes[to].voter().Core().Epoch
						return a, nil, false
					case quorum.MergedAsk:
						a.Epoch = w.nodes[to].voter().Core().Epoch
						return a, nil, false
					case quorum.RecordsAsk:
						a.Epoch = w.nodes[to].voter().Core().Epoch
						return a, nil, false
					}
					return ask, nil, false
				}
			}, "vote without"},
		{"a core that was given up is sealed for", abandonedCoreWithLateSeals(),
			func(w *World) {
				w.Tamper = func(_, _ string, ask any) (any, any, bool) {
					if a, ok := ask.(quorum.SealAsk); ok {
						a.Next.Decided.N += 1000
						ask = a
					}
					return ask, nil, false
				}
			}, "confirmed"},
		{"a consent to a first core does not bind", Scenario{Seats: 3, Spares: 1, Unformed: true, Budget: Budget{MessageLosses: 4, Crashes: 2, OneWayPartitions: 2},
			Actors: []Actor{Bootstrap("n1"), Bootstrap("n2"), Bootstrap("n3"), Bootstrap("n4")}},
			func(w *World) {
				w.Tamper = func(_, to string, request any) (any, any, bool) {
					if a, ok := request.(quorum.FormAsk); ok && !a.Seal && !a.Drop {
						if by, core := w.nodes[to].voter().Consent(); by != "" {
							answerLocally[quorum.FormTold](w.nodes[to], quorum.FormAsk{By: by, Core: core, Drop: true})
						}
					}
					return request, nil, false
				}
			}, "two first cores"},
		{"an emptied disk keeps its seat", Scenario{Seats: 3, Budget: Budget{MessageLosses: 1, DiskLosses: 1}, Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n1", "n2")}},
			func(w *World) {
				for _, n := range w.nodeList {
					n.keepsSeatAfterWipe = true
				}
			}, "vote without"},
		{"the digest decides", Scenario{Seats: 3, Actors: conflicting},
			func(w *World) {
				w.Tamper = func(_, to string, ask any) (any, any, bool) {
					switch a := ask.(type) {
					case quorum.OfferAsk:
						return ask, quorum.OfferTold{Told: acceptAll(w, to), Yes: true, Held: make([]quorum.HeldDecision, len(a.Keys))}, true
					case quorum.DecideAsk:
						return ask, quorum.DecideTold{Told: acceptAll(w, to), Yes: true}, true
					}
					return ask, nil, false
				}
			}, "content"},
		{"a promise is not kept", Scenario{Seats: 3, Budget: Budget{MessageLosses: 2}, Actors: conflicting},
			func(w *World) {
				w.Tamper = func(_, _ string, ask any) (any, any, bool) {
					if a, ok := ask.(quorum.DecideAsk); ok {
						a.Ballot.N += 1000
						ask = a
					}
					return ask, nil, false
				}
			}, "content"},
		{"a read asks a node less", Scenario{Seats: 3, Budget: Budget{MessageLosses: 2}, Actors: []Actor{Script("a", SubmitChange("a", RouteChange(2, "a", "r"), "n2"), Read("n1"))}},
			func(w *World) {
				// n2 counts as fully read though it returns nothing.
				w.Tamper = func(from, to string, ask any) (any, any, bool) {
					a, ok := ask.(watch.WatchAsk)
					if !ok || from != "n1" || to != "n2" {
						return ask, nil, false
					}
					me := watch.Member{ID: to, Kind: watch.Controller, Inner: to, Seat: seatOf(w, to)}
					return ask, watch.WatchTold{Inc: 1, Seen: a.Seen, Votes: w.core().Epoch, Disk: me.Seat.Disk, Me: me}, true
				}
			}, "reads r"},
		{"a seat is lent to any zone", Scenario{Seats: 3, Spares: 1, Zones: []string{"a", "b", "c", "b"}, Tolerance: quorum.Tolerance{Zones: 1},
			Actors: []Actor{Script("down", SubmitChange("a", RouteChange(2, "a", "r"), "n2"), TogglePartition("n1"), Reconfigure("n2"))}},
			func(w *World) { w.ignoreTolerance = true }, "is exposed to more than"},
		{"a seat is never moved", Scenario{Seats: 3, Spares: 1, Zones: []string{"a", "a", "b", "c"}, Tolerance: quorum.Tolerance{Zones: 1},
			Actors: []Actor{SubmitChange("a", RouteChange(2, "a", "r"), "n2")}},
			func(w *World) { w.ignoreTolerance = true }, "need not be"},
		{"a note is believed over a leaving", Scenario{Seats: 3, JournalRuns: ready, Actors: []Actor{Script("a", Leave("i-1", "n1"), PowerOff(), Read("n2"))}},
			func(w *World) {
				for _, n := range w.nodeList {
					n.disk.hiddenPrefix = "m/4/"
				}
			}, "reports run i-1 as ready"},
	}
}

// Each planted fault is found, shortened to a few deviations, and reproduced from them; without the
// fault the same schedules keep every invariant.
func TestPlantedFaultsAreFound(t *testing.T) {
	const maxWalks = 4000
	for _, p := range plantedFaults() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.scenario.Name = p.name
			withoutFault := p.scenario
			p.scenario.Prepare = p.inject
			got := RandomWalks(bubble(t), p.scenario, 1, maxWalks)
			if got.Found == nil {
				t.Fatalf("not found in %d schedules", got.Schedules)
			}
			t.Logf("found in %d schedules, %d deviations, %d steps: %s", got.Schedules, len(got.Found.Deviations), len(got.Found.Steps), got.Found.Violation)
			if !strings.Contains(got.Found.Violation, p.violation) {
				t.Errorf("another violation is found: %q", got.Found.Violation)
			}
			if again := Replay(bubble(t), p.scenario, got.Found.Deviations); again == nil || again.Violation != got.Found.Violation {
				t.Errorf("replayed: %v", again)
			}
			if c := RandomWalks(bubble(t), withoutFault, 1, min(got.Schedules, 200)).Found; c != nil {
				t.Errorf("without the fault: %s", c)
			}
			if c := Replay(bubble(t), withoutFault, got.Found.Deviations); c != nil {
				t.Errorf("the same schedule without the fault: %s", c)
			}
		})
	}
}
