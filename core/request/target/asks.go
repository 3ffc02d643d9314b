package target

import (
	"net/http"

	"verbenashift/core/request/permit"
)

// HeaderLimit is where a target names how many requests a second it takes.
const HeaderLimit = "Server-Limit"

// Asks is what a target asks, in an answer, of those that send to it.
type Asks struct {
	// Limit is how many requests a second it takes from all together; nil if it names none.
	Limit *float64
}

func asksOf(h http.Header) Asks { return Asks{Limit: permit.ParseLimit(h.Get(HeaderLimit))} }
