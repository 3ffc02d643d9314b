package group

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

// The kinds under which messages travel between agents.
const (
	kindProbe    = "group-probe"
	kindReport   = "group-report"
	kindPrepare  = "group-prepare"
	kindArm      = "group-arm"
	kindVote     = "group-ballot"
	kindOutcome  = "group-outcome"
	kindForm     = "group-form"
	kindHandover = "group-handover"
)

// KindError says that a message's kind is not known, as from a newer agent.
type KindError struct {
	Kind string
}

// Error names the kind.
func (e *KindError) Error() string {
	return fmt.Sprintf("unknown message kind %q", e.Kind)
}

// Encode returns a message's kind and its JSON form.
func Encode(m Message) (kind string, data []byte, err error) {
	switch m.(type) {
	case Probe:
		kind = kindProbe
	case Report:
		kind = kindReport
	case Prepare:
		kind = kindPrepare
	case Arm:
		kind = kindArm
	case VoteResponse:
		kind = kindVote
	case Outcome:
		kind = kindOutcome
	case Form:
		kind = kindForm
	case Handover:
		kind = kindHandover
	default:
		return "", nil, &KindError{Kind: fmt.Sprintf("%T", m)}
	}
	data, err = json.Marshal(m)
	if err != nil {
		return "", nil, errors.Wrap(err, "encode message")
	}
	return kind, data, nil
}

// Decode is the inverse of Encode. It returns a *KindError for a kind that it
// does not know.
func Decode(kind string, data []byte) (Message, error) {
	switch kind {
	case kindProbe:
		return decode[Probe](data)
	case kindReport:
		return decode[Report](data)
	case kindPrepare:
		return decode[Prepare](data)
	case kindArm:
		return decode[Arm](data)
	case kindVote:
		return decode[VoteResponse](data)
	case kindOutcome:
		return decode[Outcome](data)
	case kindForm:
		return decode[Form](data)
	case kindHandover:
		return decode[Handover](data)
	default:
		return nil, &KindError{Kind: kind}
	}
}

func decode[M Message](data []byte) (Message, error) {
	var m M
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return m, nil
}
