// Package load schedules the loading of expert weights from the rate-limited
// weight store.
//
// A plan of moves is divided into waves. A wave never needs more memory than
// the ranks have free beside the active map: memory is freed first, then the
// replicas are loaded, and only then is the wave armed and switched. The map
// after each wave holds every expert, so a plan may stop after any wave.
// Within a wave the replica with the largest gain is loaded first.
//
// Groups share the store's rate in proportion to their shares, counted in
// bytes; an idle group accumulates no credit. Reads are resumable: an
// interrupted read continues at its byte offset.
//
// The queue is deterministic: it has no clock, does no I/O and starts no
// goroutine.
//
// # Usage
//
//	q := load.NewQueue(load.Settings{Rate: 1 << 30, Chunk: 8 << 20})
//	err := q.Begin(now, load.Plan{Group: "captions", Version: 7, FreeMemory: free, Replicas: replicas, Tasks: tasks})
//	actions := q.Next(now)
//	for _, f := range actions.Fetches {
//		n := read(f)               // GET with a range from f.Offset
//		q.Progress(f, n)           // less than f.Length when it was interrupted
//	}
//	for _, arm := range actions.Arms {
//		q.SwitchEnded(arm.Group, prepareAndSwitch(arm))
//	}
package load
