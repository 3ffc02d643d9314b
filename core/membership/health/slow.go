package health

const (
	// slowRankPace is the pace, as a multiple of the expected duration of a rank's part
	// of a pass, from which its streams are moved. Processing a stream's prompt again
	// elsewhere costs some ten milliseconds once; a rank at half its speed costs its
	// group that much with each pass.
	slowRankPace = 1.5
	// maxSlowPart is the largest part of a group, one in so many, that may be slow for its
	// streams to be moved. If more ranks are slow, the others lack the capacity for all of
	// their streams.
	maxSlowPart = 4
)

// SlowRank reports whether a rank of an expert group is so slow that its streams
// should run elsewhere. Pace is 1 for a rank at its expected speed.
func SlowRank(pace float64) bool { return pace >= slowRankPace }

// ShouldMoveStreams reports whether the streams in progress at the slow ranks of a
// group should continue at its other ranks.
//
// It is for a rank that becomes slow under load, for seconds: in each pass all ranks
// wait for its part, which grows with the requests that it has. Sending it no new
// ones is not enough, since the streams that it has take longest just then, and
// until they end nobody in the group is answered in time.
func ShouldMoveStreams(slow, ranks int) bool {
	return slow > 0 && slow*maxSlowPart <= ranks
}
