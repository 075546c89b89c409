package day

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
)

var (
	dayCount  = flag.Int("days", 0, "number of days with random scenarios to run in the hunt tests")
	firstSeed = flag.Uint64("seed", 1, "seed of the first of these days")
)

// namedScenario is a scenario and its name in the log of a day.
type namedScenario struct {
	name      string
	scenario  Scenario
	losesDisk bool // it loses a disk for good or until the end of the day
}

// scenarioCatalogue returns the scenarios of which mixed days are composed. diskLoss includes those that lose a disk
// for good or until the end: a day has at most one of them, since no more disks may be lost at once.
func scenarioCatalogue(r *rand.Rand, diskLoss bool) []namedScenario {
	d := time.Second + time.Duration(r.Int64N(int64(8*time.Second)))
	share := .2 + .4*r.Float64()
	svc, other := "orders", "archive"
	if r.IntN(2) == 0 {
		svc, other = other, svc
	}
	n := 1 + r.IntN(2)
	out := []namedScenario{
		{name: "targets crash", scenario: CrashTargets(svc, share, ProcessCrash, d)},
		{name: "targets are dark", scenario: CrashTargets(svc, share, Unresponsive, d)},
		{name: "targets are gone", scenario: CrashTargets(svc, min(share, .3), UnresponsiveForGood, d)},
		{name: "release", scenario: ReplaceTargets(svc, 300*time.Millisecond+d/8)},
		{name: "reuse", scenario: ReuseAddresses(svc, other, min(share, .4), false)},
		{name: "reuse in order", scenario: ReuseAddresses(svc, other, min(share, .4), true)},
		{name: "scale-in", scenario: ScaleIn(svc, min(share, .4))},
		{name: "silent answers", scenario: FaultyTargets(svc, share, TargetFault{NoResponse: share}, d)},
		{name: "reset answers", scenario: FaultyTargets(svc, share, TargetFault{ResetAfterRun: share}, d)},
		{name: "garbled answers", scenario: FaultyTargets(svc, share, TargetFault{Corrupt: share, Corruption: CorruptionKind(r.IntN(int(corruptionKinds)))}, d)},
		{name: "slow targets", scenario: FaultyTargets(svc, share, TargetFault{WorkFactor: 2 + 5*r.Float64()}, d)},
		{name: "grey targets", scenario: FaultyTargets(svc, share, TargetFault{ResetBeforeRun: share}, d)},
		{name: "mute targets", scenario: FaultyTargets(svc, share, TargetFault{AnswersOnlyHealth: true}, d)},
		{name: "unwell by their word", scenario: FaultyTargets(svc, share, TargetFault{HealthFails: true}, d)},
		{name: "forgetful targets", scenario: FaultyTargets(svc, 1, TargetFault{ClosesIdleEarly: true}, d)},
		{name: "full targets", scenario: FaultyTargets(svc, share, TargetFault{Full: true}, d)},
		{name: "full by resets", scenario: FaultyTargets(svc, share, TargetFault{FullByReset: true}, d)},
		{name: "flapping", scenario: FlapTargets(svc, share, d)},
		{name: "targets reset", scenario: Repeat(3, time.Second, ResetTargetConnections(svc, share))},
		{name: "gateways killed", scenario: Repeat(n, d, KillProcesses(n, Gateway, d/4))},
		{name: "controllers killed", scenario: Repeat(n, d, KillProcesses(n, Controller, d/4))},
		{name: "machines killed", scenario: Repeat(n, d, KillProcesses(n, Both, d/2))},
		{name: "machines frozen", scenario: Repeat(n, d, FreezeMachines(n, d/2))},
		{name: "rolled", scenario: RollingRestart(d / 4)},
		{name: "herd", scenario: KillShare(share+.3, Both, d/2)},
		{name: "herd of gateways", scenario: KillShare(share+.3, Gateway, d/2)},
		{name: "power after an acknowledgement", scenario: Repeat(n, d, PowerLossAfterAck(false, d/2))},
		{name: "slow disks", scenario: Parallel(SlowDisks(n, d), ApplyChanges(4, d/4))},
		{name: "disk refuses", scenario: Parallel(RefuseSyncs(d), ApplyChanges(3, d/3))},
		{name: "core cut", scenario: Parallel(PartitionMachines(d), ApplyChanges(4, d/4))},
		{name: "machines cut off", scenario: Parallel(IsolateMachines(n, true, d), ApplyChanges(4, d/4))},
		{name: "machines cut off one way", scenario: Parallel(IsolateMachines(n, false, d), ApplyChanges(4, d/4))},
		{name: "slow machines", scenario: DelayMachines(n, time.Duration(10+r.IntN(150))*time.Millisecond, d)},
		{name: "lossy machines", scenario: LoseMessages(n, .02+.2*r.Float64(), d)},
		{name: "machines reset", scenario: Repeat(3, time.Second, ResetMachineConnections(n))},
		{name: "seeds", scenario: Repeat(n, d, ReplaceSeeds)},
		{name: "changes", scenario: ApplyChanges(8, d/4)},
		{name: "race", scenario: ConcurrentChanges(6)},
		{name: "one version", scenario: Parallel(ConflictingVersions(6), ReadConfiguration(8, d/4))},
		{name: "acknowledgements lost", scenario: Parallel(LoseAcks(.7, d), ApplyChanges(6, d/4))},
		{name: "gone first", scenario: ScaleInWithoutDrain(svc, min(share, .3))},
		{name: "long core cut", scenario: Parallel(PartitionMachines(20*time.Second), ConflictingVersions(4), ReadConfiguration(10, d/4))},
		{name: "core split", scenario: Parallel(SplitCore(20*time.Second), ConflictingVersions(4), ReadConfiguration(10, d/4))},
		{name: "core not heard", scenario: Parallel(DropFromCore(20*time.Second), ConflictingVersions(4), ReadConfiguration(10, d/4))},
		{name: "core reset", scenario: Parallel(ResetCoreConnections(int(d/(30*time.Millisecond))), ConflictingVersions(6), ApplyChanges(8, d/8), ReadConfiguration(10, d/10))},
		{name: "core restarted", scenario: RestartPartitionedCore(3 * d)},
		{name: "core relieved", scenario: RestartMajorityAfterHeal(3 * d)},
		{name: "core lured", scenario: DrainViaPartitionedController(svc, min(share, .3), 3*d)},
		{name: "core seeded", scenario: RestartWithPartitionedSeeds(n, 2*d)},
		{name: "storm", scenario: ChangeStorm(25)},
		{name: "older", scenario: Repeat(n, d/2, ResendOlderChange)},
		{name: "invalid", scenario: InvalidChanges(6)},
		{name: "chained", scenario: DependentChanges(6, d/4)},
		{name: "power after a leaving", scenario: Repeat(n, d, PowerLossAfterDrainAck(svc, d/2))},
		{name: "controllers frozen", scenario: Parallel(FreezeControllers(n+1, d+3*time.Second), ApplyChanges(6, d/4))},
		{name: "rolled, slow targets", scenario: Parallel(RollingRestart(d/4), FaultyTargets(svc, 1, TargetFault{WorkFactor: 3}, 20*time.Second))},
		{name: "burst", scenario: TrafficBurst(1.5+3*r.Float64(), d)},
		{name: "callers leave", scenario: Parallel(CallersDisconnect(.4, 100*time.Millisecond, d), FaultyTargets(svc, share, TargetFault{WorkFactor: 6}, d))},
		{name: "abuse", scenario: Parallel(AggressiveRetries(d), TrafficBurst(2.5, d))},
	}
	if diskLoss {
		out = append(out, namedScenario{"cut off until the end", Parallel(UntilFinalRead(BeginIsolation(n, r.IntN(2) == 0)), ApplyChanges(4, d/4)), true}, namedScenario{"core behind", LoseDiskWhileOthersBehind(2 * d), true}, namedScenario{"disk after an acknowledgement", PowerLossAfterAck(true, d/2), true}, namedScenario{"cut off, told, and lost", LoseIsolatedMachine(d/2, d/2), true})
	}
	return out
}

