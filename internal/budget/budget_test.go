package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/pulse"
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
	start time.Time
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
		f.nodes[i] = New(ratio, window, slack, pulse.Wall{})
	}
	for at := time.Duration(0); at < length; at += tick {
		if double && at == length/3 {
			for range few {
				f.nodes = append(f.nodes, New(ratio, window, slack, pulse.Wall{}))
				f.back = append(f.back, time.Time{})
			}
		}
		if double && at == 2*length/3 {
			f.nodes, f.back = f.nodes[:few], f.back[:few]
		}
		for i, b := range f.nodes {
			switch {
			case b == nil && time.Since(f.back[i]) >= 0:
				f.nodes[i] = New(ratio, window, slack, pulse.Wall{})
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
		b := New(ratio, window, slack, pulse.Wall{})
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
				b := New(ratio, window, slack, pulse.Wall{})
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

func TestAccountsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(ratio, window, slack, pulse.Wall{})
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
	a := New(ratio, window, slack, pulse.Wall{}).Of("s")
	b.ReportAllocs()
	for b.Loop() {
		a.First()
	}
}

func BenchmarkExtra(b *testing.B) {
	a := New(ratio, window, slack, pulse.Wall{}).Of("s")
	b.ReportAllocs()
	for b.Loop() {
		a.First()
		a.Extra()
	}
}
