package rank

import (
	"time"

	"verbenashift/core/membership/lease"
)

// StepMessage is what the ranks of an epoch tell each other to stay in step. Ranks
// tell the first one what they have done; it tells them what all have done.
type StepMessage struct {
	From  string       `json:"from"`
	Epoch lease.Number `json:"epoch"`
	// Done is the last step done, by the sender or, with All, by everyone.
	Done uint64 `json:"done"`
	All  bool   `json:"all,omitempty"`
	// Used is the sender's last number in its ledger.
	Used uint64 `json:"used,omitempty"`
	// Offset is that of the epoch, with All.
	Offset int64 `json:"offset,omitempty"`
}

// hub is the meeting place of an epoch, at its first rank.
type hub struct {
	epoch   lease.Number
	done    map[string]uint64
	used    uint64
	offset  int64
	started bool
	all     uint64
}

// resend is how long an unanswered message is left before it is sent again.
const resend = 50 * time.Millisecond

// tellDone tells the meeting place that the step before Next is done.
func (r *Rank) tellDone(now time.Time) {
	s := &r.rank.State
	if len(s.Members) == 0 {
		return
	}
	m := StepMessage{From: r.cfg.Name, Epoch: s.Epoch, Done: s.Next - 1, Used: r.used}
	if s.Members[0] == r.cfg.Name {
		r.gather(m)
		return
	}
	if m == r.told && now.Sub(r.sent) < resend {
		return
	}
	r.told, r.sent = m, now
	r.link.Send(s.Members[0], m)
}

// Receive takes a message from another rank.
func (r *Rank) Receive(m StepMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case m.Epoch != r.rank.State.Epoch:
	case m.All:
		r.allow(m)
	case len(r.rank.State.Members) > 0 && r.rank.State.Members[0] == r.cfg.Name:
		r.gather(m)
	}
}

// allow notes what all ranks have done.
func (r *Rank) allow(m StepMessage) {
	if r.meeting != m.Epoch {
		r.meeting, r.allowed = m.Epoch, m.Done
	}
	r.allowed, r.offset = max(r.allowed, m.Done), m.Offset
	r.wake()
}

// gather counts, at the meeting place, what the ranks have done.
func (r *Rank) gather(m StepMessage) {
	h, s := &r.hub, &r.rank.State
	if h.epoch != m.Epoch || h.done == nil {
		*h = hub{epoch: m.Epoch, done: make(map[string]uint64)}
	}
	h.used = max(h.used, m.Used)
	h.done[m.From] = max(h.done[m.From], m.Done)
	if h.started && m.Done <= h.all {
		// The answer was lost, or this is a late copy.
		r.tellAll(m.From)
		return
	}
	least := m.Done
	for _, member := range s.Members {
		done, ok := h.done[member]
		if !ok {
			return
		}
		least = min(least, done)
	}
	if h.started && least <= h.all {
		return
	}
	if !h.started {
		// A rank that is not in the epoch may have begun one step more.
		const beyond = 2
		h.started, h.offset = true, int64(h.used+beyond)-int64(least+1)
	}
	h.all = least
	for _, member := range s.Members {
		r.tellAll(member)
	}
}

func (r *Rank) tellAll(member string) {
	m := StepMessage{From: r.cfg.Name, Epoch: r.hub.epoch, Done: r.hub.all, All: true, Offset: r.hub.offset}
	if member == r.cfg.Name {
		r.allow(m)
		return
	}
	r.link.Send(member, m)
}
