package main

import (
	"time"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
)

// A change is sent as moves from a map that the agents have. After a restart of all
// processes they have none, and each needs the whole map. Sent by the coordinator to all at
// once it fills links for longer than the timeout of responses, which breaks the connections
// and restarts the transfers; sent to a few agents at a time it takes seconds. So the
// coordinator sends it to the relays, and each of them to its branch.

const (
	// fullMapTime is for how long whole maps may fill the link of a process in one poll: less
	// than half of the timeout of responses.
	fullMapTime = 100 * time.Millisecond
	// defaultLinkBytes is the link of an instance whose settings name none, in bytes a second.
	defaultLinkBytes = 750_000
)

// fullMapsAtOnce returns how many whole maps of the given size a process sends in one poll.
func fullMapsAtOnce(boot *boot.Settings, bytes int) int {
	link := boot.LinkBytesPerSecond
	if link <= 0 {
		link = defaultLinkBytes
	}
	return max(1, int(link*fullMapTime.Seconds())/max(bytes, 1))
}

// substituteFullMaps replaces moves by the whole map for members whose agents have reported that
// they lack the base, a few at a time, if this agent has the map itself.
func (a *agent) substituteFullMaps(reqs []rankpeer.Request, links []*link) {
	left := -1
	for i := range reqs {
		req := &reqs[i]
		if links[i] == nil || req.Order == nil || req.Change == nil || req.Change.Full != nil || links[i].missingBase.Load() != req.Order.Version {
			continue
		}
		m := a.storedMaps().get(req.Order.Epoch, req.Order.Version)
		if m == nil {
			return // The relay gets it first.
		}
		if left < 0 {
			left = fullMapsAtOnce(&a.boot, len(m.Data))
		}
		if left == 0 {
			req.Order, req.Change = nil, nil // Its turn comes in a later round.
			continue
		}
		left--
		req.Change = &rankpeer.Change{Full: m}
	}
}
