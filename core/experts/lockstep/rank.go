package lockstep

import (
	"verbenashift/core/experts/engine"
)

// Rank is the last reading of a rank.
type Rank struct {
	// Known says that the rank was read in this round.
	Known bool
	State engine.State
}

// InForce returns the number of the map that all ranks use, if they do.
func InForce(ranks []Rank) (int64, bool) {
	if !complete(ranks) {
		return 0, false
	}
	for i := range ranks {
		if ranks[i].State.Map != ranks[0].State.Map {
			return 0, false
		}
	}
	return ranks[0].State.Map, true
}

// prepared reports whether all ranks have prepared the same map and none uses
// it yet.
func prepared(ranks []Rank) bool {
	first := &ranks[0].State
	return first.Prepared > first.Map && all(ranks, func(st *engine.State) bool {
		return st.Prepared == first.Prepared && st.Map == first.Map
	})
}

// Complete reports whether every rank of one epoch of an open group is known.
func Complete(ranks []Rank) bool { return complete(ranks) }

// complete reports whether every rank of one epoch of an open group is known.
func complete(ranks []Rank) bool {
	if len(ranks) == 0 || len(ranks) != ranks[0].State.Size {
		return false
	}
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known || !st.Open || st.Epoch != ranks[0].State.Epoch {
			return false
		}
	}
	return true
}

// Open reports whether a group serves, as far as its ranks are known: no known rank reports
// that another one is lost.
func Open(ranks []Rank) bool {
	open := false
	for i := range ranks {
		if ranks[i].Known && !ranks[i].State.Open {
			return false
		}
		open = open || ranks[i].Known
	}
	return open
}

// armedOrHeld reports whether a rank is armed or holds the group.
func armedOrHeld(ranks []Rank) bool {
	for i := range ranks {
		if ranks[i].State.ArmedMap != 0 || ranks[i].State.Held != 0 {
			return true
		}
	}
	return false
}

// Running returns how many requests run at the known ranks.
func Running(ranks []Rank) int {
	n := 0
	for i := range ranks {
		if ranks[i].Known {
			n += ranks[i].State.Running
		}
	}
	return n
}

// Unfinished reports whether a known rank is armed or holds the group.
func Unfinished(ranks []Rank) bool {
	for i := range ranks {
		if ranks[i].Known && (ranks[i].State.ArmedMap != 0 || ranks[i].State.Held != 0) {
			return true
		}
	}
	return false
}

// armed returns the newest map for which a rank is armed, and the earliest pass for which a
// rank is armed for it.
func armed(ranks []Rank) (version, step int64) {
	for i := range ranks {
		st := &ranks[i].State
		switch {
		case st.ArmedMap == 0 || st.ArmedMap < version:
		case st.ArmedMap > version:
			version, step = st.ArmedMap, st.ArmedStep
		default:
			step = min(step, st.ArmedStep)
		}
	}
	return version, step
}

func lowestHeld(ranks []Rank) int64 {
	lowest := int64(0)
	for i := range ranks {
		if h := ranks[i].State.Held; h != 0 && (lowest == 0 || h < lowest) {
			lowest = h
		}
	}
	return lowest
}

// lastStep returns the last pass that a known rank has begun.
func lastStep(ranks []Rank) int64 {
	last := int64(0)
	for i := range ranks {
		if ranks[i].Known {
			last = max(last, ranks[i].State.Step)
		}
	}
	return last
}

func all(ranks []Rank, ok func(*engine.State) bool) bool {
	for i := range ranks {
		if !ok(&ranks[i].State) {
			return false
		}
	}
	return true
}

// allKnown is like all for the known ranks.
func allKnown(ranks []Rank, ok func(*engine.State) bool) bool {
	for i := range ranks {
		if ranks[i].Known && !ok(&ranks[i].State) {
			return false
		}
	}
	return true
}
