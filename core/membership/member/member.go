// Package member is a node's view of the agents: which of them live, drain or
// are gone, and which configuration revision the fleet has.
//
// Three sources feed it. The instance list gives names, zones and addresses,
// and lags. Exchanges between nodes carry digests of bounded size: an agent's
// own record, changes that are still news, and a rotating part of the rest.
// Answers on the path of the requests are first-hand evidence. The agent is
// the authority on itself: its incarnation (a number that grows with each
// start of the process) beats any older one, and what it says of its draining
// beats the list. A stale view is harmless, since a draining agent refuses
// new work at once as not run; the view only saves the try.
//
// Failures are found as in SWIM (Das, Gupta and Motivala, 2002): an exchange
// that fails makes the peer suspect, the suspicion spreads as news, the peer
// refutes it with a larger sequence number when it hears of it, and a suspect
// that does not is gone after SuspectFor. A node that has heard nobody for
// CutOffAfter knows that it is cut off and must say so in its readiness check.
//
// Each node exchanges with one of a few random partners a second, which change
// one at a time, and every other second with one of its subset, which is
// SubsetSize agents, of its own zone first. A random peer may be one that is gone: this is how the sides of a partition
// find each other again. After a new revision a node exchanges with BoostPeers
// more for BoostRounds rounds.
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
//			v.Failed(peer, now)
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
	// SuspectTimeout is how long a suspect has to refute before it is gone.
	SuspectTimeout = 5 * time.Second
	// IsolatedAfter is how long a node hears nobody before it is cut off.
	IsolatedAfter = 5 * time.Second
	// ZoneTimeout is how long no agent of a zone is heard of, at first or
	// second hand, before the zone counts as out of sight.
	ZoneTimeout = 15 * time.Second
	// SubsetSize is how many peers a node keeps to.
	SubsetSize = 6
	// Partners is how many random agents a node keeps to for a while. A new
	// random agent each round would mean a new connection each second, which
	// with TLS costs 4.9 KB where an exchange on a kept one costs 0.3.
	Partners = 8
	// PartnerRounds is after how many rounds one of the partners is replaced.
	PartnerRounds = 60
	// BoostPeers is how many peers more a node exchanges with in a round
	// after it learned of a new revision.
	BoostPeers = 2
	// BoostRounds is how many rounds that lasts.
	BoostRounds = 3
	// unlistedFor is how long an agent is remembered that is not on the list,
	// and maxUnlisted how many of them.
	unlistedFor = time.Minute
	maxUnlisted = 128
)

// State says how an agent is believed to be.
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
	// Agent says that the node is an agent and has a record of its own; an
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
	// Seen is when the agent was last known to live, at first or later hand.
	Seen time.Time

	id        uint64
	listed    bool
	suspected time.Time
	// newsUntil is the end of the record's time as news, zero if it is none;
	// sends counts how often it went out.
	newsUntil time.Time
	sends     int
	// owed says that the agent's old copy must hear of its successor, turn is
	// the last digest that the record is in.
	owed bool
	turn uint64
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
	turn     uint64
	news     []*Member
	unlisted int
	// names are the listed agents without the node itself, subset some of them.
	names      []string
	subset     []string
	partners   []string
	rounds     int
	boost      int
	peers      []string
	heard      time.Time
	superseded bool
}

// New returns a view that knows only its own node.
func New(self Self, rnd *rand.Rand) *View {
	v := &View{self: self, rnd: rnd, members: make(map[uint64]*Member)}
	v.own = Record{ID: idOf(self.Name), Incarnation: self.Incarnation, Entry: !self.Agent}
	return v
}

// idOf returns the 48 bits that stand for a name in digests. Among a thousand
// agents the chance that any two share them is about two in a thousand million.
func idOf(name string) uint64 { return xxhash.Sum64String(name) & idMask }

const idMask = 1<<48 - 1

// SetInstances takes the instance list. An agent that finds itself leaving
// there begins to drain; the list never ends its draining.
func (v *View) SetInstances(list []Instance, now time.Time) {
	if v.heard.IsZero() {
		v.heard = now // the time to be cut off runs from the first list
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
		m := v.member(idOf(in.Name), now)
		m.Instance, m.listed = in, true
		v.names = append(v.names, in.Name)
	}
	v.subset = chooseSubset(v.self, list, v.subset[:0])
	v.sweep(now)
}

// member returns the member with the id, made if it is missing.
func (v *View) member(id uint64, now time.Time) *Member {
	if m, ok := v.members[id]; ok {
		return m
	}
	m := &Member{id: id, Seen: now}
	v.members[id] = m
	v.order = append(v.order, m)
	return m
}

// sweep forgets agents that have long left the list. A record is kept for a
// while, since the list may lag behind an agent that has just started, or show
// an older copy for a moment.
func (v *View) sweep(now time.Time) {
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
	v.news = slices.DeleteFunc(v.news, func(m *Member) bool { return v.members[m.id] != m })
}

// SetDraining says that this agent takes no new work from now on. There is no
// way back in the same incarnation.
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
// never goes back.
func (v *View) SetRevision(revision uint64) {
	if revision > v.revision {
		v.revision = revision
		v.boost = BoostRounds
	}
}

// maxZones bounds the zones that Visible tells apart.
const maxZones = 64
