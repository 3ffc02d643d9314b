package main

import (
	"time"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
)

// A change goes out as moves from a map that the agents know. After a restart of all
// processes they know none, and each has to get the whole map. Sent by the steward to all
// at once it fills links for longer than answers are waited for, which breaks the
// connections, and all begins anew; sent a few at a time it takes seconds. So the steward sends it to the relays, and each of them to its branch.

const (
	// fullMapTime is for how long whole maps may fill the link of a process in one asking:
	// less than half of what is waited for answers.
	fullMapTime = 100 * time.Millisecond
	// usualLink is the link of an instance that does not say, in bytes a second.
	usualLink = 750_000
)

// fullMapsAtOnce is how many whole maps of so many bytes a process sends in one asking.
func fullMapsAtOnce(boot *boot.Settings, bytes int) int {
	link := boot.LinkBytesPerSecond
	if link <= 0 {
		link = usualLink
	}
	return max(1, int(link*fullMapTime.Seconds())/max(bytes, 1))
}

// fill replaces moves by the whole map for members whose agents have said that they lack the
// base, a few at a time, as long as this agent has the map itself.
func (a *agent) fill(asks []rankpeer.Request, links []*link) {
	left := -1
	for i := range asks {
		ask := &asks[i]
		if links[i] == nil || ask.Order == nil || ask.Change == nil || ask.Change.Full != nil || links[i].lacks.Load() != ask.Order.Version {
			continue
		}
		m := a.keptMaps().get(ask.Order.Epoch, ask.Order.Version)
		if m == nil {
			return // The relay gets it first.
		}
		if left < 0 {
			left = fullMapsAtOnce(&a.boot, len(m.Data))
		}
		if left == 0 {
			ask.Order, ask.Change = nil, nil // Its turn comes in a later round.
			continue
		}
		left--
		ask.Change = &rankpeer.Change{Full: m}
	}
}