// drawScenarios draws the scenarios of a day. diskLoss permits one that loses a disk.
func drawScenarios(t *testing.T, seed uint64, diskLoss bool) (s Deployment, length time.Duration, out []Scenario) {
	r := rand.New(rand.NewPCG(seed, 7))
	s, length = SmallDeployment(), 30*time.Second
	if r.IntN(4) == 0 {
		s = LargeDeployment()
	}
	for range 2 + r.IntN(4) {
		c := scenarioCatalogue(r, diskLoss)
		x := c[r.IntN(len(c))]
		diskLoss = diskLoss && !x.losesDisk
		at := time.Duration(r.Int64N(int64(length / 2)))
		t.Logf("at %v: %s", warmUp+at, x.name)
		out = append(out, StartAt(at, x.scenario))
	}
	if r.IntN(4) == 0 {
		ends := []FinalFaultKind{AllKilled, AllLosePower}
		if diskLoss {
			ends = append(ends, DisksLostAllKilled)
		}
		end := ends[r.IntN(len(ends))]
		at := length
		length += 25 * time.Second
		t.Logf("at %v: final fault %d", warmUp+at, end)
		out = append(out, StartAt(at, FailAllMachines(end, 2*time.Second)))
	}
	return s, length, out
}

// links is the kind of links on which a mixed day runs.
type links int

