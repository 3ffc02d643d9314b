package health

import "time"

const (
	// firstRefusal is how long a target is avoided after it has refused a request; each
	// further consecutive refusal doubles it, up to maxRefusal.
	firstRefusal = 500 * time.Millisecond
	maxRefusal   = 4 * time.Second
)

// Refusals tracks how long to avoid a target that refuses requests without asking the
// sender to back off. The zero value has no refusals.
//
// It handles some targets of a service that refuse everything for seconds while the others
// have capacity. Each refusal costs one of the few retries, and a few consecutive ones are
// the sign of a group that serves nobody.
type Refusals struct {
	until time.Time
	span  time.Duration
}

// Refused records a refusal, and returns until when the target is avoided. Of several
// concurrent refusals only one counts.
func (r *Refusals) Refused(now time.Time) time.Time {
	if now.Before(r.until) {
		return r.until
	}
	r.span = min(max(2*r.span, firstRefusal), maxRefusal)
	r.until = now.Add(r.span)
	return r.until
}

// Accepted records that the target has accepted a request.
func (r *Refusals) Accepted() { *r = Refusals{} }

// Avoided reports whether the target is avoided.
func (r *Refusals) Avoided(now time.Time) bool { return now.Before(r.until) }
