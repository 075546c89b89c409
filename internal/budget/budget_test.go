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

// watch notes per tick what a service got, over all nodes, and checks the promise.
type watch struct{ firsts, extra []int }

func (w *watch) add(list *[]int, at time.Duration) {
	i := int(at / tick)
	for len(*list) <= i {
		*list = append(*list, 0)
	}
	(*list)[i]++
}

// worst is by how much the promise, here without the users' third window, is broken in
// the worst window, below 0 if in none.
func (w *watch) worst(slack float64) float64 {
	n := max(len(w.firsts), len(w.extra))
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
	f, x := sums(w.firsts), sums(w.extra)
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

func (w *watch) spent() (n int) {
	for _, x := range w.extra {
		n += x
	}
	return n
}

// A check that sees nothing would pass every budget.
func TestWatchSeesABrokenPromise(t *testing.T) {
	var w watch
	for range 100 {
		w.add(&w.firsts, 5*time.Second)
	}
	for range 20 + slack {
		w.add(&w.extra, 10*time.Second)
	}
	if got := w.worst(slack); got != 0 {
		t.Fatalf("a promise just kept is seen as %v", got)
	}
	w.add(&w.extra, 14*time.Second)
	if got := w.worst(slack); got != 1 {
		t.Fatalf("a promise broken by one is seen as %v", got)
	}
}

// load is how many requests a second come to all nodes at a time, and how eager they
// are to send more.
type load struct {
	name  string
	rate  func(at time.Duration) float64
	eager func(at time.Duration) float64
}

func steady(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// waves is v for the first part of each period and 0 for the rest.
func waves(v float64, period time.Duration, part float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if float64(at%period) < part*float64(period) {
			return v
		}
		return 0
	}
}

// fleet plays nodes that share a service: they die, come again as fresh processes, and
// become twice as many for a while.
type fleet struct {
	rng   *rand.Rand
	nodes []*Budget // nil is down
	back  []time.Time
	watch watch
	churn float64 // deaths a node and second
	deaf  float64 // the chance that a node misses all tellings of a second
}

func (f *fleet) alive() (n int) {
	for _, b := range f.nodes {
		if b != nil {
			n++
		}
	}
	return n
}

// late is how long a request or a sending was on its way, within the grain.
func (f *fleet) late() time.Duration { return time.Duration(f.rng.Float64() * float64(window/fine)) }

func (f *fleet) play(l load, length time.Duration, double bool) {
	few := len(f.nodes)
	for i := range f.nodes {
		f.nodes[i] = New(ratio, window, slack, clock.Wall{})
	}
	for at := time.Duration(0); at < length; at += tick {
		if double && at == length/3 {
			for range few {
				f.nodes = append(f.nodes, New(ratio, window, slack, clock.Wall{}))
				f.back = append(f.back, time.Time{})
			}
		}
		if double && at == 2*length/3 {
			f.nodes, f.back = f.nodes[:few], f.back[:few]
		}
		for i, b := range f.nodes {
			switch {
			case b == nil && time.Since(f.back[i]) >= 0:
				f.nodes[i] = New(ratio, window, slack, clock.Wall{})
			case b != nil && f.rng.Float64() < f.churn*tick.Seconds():
				f.nodes[i] = nil
				f.back[i] = time.Now().Add(time.Duration(f.rng.Float64() * 8 * float64(time.Second)))
			}
		}
		if at%time.Second == 0 {
			for _, b := range f.nodes {
				if b != nil && f.rng.Float64() >= f.deaf {
					b.SetNodes(f.alive())
				}
			}
		}
		for n := l.rate(at) * tick.Seconds(); n > 0; n-- {
			if f.rng.Float64() < n {
				f.watch.add(&f.watch.firsts, max(0, at-f.late()))
				if b := f.nodes[f.rng.IntN(len(f.nodes))]; b != nil {
					b.Of("s").First()
				}
			}
		}
		for _, b := range f.nodes {
			for b != nil && f.rng.Float64() < l.eager(at) && b.Of("s").Extra() {
				f.watch.add(&f.watch.extra, at+f.late())
			}
		}
		time.Sleep(tick)
	}
}

var loads = []load{
	{"steady, greedy", steady(200), steady(0.99)},
	{"steady, now and then", steady(200), steady(0.02)},
	{"steady, in bursts", steady(200), waves(0.99, 12*time.Second, 0.05)},
	{"waves of half a window", waves(400, window/2, 0.5), waves(0.99, window/2, 0.5)},
	{"waves, sends between them", waves(400, 15*time.Second, 0.3), waves(0.99, 7*time.Second, 0.1)},
	{"waves of a window and a half", waves(600, 15*time.Second, 0.5), steady(0.99)},
	{"a crowd that leaves", waves(1000, 40*time.Second, 0.3), waves(0.99, 10*time.Second, 0.3)},
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
						f := &fleet{
							rng:   rand.New(rand.NewPCG(seed, 7)),
							nodes: make([]*Budget, 13), back: make([]time.Time, 13),
							churn: churn, deaf: 0.2,
						}
						f.play(l, 100*time.Second, double)
						if over := f.watch.worst(slack); over > 0 {
							t.Errorf("seed %d: the promise is broken by %v sends", seed, over)
						}
						if f.watch.spent() == 0 {
							t.Errorf("seed %d: nothing was sent", seed)
						}
					})
				})
			}
		}
	}
}

