package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/request/outcome"
)

// errorBody is the JSON body of an answer that is not complete.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request-id,omitempty"`
}

// WriteError writes the final answer of a request that is not complete. An error of a type
// other than *outcome.Error is reported as unknown, without its text.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	e := asOutcome(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	w.WriteHeader(status(e))
	_, _ = w.Write(encode(requestID, e))
}

func asOutcome(err error) *outcome.Error {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e
	}
	return &outcome.Error{Outcome: outcome.Unknown, Reason: "internal", Status: http.StatusInternalServerError}
}

func encode(requestID string, e *outcome.Error) []byte {
	b, _ := json.Marshal(errorBody{errorDetail{Outcome: e.Outcome.String(), Reason: e.Reason, RequestID: requestID}})
	return append(b, '\n')
}

// retryAfter rounds up to whole seconds, as RFC 9110 section 10.2.3 requires.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func status(e *outcome.Error) int {
	if e.Status != 0 {
		return e.Status
	}
	switch e.Outcome {
	case outcome.NotRun:
		return http.StatusServiceUnavailable
	case outcome.Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
