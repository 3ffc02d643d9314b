package route

import "time"

// The window of the recorded starts; it covers the lag of reports.
const (
	recentBuckets = 16
	recentWidth   = 250 * time.Millisecond
)

// recent records the work started in the last few seconds, so that a report which is seconds
// old can be completed by what was sent after it was taken.
type recent struct {
	newest int64 // number of the newest bucket
	work   [recentBuckets]float64
}

func bucketOf(at int64) int64 { return at / int64(recentWidth) }

// advance makes the bucket of at the newest, and clears expired buckets.
func (r *recent) advance(at int64) {
	b := bucketOf(at)
	if b-r.newest >= recentBuckets {
		r.work = [recentBuckets]float64{}
		r.newest = b
		return
	}
	for r.newest < b {
		r.newest++
		r.work[r.newest%recentBuckets] = 0
	}
}

func (r *recent) add(at int64, work float64) {
	r.advance(at)
	r.work[bucketOf(at)%recentBuckets] += work
}

// remove subtracts work that was added at the given time and has ended.
func (r *recent) remove(at int64, work float64) {
	b := bucketOf(at)
	if b < 0 || b > r.newest || r.newest-b >= recentBuckets {
		return
	}
	slot := &r.work[b%recentBuckets]
	*slot = max(0, *slot-work)
}

// since returns the work added after a time, with the resolution of a bucket.
func (r *recent) since(at int64) float64 {
	first := max(bucketOf(at)+1, r.newest-recentBuckets+1, 0)
	sum := 0.0
	for b := first; b <= r.newest; b++ {
		sum += r.work[b%recentBuckets]
	}
	return sum
}
