package health

const (
	// leavePace is the pace, in times the usual length of its part of a pass, from
	// which a rank's streams leave it. To read a stream's prompt again elsewhere
	// costs some ten milliseconds once; a rank at half its speed costs its group
	// that much with each pass.
	leavePace = 1.5
	// leavePart is the part of a group, one in so many, that may be slow for
	// streams to leave. If more ranks are, the others have no room for all of
	// theirs.
	leavePart = 4
)

// SlowRank reports whether a rank of an expert group is so slow that its streams
// should be elsewhere. Pace is 1 for a rank as fast as it should be.
func SlowRank(pace float64) bool { return pace >= leavePace }

// ShouldMoveStreams reports whether the streams in progress at the slow ranks of a group
// should go on at its other ranks.
//
// It is for a rank that becomes slow under load, for seconds: all ranks wait in
// each pass for its own part, which grows with the requests that it has. To send
// it no new ones is not enough. The streams that it has take longest of all just
// then, and for as long nobody in the group is answered in time.
func ShouldMoveStreams(slow, ranks int) bool {
	return slow > 0 && slow*leavePart <= ranks
}
