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
	// HeaderLimit is the number of requests a second that the target accepts.
	HeaderLimit = "Server-Limit"
	// HeaderLeaving is 1 if the target is shutting down.
	HeaderLeaving = "Server-Leaving"
)

// Backpressure is what a target asks of its senders in the headers of a response.
type Backpressure struct {
	// Limit is the number of requests a second that the target accepts from all senders
	// together; nil if it sets none.
	Limit *float64
	// Pause is how long a target that has refused a request wants none; 0 if it does not say.
	Pause time.Duration
	// Leaving says that the target is shutting down and accepts no new requests.
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
