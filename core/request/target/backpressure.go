package target

import (
	"net/http"
	"strings"
	"time"

	"verbenashift/core/request/permit"
	"verbenashift/core/request/retry"
)

// The headers in which a target says what it asks for.
const (
	// HeaderLimit names how many requests a second it takes.
	HeaderLimit = "Server-Limit"
	// HeaderLeaving is 1 if it leaves.
	HeaderLeaving = "Server-Leaving"
)

// Backpressure is what a target asks for in an answer of those that send to it.
type Backpressure struct {
	// Limit is how many requests a second it takes from all together; nil if it names none.
	Limit *float64
	// Pause is how long a target that has refused wants nothing; 0 if it does not say.
	Pause time.Duration
	// Leaving says that the target leaves and takes no new requests.
	Leaving bool
}

func backpressureOf(status int, h http.Header) Backpressure {
	a := Backpressure{
		Limit:   permit.ParseLimit(h.Get(HeaderLimit)),
		Leaving: strings.TrimSpace(h.Get(HeaderLeaving)) == "1",
	}
	if status == http.StatusServiceUnavailable {
		a.Pause = retry.ParseAfter(h.Get("Retry-After"))
	}
	return a
}
