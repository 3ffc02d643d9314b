package rankpeer

import (
	"encoding/binary"
	"math"

	"verbenashift/core/experts/engine"
)

// States are what the ranks of a branch say of themselves, packed: each number as
// what it differs from that of the rank before, with variable length. Ranks that run
// in lock-step say nearly the same, so that one takes some twenty bytes and not two
// hundred; a steward hears all ranks of its group several times a second over a
// narrow link.
type States []byte

// paceUnit is what a pace of 1 is in States: finer than any pace is told by servers.
const paceUnit = 1000

// fields is how many numbers a state is packed into.
const fields = 14

// numbers returns a state as the numbers that it is packed into. The name of the
// group is left out: whoever has asked for one group knows it.
func numbers(st *engine.State) [fields]int64 {
	flags := int64(0)
	if st.Open {
		flags |= 1
	}
	if st.Busy {
		flags |= 2
	}
	return [fields]int64{
		flags, st.Epoch, st.Born, int64(st.Rank), int64(st.Size), st.Seq, st.Step, st.Map, st.Prepared,
		st.ArmedMap, st.ArmedStep, st.Held, int64(st.Running)<<runningShift | int64(st.Queued), int64(math.Round(st.Pace * paceUnit)),
	}
}

// runningShift makes one number of the requests that run and those that are queued:
// a rank has at most some dozens of either.
const runningShift = 32

// state is the inverse of numbers.
func state(group string, n *[fields]int64) engine.State {
	return engine.State{
		Group: group, Open: n[0]&1 != 0, Busy: n[0]&2 != 0, Epoch: n[1], Born: n[2], Rank: int(n[3]), Size: int(n[4]), Seq: n[5],
		Step: n[6], Map: n[7], Prepared: n[8], ArmedMap: n[9], ArmedStep: n[10], Held: n[11],
		Running: int(n[12] >> runningShift), Queued: int(n[12] & (1<<runningShift - 1)), Pace: float64(n[13]) / paceUnit,
	}
}

// PackStates packs states of one group.
func PackStates(states []engine.State) States {
	var out States
	var last [fields]int64
	for i := range states {
		n := numbers(&states[i])
		for f, x := range n {
			out = binary.AppendVarint(out, x-last[f])
		}
		last = n
	}
	return out
}

// Unpack returns the states of a group, or false if they are not count states.
func (s States) Unpack(group string, count int) ([]engine.State, bool) {
	if count < 0 || count*fields > len(s) {
		return nil, false
	}
	out := make([]engine.State, 0, count)
	var last [fields]int64
	for range count {
		for f := range last {
			x, size := binary.Varint(s)
			if size <= 0 {
				return nil, false
			}
			s, last[f] = s[size:], last[f]+x
		}
		out = append(out, state(group, &last))
	}
	return out, len(s) == 0
}
