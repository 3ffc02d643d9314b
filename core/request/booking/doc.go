// Package booking decides who may run a request that must not run twice.
//
// A key identifies such a request. Its home is one agent, chosen by rendezvous
// hashing over the target names of the configuration, and Home is that agent's
// register of grants. The agent beside the target that runs the request is the
// executor, and Executor is its register of accepted submissions. A key runs
// only with a grant of its home, at the one executor incarnation that the grant
// was issued for. Home and executor are different agents, so that a single crash
// never loses both records.
//
// Home and Executor are state machines without side effects: each method takes
// an event and the time, and returns the decision. They start no goroutines,
// read no clock and do no I/O. Each is owned by one goroutine; neither is safe
// for concurrent use.
//
// Times are monotonic: now is the time since the owning process started and must
// never decrease. Incarnations of one agent name must increase from process to
// process.
//
// # Usage
//
// The entry claims the key at its home and then submits the grant:
//
//	answer := home.Claim(claim, now)
//	switch answer.Kind {
//	case booking.Granted:
//		// submit answer.Grant to answer.Executor, once
//	case booking.Held:
//		// resolve the earlier attempt at answer.Executor
//	}
//
// The agent beside the target checks the grant before it queues the request:
//
//	verdict := executor.Accept(submission, now)
//	if verdict.Kind == booking.Run {
//		executor.Start(key, now) // just before the first byte to the target
//		executor.End(key, now)   // after the last
//	}
//
// The executor's proof that an earlier attempt never ran releases its key:
//
//	if s := executor.Resolve(query, now); s.Kind == booking.NeverRan {
//		home.Release(s.Proof, now)
//	}
package booking
