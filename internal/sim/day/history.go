package day

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"walkrudder/internal/item"
)

// stored is what a register with versions holds: nothing where the version is 0.
type stored struct {
	version uint64
	content string
}

const (
	droppedContent = "dropped"
	// historyTime bounds the search for an order of one item's history.
	historyTime = 20 * time.Second
)

// contentOf is what tells two contents of one version apart.
func contentOf(i item.Item) string {
	if i.Gone {
		return droppedContent
	}
	return string(i.Body)
}

// operation is one call for one item.
type operation struct {
	read bool
	of   stored
	// unsure says that the operator was never told whether a change was taken.
	unsure bool
}

// register is an item with versions: the highest stands, of one version one content, and a
// read tells what stands.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{stored{}} },
	Step: func(state, input, _ any) []any {
		now, x := state.(stored), input.(operation)
		switch {
		case x.read && (x.of == now || x.of.content == "" && now.content == droppedContent):
			return []any{now}
		case x.read:
			return nil
		case x.of.version > now.version && x.unsure:
			return []any{x.of, now}
		case x.of.version > now.version:
			return []any{x.of}
		case x.of.version == now.version && x.of.content != now.content && !x.unsure:
			return nil
		}
		return []any{now}
	},
}

// History: the changes and reads of each item have an order in which every read tells what stood,
// as if there were one copy.
func History(r *Record) (out []Breach) {
	by := map[item.Key][]porcupine.Operation{}
	for client, o := range r.Orders {
		if !o.Valid || o.lostRace() {
			continue
		}
		for _, i := range o.Items {
			op := porcupine.Operation{ClientId: client, Input: operation{of: stored{i.Version, contentOf(i)}, unsure: !o.Acknowledged}, Call: int64(o.Sent), Return: int64(o.Acked)}
			if !o.Acknowledged {
				op.Return = math.MaxInt64
			}
			by[i.Key] = append(by[i.Key], op)
		}
	}
	reads := r.Reads
	if r.Read != nil {
		reads = append(reads[:len(reads):len(reads)], ConfigRead{r.ReadAt, r.Length, r.Read})
	}
	for n, x := range reads {
		got := map[item.Key]stored{}
		for _, i := range x.Items {
			got[i.Key] = stored{i.Version, contentOf(i)}
		}
		for k := range by {
			by[k] = append(by[k], porcupine.Operation{ClientId: len(r.Orders) + n, Input: operation{read: true, of: got[k]}, Call: int64(x.From), Return: int64(x.To)})
		}
	}
	model := register.ToModel()
	for k, ops := range by {
		if porcupine.CheckOperationsTimeout(model, ops, historyTime) == porcupine.Illegal {
			out = append(out, Breach{"CONFIG", r.ReadAt, fmt.Sprintf("the history of %v has no order in which every read tells what stood", k)})
		}
	}
	return out
}
