// Package member maintains a node's view of the agents: which of them are alive,
// draining or dead, and which configuration revision the fleet has.
//
// It has three sources. The instance list gives names, zones and addresses, and
// lags. Exchanges between nodes carry digests of bounded size: an agent's own
// record, recent updates, and a rotating part of the rest. Answers on the path
// of the requests are first-hand evidence. The agent is the authority on itself:
// its incarnation (a number that grows with each start of the process) overrides
// any older one, and its own report that it drains overrides the list. A stale
// view is harmless, since a draining agent refuses new work at once as not run;
// the view only saves the attempt.
//
// Failures are detected as in SWIM (Das, Gupta and Motivala, 2002): an exchange
// that fails makes the peer suspect, the suspicion spreads as an update, the peer
// refutes it with a larger sequence number when it learns of it, and a suspect
// that does not is dead after SuspectTimeout. A node that has received nothing
// for IsolatedAfter is isolated and must report so in its readiness check.
//
// Each node exchanges with one of a few random partners a second, which change
// one at a time, and every other second with one of its subset of SubsetSize
// agents, of its own zone first. A random peer may be a dead one, so that the
// sides of a partition find each other again. After a new revision a node
// exchanges with BoostPeers more for BoostRounds rounds.
//
// A View has no clock, no lock and no connections.
//
// # Usage
//
//	v := member.New(member.Self{Name: "agent-7", Zone: "merkato", Incarnation: inc, Agent: true}, rnd)
//	v.SetInstances(list, now)
//	for _, peer := range v.Round(now) { // once a second
//		reply, err := exchange(peer, v.Digest(nil, peer, quota, now))
//		if err != nil {
//			v.RecordFailure(peer, now)
//			continue
//		}
//		received, err := v.Merge(reply, now)
//	}
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspectTimeout is how long a suspect has to refute before it is dead.
	SuspectTimeout = 5 * time.Second
	// IsolatedAfter is how long a node receives nothing before it is isolated.
	IsolatedAfter = 5 * time.Second
	// ZoneTimeout is how long no agent of a zone has been seen, directly or through
	// others, before the zone counts as not visible.
	ZoneTimeout = 15 * time.Second
	// SubsetSize is how many peers a node's permanent subset has.
	SubsetSize = 6
	// Partners is how many random agents a node exchanges with for a while. A new
	// random agent each round would mean a new connection each second, which
	// with TLS costs 4.9 KB where an exchange on an existing one costs 0.3.
	Partners = 8
	// PartnerRounds is the number of rounds after which one of the partners is
	// replaced.
	PartnerRounds = 60
	// BoostPeers is how many more peers a node exchanges with in a round
	// after it has learned of a new revision.
	BoostPeers = 2
	// BoostRounds is how many rounds that lasts.
	BoostRounds = 3
	// unlistedFor is how long an unlisted agent is remembered, and maxUnlisted
	// how many of them are.
	unlistedFor = time.Minute
	maxUnlisted = 128
)

// State is the believed state of an agent.
type State uint8

// The states. Dead is a node's own conclusion and is never sent.
const (
	Alive State = iota
	Suspect
	Dead
)

// Self is the node that holds the view.
type Self struct {
	Name string
	Zone string
	// Incarnation is larger at each start of the process, for instance the
	// wall time in milliseconds.
	Incarnation uint64
	// Agent reports that the node is an agent and has a record of its own; an
	// entry has none.
	Agent bool
}

// Instance is one agent on the platform's instance list.
type Instance struct {
	Name    string
	Zone    string
	Leaving bool
}

// Member is what the node knows of one agent.
type Member struct {
	Instance
	Incarnation uint64
	// Sequence orders the statements of one incarnation about itself.
	Sequence uint64
	State    State
	Draining bool
	// Wait is the agent's expected wait for new work, as of Seen.
	Wait time.Duration
	// Seen is when the agent was last known to be alive, directly or through others.
	Seen time.Time

	id        uint64
	listed    bool
	suspected time.Time
	// updateUntil is when the record ceases to be sent as an update, zero if it is
	// none; sends counts how often it was sent.
	updateUntil time.Time
	sends       int
	// notifyStale reports that the agent's old copy must learn of its successor;
	// lastDigest is the last digest that contains the record.
	notifyStale bool
	lastDigest  uint64
}

