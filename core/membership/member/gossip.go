package member

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// updateLifetime is how long a node sends a change as an update. Agents have it after
// some ten rounds; an entry only pulls, and may pull from dead agents for a while, so
// that the update must last longer than that. A limit on the number of sends instead of the
// time was reached after seven rounds and left one of 233 nodes unaware of a drain.
const updateLifetime = 20 * time.Second

// Received is the content of a digest other than its records.
type Received struct {
	// Revision is the sender's configuration revision.
	Revision uint64
	// Quota is the attached quota digest; it aliases the input.
	Quota []byte
}

// StaleError says that a digest came from an old incarnation and was ignored.
type StaleError struct {
	Known, Got uint64
}

// Error returns both incarnations.
func (e *StaleError) Error() string {
	return fmt.Sprintf("digest of incarnation %d, but %d is known", e.Got, e.Known)
}

// chooseSubset appends the agents that rank highest for this node, those of
// its own zone first. The ranks are rendezvous hashes, so that each agent is in
// about as many subsets as any other, and a change of the list changes little.
func chooseSubset(self Self, list []Instance, dst []string) []string {
	type ranked struct {
		name      string
		otherZone bool
		rank      uint64
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
		case a.otherZone != b.otherZone && b.otherZone:
			return -1
		case a.otherZone != b.otherZone:
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

// Round begins a round, once a second, and returns the peers to exchange with.
// The slice is valid until the next call.
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
		v.addSubsetPeer(v.subset[v.rnd.IntN(len(v.subset))])
	}
	return v.peers
}

// refreshPartners fills up the partners, drops those that are no longer listed
// and replaces one of them every PartnerRounds rounds. A dead one remains until
// then, so that the sides of a partition find each other again.
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

// addSubsetPeer adds a peer of the subset, unless it is dead.
func (v *View) addSubsetPeer(name string) {
	if m, ok := v.members[idOf(name)]; ok && m.State != Dead {
		v.addPeer(name)
	}
}

// expire marks suspects dead that have not refuted in time.
func (v *View) expire(now time.Time) {
	for _, m := range v.order {
		if m.State == Suspect && now.Sub(m.suspected) >= SuspectTimeout {
			m.State = Dead
		}
	}
}

// Merge applies a peer's digest. A digest that is malformed or comes from an
// old incarnation changes nothing; the latter should still be answered, since
// the next Digest for that peer tells it that it is superseded.
func (v *View) Merge(digest []byte, now time.Time) (Received, error) {
	d, err := Decode(digest)
	if err != nil {
		return Received{}, err
	}
	sender := d.Records[0]
	if m, ok := v.members[sender.ID]; ok && !sender.Entry && sender.Incarnation < m.Incarnation {
		m.notifyStale = true
		return Received{}, &StaleError{Known: m.Incarnation, Got: sender.Incarnation}
	}
	v.lastReceived = now
	if !sender.Entry {
		sender.Age, sender.State = 0, Alive
		v.apply(sender, now)
		v.clearSuspicion(sender.ID, now)
	}
	for _, r := range d.Records[1:] {
		v.apply(r, now)
	}
	return Received{Revision: d.Revision, Quota: d.Quota}, nil
}

// apply applies one record.
func (v *View) apply(r Record, now time.Time) {
	if r.ID == v.own.ID {
		v.applyOwn(r)
		return
	}
	m, ok := v.members[r.ID]
	if !ok {
		if v.unlisted >= maxUnlisted {
			return
		}
		v.unlisted++
		m = v.ensureMember(r.ID, now.Add(-r.Age))
	}
	if r.Incarnation < m.Incarnation {
		return
	}
	if r.newer(m) {
		v.override(m, r, now)
	}
	if seen := now.Add(-r.Age); seen.After(m.Seen) {
		m.Seen, m.Wait = seen, r.Wait
	}
}

// override replaces what is known by a newer record and sends it on as an update.
// The first record that says that an agent is alive is not sent on: on a node that
// has just started these would crowd out actual changes.
func (v *View) override(m *Member, r Record, now time.Time) {
	if r.State == Suspect {
		m.suspected = now
	}
	// Draining does not end within an incarnation. A suspicion by a node that
	// has not learned of it yet must not make the agent eligible again.
	m.Draining = r.Draining || m.Draining && r.Incarnation == m.Incarnation
	first := m.Incarnation == 0
	m.State, m.Incarnation, m.Sequence = r.State, r.Incarnation, r.Sequence
	if !first || r.Draining || r.State == Suspect {
		v.markUpdated(m, now)
	}
}

// applyOwn handles a record about this node: it refutes a suspicion, and detects
// that a later process has its name.
func (v *View) applyOwn(r Record) {
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

// clearSuspicion ends a suspicion on first-hand evidence. The agent's own
// refutation ends it for the other nodes.
func (v *View) clearSuspicion(id uint64, now time.Time) {
	if m, ok := v.members[id]; ok {
		m.State, m.Seen = Alive, now
	}
}

// RecordAnswer records an agent's answer on the path of a request. An answer of
// an old incarnation is ignored.
func (v *View) RecordAnswer(name string, incarnation uint64, draining bool, wait time.Duration, now time.Time) {
	m, ok := v.members[idOf(name)]
	if !ok || incarnation < m.Incarnation {
		return
	}
	v.lastReceived = now
	if incarnation > m.Incarnation {
		m.Incarnation, m.Sequence, m.Draining = incarnation, 0, false
	}
	m.State, m.Seen, m.Wait = Alive, now, wait
	m.Draining = m.Draining || draining
}

// RecordFailure records that an exchange with an agent failed, or that a request
// could not reach it.
func (v *View) RecordFailure(name string, now time.Time) {
	m, ok := v.members[idOf(name)]
	if !ok || m.State != Alive {
		return
	}
	m.State, m.suspected = Suspect, now
	v.markUpdated(m, now)
}
