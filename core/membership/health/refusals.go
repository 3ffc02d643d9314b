package health

import "time"

const (
	// firstRefusal is for how long a target is avoided that has refused a request; each
	// further refusal in a row doubles it, up to maxRefusal.
	firstRefusal = 500 * time.Millisecond
	maxRefusal   = 4 * time.Second
)

// Refusals tells for how long a target is avoided that refuses requests, although it does not
// ask for that. The zero value has refused none.
//
// The load pattern it answers is some targets of a service that refuse everything for seconds
// while the others have room. Each refusal costs one of the few retries, and a few of them in a
// row are the sign of a group that serves nobody.
type Refusals struct {
	until time.Time
	span  time.Duration
}

// Refused records a refusal, and returns until when the target is avoided. Of several requests
// that it refuses at once, one counts.
func (r *Refusals) Refused(now time.Time) time.Time {
	if now.Before(r.until) {
		return r.until
	}
	r.span = min(max(2*r.span, firstRefusal), maxRefusal)
	r.until = now.Add(r.span)
	return r.until
}

// Accepted records that the target has taken a request.
func (r *Refusals) Accepted() { *r = Refusals{} }

// Avoided reports whether the target is avoided.
func (r *Refusals) Avoided(now time.Time) bool { return now.Before(r.until) }
