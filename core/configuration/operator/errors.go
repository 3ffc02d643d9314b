package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/store"
)

// The kinds of errors.
const (
	KindInvalid         = "invalid"
	KindUnauthenticated = "unauthenticated"
	KindForbidden       = "forbidden"
	KindNotFound        = "not-found"
	// KindConflict says that another change was made first; the error names it.
	KindConflict = "conflict"
	// KindPlanState says that the plan's state forbids the request, and KindBounds
	// that the plan exceeds the bounds of its intent.
	KindPlanState = "plan-state"
	KindBounds    = "bounds"
	KindTooLarge  = "too-large"
	// KindUnavailable says that nothing was changed and a retry may help.
	KindUnavailable = "unavailable"
	// KindUnknown says that the change may have taken effect; a retry of the same
	// request returns the outcome.
	KindUnknown = "unknown"
	// KindRegressed says that the store holds an older configuration than the
	// one in force.
	KindRegressed = "regressed"
	KindInternal  = "internal"
)

// retrySeconds is the value of Retry-After for errors for which a retry may help.
const retrySeconds = 2

// Error is the error in the body of a response with a status other than 200.
type Error struct {
	// Status is the HTTP status; 0 if there was no response.
	Status  int    `json:"-"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Field, Value and Want describe the invalid field of a request.
	Field string `json:"field,omitempty"`
	Value string `json:"value,omitempty"`
	Want  string `json:"want,omitempty"`
	// Winner, Operator, ChangeID and Revision describe the winner of a conflict.
	Winner   string `json:"winner,omitempty"`
	Operator string `json:"operator,omitempty"`
	ChangeID string `json:"change-id,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// State is the state of the plan.
	State string `json:"state,omitempty"`
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

type errorBody struct {
	Error *Error `json:"error"`
}

func (e *Error) setHeaders(h http.Header) {
	switch e.Kind {
	case KindUnauthenticated:
		h.Set("WWW-Authenticate", "Bearer")
	case KindUnavailable, KindUnknown:
		h.Set("Retry-After", strconv.Itoa(retrySeconds))
	}
}

// describe converts an error into the response body. The text of an unknown
// error is not disclosed.
func describe(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	if e := describeRequest(err); e != nil {
		return e
	}
	if e := describePlan(err); e != nil {
		return e
	}
	if e := describeStore(err); e != nil {
		return e
	}
	return &Error{Status: http.StatusInternalServerError, Kind: KindInternal, Message: "internal error"}
}

func describeRequest(err error) *Error {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return &Error{
			Status: http.StatusBadRequest, Kind: KindInvalid, Message: invalid.Error(),
			Field: invalid.Field, Value: invalid.Value, Want: invalid.Want,
		}
	}
	var missing *config.NotFoundError
	if errors.As(err, &missing) {
		return &Error{Status: http.StatusNotFound, Kind: KindNotFound, Message: missing.Error()}
	}
	var large *config.TooLargeError
	if errors.As(err, &large) {
		return &Error{Status: http.StatusRequestEntityTooLarge, Kind: KindTooLarge, Message: large.Error()}
	}
	return nil
}

func describePlan(err error) *Error {
	var conflict *intent.ConflictError
	if errors.As(err, &conflict) {
		return &Error{
			Status: http.StatusConflict, Kind: KindConflict, Message: conflict.Error(), Winner: conflict.Winner,
			Operator: conflict.Operator, ChangeID: conflict.ChangeID, Revision: conflict.Revision,
		}
	}
	var state *intent.StateError
	if errors.As(err, &state) {
		return &Error{Status: http.StatusConflict, Kind: KindPlanState, Message: state.Error(), State: string(state.State)}
	}
	var bounds *intent.BoundError
	if errors.As(err, &bounds) {
		return &Error{Status: http.StatusConflict, Kind: KindBounds, Message: bounds.Error()}
	}
	var regressed *intent.RegressedError
	if errors.As(err, &regressed) {
		return &Error{Status: http.StatusConflict, Kind: KindRegressed, Message: regressed.Error(), Revision: regressed.InForce}
	}
	return nil
}

func describeStore(err error) *Error {
	var unknown *store.UnknownError
	if errors.As(err, &unknown) {
		return &Error{
			Status: http.StatusGatewayTimeout, Kind: KindUnknown,
			Message: "the store's answer was lost: the change may have taken effect; send the same request again",
		}
	}
	var unavailable *store.UnavailableError
	var refused *store.RefusedError
	var busy *intent.BusyError
	switch {
	case errors.As(err, &busy):
		return &Error{Status: http.StatusServiceUnavailable, Kind: KindUnavailable, Message: busy.Error()}
	case errors.As(err, &unavailable), errors.As(err, &refused),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return &Error{Status: http.StatusServiceUnavailable, Kind: KindUnavailable, Message: "the store cannot be reached: nothing was changed"}
	default:
		return nil
	}
}
