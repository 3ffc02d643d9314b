package group

import "time"

// adoptSwitch continues a switch that an earlier coordinator left undecided.
func (s *Coordinator) adoptSwitch(now time.Duration) []Action {
	for _, m := range s.form.Members {
		r := s.states[m].report.Rank
		if r.Undecided() && r.Armed.Epoch == s.form.Number && r.Armed.Number != s.decided.Number {
			s.began = now
			return s.beginVote(now, r.Armed)
		}
	}
	return nil
}

// beginVote requests the votes on a switch.
func (s *Coordinator) beginVote(now time.Duration, sw Switch) []Action {
	s.votes = NewVoteCount(sw)
	s.resetRepeat(now)
	return s.sendArm()
}

// advanceSwitch has the desired map loaded everywhere, then arms the ranks.
func (s *Coordinator) advanceSwitch(now time.Duration) []Action {
	if s.desired == 0 || s.allUse(s.desired) {
		s.prepare = nil
		return nil
	}
	if s.prepare == nil || s.prepareStale() {
		if s.prepare == nil {
			s.began = now
		}
		s.prepare = &Prepare{Number: s.nextNumber(), Version: s.desired}
		// Loading takes long, and members report when it is done.
		s.pause, s.repeatAt = s.cfg.ProbeInterval, now+s.cfg.ProbeInterval
		return s.sendPrepare()
	}
	for _, m := range s.form.Members {
		r := s.states[m].report.Rank
		if !r.Has(s.desired) || !r.Armed.Number.IsZero() {
			return nil
		}
	}
	return s.arm(now)
}

func (s *Coordinator) allUse(v Version) bool {
	for _, m := range s.form.Members {
		if s.states[m].report.Rank.Version != v {
			return false
		}
	}
	return true
}

// prepareStale reports whether a rank has since applied an order with a higher number, and
// would refuse the load.
func (s *Coordinator) prepareStale() bool {
	for _, m := range s.form.Members {
		r := s.states[m].report.Rank
		if !r.Has(s.desired) && r.Loading != s.desired && s.prepare.Number.Less(r.Last) {
			return true
		}
	}
	return false
}

func (s *Coordinator) sendPrepare() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		if !s.states[m].report.Rank.Has(s.desired) {
			acts = append(acts, Send{To: m, Message: *s.prepare})
		}
	}
	return acts
}

// arm picks the step and requests the votes. The step is an estimate: reports are old by the
// time the order arrives. A rank that is past it refuses, and the switch is retried with twice
// the lead.
func (s *Coordinator) arm(now time.Duration) []Action {
	var step uint64
	for _, m := range s.form.Members {
		step = max(step, s.states[m].estimate(now, s.cfg.MaxLead))
	}
	return s.beginVote(now, Switch{Number: s.nextNumber(), Epoch: s.form.Number, Version: s.desired, Step: step + s.lead})
}

// estimate returns the step a rank is likely to be at. What is added to the report is bounded:
// too small a step costs an abort and a retry, too large a one delays the new map.
func (st *memberState) estimate(now time.Duration, most uint64) uint64 {
	next := st.report.Rank.Next
	if st.report.StepTime > 0 {
		next += min(uint64((now-st.lastReport)/st.report.StepTime), most)
	}
	return next
}

func (s *Coordinator) sendArm() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		if s.votes.Missing(m) {
			acts = append(acts, Send{To: m, Message: Arm{Switch: s.votes.Switch}})
		}
	}
	return acts
}

// finish sends the outcome once the votes determine it.
func (s *Coordinator) finish(now time.Duration) []Action {
	if s.votes == nil || s.form == nil {
		return nil
	}
	commit, known := s.votes.Outcome(s.form.Members)
	if !known {
		return nil
	}
	sw, count := s.votes.Switch, s.votes
	s.votes, s.prepare = nil, nil
	if commit {
		s.lead = s.cfg.Lead
	} else {
		s.lead = min(2*s.lead, s.cfg.MaxLead)
	}
	s.decided = Outcome{Number: sw.Number, Epoch: sw.Epoch, Commit: commit}
	s.resetRepeat(now)
	acts := []Action{Done{Number: sw.Number, Commit: commit, Took: now - s.began}}
	for _, m := range s.form.Members {
		acts = append(acts, Send{To: m, Message: s.decided})
		// An armed rank is not sent a new switch before it reports again.
		if r := &s.states[m].report.Rank; count.votes[m] == Armed {
			r.Armed, r.Committed = sw, true
		}
	}
	return acts
}

// sendOutcome sends the outcome to those that still report to be armed.
func (s *Coordinator) sendOutcome() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		r := s.states[m].report.Rank
		if r.Undecided() && r.Armed.Number == s.decided.Number {
			acts = append(acts, Send{To: m, Message: s.decided})
		}
	}
	return acts
}
