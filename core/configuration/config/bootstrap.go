package config

import (
	"fmt"
	"slices"
	"time"
)

// MaxAnswerAge is how long an answer is valid after its query was sent.
const MaxAnswerAge = 3 * time.Second

// Startup is what a node that has just started knows.
//
// Electorate names the peers whose answers count while the store is down, by
// name or by address. It comes from the settings and must be the same on all
// nodes; it is changed by one name at a time, so that majorities of the old and
// the new one overlap.
type Startup struct {
	Self       string
	Electorate []string
	// Started is when this process began; answers to earlier queries do not
	// count.
	Started time.Time
	// FetchedRevision is the highest revision that the node has fetched; 0 for none.
	FetchedRevision uint64
	// StoreRevision is the revision that the store returned to this process, if StoreAnswered;
	// 0 if it holds no configuration yet.
	StoreRevision uint64
	StoreAnswered bool
	// StoreRestored says that the store has come back from an older copy at some time, so that it
	// may hold an older configuration than the one in force.
	StoreRestored bool
}

// PeerAnswer is the revision that a peer has reported.
type PeerAnswer struct {
	From string
	// Bootstrapped says that the peer has itself finished its start. A peer that
	// does not report this counts as bootstrapped once it answers with a revision,
	// provided that it answers with 0 until then.
	Bootstrapped bool
	Revision     uint64
	// RequestedAt is when this node sent the query, by its own clock.
	RequestedAt time.Time
}

// Step says what a starting node does next.
type Step int

// The steps of a start.
const (
	// StepQuery queries the peers named in the decision, and the store again.
	StepQuery Step = iota
	// StepFetch fetches the revision named in the decision.
	StepFetch
	// StepServe serves: the start is over.
	StepServe
)

// Decision is what a starting node does next, and why.
type Decision struct {
	Step Step
	// Pending names the peers that have yet to answer.
	Pending []string
	// From is the peer to fetch from; empty for the store.
	From string
	// Revision is the least revision to serve with.
	Revision uint64
	// Answers is the number of valid answers so far, and Quorum the number needed.
	Answers, Quorum int
}

// Reason returns a short text on why the node does not serve, which the load
// balancer's health check shows.
func (d Decision) Reason() string {
	switch d.Step {
	case StepServe:
		return ""
	case StepFetch:
		return fmt.Sprintf("fetching revision %d", d.Revision)
	default:
		return fmt.Sprintf("store unreachable, heard %d of %d peers", d.Answers, d.Quorum)
	}
}

// Bootstrap decides when a node that starts with empty memory may serve.
//
// It prevents a node that restarts while the store is down from taking the
// configuration of a peer that was partitioned before the last change: a drained
// target would get work again, and a revoked token would be accepted. An answer
// of the store suffices, as its reads are linearizable. Without one a majority
// of the electorate must answer, and the highest revision among the answers is
// taken. A revision that was in force on all nodes was held by a majority, which
// shares a member with any other majority; and a member that has lost its memory
// reports no revision until it has answers from a majority itself, so that an
// old revision can never reach a majority.
//
// A store that was restored may lack the last revision. Its answer suffices only after MaxAnswerAge,
// by when the peers that serve have reported what is in force.
func Bootstrap(s Startup, answers []PeerAnswer, now time.Time) Decision {
	counted := validAnswers(s, answers, now)
	d := Decision{Answers: len(counted), Quorum: len(s.Electorate)/2 + 1}
	best := PeerAnswer{}
	for _, a := range counted {
		if a.Revision > best.Revision || best.From == "" {
			best = a
		}
	}
	storeSuffices := s.StoreAnswered && (!s.StoreRestored || now.Sub(s.Started) >= MaxAnswerAge)
	if !storeSuffices && d.Answers < d.Quorum {
		d.Pending = missing(s, counted)
		return d
	}
	d.Step, d.From, d.Revision = StepFetch, best.From, best.Revision
	if s.StoreAnswered && s.StoreRevision >= best.Revision {
		d.From, d.Revision = "", s.StoreRevision
	}
	if s.FetchedRevision >= d.Revision {
		d.Step, d.From, d.Revision = StepServe, "", s.FetchedRevision
	}
	return d
}

// validAnswers returns the valid answers, one for each peer.
func validAnswers(s Startup, answers []PeerAnswer, now time.Time) []PeerAnswer {
	var counted []PeerAnswer
	for _, a := range answers {
		if !isValid(s, a, now) {
			continue
		}
		i := slices.IndexFunc(counted, func(c PeerAnswer) bool { return c.From == a.From })
		if i < 0 {
			counted = append(counted, a)
			continue
		}
		if a.Revision > counted[i].Revision {
			counted[i] = a
		}
	}
	return counted
}

func isValid(s Startup, a PeerAnswer, now time.Time) bool {
	if !a.Bootstrapped || a.From == s.Self || !slices.Contains(s.Electorate, a.From) {
		return false
	}
	return !a.RequestedAt.Before(s.Started) && now.Sub(a.RequestedAt) <= MaxAnswerAge
}

func missing(s Startup, counted []PeerAnswer) []string {
	var names []string
	for _, name := range s.Electorate {
		answered := slices.ContainsFunc(counted, func(a PeerAnswer) bool { return a.From == name })
		if name != s.Self && !answered {
			names = append(names, name)
		}
	}
	return names
}
