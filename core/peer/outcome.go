package peer

import (
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/outcome"
)

// ToWire converts an outcome to its form in frames.
func ToWire(o outcome.Outcome) wire.Outcome {
	switch o {
	case outcome.Complete:
		return wire.Outcome_OUTCOME_COMPLETE
	case outcome.NotRun:
		return wire.Outcome_OUTCOME_NOT_RUN
	case outcome.Failed:
		return wire.Outcome_OUTCOME_FAILED
	default:
		return wire.Outcome_OUTCOME_UNKNOWN
	}
}

// FromWire converts the outcome in a frame. A value that only a later version knows is Unknown.
func FromWire(o wire.Outcome) outcome.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_COMPLETE:
		return outcome.Complete
	case wire.Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	case wire.Outcome_OUTCOME_FAILED:
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}