// The bound that looks enough, by the window that ends now, breaks the promise; so the
// test above is sharp enough to tell them apart.
func TestBoundByTheOwnWindowAloneIsNotEnough(t *testing.T) {
	var w watch
	var firsts, extra []time.Duration
	in := func(list []time.Duration, at time.Duration) (n int) {
		for _, a := range list {
			if a > at-window {
				n++
			}
		}
		return n
	}
	rate := waves(1000, 15*time.Second, 0.3)
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		for range int(rate(at) * tick.Seconds()) {
			firsts = append(firsts, at)
			w.add(&w.firsts, at)
		}
		if at%(250*time.Millisecond) != 0 {
			continue
		}
		for f := in(firsts, at); float64(in(extra, at)+1) <= ratio*float64(f); {
			extra = append(extra, at)
			w.add(&w.extra, at)
		}
	}
	if over := w.worst(0); over <= 0 {
		t.Fatalf("the naive bound keeps the promise (%v)", over)
	}
}

// A bound that lets nothing through would keep the promise, too.
func TestSteadyLoadGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{rng: rand.New(rand.NewPCG(1, 1)), nodes: make([]*Budget, 13), back: make([]time.Time, 13)}
		f.play(load{rate: steady(200), eager: steady(0.99)}, 100*time.Second, false)
		late := 0
		for _, n := range f.watch.extra[len(f.watch.extra)/2:] {
			late += n
		}
		per := float64(late) / 5 // a window
		if want := share*ratio*2000 + share*slack; per < 0.85*want || per > want {
			t.Errorf("%v further sends a window, want nearly %v", per, want)
		}
	})
}

func TestFreshNodeHasHalfOfItsOwnAndNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, clock.Wall{})
		a := b.Of("s")
		if a.Extra() {
			t.Fatal("a fresh node without requests sends more")
		}
		for range 5 {
			b.SetNodes(1)
			for range 100 {
				a.First()
			}
			time.Sleep(time.Second)
		}
		n := 0
		for a.Extra() {
			n++
		}
		if want := int(share * ratio / 2 * 500); n != want {
			t.Errorf("%d further sends, want %d", n, want)
		}
	})
}

func spend(a *Account) (n int) {
	for a.Extra() {
		n++
	}
	return n
}

// tell has the number of nodes told each second.
func tell(b *Budget, n, seconds int) {
	for range seconds {
		b.SetNodes(n)
		time.Sleep(time.Second)
	}
}

