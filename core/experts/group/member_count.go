package group

import (
	"slices"
	"time"
)

// answerBallot tells the askers how the rank has voted, once its state shows it.
func (m *Member) answerBallot() []Action {
	b := m.ballot
	if b == nil {
		return nil
	}
	v := m.rank.Vote(b.sw)
	if v == Open {
		return nil
	}
	m.ballot = nil
	var acts []Action
	for _, to := range b.askers {
		acts = append(acts, Send{To: to, Message: VoteResponse{Number: b.sw.Number, Vote: v}})
	}
	return acts
}

func (m *Member) noteHeld(now time.Duration) {
	if !m.rank.Undecided() {
		m.held, m.count = false, nil
		return
	}
	if m.rank.Held() && !m.held {
		m.held, m.heldSince = true, now
	}
}

// maxAskPause bounds the pause between two rounds of asking, which doubles so
// that a whole group does not flood one member that is away.
const maxAskPause = 2 * time.Second

// countVotes makes a held rank's agent ask the others for their votes, when the
// steward has not told the outcome in time. The steward may be dead, paused or
// cut off; the votes are in the ranks, and a lock-step group cannot go on
// without any of its ranks in any case.
func (m *Member) countVotes(now time.Duration) []Action {
	place := slices.Index(m.rank.Members, m.cfg.Name)
	wait := m.cfg.OutcomeTimeout + time.Duration(max(place, 0))*m.cfg.Stagger
	if !m.held || !m.rank.Undecided() || now-m.heldSince < wait {
		return nil
	}
	if m.count == nil || m.count.Switch != m.rank.Armed {
		m.count = NewVoteCount(m.rank.Armed)
		m.count.Add(m.cfg.Name, Armed)
		m.askAt, m.askPause = now, m.cfg.OutcomeTimeout
	}
	if now < m.askAt {
		return nil
	}
	m.askAt = now + m.askPause
	m.askPause = min(2*m.askPause, maxAskPause)
	var acts []Action
	for _, to := range m.rank.Members {
		if m.count.Missing(to) {
			acts = append(acts, Send{To: to, Message: Arm{Switch: m.count.Switch}})
		}
	}
	return acts
}

// voted counts a vote that the member has asked for, and tells everyone the
// outcome when it is fixed.
func (m *Member) voted(from string, b VoteResponse) []Action {
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
