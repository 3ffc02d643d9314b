package group

import "time"

// adoptSwitch finds a switch that a former steward left undecided.
func (s *Coordinator) adoptSwitch(now time.Duration) []Action {
	for _, m := range s.form.Members {
		r := s.seats[m].report.Rank
		if r.Undecided() && r.Armed.Epoch == s.form.Number && r.Armed.Number != s.decided.Number {
			s.began = now
			return s.ask(now, r.Armed)
		}
	}
	return nil
}

// ask begins the count of the votes on a switch.
func (s *Coordinator) ask(now time.Duration, sw Switch) []Action {
	s.tally = NewVoteCount(sw)
	s.hurry(now)
	return s.sendArm()
}

// workSwitch has the wanted map loaded everywhere, then arms the ranks.
func (s *Coordinator) workSwitch(now time.Duration) []Action {
	if s.want == 0 || s.inForce(s.want) {
		s.prepare = nil
		return nil
	}
	if s.prepare == nil || s.prepareOvertaken() {
		if s.prepare == nil {
			s.began = now
		}
		s.prepare = &Prepare{Number: s.next(), Version: s.want}
		// Loading takes long, and members tell when it is done.
		s.pause, s.repeatAt = s.cfg.ProbeInterval, now+s.cfg.ProbeInterval
		return s.sendPrepare()
	}
	for _, m := range s.form.Members {
		r := s.seats[m].report.Rank
		if !r.Has(s.want) || !r.Armed.Number.IsZero() {
			return nil
		}
	}
	return s.arm(now)
}

func (s *Coordinator) inForce(v Version) bool {
	for _, m := range s.form.Members {
		if s.seats[m].report.Rank.Version != v {
			return false
		}
	}
	return true
}

// prepareOvertaken reports whether a rank has since applied an order with a
// higher number, and would refuse the load.
func (s *Coordinator) prepareOvertaken() bool {
	for _, m := range s.form.Members {
		r := s.seats[m].report.Rank
		if !r.Has(s.want) && r.Loading != s.want && s.prepare.Number.Less(r.Last) {
			return true
		}
	}
	return false
}

func (s *Coordinator) sendPrepare() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		if !s.seats[m].report.Rank.Has(s.want) {
			acts = append(acts, Send{To: m, Message: *s.prepare})
		}
	}
	return acts
}

// arm picks the step and asks for the votes. The step is an estimate: reports
// are old by the time the order arrives. A rank that is past it refuses, and
// the switch is tried again with twice the lead.
func (s *Coordinator) arm(now time.Duration) []Action {
	var step uint64
	for _, m := range s.form.Members {
		step = max(step, s.seats[m].estimate(now, s.cfg.MaxLead))
	}
	return s.ask(now, Switch{Number: s.next(), Epoch: s.form.Number, Version: s.want, Step: step + s.lead})
}

// estimate returns the step a rank is likely to be at. What is added to the
// report is bounded: too small a step costs an abort and another try, too large
// a one keeps the new map from use.
func (st *seat) estimate(now time.Duration, most uint64) uint64 {
	next := st.report.Rank.Next
	if st.report.StepTime > 0 {
		next += min(uint64((now-st.heard)/st.report.StepTime), most)
	}
	return next
}

func (s *Coordinator) sendArm() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		if s.tally.Missing(m) {
			acts = append(acts, Send{To: m, Message: Arm{Switch: s.tally.Switch}})
		}
	}
	return acts
}

// finish tells the outcome once the votes fix it.
func (s *Coordinator) finish(now time.Duration) []Action {
	if s.tally == nil || s.form == nil {
		return nil
	}
	commit, known := s.tally.Outcome(s.form.Members)
	if !known {
		return nil
	}
	sw, tally := s.tally.Switch, s.tally
	s.tally, s.prepare = nil, nil
	if commit {
		s.lead = s.cfg.Lead
	} else {
		s.lead = min(2*s.lead, s.cfg.MaxLead)
	}
	s.decided = Outcome{Number: sw.Number, Epoch: sw.Epoch, Commit: commit}
	s.hurry(now)
	acts := []Action{Done{Number: sw.Number, Commit: commit, Took: now - s.began}}
	for _, m := range s.form.Members {
		acts = append(acts, Send{To: m, Message: s.decided})
		// An armed rank is not asked for a new switch before it reports afresh.
		if r := &s.seats[m].report.Rank; tally.votes[m] == Armed {
			r.Armed, r.Committed = sw, true
		}
	}
	return acts
}

// sendOutcome tells those that still report to be armed.
func (s *Coordinator) sendOutcome() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		r := s.seats[m].report.Rank
		if r.Undecided() && r.Armed.Number == s.decided.Number {
			acts = append(acts, Send{To: m, Message: s.decided})
		}
	}
	return acts
}
