package member

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// newsFor is how long a node sends a change as news. Agents have it after some
// ten rounds; an entry only pulls, and may pull from dead agents for a while,
// so that the news must outlast its bad luck. A count of sends in place of the
// time ran out after seven rounds and left one of 233 nodes without a drain.
const newsFor = 20 * time.Second

// Received is what a digest brought besides its records.
type Received struct {
	// Revision is the sender's configuration revision.
	Revision uint64
	// Quota is the attached quota digest; it aliases the input.
	Quota []byte
}

// StaleError says that a digest came from an old incarnation; all of it was
// ignored.
type StaleError struct {
	Known, Got uint64
}

// Error returns both incarnations.
func (e *StaleError) Error() string {
	return fmt.Sprintf("digest of incarnation %d, but %d is known", e.Got, e.Known)
}

// chooseSubset appends the agents that rank highest for this node, those of
// its own zone first. The ranks are hashes, so that each agent is in about as
// many subsets as any other, and little changes with the list.
func chooseSubset(self Self, list []Instance, dst []string) []string {
	type ranked struct {
		name string
		far  bool
		rank uint64
	}
	all := make([]ranked, 0, len(list))
	for _, in := range list {
		if in.Name != self.Name && !in.Leaving {
			rank := xxhash.Sum64String(self.Name + "\x00" + in.Name)
			all = append(all, ranked{in.Name, in.Zone != self.Zone, rank})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		switch {
		case a.far != b.far && b.far:
			return -1
		case a.far != b.far:
			return 1
		case a.rank != b.rank && a.rank > b.rank:
			return -1
		case a.rank != b.rank:
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	for _, r := range all[:min(SubsetSize, len(all))] {
		dst = append(dst, r.name)
	}
	return dst
}

// Round begins a round, once a second, and returns whom to exchange with. The
// slice is valid until the next call.
func (v *View) Round(now time.Time) []string {
	v.rounds++
	v.expire(now)
	v.peers = v.peers[:0]
	if len(v.names) == 0 {
		return v.peers
	}
	randoms := 1
	if v.boost > 0 {
		v.boost--
		randoms += BoostPeers
	}
	v.refreshPartners()
	for i := range randoms {
		v.addPeer(v.partners[(v.rounds+i)%len(v.partners)])
	}
	if len(v.subset) > 0 && v.rounds%2 == 0 {
		v.addNear(v.subset[v.rnd.IntN(len(v.subset))])
	}
	return v.peers
}

// refreshPartners fills the partners up, drops those that have left the list
// and replaces one of them every PartnerLife rounds. A gone one stays its time:
// this is how the sides of a partition find each other again.
func (v *View) refreshPartners() {
	v.partners = slices.DeleteFunc(v.partners, func(name string) bool {
		m, ok := v.members[idOf(name)]
		return !ok || !m.listed
	})
	if v.rounds%PartnerRounds == 0 && len(v.partners) > 0 {
		v.partners = slices.Delete(v.partners, 0, 1)
	}
	for len(v.partners) < min(Partners, len(v.names)) {
		name := v.names[v.rnd.IntN(len(v.names))]
		if !slices.Contains(v.partners, name) {
			v.partners = append(v.partners, name)
		}
	}
}

func (v *View) addPeer(name string) {
	if !slices.Contains(v.peers, name) {
		v.peers = append(v.peers, name)
	}
}

// addNear adds one of the subset, unless it is gone.
func (v *View) addNear(name string) {
	if m, ok := v.members[idOf(name)]; ok && m.State != Dead {
		v.addPeer(name)
	}
}

// expire turns suspects that have not refuted in time into gone ones.
func (v *View) expire(now time.Time) {
	for _, m := range v.order {
		if m.State == Suspect && now.Sub(m.suspected) >= SuspectTimeout {
			m.State = Dead
		}
	}
}

// Merge takes in a peer's digest. A digest that is malformed or comes from an
// old incarnation changes nothing; the latter should be answered none the less,
// since the next Digest for that peer tells it that it is superseded.
func (v *View) Merge(digest []byte, now time.Time) (Received, error) {
	d, err := Decode(digest)
	if err != nil {
		return Received{}, err
	}
	sender := d.Records[0]
	if m, ok := v.members[sender.ID]; ok && !sender.Entry && sender.Incarnation < m.Incarnation {
		m.owed = true
		return Received{}, &StaleError{Known: m.Incarnation, Got: sender.Incarnation}
	}
	v.heard = now
	if !sender.Entry {
		sender.Age, sender.State = 0, Alive
		v.apply(sender, now)
		v.clear(sender.ID, now)
	}
	for _, r := range d.Records[1:] {
		v.apply(r, now)
	}
	return Received{Revision: d.Revision, Quota: d.Quota}, nil
}

// apply takes in one record.
func (v *View) apply(r Record, now time.Time) {
	if r.ID == v.own.ID {
		v.answer(r)
		return
	}
	m, ok := v.members[r.ID]
	if !ok {
		if v.unlisted >= maxUnlisted {
			return
		}
		v.unlisted++
		m = v.member(r.ID, now.Add(-r.Age))
	}
	if r.Incarnation < m.Incarnation {
		return
	}
	if r.newer(m) {
		v.adopt(m, r, now)
	}
	if seen := now.Add(-r.Age); seen.After(m.Seen) {
		m.Seen, m.Wait = seen, r.Wait
	}
}

// adopt takes over a newer statement and makes it news here too. That an agent
// lives is no news to a node that has just started, and would crowd out what is.
func (v *View) adopt(m *Member, r Record, now time.Time) {
	if r.State == Suspect {
		m.suspected = now
	}
	// Draining does not end within an incarnation. A suspicion by a node that
	// has not heard of it yet must not reopen the agent for new work.
	m.Draining = r.Draining || m.Draining && r.Incarnation == m.Incarnation
	first := m.Incarnation == 0
	m.State, m.Incarnation, m.Sequence = r.State, r.Incarnation, r.Sequence
	if !first || r.Draining || r.State == Suspect {
		v.spread(m, now)
	}
}

// answer reacts to what others say of this node: it refutes a suspicion, and
// learns that a later process has its name.
func (v *View) answer(r Record) {
	if r.Entry || !v.self.Agent {
		return
	}
	if r.Incarnation > v.own.Incarnation {
		v.superseded = true
	}
	if r.Incarnation == v.own.Incarnation && r.State == Suspect && r.Sequence >= v.own.Sequence {
		v.own.Sequence = r.Sequence + 1
	}
}

// clear ends a suspicion on first-hand evidence. The agent's own refutation
// ends it for the others.
func (v *View) clear(id uint64, now time.Time) {
	if m, ok := v.members[id]; ok {
		m.State, m.Seen = Alive, now
	}
}

// RecordAnswer tells of an answer of an agent on the path of a request. An answer of
// an old incarnation is ignored.
func (v *View) RecordAnswer(name string, incarnation uint64, draining bool, wait time.Duration, now time.Time) {
	m, ok := v.members[idOf(name)]
	if !ok || incarnation < m.Incarnation {
		return
	}
	v.heard = now
	if incarnation > m.Incarnation {
		m.Incarnation, m.Sequence, m.Draining = incarnation, 0, false
	}
	m.State, m.Seen, m.Wait = Alive, now, wait
	m.Draining = m.Draining || draining
}

// RecordFailure tells that an exchange with an agent failed, or a request could not
// reach it.
func (v *View) RecordFailure(name string, now time.Time) {
	m, ok := v.members[idOf(name)]
	if !ok || m.State != Alive {
		return
	}
	m.State, m.suspected = Suspect, now
	v.spread(m, now)
}
