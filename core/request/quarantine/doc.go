// Package quarantine decides which requests are no longer run because they crash the targets
// that run them.
//
// Such a request is identified by its content, not by its identifier: a caller sends it again
// under a new one, at any gateway, and each time a target is down for seconds, and its expert
// group with it. Two requests with the same content have the same Fingerprint. Gateways report
// to each other, through the platform's store, each Crash that they have observed and the
// requests whose responses were cut off by it. A Register collects these reports and decides:
// a request is quarantined once three targets have crashed while running it.
//
// All other requests on a crashed target are cut off as well. They are distinguished from the
// cause by comparing crashes: a crash does not count against a request if another request that
// was in progress there was in more crashes. A request that some target has answered completely
// has not crashed any.
//
// Requests that differ may crash targets by a part that their prompts share. A part is quarantined if
// it is in more of the crashes of a service than it would be by chance, given how often it was in
// requests that targets have answered completely. Gateways report these numbers with crashes. A crash
// that a quarantined part explains does not count against anything else.
//
// A quarantined request, or one with a quarantined part, is sent again as a probe, once by one
// gateway, and is released if the response is complete. Where another request was in nearly as many
// crashes, the first probe is sent at once, so that the wrong one of the two is not delayed.
// Otherwise the delays between probes grow: only a probe can show that the targets have been
// repaired.
//
// # Usage
//
//	r := quarantine.New(process)
//	r.Apply(key, revision, value, now)               // each item in the store under Prefix
//	r.Completed(request.Content)                     // a request of this gateway was answered completely
//	r.CompletedParts(service, request.Parts, now)    // and successfully
//	if d, _ := r.DecideRequest(request, now); d.Quarantined { // before a request is sent
//		refuse(d.RetryAfter)
//	}
//	for f, hold := range r.PendingWrites(now) { // periodically
//		write(f, hold)
//	}
package quarantine
