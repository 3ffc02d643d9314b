package group

import (
	"slices"
	"time"
)

// answerPendingVote sends the requesters the rank's vote, once its state shows it.
func (m *Member) answerPendingVote() []Action {
	b := m.pendingVote
	if b == nil {
		return nil
	}
	v := m.rank.Vote(b.sw)
	if v == Open {
		return nil
	}
	m.pendingVote = nil
	var acts []Action
	for _, to := range b.requesters {
		acts = append(acts, Send{To: to, Message: VoteResponse{Number: b.sw.Number, Vote: v}})
	}
	return acts
}

func (m *Member) updateHeld(now time.Duration) {
	if !m.rank.Undecided() {
		m.held, m.count = false, nil
		return
	}
	if m.rank.Held() && !m.held {
		m.held, m.heldSince = true, now
	}
}

// maxQueryInterval bounds the interval between two rounds of queries, which doubles so that a
// group does not flood one member that is unreachable.
const maxQueryInterval = 2 * time.Second

// countVotes makes a held rank's agent query the others for their votes when the coordinator
// has not sent the outcome in time. The coordinator may be dead, paused or cut off; the votes
// are in the ranks, and a lock-step group cannot continue without any of its ranks in any
// case.
func (m *Member) countVotes(now time.Duration) []Action {
	place := slices.Index(m.rank.Members, m.cfg.Name)
	wait := m.cfg.OutcomeTimeout + time.Duration(max(place, 0))*m.cfg.Stagger
	if !m.held || !m.rank.Undecided() || now-m.heldSince < wait {
		return nil
	}
	if m.count == nil || m.count.Switch != m.rank.Armed {
		m.count = NewVoteCount(m.rank.Armed)
		m.count.Add(m.cfg.Name, Armed)
		m.nextQuery, m.queryInterval = now, m.cfg.OutcomeTimeout
	}
	if now < m.nextQuery {
		return nil
	}
	m.nextQuery = now + m.queryInterval
	m.queryInterval = min(2*m.queryInterval, maxQueryInterval)
	var acts []Action
	for _, to := range m.rank.Members {
		if m.count.Missing(to) {
			acts = append(acts, Send{To: to, Message: Arm{Switch: m.count.Switch}})
		}
	}
	return acts
}

// handleVote counts a vote that the member has requested, and sends all others the outcome
// once the votes determine it.
func (m *Member) handleVote(from string, b VoteResponse) []Action {
	if m.count == nil || b.Number != m.count.Switch.Number || m.rank.Epoch != m.count.Switch.Epoch {
		return nil
	}
	m.count.Add(from, b.Vote)
	commit, known := m.count.Outcome(m.rank.Members)
	if !known || m.outcome.Number == b.Number {
		return nil
	}
	m.outcome = Outcome{Number: b.Number, Epoch: m.rank.Epoch, Commit: commit}
	var acts []Action
	for _, to := range m.rank.Members {
		if to != m.cfg.Name {
			acts = append(acts, Send{To: to, Message: m.outcome})
		}
	}
	return acts
}
