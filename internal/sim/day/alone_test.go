package day

import (
	"maps"
	"slices"
	"testing"
	"time"
)

const s = time.Second

// alone are days with one trouble each, and the least share of calls that such a
// day serves.
var alone = map[string]struct {
	length time.Duration
	served float64
	what   Trouble
}{
	"targets crash":                         {20 * s, .9, Crashed("orders", .3, Crash, 6*s)},
	"targets are dark":                      {20 * s, .85, Crashed("orders", .3, Dark, 6*s)},
	"targets are gone":                      {20 * s, .85, Crashed("archive", .3, Gone, s)},
	"release":                               {25 * s, .97, Release("orders", 800*time.Millisecond)},
	"addresses reused":                      {20 * s, .9, Reused("orders", "archive", .4, false)},
	"addresses reused in order":             {20 * s, .97, Reused("archive", "orders", .4, true)},
	"scale-in":                              {20 * s, .97, ScaleIn("orders", .4)},
	"answers lost in silence":               {20 * s, .8, Faulty("orders", .4, Fault{Silent: .3}, 8*s)},
	"answers lost by resets":                {20 * s, .8, Faulty("orders", .4, Fault{Resets: .3}, 8*s)},
	"wrong bytes":                           {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: WrongBytes}, 8*s)},
	"more behind an answer":                 {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: Extra}, 8*s)},
	"answers break off":                     {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: Short}, 8*s)},
	"answers of another":                    {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: OtherID}, 8*s)},
	"answers twice":                         {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: Surplus}, 8*s)},
	"slow targets":                          {20 * s, .8, Faulty("orders", .4, Fault{Factor: 5}, 8*s)},
	"grey targets":                          {20 * s, .8, Faulty("orders", .4, Fault{Grey: .4}, 8*s)},
	"health lies, unwell":                   {20 * s, .95, Faulty("orders", .6, Fault{Unwell: true}, 10*s)},
	"health lies, well":                     {20 * s, .75, Faulty("orders", .3, Fault{Mute: true}, 10*s)},
	"flapping":                              {20 * s, .75, Flapping("orders", .4, 10*s)},
	"idle connections forgotten":            {20 * s, .97, Faulty("orders", 1, Fault{Forgets: true}, 15*s)},
	"targets reset connections":             {20 * s, .95, Again(4, 2*s, TargetsReset("orders", .6))},
	"targets full":                          {20 * s, .8, Faulty("orders", .5, Fault{Full: true}, 8*s)},
	"targets full, by resets":               {20 * s, .7, Faulty("orders", .5, Fault{FullHard: true}, 8*s)},
	"gateways killed":                       {20 * s, .9, Again(3, 2*s, Killed(1, Gateway, 2*s))},
	"controllers killed":                    {20 * s, .97, Again(3, 2*s, Killed(2, Controller, 2*s))},
	"machine killed":                        {20 * s, .9, Again(2, 3*s, Killed(1, Both, 3*s))},
	"machines frozen":                       {25 * s, .8, Again(3, 2*s, Froze(1, 3*s))},
	"rolled":                                {60 * s, .97, Rolled(2 * s)},
	"herd killed":                           {25 * s, .6, Herd(.7, Both, 3*s)},
	"power lost after an answer":            {25 * s, .9, Again(2, 3*s, AfterAck(false, 4*s))},
	"disk lost after an answer":             {25 * s, .9, Again(2, 3*s, AfterAck(true, 4*s))},
	"disks slow":                            {25 * s, .97, Together(DiskSlow(2, 12*s), Changes(6, s))},
	"disk refuses":                          {20 * s, .97, Together(DiskRefuses(5*s), Changes(6, s))},
	"core cut":                              {30 * s, .95, Together(CoreCut(10*s), Changes(6, 2*s), ScaleIn("orders", .2))},
	"core split for 20 s":                   {40 * s, .9, Together(CoreSplit(20*s), RaceOneVersion(10), AcksLost(.5, 15*s), Reads(25, s))},
	"core machines not heard for 20 s":      {40 * s, .8, Together(CoreNotHeard(20*s), RaceOneVersion(10), Changes(6, 2*s), Reads(25, s), ScaleIn("orders", .2))},
	"core connections reset":                {30 * s, .8, Together(CoreReset(500), RaceOneVersion(10), Changes(10, s), AcksLost(.3, 10*s), Reads(25, s), ScaleIn("orders", .2))},
	"controllers roll over and over":        {60 * s, .6, Together(ControllersRolled(12, 200*time.Millisecond), RaceOneVersion(10), Changes(20, 2*s), Reads(40, s), ScaleInUnsaid("orders", .3))},
	"core cut and restarted":                {45 * s, .6, Together(CoreCutAndRestarted(20*s), RaceOneVersion(8), Reads(25, s))},
	"core cut and relieved":                 {45 * s, .6, Together(CoreRelieved(20*s), Reads(25, s), AcksLost(.5, 15*s))},
	"core behind, a disk lost":              {45 * s, .5, Together(CoreBehind(10*s), Reads(25, s))},
	"core cut, the leaving lured":           {40 * s, .85, Together(CoreLured("orders", .3, 20*s), Changes(4, 3*s))},
	"core cut, named as seeds":              {45 * s, .7, Together(CoreSeeded(3, 15*s), Changes(4, 3*s))},
	"disks lost and all without power":      {45 * s, .5, Together(RaceOneVersion(6), ScaleInUnsaid("orders", .2), At(15*s, Closes(DisksAndPower, 3*s)))},
	"machine cut off":                       {30 * s, .9, Together(Again(2, 3*s, NodeCut(1, true, 6*s)), Changes(6, 2*s))},
	"machine cut off one way":               {30 * s, .9, Together(Again(2, 3*s, NodeCut(1, false, 6*s)), Changes(6, 2*s))},
	"machines slow":                         {25 * s, .8, Slowed(2, 80*time.Millisecond, 8*s)},
	"machines lose messages":                {25 * s, .8, Lossy(2, .1, 8*s)},
	"machines reset connections":            {20 * s, .9, Again(4, 2*s, MachinesReset(2))},
	"seeds exchanged":                       {25 * s, .97, Together(Again(3, 3*s, SeedTurnover), Changes(4, 2*s))},
	"changes":                               {25 * s, .97, Changes(10, s)},
	"races":                                 {25 * s, .97, Race(8)},
	"one version, two contents":             {25 * s, .97, Together(RaceOneVersion(12), AcksLost(.6, 12*s), Reads(20, s))},
	"core cut for 20 s":                     {40 * s, .9, Together(CoreCut(20*s), RaceOneVersion(12), AcksLost(.5, 15*s), Reads(25, s), ScaleInUnsaid("orders", .2))},
	"gone first, all controllers killed":    {40 * s, .8, Together(ScaleInUnsaid("orders", .3), At(300*time.Millisecond, Herd(1, Controller, 500*time.Millisecond)), At(6*s, ScaleInUnsaid("archive", .3)), At(6300*time.Millisecond, Herd(1, Controller, time.Second)))},
	"hundreds of changes, a restart":        {45 * s, .95, Together(Storm(150), AcksLost(.3, 15*s), At(12*s, Again(2, 4*s, Killed(1, Both, 2*s))), Reads(25, s))},
	"disks lost one after the other":        {60 * s, .85, Together(Again(3, 9*s, AfterAck(true, 2*s)), RaceOneVersion(10), Reads(30, s))},
	"storm":                                 {25 * s, .97, Storm(40)},
	"older changes":                         {25 * s, .97, Again(4, s, Older)},
	"invalid changes":                       {25 * s, .97, Together(Invalid(10), Changes(5, 2*s))},
	"burst":                                 {25 * s, .4, Burst(4, 8*s)},
	"retry abuse":                           {25 * s, .2, Together(Burst(3, 10*s), Abuse(12*s))},
	"callers leave, targets are slow":       {25 * s, .3, Together(CallersLeave(.6, 100*time.Millisecond, 15*s), Faulty("orders", .7, Fault{Factor: 8}, 15*s))},
	"callers leave while gateways roll":     {60 * s, .5, Together(CallersLeave(.4, 200*time.Millisecond, 50*s), Rolled(2*s), Faulty("orders", .5, Fault{Factor: 5}, 50*s))},
	"all killed":                            {45 * s, .5, Together(Changes(4, s), At(15*s, Closes(AllKilled, 3*s)))},
	"all without power":                     {45 * s, .5, Together(Changes(4, s), At(15*s, Closes(AllPower, 3*s)))},
	"disks lost and all killed":             {45 * s, .5, Together(Changes(4, s), At(15*s, Closes(DisksLost, 3*s)))},
	"leaving while controllers die":         {30 * s, .85, Together(ScaleIn("orders", .3), Again(3, 2*s, Killed(2, Both, 2*s)))},
	"release while gateways roll":           {60 * s, .95, Together(Rolled(s), Release("archive", 2*s))},
	"reuse while a gateway is cut":          {30 * s, .85, Together(NodeCut(2, true, 8*s), Reused("orders", "archive", .3, true))},
	"rolled while targets are slow":         {60 * s, .5, Together(Rolled(s), Faulty("orders", 1, Fault{Factor: 3}, 50*s))},
	"chained changes":                       {25 * s, .97, Chained(12, s)},
	"chained changes, a controller cut off": {30 * s, .9, Together(NodeCut(2, false, 12*s), Chained(12, s))},
	"power lost after a leaving":            {30 * s, .9, Again(3, 3*s, AfterLeaving("orders", 2*s))},
	"controllers frozen for long":           {30 * s, .6, Together(ControllersFroze(3, 14*s), Changes(12, s))},
	"most targets reset":                    {25 * s, .5, Faulty("orders", 1, Fault{Grey: .7}, 15*s)},
	"unsealed answers":                      {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: Unsealed}, 8*s)},
	"answers without an end":                {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: Unframed}, 8*s)},
	"false promises":                        {20 * s, .8, Faulty("orders", .4, Fault{Garbles: .4, Garble: Promise}, 8*s)},
	"cut off, told, and lost":               {30 * s, .9, CutAndLost(3*s, 4*s)},
	"cut off at the end":                    {20 * s, .8, Together(Lasting(CutOffNodes(2, true)), Changes(12, s))},
	"cut off one way at the end":            {20 * s, .8, Together(Lasting(CutOffNodes(2, false)), Changes(12, s))},
	"storm while machines freeze":           {30 * s, .8, Together(Storm(30), Again(3, 2*s, Froze(1, 2*s)))},
}

// Each trouble alone breaks no rule. Under the race detector every sixth is played.
func TestEachTrouble(t *testing.T) {
	for i, name := range slices.Sorted(maps.Keys(alone)) {
		if raced && i%6 != 0 {
			continue
		}
		d := alone[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, 1, Small(), d.length, d.served, At(3*s, d.what))
		})
	}
}
