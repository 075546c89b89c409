package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

const (
	window = 10 * time.Second
	tick   = 20 * time.Millisecond
	ratio  = 0.2
	slack  = 66
)

// sendRecorder counts per tick the sends that a service got from all nodes, and checks the guarantee.
type sendRecorder struct{ requests, extraSends []int }

func (w *sendRecorder) add(list *[]int, at time.Duration) {
	i := int(at / tick)
	for len(*list) <= i {
		*list = append(*list, 0)
	}
	(*list)[i]++
}

// worstExcess is the number of sends over the guaranteed limit in the worst window, negative if no
// window exceeds it. Users were promised a limit that counts a third window; this one does not.
func (w *sendRecorder) worstExcess(slack float64) float64 {
	n := max(len(w.requests), len(w.extraSends))
	sums := func(list []int) []int {
		s := make([]int, n+1)
		for i := range n {
			s[i+1] = s[i]
			if i < len(list) {
				s[i+1] += list[i]
			}
		}
		return s
	}
	f, x := sums(w.requests), sums(w.extraSends)
	in := func(s []int, from, to int) float64 {
		return float64(s[min(max(to, 0), n)] - s[min(max(from, 0), n)])
	}
	k := int(window / tick)
	worst := math.Inf(-1)
	for end := 1; end <= n+k; end++ {
		r := max(in(f, end-k, end), in(f, end-2*k, end-k))
		worst = max(worst, in(x, end-k, end)-ratio*r-slack)
	}
	return worst
}

func (w *sendRecorder) totalExtra() (n int) {
	for _, x := range w.extraSends {
		n += x
	}
	return n
}

// Guards against a check that detects nothing and so accepts every budget.
func TestWatchSeesABrokenPromise(t *testing.T) {
	var w sendRecorder
	for range 100 {
		w.add(&w.requests, 5*time.Second)
	}
	for range 20 + slack {
		w.add(&w.extraSends, 10*time.Second)
	}
	if got := w.worstExcess(slack); got != 0 {
		t.Fatalf("excess %v at the limit, want 0", got)
	}
	w.add(&w.extraSends, 14*time.Second)
	if got := w.worstExcess(slack); got != 1 {
		t.Fatalf("excess %v with one send over the limit, want 1", got)
	}
}

// load is the rate of requests to all nodes over time, and the probability that a node asks for
// an extra send.
type load struct {
	name            string
	rate            func(at time.Duration) float64
	sendProbability func(at time.Duration) float64
}

func steady(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// pulses is v for the first part (a ratio) of each period and 0 for the rest.
func pulses(v float64, period time.Duration, part float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if float64(at%period) < part*float64(period) {
			return v
		}
		return 0
	}
}

// nodeSet simulates nodes that share a service: they fail, restart as new processes, and
// double in number for a while.
type nodeSet struct {
	rng             *rand.Rand
	nodes           []*Budget // nil if down
	restartAt       []time.Time
	recorder        sendRecorder
	churn           float64 // failures per node and second
	missProbability float64 // probability that a node misses all reports in a second
}

func (f *nodeSet) alive() (n int) {
	for _, b := range f.nodes {
		if b != nil {
			n++
		}
	}
	return n
}

// delay is a random network delay of a request or a send, within one slot.
func (f *nodeSet) delay() time.Duration {
	return time.Duration(f.rng.Float64() * float64(window/slotsPerWindow))
}

func (f *nodeSet) run(l load, length time.Duration, double bool) {
	initial := len(f.nodes)
	for i := range f.nodes {
		f.nodes[i] = New(ratio, window, slack, clock.Wall{})
	}
	for at := time.Duration(0); at < length; at += tick {
		if double && at == length/3 {
			for range initial {
				f.nodes = append(f.nodes, New(ratio, window, slack, clock.Wall{}))
				f.restartAt = append(f.restartAt, time.Time{})
			}
		}
		if double && at == 2*length/3 {
			f.nodes, f.restartAt = f.nodes[:initial], f.restartAt[:initial]
		}
		for i, b := range f.nodes {
			switch {
			case b == nil && time.Since(f.restartAt[i]) >= 0:
				f.nodes[i] = New(ratio, window, slack, clock.Wall{})
			case b != nil && f.rng.Float64() < f.churn*tick.Seconds():
				f.nodes[i] = nil
				f.restartAt[i] = time.Now().Add(time.Duration(f.rng.Float64() * 8 * float64(time.Second)))
			}
		}
		if at%time.Second == 0 {
			for _, b := range f.nodes {
				if b != nil && f.rng.Float64() >= f.missProbability {
					b.SetNodes(f.alive())
				}
			}
		}
		for n := l.rate(at) * tick.Seconds(); n > 0; n-- {
			if f.rng.Float64() < n {
				f.recorder.add(&f.recorder.requests, max(0, at-f.delay()))
				if b := f.nodes[f.rng.IntN(len(f.nodes))]; b != nil {
					b.ForService("s").RecordRequest()
				}
			}
		}
		for _, b := range f.nodes {
			for b != nil && f.rng.Float64() < l.sendProbability(at) && b.ForService("s").TryExtraSend() {
				f.recorder.add(&f.recorder.extraSends, at+f.delay())
			}
		}
		time.Sleep(tick)
	}
}

