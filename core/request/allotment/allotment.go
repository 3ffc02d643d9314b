// Package allotment divides the slots of a group of engines among the entries that send requests
// to it, by the classes of what waits at each.
//
// The load pattern it handles is more requests than slots, with urgent callers at one entry and
// patient ones at others, or at an entry that is smaller than the others. An entry that knows only
// its own queue gives a slot to a patient request while an urgent one waits elsewhere, until the
// urgent one is late.
//
// Each entry reports how many of its requests wait and run, by class, and gets the sums over all
// entries. Of computes from them how many requests of each class should run at the group, first
// classes first, but for a floor of precedence.FloorShare of the slots that the others share, and
// this entry's part of each. An entry with more than its part does not replace the requests that
// end. Slots that are free are given to the classes that lack some, in proportion to what waits at
// each entry, so that the parts of all entries add up to the free slots and no message is needed for
// a single request.
//
// The sums are some tenths of a second old and come from other processes. Trust decides whether
// they are used: an entry whose sums are wrong decides alone.
//
// A value of this package has no clock and no lock, and does no input or output.
//
// # Usage
//
//	a := allotment.Of(&allotment.Input{Classes: 3, Own: own, Reported: reported, Sums: sums, ...})
//	n := a.Room(class, running)
package allotment

import (
	"math"

	"verbenashift/core/request/precedence"
)

// Counts are numbers of requests by class.
type Counts [precedence.MaxClasses]int

// Total returns the number of requests of all classes.
func (c Counts) Total() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// add adds other counts. Each is taken as far as an entry can have so many.
func (c *Counts) add(other Counts) {
	for class, n := range other {
		c[class] += min(max(n, 0), maxCount)
	}
}

// maxCount is how many requests of a class an entry has at most, whatever it says.
const maxCount = 1 << 16

// fold returns the counts with those of the classes from n on added to the last of n classes. It
// reports whether there were any.
func (c Counts) fold(n int) (Counts, bool) {
	behind := 0
	for class := n; class < len(c); class++ {
		behind += c[class]
		c[class] = 0
	}
	c[n-1] += behind
	return c, behind > 0
}

// Demand is what waits for the engines of a service and what runs at one group of them.
type Demand struct {
	Waiting, Running Counts
	// Usable is how many slots of the group should be taken, as the entry learned from passes, or the
	// mean of several entries; 0 means unknown. Entries learn different numbers, and targets add up
	// only if all use the same one.
	Usable int
	// Entries is of how many entries a sum is.
	Entries int
}

// Add adds the requests of another entry.
func (d *Demand) Add(other Demand) {
	d.Waiting.add(other.Waiting)
	d.Running.add(other.Running)
}

// Fold returns the demand in n classes: requests of a class that is not known belong to the last.
// It reports whether there were such requests.
func (d Demand) Fold(n int) (Demand, bool) {
	n = min(max(n, 1), precedence.MaxClasses)
	waiting, some := d.Waiting.fold(n)
	running, others := d.Running.fold(n)
	return Demand{waiting, running, d.Usable, d.Entries}, some || others
}

// Input is what an entry knows of a group and of the demand for it.
type Input struct {
	// Classes is the number of classes.
	Classes int
	// Own is the demand at this entry now, Sums that at all entries, and Reported the part of Sums
	// that is this entry's.
	Own, Reported, Sums Demand
	// Slots is the number of slots of the group.
	Slots int
	// Running is how many requests the group had when its load was taken, and OwnRunning how many of
	// them were this entry's, by class.
	Running    int
	OwnRunning Counts
	// Entries is how many entries send requests to the group, 0 if that is not known.
	Entries int
	// Part is the part of the waiting requests that falls to this group, from 0 to 1.
	Part float64
	// Draw rounds this entry's parts: it is uniformly distributed in [0, 1) and independent of the
	// other entries' draws, so that the rounded parts add up to the slots in expectation. It stays
	// the same until the next report.
	Draw float64
}

// Allotment is what an entry may have at a group.
type Allotment struct {
	// Limit is how many requests it may have.
	Limit int
	// Contended reports that more requests wait than may start. If it is false, Limit covers what
	// waits and no more.
	Contended bool
	// Kept is how many slots are kept free.
	Kept int
	// target is how many requests of a class it should have, and upTo how many of the class and
	// those before it.
	target, upTo Counts
}

// Room returns how many more requests of a class may start, given those that run.
func (a *Allotment) Room(class int, running Counts) int {
	upTo := 0
	for _, n := range running[:class+1] {
		upTo += n
	}
	// A class that has less than its target has its floor even if those before it have more than
	// theirs.
	room := max(a.upTo[class]-upTo, a.target[class]-running[class])
	return max(min(room, a.Limit-running.Total()), 0)
}

// usable returns how many slots should be taken.
func (in *Input) usable() int {
	if in.Sums.Usable <= 0 {
		return in.Slots
	}
	return min(in.Sums.Usable, in.Slots)
}

// shares are numbers of requests by class that are not whole.
type shares [precedence.MaxClasses]float64

