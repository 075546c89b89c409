package day

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"walkrudder/internal/item"
)

// registerValue is the state of a versioned register; version 0 is empty.
type registerValue struct {
	version uint64
	content string
}

const (
	droppedContent = "dropped"
	// historyCheckTimeout limits the search for a linearization of one item's history.
	historyCheckTimeout = 20 * time.Second
)

// contentOf returns a string that identifies the content of an item.
func contentOf(i item.Item) string {
	if i.Gone {
		return droppedContent
	}
	return string(i.Body)
}

// registerOp is one operation on one item.
type registerOp struct {
	read  bool
	value registerValue
	// uncertain reports that the operator was never told whether the change was applied.
	uncertain bool
}

// registerModel models an item as a versioned register: the highest version is current, each version has
// one content, and a read returns the current content.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerValue{}} },
	Step: func(state, input, _ any) []any {
		now, x := state.(registerValue), input.(registerOp)
		switch {
		case x.read && (x.value == now || x.value.content == "" && now.content == droppedContent):
			return []any{now}
		case x.read:
			return nil
		case x.value.version > now.version && x.uncertain:
			return []any{x.value, now}
		case x.value.version > now.version:
			return []any{x.value}
		case x.value.version == now.version && x.value.content != now.content && !x.uncertain:
			return nil
		}
		return []any{now}
	},
}

// CheckHistory checks that the changes and reads of each item are linearizable: some order exists in which every
// read returns the current content, as if there were a single copy.
func CheckHistory(r *Record) (out []Violation) {
	opsByItem := map[item.Key][]porcupine.Operation{}
	for client, o := range r.Changes {
		if !o.Valid || o.rejectedAsConflict() {
			continue
		}
		for _, i := range o.Items {
			op := porcupine.Operation{ClientId: client, Input: registerOp{value: registerValue{i.Version, contentOf(i)}, uncertain: !o.Acknowledged}, Call: int64(o.SentAt), Return: int64(o.AckedAt)}
			if !o.Acknowledged {
				op.Return = math.MaxInt64
			}
			opsByItem[i.Key] = append(opsByItem[i.Key], op)
		}
	}
	reads := r.Reads
	if r.FinalRead != nil {
		reads = append(reads[:len(reads):len(reads)], ConfigRead{r.FinalReadAt, r.Length, r.FinalRead})
	}
	for n, x := range reads {
		values := map[item.Key]registerValue{}
		for _, i := range x.Items {
			values[i.Key] = registerValue{i.Version, contentOf(i)}
		}
		for k := range opsByItem {
			opsByItem[k] = append(opsByItem[k], porcupine.Operation{ClientId: len(r.Changes) + n, Input: registerOp{read: true, value: values[k]}, Call: int64(x.From), Return: int64(x.To)})
		}
	}
	model := registerModel.ToModel()
	for k, ops := range opsByItem {
		if porcupine.CheckOperationsTimeout(model, ops, historyCheckTimeout) == porcupine.Illegal {
			out = append(out, Violation{"CONFIG", r.FinalReadAt, fmt.Sprintf("the history of %v is not linearizable", k)})
		}
	}
	return out
}