var loads = []load{
	{"steady, greedy", steady(200), steady(0.99)},
	{"steady, now and then", steady(200), steady(0.02)},
	{"steady, in bursts", steady(200), pulses(0.99, 12*time.Second, 0.05)},
	{"waves of half a window", pulses(400, window/2, 0.5), pulses(0.99, window/2, 0.5)},
	{"waves, sends between them", pulses(400, 15*time.Second, 0.3), pulses(0.99, 7*time.Second, 0.1)},
	{"waves of a window and a half", pulses(600, 15*time.Second, 0.5), steady(0.99)},
	{"a crowd that leaves", pulses(1000, 40*time.Second, 0.3), pulses(0.99, 10*time.Second, 0.3)},
	{"nearly nothing", steady(1), steady(0.99)},
}

func TestPromiseHoldsInEveryWindow(t *testing.T) {
	seed := uint64(0)
	for _, l := range loads {
		for _, churn := range []float64{0, 0.03} {
			for _, double := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, churn %v, double %v", l.name, churn, double), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						seed++
						f := &nodeSet{
							rng:   rand.New(rand.NewPCG(seed, 7)),
							nodes: make([]*Budget, 13), restartAt: make([]time.Time, 13),
							churn: churn, missProbability: 0.2,
						}
						f.run(l, 100*time.Second, double)
						if over := f.recorder.worstExcess(slack); over > 0 {
							t.Errorf("seed %d: limit exceeded by %v sends", seed, over)
						}
						if f.recorder.totalExtra() == 0 {
							t.Errorf("seed %d: nothing was sent", seed)
						}
					})
				})
			}
		}
	}
}

// A limit by the window that ends now, which seems sufficient, violates the guarantee. This shows
// that the test above can detect it.
func TestBoundByTheOwnWindowAloneIsNotEnough(t *testing.T) {
	var w sendRecorder
	var requests, extraSends []time.Duration
	in := func(list []time.Duration, at time.Duration) (n int) {
		for _, a := range list {
			if a > at-window {
				n++
			}
		}
		return n
	}
	rate := pulses(1000, 15*time.Second, 0.3)
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		for range int(rate(at) * tick.Seconds()) {
			requests = append(requests, at)
			w.add(&w.requests, at)
		}
		if at%(250*time.Millisecond) != 0 {
			continue
		}
		for f := in(requests, at); float64(in(extraSends, at)+1) <= ratio*float64(f); {
			extraSends = append(extraSends, at)
			w.add(&w.extraSends, at)
		}
	}
	if over := w.worstExcess(0); over <= 0 {
		t.Fatalf("the naive limit keeps the guarantee (excess %v)", over)
	}
}

// Guards against a limit that admits no extra sends, which would also keep the guarantee.
func TestSteadyLoadGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &nodeSet{rng: rand.New(rand.NewPCG(1, 1)), nodes: make([]*Budget, 13), restartAt: make([]time.Time, 13)}
		f.run(load{rate: steady(200), sendProbability: steady(0.99)}, 100*time.Second, false)
		secondHalf := 0
		for _, n := range f.recorder.extraSends[len(f.recorder.extraSends)/2:] {
			secondHalf += n
		}
		perWindow := float64(secondHalf) / 5
		if want := safetyFactor*ratio*2000 + safetyFactor*slack; perWindow < 0.85*want || perWindow > want {
			t.Errorf("%v extra sends per window, want nearly %v", perWindow, want)
		}
	})
}

func TestFreshNodeHasHalfOfItsOwnAndNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, clock.Wall{})
		a := b.ForService("s")
		if a.TryExtraSend() {
			t.Fatal("a new node without requests got an extra send")
		}
		for range 5 {
			b.SetNodes(1)
			for range 100 {
				a.RecordRequest()
			}
			time.Sleep(time.Second)
		}
		n := 0
		for a.TryExtraSend() {
			n++
		}
		if want := int(safetyFactor * ratio / 2 * 500); n != want {
			t.Errorf("%d extra sends, want %d", n, want)
		}
	})
}

func useUpExtraSends(a *Account) (n int) {
	for a.TryExtraSend() {
		n++
	}
	return n
}

// reportNodes reports the number of nodes every second.
func reportNodes(b *Budget, n, seconds int) {
	for range seconds {
		b.SetNodes(n)
		time.Sleep(time.Second)
	}
}