// View is one node's view. Use New to make one.
type View struct {
	self     Self
	rnd      *rand.Rand
	own      Record
	revision uint64
	// members is keyed by id; order holds the same for the rotation.
	members  map[uint64]*Member
	order    []*Member
	cursor   int
	digests  uint64
	updates  []*Member
	unlisted int
	// names are the listed agents without the node itself, subset some of them.
	names        []string
	subset       []string
	partners     []string
	rounds       int
	boost        int
	peers        []string
	lastReceived time.Time
	superseded   bool
}

// New returns a view that knows only its own node.
func New(self Self, rnd *rand.Rand) *View {
	v := &View{self: self, rnd: rnd, members: make(map[uint64]*Member)}
	v.own = Record{ID: idOf(self.Name), Incarnation: self.Incarnation, Entry: !self.Agent}
	return v
}

// idOf returns the 48 bits that represent a name in digests. Among a thousand
// agents the probability that any two share them is about two in a thousand million.
func idOf(name string) uint64 { return xxhash.Sum64String(name) & idMask }

const idMask = 1<<48 - 1

// SetInstances sets the instance list. An agent that finds itself leaving
// there begins to drain; the list never ends its draining.
func (v *View) SetInstances(list []Instance, now time.Time) {
	if v.lastReceived.IsZero() {
		v.lastReceived = now // the time until isolation runs from the first list
	}
	for _, m := range v.order {
		m.listed = false
	}
	v.names = v.names[:0]
	for _, in := range list {
		if in.Name == v.self.Name {
			if in.Leaving && v.self.Agent {
				v.SetDraining()
			}
			continue
		}
		m := v.ensureMember(idOf(in.Name), now)
		m.Instance, m.listed = in, true
		v.names = append(v.names, in.Name)
	}
	v.subset = chooseSubset(v.self, list, v.subset[:0])
	v.removeUnlisted(now)
}

// ensureMember returns the member with the id, and creates it if it is missing.
func (v *View) ensureMember(id uint64, now time.Time) *Member {
	if m, ok := v.members[id]; ok {
		return m
	}
	m := &Member{id: id, Seen: now}
	v.members[id] = m
	v.order = append(v.order, m)
	return m
}

// removeUnlisted removes agents that have long been unlisted. A record is retained
// for a while, since the list may lag behind an agent that has just started, or show
// an older copy for a moment.
func (v *View) removeUnlisted(now time.Time) {
	kept := v.order[:0]
	v.unlisted = 0
	for _, m := range v.order {
		if !m.listed && now.Sub(m.Seen) >= unlistedFor {
			delete(v.members, m.id)
			continue
		}
		if !m.listed {
			v.unlisted++
		}
		kept = append(kept, m)
	}
	clear(v.order[len(kept):])
	v.order = kept
	v.updates = slices.DeleteFunc(v.updates, func(m *Member) bool { return v.members[m.id] != m })
}

// SetDraining makes this agent report that it takes no new work. This cannot be
// undone within an incarnation.
func (v *View) SetDraining() {
	if v.own.Draining {
		return
	}
	v.own.Draining = true
	v.own.Sequence++
}

// Draining reports whether this agent drains.
func (v *View) Draining() bool { return v.own.Draining }

// SetWait sets this agent's expected wait for new work.
func (v *View) SetWait(wait time.Duration) { v.own.Wait = wait }

// SetRevision sets the configuration revision that the node has in force. It
// never decreases.
func (v *View) SetRevision(revision uint64) {
	if revision > v.revision {
		v.revision = revision
		v.boost = BoostRounds
	}
}

// maxZones bounds the zones that VisibleFraction distinguishes.
const maxZones = 64
