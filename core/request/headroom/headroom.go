// Package headroom decides how many requests a group of engines may run, so that its forward
// passes stay shorter than the pause between two events that its callers accept.
//
// The load pattern it handles is a group that runs near its limit when other experts come into
// demand. All ranks run each pass together, and until the experts are placed anew a pass takes as
// long as the most loaded rank needs. A single pass that is too long makes every stream that runs
// late, also those of callers that were served first. What ran too much then cannot be taken
// back: the room has to be there before.
//
// A Meter measures passes by the events of the streams that a gateway relays: the ranks of a
// group send theirs together, so that the pause between two events of any of them is a pass, and
// is known as it ends. A Limit learns from them how much longer the longest pass of each second
// was than the work of the requests that ran explains, and from that how many may run. It binds
// only if more callers are served on time that way than without it.
//
// A value of this package has no clock and no lock, and does no input or output.
//
// # Usage
//
//	if pass, ok := meter.Observe(pause, now); ok {
//		limit.Observe(pass, running, now)
//	}
//	slots = limit.Slots(load, now)
package headroom

import (
	"time"
)

// Cost is what a pass takes at evenly loaded ranks.
type Cost struct {
	// Base is the time of a pass whatever runs, PerRequest the time that each request at a rank
	// adds, and Reading the time in which a rank reads a usual prompt.
	Base, PerRequest, Reading time.Duration
	// Ranks is the number of ranks of the group.
	Ranks int
}

// known reports whether the cost of a pass is known.
func (c Cost) known() bool { return c.Base > 0 && c.PerRequest > 0 && c.Ranks > 0 }

// writing returns the time of a pass with the given number of requests in the group, without that
// of reading.
func (c Cost) writing(running int) time.Duration {
	return c.Base + time.Duration(float64(c.PerRequest)*float64(running)/float64(c.Ranks))
}

// running returns with how many requests in the group the writing in a pass takes the given time.
func (c Cost) running(writing time.Duration) int {
	return int(float64(writing-c.Base) / float64(c.PerRequest) * float64(c.Ranks))
}

// pass returns the time of a pass with the given number of requests in the group, the writing of
// which takes stretch times as long as at evenly loaded ranks.
func (c Cost) pass(running int, stretch float64) time.Duration {
	return time.Duration(stretch*float64(c.writing(running))) + c.Reading
}

// stretch is the inverse of pass.
func (c Cost) stretch(pass time.Duration, running int) float64 {
	return max(pass-c.Reading, 0).Seconds() / c.writing(running).Seconds()
}

const (
	// buckets is the number of seconds over which the longest passes are remembered. The mix of
	// requests changes several times in it, and each change has another effect on the passes: with
	// few of them the number that may run would follow the last one.
	buckets = 30
	// minKnown is the number of seconds for which at least the passes have to be known before they
	// count in full.
	minKnown = 3
	// minGain is how many times as many streams have to be on time with fewer requests than with
	// all. The stretch of a pass is known to a tenth or two: what is read and the load that it
	// ran with vary.
	minGain = 1.15
	// pauseShare is the part of the accepted pause that a pass may take: an event is also written
	// and carried, and a stream that is resumed has a longer pause.
	pauseShare = 0.95
)

// Fits reports whether a pass is short enough for callers that accept a pause between two events.
func Fits(pass, pause time.Duration) bool {
	return float64(pass) <= pauseShare*float64(pause)
}

// Limit learns how many requests a group may run. The zero value knows nothing and limits
// nothing.
type Limit struct {
	Cost Cost
	// since is when the first pass was observed.
	since time.Time
	// stretch is that of the longest pass of each second, and at the second since then, from 1,
	// that it is of.
	stretch [buckets]float64
	at      [buckets]int64
}

// second returns the number of the second that now is in, from 1. It does not follow steps of the
// wall clock.
func (l *Limit) second(now time.Time) int64 { return max(int64(now.Sub(l.since)/time.Second), 0) + 1 }

// Observe records a pass, with how many requests the group ran.
func (l *Limit) Observe(pass time.Duration, running int, now time.Time) {
	if !l.Cost.known() {
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	second := l.second(now)
	i := int(second % buckets)
	if l.at[i] != second {
		l.at[i], l.stretch[i] = second, 0
	}
	l.stretch[i] = max(l.stretch[i], l.Cost.stretch(pass, running))
}

// Load is what a group has to run.
type Load struct {
	// Slots is how many requests its ranks can run, Demand how many would run if all did that are
	// there: those that run or wait.
	Slots, Demand int
	// Pause is the shortest pause between two events that its callers accept, and StreamTime how
	// long a stream takes.
	Pause, StreamTime time.Duration
}

// Slots returns how many requests the group should run at most. It is the number with which most
// streams are on time. Fewer requests mean that fewer are served; more mean that in some of the
// remembered seconds a pass would have been too long, and have delayed all streams that ran. The
// limit is that of the slots unless clearly more are on time with another.
func (l *Limit) Slots(load Load, now time.Time) int {
	if !l.Cost.known() || load.Pause <= 0 {
		return load.Slots
	}
	longest := time.Duration(pauseShare * float64(load.Pause))
	full := min(load.Slots, load.Demand)
	best, most := load.Slots, minGain*l.onTime(full, longest, load.StreamTime, now)
	for i := range l.stretch {
		if !l.remembered(i, now) || l.stretch[i] <= 0 {
			continue
		}
		n := l.Cost.running(time.Duration(float64(longest-l.Cost.Reading) / l.stretch[i]))
		if n < 1 || n >= full {
			continue
		}
		if rate := l.onTime(n, longest, load.StreamTime, now); rate > most {
			best, most = n, rate
		}
	}
	return best
}

// remembered reports whether the bucket i is of the last seconds.
func (l *Limit) remembered(i int, now time.Time) bool {
	return l.at[i] > 0 && l.second(now)-l.at[i] < buckets
}

// onTime returns how many streams are on time while n run, in streams for each event's time: those
// of the seconds without a pass that is longer than accepted. Such a pass delays all that run,
// which is as many as start within the time of one.
func (l *Limit) onTime(n int, longest, streamTime time.Duration, now time.Time) float64 {
	late, known := 0, 0
	for i := range l.stretch {
		if !l.remembered(i, now) {
			continue
		}
		known++
		if l.Cost.pass(n, l.stretch[i]) > longest {
			late++
		}
	}
	delayed := float64(late) / float64(max(known, minKnown)) * max(streamTime.Seconds(), 1)
	return float64(n) / l.Cost.pass(n, 1).Seconds() * max(1-delayed, 0)
}
