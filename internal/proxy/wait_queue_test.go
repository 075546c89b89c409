package proxy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestWaiting(t *testing.T) {
	began := time.Now()
	q := &waitQueue{capacity: 50}
	var all []*waiter
	for i := range 50 {
		w := &waiter{priority: rand.IntN(4), arrived: began.Add(time.Duration(i)), index: -1}
		if out := q.push(w); out != nil {
			t.Fatal("evicted although the queue was not full")
		}
		all = append(all, w)
	}
	// The queue is full: the last in order is evicted, or the new request if that is the last.
	if w := (&waiter{priority: 9, arrived: began, index: -1}); q.push(w) != w {
		t.Error("the lowest priority was queued in a full queue")
	}
	order := func(a, b *waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	}
	slices.SortFunc(all, order)
	first := &waiter{priority: 0, arrived: began.Add(time.Hour), index: -1}
	if out := q.push(first); out != all[49] || out.index >= 0 {
		t.Error("another than the last waiter was evicted")
	}
	all = append(all[:49], first)
	for n := 1; len(all) > 0; n++ {
		slices.SortFunc(all, order)
		want := all[0]
		if n%oldestEvery == 0 {
			want = slices.MinFunc(all, func(a, b *waiter) int { return a.arrived.Compare(b.arrived) })
		}
		if got := q.next(); got != want {
			t.Fatalf("grant %d goes to priority %d of %v", n, got.priority, got.arrived.Sub(began))
		}
		if !q.remove(want) || q.remove(want) {
			t.Fatal("not removed exactly once")
		}
		q.grants++
		all = slices.DeleteFunc(all, func(w *waiter) bool { return w == want })
	}
}

func TestPace(t *testing.T) {
	var p requestRates
	now := time.Now()
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		p.decay(now)
		p.requested += 2
		p.completed++
	}
	if r := p.completionRate(now); r < 90 || r > 110 {
		t.Errorf("a rate of 100 is estimated as %v", r)
	}
	if c := p.overloadRatio(now); c < 1.9 || c > 2.1 {
		t.Errorf("overload ratio %v, want 2", c)
	}
	if r := p.completionRate(now.Add(10 * time.Second)); r > 1 {
		t.Errorf("a rate of %v after idle time", r)
	}
}

func TestMemory(t *testing.T) {
	m := memoryBudget{limit: 10}
	if !m.tryReserve(10) || m.tryReserve(1) {
		t.Error("the limit is not enforced")
	}
	m.reserve(5)
	m.release(10)
	if !m.tryReserve(5) || m.tryReserve(1) || m.used.Load() != 10 {
		t.Error("the bytes in use are miscounted")
	}
}

func TestSettings(t *testing.T) {
	valid := Settings{ID: "x", Zone: "a", Headers: testHeaders, BudgetWindow: time.Second, Grace: time.Second}
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
	for name, invalidate := range map[string]func(*Settings){
		"no id":    func(s *Settings) { s.ID = "" },
		"no seal":  func(s *Settings) { s.Headers.Seal = "" },
		"no grace": func(s *Settings) { s.Grace = 0 },
		"ratio":    func(s *Settings) { s.BudgetRatio = -1 },
	} {
		s := valid
		invalidate(&s)
		if s.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}
