// Package load orders the loading of expert weights through the rate-limited
// weight store.
//
// A plan of moves is cut into waves. A wave never needs more memory than the
// ranks have free beside the map in force: room is made first, then the
// replicas are loaded, and only then is the wave armed and switched. Applied
// alone, each wave is a map that holds every expert, so that a plan may stop
// after any wave. Within a wave the most useful replica comes first.
//
// Groups share the store's rate in proportion to their shares, counted in
// bytes; a group that was idle doesn't save up. Reading is resumable: a
// broken read goes on at its byte offset.
//
// The queue is pure: it has no clock, no input or output and no goroutine.
//
// # Usage
//
//	q := load.NewQueue(load.Settings{Rate: 1 << 30, Chunk: 8 << 20})
//	err := q.Begin(now, load.Plan{Group: "captions", Version: 7, FreeMemory: free, Replicas: replicas, Tasks: tasks})
//	actions := q.Next(now)
//	for _, f := range actions.Fetches {
//		n := read(f)               // GET with a range from f.Offset
//		q.Progress(f, n)           // less than f.Length when it broke
//	}
//	for _, arm := range actions.Arms {
//		q.SwitchEnded(arm.Group, prepareAndSwitch(arm))
//	}
package load
