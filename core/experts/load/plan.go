package load

import "verbenashift/core/experts/expert"

// Tasks returns the tasks that load the replicas of the given moves.
func Tasks(g *expert.Group, moves []expert.Move) []Task {
	tasks := make([]Task, 0, len(moves))
	for _, m := range moves {
		tasks = append(tasks, Task{
			Layer: m.Layer, Rank: m.Rank, Slot: m.Slot, Load: m.Load, Drop: m.Drop, Bytes: g.ExpertBytes, Gain: m.Gain,
		})
	}
	return tasks
}

// Moves returns the moves of a wave, to be applied to the active maps.
func Moves(tasks []Task) []expert.Move {
	moves := make([]expert.Move, 0, len(tasks))
	for _, t := range tasks {
		moves = append(moves, expert.Move{Layer: t.Layer, Rank: t.Rank, Slot: t.Slot, Load: t.Load, Drop: t.Drop, Gain: t.Gain})
	}
	return moves
}