func TestPartOfTheSlack(t *testing.T) {
	partOfSlack := func(n int) int { return int(safetyFactor * slack / float64(n)) }
	for _, c := range []struct {
		name    string
		prepare func(b *Budget)
		want    int
	}{
		{"told by one window", func(b *Budget) { reportNodes(b, 4, 10) }, 0},
		{"told for long", func(b *Budget) { reportNodes(b, 4, 17) }, partOfSlack(4)},
		{"never told", func(b *Budget) { time.Sleep(time.Minute) }, 0},
		{"no longer told", func(b *Budget) { reportNodes(b, 4, 17); time.Sleep(3 * time.Second) }, 0},
		{"told again after a gap", func(b *Budget) { reportNodes(b, 4, 17); time.Sleep(3 * time.Second); reportNodes(b, 4, 5) }, 0},
		{"more come", func(b *Budget) { reportNodes(b, 4, 17); reportNodes(b, 8, 1) }, partOfSlack(8)},
		{"some go", func(b *Budget) { reportNodes(b, 8, 17); reportNodes(b, 4, 30) }, partOfSlack(8)},
		{"some went long ago", func(b *Budget) { reportNodes(b, 8, 17); reportNodes(b, 4, 90) }, partOfSlack(4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New(ratio, window, slack, clock.Wall{})
				c.prepare(b)
				if n := useUpExtraSends(b.ForService("s")); n != c.want {
					t.Errorf("%d extra sends, want %d", n, c.want)
				}
				if n := useUpExtraSends(b.ForService("other")); n != c.want {
					t.Errorf("%d extra sends for another service, want %d", n, c.want)
				}
			})
		})
	}
}

// runManyNodes simulates far more nodes than the slack has sends, so that they round randomly. With
// skew the nodes get different shares of the requests, by weight.
func runManyNodes(seed uint64, n int, rate float64, skew bool, churn float64, length time.Duration) *sendRecorder {
	const step = 100 * time.Millisecond
	rng, draws := rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 13))
	newNode := func() *Budget { return NewWithRandom(ratio, window, slack, clock.Wall{}, draws.Float64) }
	nodes, weights := make([]*Budget, n), make([]float64, n)
	sum := 0.0
	for i := range nodes {
		nodes[i] = newNode()
		weights[i] = 1
		if skew {
			weights[i] = 0.05 + rng.ExpFloat64()
		}
		sum += weights[i]
	}
	var w sendRecorder
	for at := time.Duration(0); at < length; at += step {
		for i, b := range nodes {
			if rng.Float64() < churn*step.Seconds() {
				nodes[i] = newNode()
				continue
			}
			if at%time.Second == 0 {
				b.SetNodes(n)
			}
			a := b.ForService("s")
			for k := rate * step.Seconds() * weights[i] / sum; k > 0; k-- {
				if rng.Float64() < k {
					w.add(&w.requests, at)
					a.RecordRequest()
				}
			}
			for a.TryExtraSend() {
				w.add(&w.extraSends, at)
			}
		}
		time.Sleep(step)
	}
	return &w
}

// drawSeeds is the number of runs per case, each with its own random numbers.
const drawSeeds = 12

// Where a node's limit is below one extra send, the nodes together must still send nearly their
// share, and keep the guarantee in every window.
//
// The guarantee must hold in each run. The number of sends depends on the random numbers, and is checked over all runs of a
// case: a random number is valid for eight windows, longer than a run, so the nodes that may round up are selected once per
// run. Their number is nearly Poisson distributed with the mean roundingBias x safetyFactor x ratio x R, which is 19 for the
// rare service; its standard deviation of 4.4 is a quarter of what is sent.
func TestManyNodesSendByLot(t *testing.T) {
	for i, c := range []struct {
		name        string
		nodes       int
		rate, churn float64
		skew        bool
		// least is the minimum number of sends relative to ratio x requests; none are sent in the first 17 s of 60.
		least float64
	}{
		{"the mean rate", 680, 333, 0, false, 0.2},
		{"loads that differ, and deaths", 680, 333, 0.01, true, 0.15},
		{"a rare service", 680, 20, 0, true, 0.15},
		{"a busy one", 300, 3000, 0, true, 0.6},
		{"just more than the slack has", 60, 5, 0.01, true, 0.02},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			requests, extraSends := 0, 0
			for k := range uint64(drawSeeds) {
				seed := uint64(i) + 5*k
				synctest.Test(t, func(t *testing.T) {
					w := runManyNodes(seed, c.nodes, c.rate, c.skew, c.churn, 60*time.Second)
					if over := w.worstExcess(slack); over > 0 {
						t.Errorf("seed %d: limit exceeded by %v sends", seed, over)
					}
					requests += total(w.requests)
					extraSends += w.totalExtra()
				})
			}
			t.Logf("%d nodes, %d requests, %d extra sends", c.nodes, requests, extraSends)
			if want := c.least * ratio * float64(requests); float64(extraSends) < want {
				t.Errorf("%d extra sends, want at least %v", extraSends, want)
			}
		})
	}
}