// fill divides n slots among classes that want the given numbers: the first classes first, but for
// the floor that those behind the first one share.
func fill(n float64, want *shares) shares {
	first, behind := -1, 0
	for c, w := range want {
		switch {
		case w <= 0:
		case first < 0:
			first = c
		default:
			behind++
		}
	}
	var floor, out shares
	reserved := 0.0
	for c := first + 1; c < len(want) && behind > 0; c++ {
		floor[c] = min(want[c], precedence.FloorShare*n/float64(behind))
		reserved += floor[c]
	}
	for c, w := range want {
		reserved -= floor[c]
		out[c] = min(w, max(n-reserved, 0))
		n -= out[c]
	}
	return out
}

// keepFree lowers the target of the last class that waits by the slots that are kept free for those
// before it, and returns how many these are. The requests of those classes vary by about the square
// root of their number while a slot that one entry gives back becomes known to the others; one that
// arrives meanwhile starts in a slot that was kept. Slots that should not be taken serve as well.
func (in *Input) keepFree(target, demand *shares) float64 {
	last, before := -1, 0.0
	for c, n := range demand {
		if n > 0 {
			last = c
		}
	}
	if last < 1 || target[last] >= demand[last] {
		return 0
	}
	for _, n := range target[:last] {
		before += n
	}
	floor := min(target[last], precedence.FloorShare*(before+target[last]))
	kept := max(math.Sqrt(before)-float64(in.Slots-in.usable()), 0)
	kept = min(kept, target[last]-floor)
	target[last] -= kept
	return kept
}

const (
	// maxWaitingShare is the part of the slots up to which the waiting requests of a class count.
	// More could not start while their callers wait.
	maxWaitingShare = 0.25
	// maxFreeShare is the part of the free slots up to which they count if that is more: where one
	// entry claims requests that it does not have, the others are left some.
	maxFreeShare = 0.75
	// maxUnreportedDivisor is the fraction of the slots, one in so many, that is left to entries that
	// do not report at most: one that is cut off takes what it gets.
	maxUnreportedDivisor = 2
)

// Of returns what this entry may have at the group.
func Of(in *Input) Allotment {
	// waiting and running are of the time when the load was taken: what this entry has started since
	// waited then.
	var waiting, running, ownWaiting, demand shares
	for c := range in.Classes {
		started := max(in.Own.Running[c]-in.OwnRunning[c], 0)
		ownWaiting[c] = in.Part*float64(in.Own.Waiting[c]) + float64(started)
		waiting[c] = in.Part*float64(max(in.Sums.Waiting[c]-in.Reported.Waiting[c], 0)) + ownWaiting[c]
		if most := max(maxWaitingShare*float64(in.Slots), maxFreeShare*float64(in.Slots-in.Running)); waiting[c] > most {
			ownWaiting[c], waiting[c] = ownWaiting[c]*most/waiting[c], most
		}
		running[c] = float64(max(in.Sums.Running[c]-in.Reported.Running[c], 0) + in.OwnRunning[c])
		demand[c] = waiting[c] + running[c]
	}
	// Requests of entries that do not report leave the others fewer slots.
	unreported := min(max(in.Running-in.Sums.Running.Total(), 0), in.usable()/maxUnreportedDivisor)
	target := fill(float64(in.usable()-unreported), &demand)
	kept := in.keepFree(&target, &demand)
	var lacking shares
	for c := range lacking {
		lacking[c] = min(waiting[c], max(target[c]-running[c], 0))
	}
	given := fill(float64(max(in.Slots-in.Running, 0)), &lacking)
	a := in.parts(&waiting, &ownWaiting, &demand, &target, &given)
	a.Kept = int(kept)
	return a
}

// parts returns this entry's part of the targets of the classes and of the slots given to them.
func (in *Input) parts(waiting, ownWaiting, demand, target, given *shares) Allotment {
	var a Allotment
	limit, upTo, left := float64(in.OwnRunning.Total()), 0.0, float64(max(in.Slots-in.Running, 0))
	for c := range in.Classes {
		if waiting[c] > 0 {
			limit += given[c] * ownWaiting[c] / waiting[c]
			left -= given[c]
			a.Contended = a.Contended || given[c] < waiting[c]
		}
		if target[c] >= demand[c] {
			// What arrives until the next report may start as far as the limit allows.
			upTo += float64(in.Own.Running[c] + in.Own.Waiting[c])
			a.target[c], a.upTo[c] = in.Slots, in.round(upTo)
			continue
		}
		own := target[c] * (float64(in.OwnRunning[c]) + ownWaiting[c]) / demand[c]
		a.target[c] = in.round(upTo+own) - in.round(upTo)
		upTo += own
		a.upTo[c] = in.round(upTo)
	}
	if in.Entries > 0 {
		// Each entry has a part of the slots that nobody waits for.
		limit += left / float64(in.Entries)
	}
	// Each entry may have one request, so that it notices what becomes of it.
	a.Limit = max(in.round(limit), 1)
	return a
}

// round rounds a part up or down by the draw.
func (in *Input) round(part float64) int { return int(part + in.Draw) }
