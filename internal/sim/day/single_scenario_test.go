package day

import (
	"maps"
	"slices"
	"testing"
	"time"
)

const sec = time.Second

// singleScenarios are days with one scenario each, and the minimum share of calls that must be
// served on that day.
var singleScenarios = map[string]struct {
	length   time.Duration
	served   float64
	scenario Scenario
}{
	"targets crash":                         {20 * sec, .9, CrashTargets("orders", .3, ProcessCrash, 6*sec)},
	"targets are dark":                      {20 * sec, .85, CrashTargets("orders", .3, Unresponsive, 6*sec)},
	"targets are gone":                      {20 * sec, .85, CrashTargets("archive", .3, UnresponsiveForGood, sec)},
	"release":                               {25 * sec, .97, ReplaceTargets("orders", 800*time.Millisecond)},
	"addresses reused":                      {20 * sec, .9, ReuseAddresses("orders", "archive", .4, false)},
	"addresses reused in order":             {20 * sec, .97, ReuseAddresses("archive", "orders", .4, true)},
	"scale-in":                              {20 * sec, .97, ScaleIn("orders", .4)},
	"answers lost in silence":               {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{NoResponse: .3}, 8*sec)},
	"answers lost by resets":                {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{ResetAfterRun: .3}, 8*sec)},
	"wrong bytes":                           {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: WrongBytes}, 8*sec)},
	"more behind an answer":                 {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: TrailingBytes}, 8*sec)},
	"answers break off":                     {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: TruncatedBody}, 8*sec)},
	"answers of another":                    {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: OtherRequestID}, 8*sec)},
	"answers twice":                         {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: PreviousRepeated}, 8*sec)},
	"slow targets":                          {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{WorkFactor: 5}, 8*sec)},
	"grey targets":                          {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{ResetBeforeRun: .4}, 8*sec)},
	"health lies, unwell":                   {20 * sec, .95, FaultyTargets("orders", .6, TargetFault{HealthFails: true}, 10*sec)},
	"health lies, well":                     {20 * sec, .75, FaultyTargets("orders", .3, TargetFault{AnswersOnlyHealth: true}, 10*sec)},
	"flapping":                              {20 * sec, .75, FlapTargets("orders", .4, 10*sec)},
	"idle connections forgotten":            {20 * sec, .97, FaultyTargets("orders", 1, TargetFault{ClosesIdleEarly: true}, 15*sec)},
	"targets reset connections":             {20 * sec, .95, Repeat(4, 2*sec, ResetTargetConnections("orders", .6))},
	"targets full":                          {20 * sec, .8, FaultyTargets("orders", .5, TargetFault{Full: true}, 8*sec)},
	"targets full, by resets":               {20 * sec, .7, FaultyTargets("orders", .5, TargetFault{FullByReset: true}, 8*sec)},
	"gateways killed":                       {20 * sec, .9, Repeat(3, 2*sec, KillProcesses(1, Gateway, 2*sec))},
	"controllers killed":                    {20 * sec, .97, Repeat(3, 2*sec, KillProcesses(2, Controller, 2*sec))},
	"machine killed":                        {20 * sec, .9, Repeat(2, 3*sec, KillProcesses(1, Both, 3*sec))},
	"machines frozen":                       {25 * sec, .8, Repeat(3, 2*sec, FreezeMachines(1, 3*sec))},
	"rolled":                                {60 * sec, .97, RollingRestart(2 * sec)},
	"herd killed":                           {25 * sec, .6, KillShare(.7, Both, 3*sec)},
	"power lost after an answer":            {25 * sec, .9, Repeat(2, 3*sec, PowerLossAfterAck(false, 4*sec))},
	"disk lost after an answer":             {25 * sec, .9, Repeat(2, 3*sec, PowerLossAfterAck(true, 4*sec))},
	"disks slow":                            {25 * sec, .97, Parallel(SlowDisks(2, 12*sec), ApplyChanges(6, sec))},
	"disk refuses":                          {20 * sec, .97, Parallel(RefuseSyncs(5*sec), ApplyChanges(6, sec))},
	"core cut":                              {30 * sec, .95, Parallel(PartitionMachines(10*sec), ApplyChanges(6, 2*sec), ScaleIn("orders", .2))},
	"core split for 20 s":                   {40 * sec, .9, Parallel(SplitCore(20*sec), ConflictingVersions(10), LoseAcks(.5, 15*sec), ReadConfiguration(25, sec))},
	"core machines not heard for 20 s":      {40 * sec, .8, Parallel(DropFromCore(20*sec), ConflictingVersions(10), ApplyChanges(6, 2*sec), ReadConfiguration(25, sec), ScaleIn("orders", .2))},
	"core connections reset":                {30 * sec, .8, Parallel(ResetCoreConnections(500), ConflictingVersions(10), ApplyChanges(10, sec), LoseAcks(.3, 10*sec), ReadConfiguration(25, sec), ScaleIn("orders", .2))},
	"controllers roll over and over":        {60 * sec, .6, Parallel(RestartControllers(12, 200*time.Millisecond), ConflictingVersions(10), ApplyChanges(20, 2*sec), ReadConfiguration(40, sec), ScaleInWithoutDrain("orders", .3))},
	"core cut and restarted":                {45 * sec, .6, Parallel(RestartPartitionedCore(20*sec), ConflictingVersions(8), ReadConfiguration(25, sec))},
	"core cut and relieved":                 {45 * sec, .6, Parallel(RestartMajorityAfterHeal(20*sec), ReadConfiguration(25, sec), LoseAcks(.5, 15*sec))},
	"core behind, a disk lost":              {45 * sec, .5, Parallel(LoseDiskWhileOthersBehind(10*sec), ReadConfiguration(25, sec))},
	"core cut, the leaving lured":           {40 * sec, .85, Parallel(DrainViaPartitionedController("orders", .3, 20*sec), ApplyChanges(4, 3*sec))},
	"core cut, named as seeds":              {45 * sec, .7, Parallel(RestartWithPartitionedSeeds(3, 15*sec), ApplyChanges(4, 3*sec))},
	"disks lost and all without power":      {45 * sec, .5, Parallel(ConflictingVersions(6), ScaleInWithoutDrain("orders", .2), StartAt(15*sec, FailAllMachines(DisksLostAllLosePower, 3*sec)))},
	"machine cut off":                       {30 * sec, .9, Parallel(Repeat(2, 3*sec, IsolateMachines(1, true, 6*sec)), ApplyChanges(6, 2*sec))},
	"machine cut off one way":               {30 * sec, .9, Parallel(Repeat(2, 3*sec, IsolateMachines(1, false, 6*sec)), ApplyChanges(6, 2*sec))},
	"machines slow":                         {25 * sec, .8, DelayMachines(2, 80*time.Millisecond, 8*sec)},
	"machines lose messages":                {25 * sec, .8, LoseMessages(2, .1, 8*sec)},
	"machines reset connections":            {20 * sec, .9, Repeat(4, 2*sec, ResetMachineConnections(2))},
	"seeds exchanged":                       {25 * sec, .97, Parallel(Repeat(3, 3*sec, ReplaceSeeds), ApplyChanges(4, 2*sec))},
	"changes":                               {25 * sec, .97, ApplyChanges(10, sec)},
	"races":                                 {25 * sec, .97, ConcurrentChanges(8)},
	"one version, two contents":             {25 * sec, .97, Parallel(ConflictingVersions(12), LoseAcks(.6, 12*sec), ReadConfiguration(20, sec))},
	"core cut for 20 s":                     {40 * sec, .9, Parallel(PartitionMachines(20*sec), ConflictingVersions(12), LoseAcks(.5, 15*sec), ReadConfiguration(25, sec), ScaleInWithoutDrain("orders", .2))},
	"gone first, all controllers killed":    {40 * sec, .8, Parallel(ScaleInWithoutDrain("orders", .3), StartAt(300*time.Millisecond, KillShare(1, Controller, 500*time.Millisecond)), StartAt(6*sec, ScaleInWithoutDrain("archive", .3)), StartAt(6300*time.Millisecond, KillShare(1, Controller, time.Second)))},
	"hundreds of changes, a restart":        {45 * sec, .95, Parallel(ChangeStorm(150), LoseAcks(.3, 15*sec), StartAt(12*sec, Repeat(2, 4*sec, KillProcesses(1, Both, 2*sec))), ReadConfiguration(25, sec))},
	"disks lost one after the other":        {60 * sec, .85, Parallel(Repeat(3, 9*sec, PowerLossAfterAck(true, 2*sec)), ConflictingVersions(10), ReadConfiguration(30, sec))},
	"storm":                                 {25 * sec, .97, ChangeStorm(40)},
	"older changes":                         {25 * sec, .97, Repeat(4, sec, ResendOlderChange)},
	"invalid changes":                       {25 * sec, .97, Parallel(InvalidChanges(10), ApplyChanges(5, 2*sec))},
	"burst":                                 {25 * sec, .4, TrafficBurst(4, 8*sec)},
	"retry abuse":                           {25 * sec, .2, Parallel(TrafficBurst(3, 10*sec), AggressiveRetries(12*sec))},
	"callers leave, targets are slow":       {25 * sec, .3, Parallel(CallersDisconnect(.6, 100*time.Millisecond, 15*sec), FaultyTargets("orders", .7, TargetFault{WorkFactor: 8}, 15*sec))},
	"callers leave while gateways roll":     {60 * sec, .5, Parallel(CallersDisconnect(.4, 200*time.Millisecond, 50*sec), RollingRestart(2*sec), FaultyTargets("orders", .5, TargetFault{WorkFactor: 5}, 50*sec))},
	"all killed":                            {45 * sec, .5, Parallel(ApplyChanges(4, sec), StartAt(15*sec, FailAllMachines(AllKilled, 3*sec)))},
	"all without power":                     {45 * sec, .5, Parallel(ApplyChanges(4, sec), StartAt(15*sec, FailAllMachines(AllLosePower, 3*sec)))},
	"disks lost and all killed":             {45 * sec, .5, Parallel(ApplyChanges(4, sec), StartAt(15*sec, FailAllMachines(DisksLostAllKilled, 3*sec)))},
	"leaving while controllers die":         {30 * sec, .85, Parallel(ScaleIn("orders", .3), Repeat(3, 2*sec, KillProcesses(2, Both, 2*sec)))},
	"release while gateways roll":           {60 * sec, .95, Parallel(RollingRestart(sec), ReplaceTargets("archive", 2*sec))},
	"reuse while a gateway is cut":          {30 * sec, .85, Parallel(IsolateMachines(2, true, 8*sec), ReuseAddresses("orders", "archive", .3, true))},
	"rolled while targets are slow":         {60 * sec, .5, Parallel(RollingRestart(sec), FaultyTargets("orders", 1, TargetFault{WorkFactor: 3}, 50*sec))},
	"chained changes":                       {25 * sec, .97, DependentChanges(12, sec)},
	"chained changes, a controller cut off": {30 * sec, .9, Parallel(IsolateMachines(2, false, 12*sec), DependentChanges(12, sec))},
	"power lost after a leaving":            {30 * sec, .9, Repeat(3, 3*sec, PowerLossAfterDrainAck("orders", 2*sec))},
	"controllers frozen for long":           {30 * sec, .6, Parallel(FreezeControllers(3, 14*sec), ApplyChanges(12, sec))},
	"most targets reset":                    {25 * sec, .5, FaultyTargets("orders", 1, TargetFault{ResetBeforeRun: .7}, 15*sec)},
	"unsealed answers":                      {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: Unsealed}, 8*sec)},
	"answers without an end":                {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: EndsEarlyUnframed}, 8*sec)},
	"false promises":                        {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: FalseUnavailable}, 8*sec)},
	"malformed answers":                     {20 * sec, .8, FaultyTargets("orders", .4, TargetFault{Corrupt: .4, Corruption: Malformed}, 8*sec)},
	"malformed answers, and from probes":    {20 * sec, .8, FaultyTargets("archive", .4, TargetFault{Corrupt: .2, Corruption: Malformed, MalformedHealth: .6}, 8*sec)},
	"cut off, told, and lost":               {30 * sec, .9, LoseIsolatedMachine(3*sec, 4*sec)},
	"cut off at the end":                    {20 * sec, .8, Parallel(UntilFinalRead(BeginIsolation(2, true)), ApplyChanges(12, sec))},
	"cut off one way at the end":            {20 * sec, .8, Parallel(UntilFinalRead(BeginIsolation(2, false)), ApplyChanges(12, sec))},
	"storm while machines freeze":           {30 * sec, .8, Parallel(ChangeStorm(30), Repeat(3, 2*sec, FreezeMachines(1, 2*sec)))},
}

// Checks that no single scenario breaks a rule. Under the race detector only every sixth one runs.
func TestEachTrouble(t *testing.T) {
	for i, name := range slices.Sorted(maps.Keys(singleScenarios)) {
		if raceEnabled && i%6 != 0 {
			continue
		}
		d := singleScenarios[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runAndCheck(t, 1, SmallDeployment(), d.length, d.served, StartAt(3*sec, d.scenario))
		})
	}
}
