package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against spending retries on targets that refuse everything, and against avoiding a
// target that accepts requests.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	var r Refusals
	now := time.Unix(1000, 0)
	is.True(!r.Avoided(now))
	tried := 0
	for at := now; at.Before(now.Add(6 * time.Second)); at = at.Add(10 * time.Millisecond) {
		if !r.Avoided(at) {
			tried++
			r.Refused(at)
			r.Refused(at) // a concurrent one
		}
	}
	is.Equal(tried, 4) // after 0, 0.5, 1.5 and 3.5 s
	r.Accepted()
	is.True(!r.Avoided(now.Add(6 * time.Second)))
	is.Equal(r.Refused(now), now.Add(firstRefusal))
}