func TestPartOfTheSlack(t *testing.T) {
	whole := func(n int) int { return int(share * slack / float64(n)) }
	for _, c := range []struct {
		name string
		then func(b *Budget)
		want int
	}{
		{"told by one window", func(b *Budget) { tell(b, 4, 10) }, 0},
		{"told for long", func(b *Budget) { tell(b, 4, 17) }, whole(4)},
		{"never told", func(b *Budget) { time.Sleep(time.Minute) }, 0},
		{"no longer told", func(b *Budget) { tell(b, 4, 17); time.Sleep(3 * time.Second) }, 0},
		{"told again after a gap", func(b *Budget) { tell(b, 4, 17); time.Sleep(3 * time.Second); tell(b, 4, 5) }, 0},
		{"more come", func(b *Budget) { tell(b, 4, 17); tell(b, 8, 1) }, whole(8)},
		{"some go", func(b *Budget) { tell(b, 8, 17); tell(b, 4, 30) }, whole(8)},
		{"some went long ago", func(b *Budget) { tell(b, 8, 17); tell(b, 4, 90) }, whole(4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New(ratio, window, slack, clock.Wall{})
				c.then(b)
				if n := spend(b.Of("s")); n != c.want {
					t.Errorf("%d further sends, want %d", n, c.want)
				}
				if n := spend(b.Of("other")); n != c.want {
					t.Errorf("%d further sends for another service, want %d", n, c.want)
				}
			})
		})
	}
}

// manyNodes play far more nodes than the slack has sends, so that they round by lot. Their
// loads differ: what a node gets of the requests is its weight.
func manyNodes(seed uint64, n int, rate float64, skew bool, churn float64, length time.Duration) *watch {
	const beat = 100 * time.Millisecond
	rng, lots := rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 13))
	fresh := func() *Budget { return NewDrawing(ratio, window, slack, clock.Wall{}, lots.Float64) }
	nodes, weights := make([]*Budget, n), make([]float64, n)
	sum := 0.0
	for i := range nodes {
		nodes[i] = fresh()
		weights[i] = 1
		if skew {
			weights[i] = 0.05 + rng.ExpFloat64()
		}
		sum += weights[i]
	}
	var w watch
	for at := time.Duration(0); at < length; at += beat {
		for i, b := range nodes {
			if rng.Float64() < churn*beat.Seconds() {
				nodes[i] = fresh()
				continue
			}
			if at%time.Second == 0 {
				b.SetNodes(n)
			}
			a := b.Of("s")
			for k := rate * beat.Seconds() * weights[i] / sum; k > 0; k-- {
				if rng.Float64() < k {
					w.add(&w.firsts, at)
					a.First()
				}
			}
			for a.Extra() {
				w.add(&w.extra, at)
			}
		}
		time.Sleep(beat)
	}
	return &w
}

// lotSeeds is over how many draws of the lots the nodes are judged.
const lotSeeds = 12

