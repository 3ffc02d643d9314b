package rank

import (
	"time"

	"verbenashift/core/membership/lease"
)

// StepMessage keeps the ranks of an epoch in lockstep. The members report their
// last completed step to the first one, which broadcasts the last step that all of
// them have completed.
type StepMessage struct {
	From  string       `json:"from"`
	Epoch lease.Number `json:"epoch"`
	// Done is the last step completed by the sender or, with All, by all members.
	Done uint64 `json:"done"`
	All  bool   `json:"all,omitempty"`
	// LedgerStep is the last step number in the sender's ledger.
	LedgerStep uint64 `json:"used,omitempty"`
	// Offset is the ledger offset of the epoch; set with All.
	Offset int64 `json:"offset,omitempty"`
}

// barrier is the step barrier of an epoch, kept by its first member.
type barrier struct {
	epoch      lease.Number
	done       map[string]uint64
	ledgerStep uint64
	offset     int64
	started    bool
	all        uint64
}

// resendInterval is the time after which an unanswered report is sent again.
const resendInterval = 50 * time.Millisecond

// reportDone reports to the barrier that the step before Next is complete.
func (r *Rank) reportDone(now time.Time) {
	s := &r.rank.State
	if len(s.Members) == 0 {
		return
	}
	m := StepMessage{From: r.cfg.Name, Epoch: s.Epoch, Done: s.Next - 1, LedgerStep: r.ledgerStep}
	if s.Members[0] == r.cfg.Name {
		r.collect(m)
		return
	}
	if m == r.lastReport && now.Sub(r.reportedAt) < resendInterval {
		return
	}
	r.lastReport, r.reportedAt = m, now
	r.link.Send(s.Members[0], m)
}

// Receive handles a message from another rank.
func (r *Rank) Receive(m StepMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case m.Epoch != r.rank.State.Epoch:
	case m.All:
		r.setAllDone(m)
	case len(r.rank.State.Members) > 0 && r.rank.State.Members[0] == r.cfg.Name:
		r.collect(m)
	}
}

// setAllDone records the last step that all members have completed.
func (r *Rank) setAllDone(m StepMessage) {
	if r.barrierEpoch != m.Epoch {
		r.barrierEpoch, r.allDone = m.Epoch, m.Done
	}
	r.allDone, r.offset = max(r.allDone, m.Done), m.Offset
	r.wake()
}

// collect records a report at the barrier. When all members have completed a
// further step, it announces that step to them.
func (r *Rank) collect(m StepMessage) {
	h, s := &r.barrier, &r.rank.State
	if h.epoch != m.Epoch || h.done == nil {
		*h = barrier{epoch: m.Epoch, done: make(map[string]uint64)}
	}
	h.ledgerStep = max(h.ledgerStep, m.LedgerStep)
	h.done[m.From] = max(h.done[m.From], m.Done)
	if h.started && m.Done <= h.all {
		// The announcement was lost, or this is a late duplicate.
		r.announceDone(m.From)
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
		// A rank outside the epoch may have begun one more step.
		const beyond = 2
		h.started, h.offset = true, int64(h.ledgerStep+beyond)-int64(least+1)
	}
	h.all = least
	for _, member := range s.Members {
		r.announceDone(member)
	}
}

func (r *Rank) announceDone(member string) {
	m := StepMessage{From: r.cfg.Name, Epoch: r.barrier.epoch, Done: r.barrier.all, All: true, Offset: r.barrier.offset}
	if member == r.cfg.Name {
		r.setAllDone(m)
		return
	}
	r.link.Send(member, m)
}
