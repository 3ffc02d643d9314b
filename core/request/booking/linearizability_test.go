package booking

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// effect is what a caller learns of a key, or what its target observed.
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

// tick returns the next event number, used as the time axis of the history.
func (w *simulation) tick() int64 {
	w.next++
	return int64(w.next)
}

func (w *simulation) record(id string, key Key, e effect, owner string) {
	i := slices.IndexFunc(w.attempts, func(y *attempt) bool { return y.id == id })
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: i, Input: operation{key, e, owner}, Call: w.attempts[i].call, Return: w.tick(),
	})
}

// register models a key that gets at most one owner, permanently.
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

// Guards against answers that contradict each other: "not run" after another attempt got the
// answer of the key, or the answer of a request that did not run it. The answers must fit one
// order of all attempts of the key that is consistent with real time.
func TestAnswersAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.limits.Retention = 24 * time.Hour
		for _, n := range w.nodes {
			n.home.Limits, n.exec.Limits, n.backups.Limits = w.limits, w.limits, w.limits
		}
		t.Repeat(w.actions())
		if !porcupine.CheckOperations(register, w.ops) {
			t.Fatalf("no order of the attempts explains the answers: %v", w.ops)
		}
	})
}