func total(list []int) (n int) {
	for _, x := range list {
		n += x
	}
	return n
}

// logTail is the logarithm of the probability that of n nodes with the probability p each at least k send.
func logTail(n int, p float64, k int) float64 {
	logFactorial := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	largest, sum := math.Inf(-1), 0.0
	var terms []float64
	for i := k; i <= n; i++ {
		l := logFactorial(n) - logFactorial(i) - logFactorial(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p)
		terms, largest = append(terms, l), max(largest, l)
	}
	for _, l := range terms {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum)
}

// worstLogTail is the logarithm of the largest probability that randomized rounding exceeds the limit of
// one window, over several numbers of identical nodes and fractions of their limits.
func worstLogTail(bias, margin float64) float64 {
	worst := math.Inf(-1)
	for _, n := range []int{60, 100, 300, 680, 2000, 5000} {
		for f := 0.01; f < 1; f += 0.01 {
			if k := int(float64(n)*f+margin) + 1; k <= n && bias > 0 {
				worst = max(worst, logTail(n, bias*f, k))
			}
		}
	}
	return worst
}

// The exact tail probabilities must be as small as the margin was chosen for. Rounding without a bias,
// which seems fair, exceeds the limit far more often.
func TestLotsKeepTheMargin(t *testing.T) {
	for _, slack := range []int{1, 10, 33, 66, 168, 226, 1000} {
		margin := safetyFactor * float64(slack)
		if l := worstLogTail(roundingBias(margin), margin); l > -overrunExponent {
			t.Errorf("slack %d: a window exceeds its limit with probability exp(%v)", slack, l)
		}
	}
	if l := worstLogTail(1, safetyFactor*66); l < -overrunExponent {
		t.Errorf("rounding without a bias would be sufficient: exp(%v)", l)
	}
	if roundingBias(0) != 0 {
		t.Error("without any slack no limit may be rounded up")
	}
}

// In the first window under a new random number the previous one counts too, since both may apply
// within one window.
func TestLotsChangeOneWindowApart(t *testing.T) {
	a := New(ratio, window, slack, clock.Wall{}).ForService("s")
	for at := int64(0); at < 40*drawSlots; at += 7 {
		l := a.drawAt(at)
		if early := at%drawSlots < slotsPerWindow+2; early && l > a.previousDraw || l > a.lastDraw || !early && l != a.lastDraw {
			t.Fatalf("slot %d: drawn %v, last %v, previous %v", at, l, a.lastDraw, a.previousDraw)
		}
	}
	old := a.lastDraw
	if a.drawAt(40 * drawSlots); a.previousDraw != old {
		t.Errorf("previous draw is %v, want %v", a.previousDraw, old)
	}
	if a.drawAt(50 * drawSlots); a.previousDraw != 1 {
		t.Errorf("an expired draw, %v, still counts", a.previousDraw)
	}
}

// Where only some nodes take the number of nodes for larger than the slack, all together must stay
// within the limit.
func TestLotsBesideParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := int(math.Floor(safetyFactor * slack))
		sent := 0
		for i := range n {
			b := New(ratio, window, slack, clock.Wall{})
			reported := n
			if i%2 > 0 {
				reported = 10 * n
			}
			for range 18 {
				b.SetNodes(reported)
				b.ForService("s").RecordRequest()
				time.Sleep(time.Second)
			}
			sent += useUpExtraSends(b.ForService("s"))
		}
		if sent == 0 || float64(sent) > safetyFactor*slack+ratio*float64(n)*10 {
			t.Errorf("%d extra sends", sent)
		}
	})
}

func TestAccountsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, clock.Wall{})
		for i := range maxAccounts {
			b.ForService(fmt.Sprint(i))
		}
		reportNodes(b, 1, 20)
		over := b.ForService("one more")
		over.RecordRequest()
		if over.TryExtraSend() {
			t.Error("an account beyond the limit got an extra send")
		}
		if !b.ForService("0").TryExtraSend() {
			t.Error("an account within the limit got no extra send")
		}
		if len(b.accounts) != maxAccounts {
			t.Errorf("%d accounts", len(b.accounts))
		}
	})
}

func BenchmarkFirst(b *testing.B) {
	a := New(ratio, window, slack, clock.Wall{}).ForService("s")
	b.ReportAllocs()
	for b.Loop() {
		a.RecordRequest()
	}
}

func BenchmarkExtra(b *testing.B) {
	a := New(ratio, window, slack, clock.Wall{}).ForService("s")
	b.ReportAllocs()
	for b.Loop() {
		a.RecordRequest()
		a.TryExtraSend()
	}
}
