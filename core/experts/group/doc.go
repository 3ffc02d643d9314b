// Package group changes the expert map of a rank group, so that in every step all ranks of the
// group use the same map.
//
// In the steady state a rank needs no permission to continue. To switch, every rank loads the
// new map's weights beside the old ones, and then arms: it promises to stop before step S
// until it receives the outcome. The outcome is a function of all members' votes: commit if
// every rank has armed, abort if one has refused, and a vote never changes. So the outcome
// never depends on a process that could be away while the group could continue: a lock-step
// group cannot run a step without all of its ranks in any case. The votes are stored by the
// ranks themselves, and read back by an agent that starts with empty memory.
//
// A group that lost a rank is formed again under a new epoch. An epoch has one first map, and
// a rank that has joined a later epoch never goes back, so that the rule holds in each epoch.
// Compare J. Gray, "Notes on Data Base Operating Systems" (1978), for the votes, and D. Skeen,
// "Nonblocking Commit Protocols" (SIGMOD 1981), for ending without the coordinator.
//
// The parts are pure state machines: Rank is the engine's side, as a reference; Member is the
// agent beside a rank; Coordinator drives the group while its agent holds the lease; Role
// binds it to the lease. They take events with the time of the process's monotonic clock, and
// return actions.
//
// # Usage
//
//	m := group.NewMember(group.MemberConfig{Name: "bole-3", Fencing: lease.IgnoresFencing}, incarnation, now)
//	for _, a := range m.Receive(now, from, msg) {
//		switch a := a.(type) {
//		case group.Send:
//			peers.Send(a.To, a.Message)
//		case group.Apply:
//			// Answer with m.Applied(now, a.ID, err), unless no answer came.
//		case group.Read:
//			// Answer with m.Observed(now, a.ID, state, alive).
//		}
//	}
//
// The adapter has to follow three rules. It drops an Apply that it has not sent when a later
// operation has begun. It gets the coordinator from Role, and through it the lease, right
// before each use. It delivers the agent's messages to itself like any other.
package group
