package booking

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// effect is what a caller learns of a key, or what its target saw.
type effect int

const (
	ran effect = iota
	attached
	neverRan
)

type operation struct {
	key    Key
	effect effect
	owner  string
}

// tick counts events, as the time axis of the history.
func (w *world) tick() int64 {
	w.next++
	return int64(w.next)
}

func (w *world) record(id string, key Key, e effect, owner string) {
	i := slices.IndexFunc(w.tries, func(y *try) bool { return y.id == id })
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: i, Input: operation{key, e, owner}, Call: w.tries[i].call, Return: w.tick(),
	})
}

// register is a key that goes from no owner to one, for good.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[Key][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range parts {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(operation)
		if op.effect == attached {
			return state == op.owner, state
		}
		return state == "", map[effect]string{ran: op.owner}[op.effect]
	},
}

// A caller is told "not run" after another had the key's answer, or is given
// the answer of a request that did not run it. Each answer must fit a single
// order of all tries of the key that agrees with real time.
func TestAnswersAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.limits.Retention = 24 * time.Hour
		for _, n := range w.nodes {
			n.home.Limits, n.exec.Limits, n.custody.Limits = w.limits, w.limits, w.limits
		}
		t.Repeat(w.actions())
		if !porcupine.CheckOperations(register, w.ops) {
			t.Fatalf("no order of the tries explains the answers: %v", w.ops)
		}
	})
}
