package group

import (
	"slices"
	"time"

	"verbenashift/core/membership/lease"
)

// silent reports whether an agent has left probes without an answer for too
// long. Silence counts from the first unanswered probe, not from the last
// report: probes are rare while all is well.
func (s *Coordinator) silent(now time.Duration, st *seat) bool {
	return st.owing && now-st.asked >= s.cfg.DeadAfter
}

// lost reports whether a member's rank is to be taken as gone: its agent says
// that it is dead, the agent is silent, or the rank has stalled beyond the
// limit. A rank that merely stalls is kept; forming a group costs every request
// in it more than a short wait does. A rank left out for a stall is taken back
// once it has done its part of the step, or its engine has started again.
func (s *Coordinator) lost(now time.Duration, st *seat) bool {
	if s.silent(now, st) || st.known && st.report.Health == Dead {
		return true
	}
	limit := s.cfg.StallLimit
	return limit > 0 && st.stalledSince != 0 && now-st.stalledSince >= limit
}

// usable returns the members whose ranks can be in a new epoch; an engine that
// has come back empty is one of them.
func (s *Coordinator) usable(now time.Duration) []string {
	var names []string
	for _, m := range s.cfg.Members {
		if st := s.seats[m]; st.known && !s.lost(now, st) {
			names = append(names, m)
		}
	}
	return names
}

// workForm sees to it that the usable ranks are in one epoch. Busy says that
// this has to be done first.
func (s *Coordinator) workForm(now time.Duration) (acts []Action, busy bool) {
	if s.form == nil && !s.heardAll(now) {
		return nil, true
	}
	if s.form == nil && s.adoptEpoch(now) {
		return nil, true
	}
	if s.form == nil || s.mustForm(now) {
		return s.formAnew(now), true
	}
	if !s.announce {
		return nil, false
	}
	for _, m := range s.form.Members {
		if s.seats[m].report.Rank.Epoch != s.form.Number {
			return nil, true
		}
	}
	s.announce = false
	return []Action{Done{Number: s.form.Number, Formed: true, Commit: true, Took: now - s.formedAt}}, false
}

// heardAll reports whether every member has reported to this steward or is
// silent. Before that, an undecided switch or a newer epoch may be unseen.
func (s *Coordinator) heardAll(now time.Duration) bool {
	for _, m := range s.cfg.Members {
		st := s.seats[m]
		if !st.known && !s.silent(now, st) {
			return false
		}
	}
	return true
}

// adoptEpoch takes over the epoch that all usable members are in. Wait says that
// none of them has listed its members yet.
func (s *Coordinator) adoptEpoch(now time.Duration) (wait bool) {
	var found *Form
	for _, m := range s.usable(now) {
		r := s.seats[m].report.Rank
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
		s.seat(m, now)
	}
	s.form, s.issued, s.announce = found, false, false
	return false
}

// mustForm reports whether the epoch cannot go on: a member is lost or has left
// it, or a returned rank has been well for long enough to be taken in.
func (s *Coordinator) mustForm(now time.Duration) bool {
	usable := s.usable(now)
	if len(usable) < s.cfg.MinRanks {
		return false
	}
	for _, m := range s.form.Members {
		st := s.seats[m]
		if !slices.Contains(s.cfg.Members, m) || s.lost(now, st) || s.left(st) {
			return true
		}
	}
	for _, m := range usable {
		st := s.seats[m]
		if !slices.Contains(s.form.Members, m) && now-st.back >= s.cfg.RejoinAfter {
			return true
		}
	}
	return false
}

// left reports whether a member's rank is in another epoch and cannot be
// brought into this one: it has been in it and lost its memory, or has applied
// a later order.
func (s *Coordinator) left(st *seat) bool {
	r := st.report.Rank
	if r.Epoch == s.form.Number {
		return false
	}
	if !s.issued || !s.announce || r.Incarnation != st.engine {
		return true
	}
	return !r.Last.Less(s.form.Number.Add(mainPlace))
}

// formAnew forms a new epoch from the usable ranks. It starts on the newest map
// that any of them has used: a rank uses a new map only if all were armed for
// it, and an armed rank has loaded it, so that the survivors of the last epoch
// need not load anything. Any single map would be safe, because no step of the
// new epoch has been run.
func (s *Coordinator) formAnew(now time.Duration) []Action {
	members := s.usable(now)
	if len(members) < s.cfg.MinRanks || len(members) == 0 {
		return nil
	}
	f := Form{Number: s.next(), Members: members, Version: s.cfg.Initial, Step: 1}
	var epoch, since lease.Number
	for _, m := range members {
		r := s.seats[m].report.Rank
		f.Step = max(f.Step, r.Next+1)
		newer := epoch.Less(r.Epoch) || epoch == r.Epoch && since.Less(r.Since)
		if !r.Epoch.IsZero() && newer {
			epoch, since, f.Version = r.Epoch, r.Since, r.Version
		}
	}
	s.form, s.issued, s.announce, s.formedAt = &f, true, true, now
	s.tally, s.prepare = nil, nil
	s.hurry(now)
	for _, m := range members {
		s.seats[m].engine = s.seats[m].report.Rank.Incarnation
	}
	return s.sendForm()
}

func (s *Coordinator) sendForm() []Action {
	var acts []Action
	for _, m := range s.form.Members {
		if s.seats[m].report.Rank.Epoch != s.form.Number {
			f := *s.form
			f.Incarnation = s.seats[m].engine
			acts = append(acts, Send{To: m, Message: f})
		}
	}
	return acts
}
