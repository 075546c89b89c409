package spread

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

// rankedNames returns the names in rank order.
func rankedNames(nodeID string, ids []string) []string {
	var list []string
	for _, i := range Rank(nodeID, ids) {
		list = append(list, ids[i])
	}
	return list
}

func TestOrderHoldsEveryTargetOnce(t *testing.T) {
	for _, n := range []int{0, 1, 2, 30} {
		order := Rank("me", names("t", n))
		slices.Sort(order)
		for i, at := range order {
			if at != i {
				t.Fatalf("%d targets: order %v", n, order)
			}
		}
		if len(order) != n {
			t.Fatalf("the order has %d of %d targets", len(order), n)
		}
	}
}

func TestOrderDoesNotDependOnTheList(t *testing.T) {
	ids := names("t", 30)
	want := rankedNames("me", ids)
	slices.Reverse(ids)
	if got := rankedNames("me", ids); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if other := rankedNames("you", ids); slices.Equal(other, want) {
		t.Error("two nodes have the same order")
	}
}

func TestOrderKeepsWhenTargetsComeAndGo(t *testing.T) {
	ids := names("t", 30)
	for _, me := range names("node", 20) {
		before := rankedNames(me, ids)
		for gone := range ids {
			rest := slices.Delete(slices.Clone(ids), gone, gone+1)
			want := slices.DeleteFunc(slices.Clone(before), func(id string) bool { return id == ids[gone] })
			if got := rankedNames(me, rest); !slices.Equal(got, want) {
				t.Fatalf("without %s: %v, want %v", ids[gone], got, want)
			}
		}
	}
}

// Each rank must be uniformly distributed over the targets, for many nodes, by a chi-squared test: with
// 29 degrees of freedom a value over 66 has a probability of one in ten thousand. The names differ
// in few digits, as in production.
func TestEveryPlaceIsEven(t *testing.T) {
	ids := names("10.128.0.", 30)
	nodes := names("i-7f3a91c", 3000)
	count := make([][]float64, len(ids))
	for i := range count {
		count[i] = make([]float64, len(ids))
	}
	for _, me := range nodes {
		for rank, i := range Rank(me, ids) {
			count[rank][i]++
		}
	}
	want := float64(len(nodes)) / float64(len(ids))
	for rank, c := range count {
		chi := 0.0
		for _, n := range c {
			chi += (n - want) * (n - want) / want
		}
		if chi > 66 {
			t.Errorf("rank %d: chi squared %v", rank, chi)
		}
	}
}

// With 13 nodes that choose 8 of 26 targets, the load must be as even as independent random choices
// make it: the variance of the number of nodes per target is that of 13 draws with probability 8/26.
func TestLoadIsAsEvenAsDraws(t *testing.T) {
	const nodes, choose, targets, rounds = 13, 8, 26, 400
	p := float64(choose) / targets
	sum, n := 0.0, 0.0
	for round := range rounds {
		load := make([]float64, targets)
		ids := names(fmt.Sprintf("r%d-t", round), targets)
		for _, me := range names("node", nodes) {
			for _, i := range Rank(me, ids)[:choose] {
				load[i]++
			}
		}
		for _, l := range load {
			sum += (l - nodes*p) * (l - nodes*p)
			n++
		}
	}
	got, want := sum/n, nodes*p*(1-p)
	if math.Abs(got-want) > 0.1*want {
		t.Errorf("variance %v, want about %v", got, want)
	}
}

func BenchmarkOrder30(b *testing.B) {
	ids := names("10.128.0.", 30)
	b.ReportAllocs()
	for b.Loop() {
		Rank("node", ids)
	}
}
