package sim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"walkrudder/internal/quorum"
)

// op is one operation on one item: a read, or a change from one value to another
// where the item must hold the first.
type op struct {
	key      string
	cas      bool
	from, to string
}

// res is what came back; unknown operations may have taken effect or not.
type res struct {
	val     string
	ok      bool
	unknown bool
}

// register is an item that can be read and compared-and-set.
var register = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			k := o.Input.(op).key
			by[k] = append(by[k], o)
		}
		var out [][]porcupine.Operation
		for _, l := range by {
			out = append(out, l)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(st, in, out any) (bool, any) {
		s, i, o := st.(string), in.(op), out.(res)
		switch {
		case !i.cas:
			return o.unknown || s == o.val, s
		case o.unknown:
			if s == i.from {
				return true, i.to
			}
			return true, s
		case o.ok:
			return s == i.from, i.to
		default:
			return s == o.val && s != i.from, s
		}
	},
}

var errOther = errors.New("another value")

// history runs operations on a few items through all controllers while voters fail,
// and returns what each saw.
func history(w *World, d Defects, span time.Duration) []porcupine.Operation {
	var mu sync.Mutex
	var out []porcupine.Operation
	ctx, end := context.WithTimeout(w.ctx, span)
	defer end()
	start := time.Now()
	var wg sync.WaitGroup
	for c := range 6 {
		rnd := rand.New(rand.NewPCG(w.seed, uint64(c)))
		wg.Go(func() {
			seen := map[string]string{}
			for i := 0; ctx.Err() == nil; i++ {
				n := w.Of("controller")[rnd.IntN(w.Shape.Controllers)]
				m, up := n.Controller(), n.Host.up()
				if m == nil || up == nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				o := op{key: fmt.Sprintf("test/%d", rnd.IntN(3)), cas: rnd.IntN(3) > 0}
				o.from, o.to = seen[o.key], fmt.Sprintf("%d-%d", c, i)
				call := time.Since(start)
				r := attempt(up, m.Proposer, o)
				n.awake()
				if up.Err() != nil {
					r = res{unknown: true}
				}
				ret := time.Since(start)
				if r.unknown {
					ret = time.Hour
				} else if r.ok {
					seen[o.key] = o.to
				} else {
					seen[o.key] = r.val
				}
				if !r.unknown || o.cas {
					mu.Lock()
					out = append(out, porcupine.Operation{ClientId: c, Input: o, Output: r, Call: int64(call), Return: int64(ret)})
					mu.Unlock()
				}
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
			}
		})
	}
	cx, stop := context.WithTimeout(ctx, span-6*time.Second)
	defer stop()
	w.Chaos(cx, d)
	wg.Wait()
	// A client has one operation at a time for the checker; an unknown one goes on
	// for ever and so needs a client of its own.
	for i := range out {
		if out[i].Output.(res).unknown {
			out[i].ClientId = 1000 + i
		}
	}
	return out
}

// attempt runs o within a second; what no answer came for is unknown.
func attempt(ctx context.Context, p *quorum.Proposer, o op) res {
	cx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	if !o.cas {
		v, err := p.Read(cx, o.key)
		if err != nil && !quorum.IsNeverWritten(err) {
			return res{unknown: true}
		}
		return res{val: string(v)}
	}
	tried := false
	v, err := p.Change(cx, o.key, func(old []byte) ([]byte, error) {
		if string(old) == o.from || tried && string(old) == o.to {
			// The earlier ballot of this very change may be what is found.
			tried = true
			return []byte(o.to), nil
		}
		return nil, errOther
	})
	switch {
	case err == nil:
		return res{val: o.to, ok: true}
	case errors.Is(err, errOther) && tried:
		// It may have taken effect and been followed by another.
		return res{unknown: true}
	case errors.Is(err, errOther):
		return res{val: string(v)}
	}
	return res{unknown: true}
}

// TestHistories checks that every item behaves as one register, whatever fails.
func TestHistories(t *testing.T) {
	t.Parallel()
	// Both shapes: with a disk that stands by, and without.
	for i := range max(2, *seeds) {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			apart(t, func(t *testing.T) { histories(t, seed) })
		})
	}
}

// histories is one seeded run, and the check of what it saw.
func histories(t *testing.T, seed uint64) {
	var h []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		s := shape()
		s.Gateways, s.Targets = 0, nil
		if seed%2 == 0 {
			s.Disks, s.Zones = 4, 4 // a disk that stands by
		}
		w := New(seed, s)
		if *loud {
			w.Say = t.Logf
		}
		defer w.End()
		w.Start()
		time.Sleep(5 * time.Second)
		d := Defects{Nodes: true, Disks: true, Net: true}
		h = history(w, d, *span+10*time.Second)
	})
	r, _ := porcupine.CheckOperationsVerbose(register, h, 20*time.Second)
	known := 0
	for _, o := range h {
		if !o.Output.(res).unknown {
			known++
		}
	}
	t.Logf("seed %d: %d operations, %d with a known end: %s", seed, len(h), known, r)
	if r == porcupine.Illegal {
		t.Errorf("seed %d: the history fits no single register", seed)
	}
	if known < 50 {
		t.Errorf("seed %d: only %d operations came to an end", seed, known)
	}
}
