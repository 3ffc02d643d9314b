package rankpeer

import (
	"encoding/binary"
	"math"

	"verbenashift/core/experts/engine"
)

// States are the packed states of the ranks of a branch. Each number is written as its
// difference from that of the previous rank, with variable length. Ranks in lock-step
// have nearly the same state, so that one takes some twenty bytes instead of two
// hundred; a coordinator receives all ranks of its group several times a second over a
// narrow link.
type States []byte

// packedPaceUnit is the value in States of pace 1. It is finer than any pace that
// servers report.
const packedPaceUnit = 1000

// stateFields is the number of integers that a state is packed into.
const stateFields = 14

// stateNumbers returns a state as the integers that it is packed into. The name of the
// group is left out, since the requester knows it.
func stateNumbers(st *engine.State) [stateFields]int64 {
	flags := int64(0)
	if st.Open {
		flags |= 1
	}
	if st.Busy {
		flags |= 2
	}
	return [stateFields]int64{
		flags, st.Epoch, st.Born, int64(st.Rank), int64(st.Size), st.Seq, st.Step, st.Map, st.Prepared,
		st.ArmedMap, st.ArmedStep, st.Held, int64(st.Running)<<runningShift | int64(st.Queued), int64(math.Round(st.Pace * packedPaceUnit)),
	}
}

// runningShift is the shift that combines the running and the queued requests into one
// integer; a rank has at most some dozens of either.
const runningShift = 32

// stateFromNumbers is the inverse of stateNumbers.
func stateFromNumbers(group string, n *[stateFields]int64) engine.State {
	return engine.State{
		Group: group, Open: n[0]&1 != 0, Busy: n[0]&2 != 0, Epoch: n[1], Born: n[2], Rank: int(n[3]), Size: int(n[4]), Seq: n[5],
		Step: n[6], Map: n[7], Prepared: n[8], ArmedMap: n[9], ArmedStep: n[10], Held: n[11],
		Running: int(n[12] >> runningShift), Queued: int(n[12] & (1<<runningShift - 1)), Pace: float64(n[13]) / packedPaceUnit,
	}
}

// PackStates packs the states of ranks of one group.
func PackStates(states []engine.State) States {
	var out States
	var last [stateFields]int64
	for i := range states {
		n := stateNumbers(&states[i])
		for f, x := range n {
			out = binary.AppendVarint(out, x-last[f])
		}
		last = n
	}
	return out
}

// Unpack returns the states of ranks of a group, or false if there are not exactly count.
func (s States) Unpack(group string, count int) ([]engine.State, bool) {
	if count < 0 || count*stateFields > len(s) {
		return nil, false
	}
	out := make([]engine.State, 0, count)
	var last [stateFields]int64
	for range count {
		for f := range last {
			x, size := binary.Varint(s)
			if size <= 0 {
				return nil, false
			}
			s, last[f] = s[size:], last[f]+x
		}
		out = append(out, stateFromNumbers(group, &last))
	}
	return out, len(s) == 0
}
