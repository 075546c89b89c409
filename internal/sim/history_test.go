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

// operation is one operation on one item: a read, or a compare-and-set, which changes the
// item from one value to another.
type operation struct {
	key      string
	cas      bool
	from, to string
}

// result is the result of an operation; an unknown one may have taken effect or not.
type result struct {
	val     string
	ok      bool
	unknown bool
}

// registerModel models an item that can be read and compared-and-set.
var registerModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			k := o.Input.(operation).key
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
		s, i, o := st.(string), in.(operation), out.(result)
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

var errMismatch = errors.New("the item has another value")

// recordHistory runs operations on a few items through all controllers while voters fail, and
// returns the operations with their results.
func recordHistory(w *World, d FailureKinds, span time.Duration) []porcupine.Operation {
	var mu sync.Mutex
	var out []porcupine.Operation
	ctx, cancel := context.WithTimeout(w.ctx, span)
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	for c := range 6 {
		rng := rand.New(rand.NewPCG(w.seed, uint64(c)))
		wg.Go(func() {
			seen := map[string]string{}
			for i := 0; ctx.Err() == nil; i++ {
				n := w.NodesOfKind("controller")[rng.IntN(w.Shape.Controllers)]
				ctl, procCtx := n.Controller(), n.Host.runningProc()
				if ctl == nil || procCtx == nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				o := operation{key: fmt.Sprintf("test/%d", rng.IntN(3)), cas: rng.IntN(3) > 0}
				o.from, o.to = seen[o.key], fmt.Sprintf("%d-%d", c, i)
				call := time.Since(start)
				r := runOperation(procCtx, ctl.Proposer, o)
				n.waitThawed()
				if procCtx.Err() != nil {
					r = result{unknown: true}
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
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
		})
	}
	callCtx, stop := context.WithTimeout(ctx, span-6*time.Second)
	defer stop()
	w.InjectFailures(callCtx, d)
	wg.Wait()
	// The checker allows a client one operation at a time. An unknown operation never
	// returns and so needs a client of its own.
	for i := range out {
		if out[i].Output.(result).unknown {
			out[i].ClientId = 1000 + i
		}
	}
	return out
}

// runOperation runs o with a timeout of a second; the result is unknown if no answer came.
func runOperation(ctx context.Context, p *quorum.Proposer, o operation) result {
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !o.cas {
		v, err := p.Read(callCtx, o.key)
		if err != nil && !quorum.IsNeverWritten(err) {
			return result{unknown: true}
		}
		return result{val: string(v)}
	}
	tried := false
	v, err := p.Change(callCtx, o.key, func(old []byte) ([]byte, error) {
		if string(old) == o.from || tried && string(old) == o.to {
			// The value found may be from an earlier ballot of this same change.
			tried = true
			return []byte(o.to), nil
		}
		return nil, errMismatch
	})
	switch {
	case err == nil:
		return result{val: o.to, ok: true}
	case errors.Is(err, errMismatch) && tried:
		// The change may have taken effect and been followed by another.
		return result{unknown: true}
	case errors.Is(err, errMismatch):
		return result{val: string(v)}
	}
	return result{unknown: true}
}

// TestHistories checks that every item is linearizable as a register, whatever fails.
func TestHistories(t *testing.T) {
	t.Parallel()
	// Even seeds have a standby disk, odd ones have none.
	for i := range max(2, *seedCount) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inOwnProcess(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

// checkHistory runs one seed and checks its history.
func checkHistory(t *testing.T, seed uint64) {
	var h []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		s := shape()
		s.Gateways, s.Targets = 0, nil
		if seed%2 == 0 {
			s.Disks, s.Zones = 4, 4 // with a standby disk
		}
		w := New(seed, s)
		if *verbose {
			w.Logf = t.Logf
		}
		defer w.End()
		w.Start()
		time.Sleep(5 * time.Second)
		d := FailureKinds{Nodes: true, Disks: true, Net: true}
		h = recordHistory(w, d, *minSpan+10*time.Second)
	})
	r, _ := porcupine.CheckOperationsVerbose(registerModel, h, 20*time.Second)
	known := 0
	for _, o := range h {
		if !o.Output.(result).unknown {
			known++
		}
	}
	t.Logf("seed %d: %d operations, %d with a known result: %s", seed, len(h), known, r)
	if r == porcupine.Illegal {
		t.Errorf("seed %d: the history is not linearizable as a register", seed)
	}
	if known < 50 {
		t.Errorf("seed %d: only %d operations have a known result", seed, known)
	}
}
