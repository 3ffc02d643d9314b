// Package quarantine decides which requests are not run any more because they crash the
// targets that run them.
//
// Such a request is told by its content, not by its identifier: a caller sends it again
// under a new one, at any gateway, and each time a target is lost for seconds, an expert
// group with it. Print is what two requests with the same content have in common. Gateways
// tell each other, through the platform's store, of each Crash that they have seen and of
// the requests whose answers broke off with it. A Register takes these reports and decides:
// a request is held back once three targets have crashed under it.
//
// Whatever else ran on a crashed target broke off as well. Such neighbours are told from the
// culprit by what other crashes have in common: a crash does not count against a request if
// another one was under way in it that was in more crashes. A request that some target has
// answered whole has not crashed any.
//
// A request that is held back is tried again, once by one gateway, and is free if that answer
// is whole. Where a neighbour was in nearly as many crashes, the first trial comes at once, so
// that the wrong one of the two is not kept waiting. Else there are waits that grow: only a
// trial can show that the targets have been mended.
//
// # Usage
//
//	r := quarantine.New()
//	r.Take(key, revision, value, now)       // what stands in the store under Prefix
//	r.Completed(print, now)                 // a request of this gateway was answered whole
//	if v := r.Judge(print, now); v.Held {   // before a request is sent
//		refuse(v.Comeback)
//	}
//	for _, p := range r.Due(now) {          // now and then
//		write(p)
//	}
package quarantine
