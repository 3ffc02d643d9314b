package group

import (
	"slices"
	"time"

	"verbenashift/core/membership/lease"
)

// silent reports whether an agent has left probes unanswered for too long. Silence counts from
// the first unanswered probe, not from the last report: probes are rare in the steady state.
func (s *Coordinator) silent(now time.Duration, st *memberState) bool {
	return st.awaitingReport && now-st.firstProbe >= s.cfg.DeadAfter
}

// lost reports whether a member's rank is to be treated as lost: its agent reports that it is
// dead, the agent is silent, or the rank has stalled beyond the limit. A rank that merely
// stalls is retained; forming a group costs every request in it more than a short wait does. A
// rank removed for a stall is included again once it has done its part of the step, or its
// engine has restarted.
func (s *Coordinator) lost(now time.Duration, st *memberState) bool {
	if s.silent(now, st) || st.known && st.report.Health == Dead {
		return true
	}
	limit := s.cfg.StallLimit
	return limit > 0 && st.stalledSince != 0 && now-st.stalledSince >= limit
}

// usable returns the members whose ranks can be in a new epoch; an engine that has restarted
// empty is one of them.
func (s *Coordinator) usable(now time.Duration) []string {
	var names []string
	for _, m := range s.cfg.Members {
		if st := s.states[m]; st.known && !s.lost(now, st) {
			names = append(names, m)
		}
	}
	return names
}

// advanceForm brings the usable ranks into one epoch. Busy says that this has to be completed
// first.
func (s *Coordinator) advanceForm(now time.Duration) (acts []Action, busy bool) {
	if s.form == nil && !s.allReported(now) {
		return nil, true
	}
	if s.form == nil && s.adoptEpoch(now) {
		return nil, true
	}
	if s.form == nil || s.mustForm(now) {
		return s.formEpoch(now), true
	}
	if !s.forming {
		return nil, false
	}
	for _, m := range s.form.Members {
		if s.states[m].report.Rank.Epoch != s.form.Number {
			return nil, true
		}
	}
	s.forming = false
	return []Action{Done{Number: s.form.Number, Formed: true, Commit: true, Took: now - s.formedAt}}, false
}

// allReported reports whether every member has reported to this coordinator or is silent.
// Before that, an undecided switch or a newer epoch may not have been reported yet.
func (s *Coordinator) allReported(now time.Duration) bool {
	for _, m := range s.cfg.Members {
		st := s.states[m]
		if !st.known && !s.silent(now, st) {
			return false
		}
	}
	return true
}

// adoptEpoch adopts the epoch that all usable members are in. Wait says that none of them has
// listed its members yet.
func (s *Coordinator) adoptEpoch(now time.Duration) (wait bool) {
	var found *Form
	for _, m := range s.usable(now) {
		r := s.states[m].report.Rank
		if r.Epoch.IsZero() {
			continue
		}
		if found != nil && found.Number != r.Epoch {
			return false
		}
		if found == nil || len(found.Members) == 0 {
			found = &Form{Number: r.Epoch, Members: r.Members}
		}
	}
	if found == nil {
		return false
	}
	if len(found.Members) == 0 {
		return true
	}
	for _, m := range found.Members {
		s.addMember(m, now)
	}
	s.form, s.issued, s.forming = found, false, false
	return false
}

// mustForm reports whether the epoch cannot continue: a member is lost or has left it, or a
// returned rank has been healthy for long enough to be included.
func (s *Coordinator) mustForm(now time.Duration) bool {
	usable := s.usable(now)
	if len(usable) < s.cfg.MinRanks {
		return false
	}
	for _, m := range s.form.Members {
		st := s.states[m]
		if !slices.Contains(s.cfg.Members, m) || s.lost(now, st) || s.left(st) {
			return true
		}
	}
	for _, m := range usable {
		st := s.states[m]
		if !slices.Contains(s.form.Members, m) && now-st.answeringSince >= s.cfg.RejoinAfter {
			return true
		}
	}
	return false
}

// left reports whether a member's rank is in another epoch and cannot be
// brought into this one: it has been in it and lost its memory, or has applied
// a later order.
func (s *Coordinator) left(st *memberState) bool {
	r := st.report.Rank
	if r.Epoch == s.form.Number {
		return false
	}
	if !s.issued || !s.forming || r.Incarnation != st.engine {
		return true
	}
	return !r.Last.Less(s.form.Number.Add(mainOffset))
}

// formEpoch forms a new epoch from the usable ranks. It starts on the newest map that any of
// them has used: a rank uses a new map only if all were armed for it, and an armed rank has
// loaded it, so that the survivors of the last epoch need not load anything. Any single map
// would be safe, because no step of the new epoch has been run.
func (s *Coordinator) formEpoch(now time.Duration) []Action {
	members := s.usable(now)
	if len(members) < s.cfg.MinRanks || len(members) == 0 {
		return nil
	}
	f := Form{Number: s.nextNumber(), Members: members, Version: s.cfg.Initial, Step: 1}
	var epoch, since lease.Number
	for _, m := range members {
		r := s.states[m].report.Rank
		f.Step = max(f.Step, r.Next+1)
		newer := epoch.Less(r.Epoch) || epoch == r.Epoch && since.Less(r.Since)
		if !r.Epoch.IsZero() && newer {
			epoch, since, f.Version = r.Epoch, r.Since, r.Version
		}
	}
	s.form, s.issued, s.forming, s.formedAt = &f, true, true, now
	s.votes, s.prepare = nil, nil
	s.resetRepeat(now)
	for _, m := range members {
		s.states[m].engine = s.states[m].report.Rank.Incarnation
	}
	return s.sendForm()
}

func (s *Coordinator) sendForm() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		if s.states[m].report.Rank.Epoch != s.form.Number {
			f := *s.form
			f.Incarnation = s.states[m].engine
			acts = append(acts, Send{To: m, Message: f})
		}
	}
	return acts
}