// Where a node's share is below one further send, the nodes together send nearly their
// share all the same, and keep the promise in every window.
//
// The promise is to hold in each play. How much is sent is a matter of the lots, and is judged over all plays of a case: a lot
// stands for eight windows, longer than a play, so the nodes that may round up are drawn once in it. They are a Poisson
// number nearly: lean x share x ratio x R, which is 19 for the rare service, whose spread of 4.4 is a quarter of
// what is sent.
func TestManyNodesSendByLot(t *testing.T) {
	for i, c := range []struct {
		name        string
		nodes       int
		rate, churn float64
		skew        bool
		// least is the part of ratio x requests that is sent; none is in the first 17 s of 60.
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
			firsts, spent := 0, 0
			for k := range uint64(lotSeeds) {
				seed := uint64(i) + 5*k
				synctest.Test(t, func(t *testing.T) {
					w := manyNodes(seed, c.nodes, c.rate, c.skew, c.churn, 60*time.Second)
					if over := w.worst(slack); over > 0 {
						t.Errorf("seed %d: the promise is broken by %v sends", seed, over)
					}
					firsts += total(w.firsts)
					spent += w.spent()
				})
			}
			t.Logf("%d nodes, %d requests, %d further sends", c.nodes, firsts, spent)
			if want := c.least * ratio * float64(firsts); float64(spent) < want {
				t.Errorf("%d further sends, want %v at least", spent, want)
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

// tail is the chance, as a logarithm, that of n nodes with the chance p each at least k send.
func tail(n int, p float64, k int) float64 {
	lg := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	most, sum := math.Inf(-1), 0.0
	var terms []float64
	for i := k; i <= n; i++ {
		l := lg(n) - lg(i) - lg(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p)
		terms, most = append(terms, l), max(most, l)
	}
	for _, l := range terms {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum)
}

// worstLots is the largest chance, as a logarithm, that lots break one window, of nodes
// alike: their number and the fractions of their sums are walked through.
func worstLots(lean, margin float64) float64 {
	worst := math.Inf(-1)
	for _, n := range []int{60, 100, 300, 680, 2000, 5000} {
		for f := 0.01; f < 1; f += 0.01 {
			if k := int(float64(n)*f+margin) + 1; k <= n && lean > 0 {
				worst = max(worst, tail(n, lean*f, k))
			}
		}
	}
	return worst
}

// The exact tails of the sums are as rare as the margin was chosen for, and a rounding
// that does not lean, which looks fair, is not rare at all.
func TestLotsKeepTheMargin(t *testing.T) {
	for _, slack := range []int{1, 10, 33, 66, 168, 226, 1000} {
		margin := share * float64(slack)
		if l := worstLots(leaning(margin), margin); l > -rare {
			t.Errorf("slack %d: a window is broken with the chance exp(%v)", slack, l)
		}
	}
	if l := worstLots(1, share*66); l < -rare {
		t.Errorf("rounding that does not lean would do: exp(%v)", l)
	}
	if leaning(0) != 0 {
		t.Error("without any slack nobody may round up")
	}
}

// In the first window under a new lot the one before counts too, for both may fall into
// one window.
func TestLotsChangeOneWindowApart(t *testing.T) {
	a := New(ratio, window, slack, clock.Wall{}).Of("s")
	for at := int64(0); at < 40*lot; at += 7 {
		l := a.draw(at)
		if early := at%lot < fine+2; early && l > a.before || l > a.lot || !early && l != a.lot {
			t.Fatalf("slot %d: lot %v of %v after %v", at, l, a.lot, a.before)
		}
	}
	old := a.lot
	if a.draw(40 * lot); a.before != old {
		t.Errorf("the lot before is %v, want %v", a.before, old)
	}
	if a.draw(50 * lot); a.before != 1 {
		t.Errorf("a lot of long ago, %v, still counts", a.before)
	}
}

// Nodes that hold the number for large beside nodes that do not give away more than they
// take.
func TestLotsBesideParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := int(math.Floor(share * slack))
		all := 0
		for i := range n {
			b := New(ratio, window, slack, clock.Wall{})
			told := n
			if i%2 > 0 {
				told = 10 * n
			}
			for range 18 {
				b.SetNodes(told)
				b.Of("s").First()
				time.Sleep(time.Second)
			}
			all += spend(b.Of("s"))
		}
		if all == 0 || float64(all) > share*slack+ratio*float64(n)*10 {
			t.Errorf("%d further sends", all)
		}
	})
}

func TestAccountsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, clock.Wall{})
		for i := range maxServices {
			b.Of(fmt.Sprint(i))
		}
		tell(b, 1, 20)
		over := b.Of("one more")
		over.First()
		if over.Extra() {
			t.Error("an account beyond the bound sends more")
		}
		if !b.Of("0").Extra() {
			t.Error("an account within it does not")
		}
		if len(b.accounts) != maxServices {
			t.Errorf("%d accounts", len(b.accounts))
		}
	})
}

func BenchmarkFirst(b *testing.B) {
	a := New(ratio, window, slack, clock.Wall{}).Of("s")
	b.ReportAllocs()
	for b.Loop() {
		a.First()
	}
}

func BenchmarkExtra(b *testing.B) {
	a := New(ratio, window, slack, clock.Wall{}).Of("s")
	b.ReportAllocs()
	for b.Loop() {
		a.First()
		a.Extra()
	}
}