const (
	wide   links = iota
	narrow       // with downloads that fit the bandwidth
	heavy        // with more downloads than some of the links can carry
)

func (l links) String() string { return [...]string{"wide", "narrow", "narrow with many downloads"}[l] }

func runMixedDay(t *testing.T, seed uint64, l links) {
	t.Run(fmt.Sprintf("seed %d, links: %v", seed, l), func(t *testing.T) {
		t.Parallel()
		s, length, scenarios := drawScenarios(t, seed, true)
		switch l {
		case narrow:
			s.LinkMbps, s.Streams = NarrowLinkDeployment().LinkMbps, NarrowLinkDeployment().Streams
		case heavy:
			s.LinkMbps, s.Streams = OverloadedLinkDeployment().LinkMbps, OverloadedLinkDeployment().Streams
		}
		runAndCheck(t, seed, s, length, .1, scenarios...)
	})
}

// runDomainDay runs a day of mixed scenarios in which failure domains are lost.
func runDomainDay(t *testing.T, seed uint64) {
	t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
		t.Parallel()
		_, length, scenarios := drawScenarios(t, seed, false)
		r := rand.New(rand.NewPCG(seed, 9))
		s, d := lo.Ternary(r.IntN(2) == 0, ZoneTolerantDeployment, RegionTolerantDeployment)(), time.Second+time.Duration(r.Int64N(int64(5*time.Second)))
		lost := []Scenario{LoseDomain(true, d), LoseDomainsInTurn(d), LoseDomainWhileAnotherDown(d)}[r.IntN(3)]
		at := time.Duration(r.Int64N(int64(10 * time.Second)))
		t.Logf("%d regions, at %v: failure domain lost", s.Regions, warmUp+at)
		runAndCheck(t, seed, s, length+10*time.Second, .1, append(scenarios, StartAt(at, lost))...)
	})
}

// Checks that days in which failure domains are lost in addition to other scenarios break no rule.
func TestDomainMixes(t *testing.T) {
	for seed := range lo.Ternary(raceEnabled, uint64(1), 8) {
		runDomainDay(t, 301+seed)
	}
}

// TestDomainHunt runs as many of these days as the -days flag asks for, as TestHunt does.
func TestDomainHunt(t *testing.T) {
	runSeeds(t, runDomainDay)
}

// Checks that days with several random scenarios break no rule.
func TestMixes(t *testing.T) {
	for seed := range lo.Ternary(raceEnabled, uint64(2), 10) {
		runMixedDay(t, 1+seed, wide)
	}
	for seed := range lo.Ternary(raceEnabled, uint64(1), 4) {
		runMixedDay(t, 101+seed, narrow)
	}
	for seed := range lo.Ternary(raceEnabled, uint64(1), 3) {
		runMixedDay(t, 201+seed, heavy)
	}
}

// TestHunt runs as many days as the -days flag asks for: go test ./internal/sim/day -run TestHunt
// -days 200 -seed 1000.
func TestHunt(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) { runMixedDay(t, seed, links(max(0, int(seed%4)-1))) })
}

// runSeeds runs as many days as the flags ask for, each with its own seed.
func runSeeds(t *testing.T, play func(t *testing.T, seed uint64)) {
	if *dayCount == 0 {
		t.Skip("no -days given")
	}
	for i := range *dayCount {
		play(t, *firstSeed+uint64(i))
	}
}
