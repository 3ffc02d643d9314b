// Package expert decides which experts of an expert-parallel group are
// replicated, how often, and on which ranks.
//
// All ranks of a group run in lockstep, so the most loaded rank in a layer
// determines the time of that layer. The objective is the skew: the load of
// the most loaded rank over the mean load of a rank. The traffic of an expert
// is split evenly over its replicas; unequal splits are not assumed, because
// nothing indicates that engines support them.
//
// An Estimator turns load reports, which are late and have gaps, into a
// forecast. A Planner turns the forecast and the active maps into a Plan with
// few moves, or into the Reason for not moving. The planner stays within the
// bounds that an operator has confirmed. A History keeps the records of the
// last hour for operators.
//
// The package is deterministic: it has no clock, does no I/O and starts no
// goroutine. A Planner reuses its memory and serves one goroutine at a time.
//
// # Usage
//
//	est := expert.NewEstimator(group.Experts, expert.Smoothing{})
//	est.Observe(report.At, report.Loads)
//	planner := expert.NewPlanner(group, expert.Lightbox())
//	plan := planner.Plan(expert.Input{
//		Now:    now,
//		Layers: []expert.Layer{{Map: current, Loads: est}},
//		Spent:  budget,
//	})
//	if len(plan.Moves) > 0 {
//		budget = budget.Spend(now, planner.Policy, plan)
//	}
//	history.Add(expert.RecordOf(now, plan))
//
// The local search follows the makespan literature: the greedy first
// placement is the longest-processing-time rule of Graham, "Bounds on
// Multiprocessing Timing Anomalies", 1969; the number of replicas follows the
// divisor method of apportionment that minimises the largest share.
package expert
