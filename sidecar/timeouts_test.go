package main

import "time"

// testTimeoutFactor is the factor by which tests extend the timeouts of calls to other instances. On a
// busy machine, or under the race detector, an agent that answers would otherwise count as
// unreachable: with eight busy processes running at the same time, 31 to 39 of 40 ranks were
// known in a round.
const testTimeoutFactor = 8

func init() {
	for _, wait := range []*time.Duration{&localWait, &directWait, &prepareWait, &readWait, &responseWait, &unreachableWait, &memberWait, &relayWait, &digestWait} {
		*wait *= testTimeoutFactor
	}
}
