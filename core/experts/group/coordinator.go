package group

import (
	"slices"
	"time"

	"verbenashift/core/membership/lease"
)

// The defaults of CoordinatorConfig.
const (
	defaultLead              = 16
	defaultMaxLead           = 1024
	defaultProbeInterval     = 20 * time.Second
	defaultFastProbeInterval = 200 * time.Millisecond
	defaultAgentDeadAfter    = 3 * time.Second
	defaultRejoinAfter       = 5 * time.Second
)

// memberState is what the coordinator knows of one member.
type memberState struct {
	report Report
	known  bool
	// lastReport is when the last report was received. If awaitingReport, the probe sent at
	// firstProbe and those after it are unanswered; lastProbe is when the last one was sent.
	lastReport     time.Duration
	awaitingReport bool
	firstProbe     time.Duration
	lastProbe      time.Duration
	// engine is the incarnation for which the present epoch was formed.
	engine uint64
	// answeringSince is since when the rank has answered without interruption.
	answeringSince time.Duration
	// stalledSince is 0 for a rank that does not stall.
	stalledSince time.Duration
}

// Coordinator drives a group's switches and formations while its agent holds the lease. It is
// created for each lease and stores nothing that must survive: what it needs is in the
// reports. Its adapter drops it when the lease is no longer valid, and calls
// lease.Holder.Valid right before each Tick and send.
type Coordinator struct {
	// given is the configuration without its defaults.
	given CoordinatorConfig
	cfg   CoordinatorConfig
	fence uint64
	// sequence is the last base number issued.
	sequence uint64
	states   map[string]*memberState
	desired  Version
	form     *Form
	// issued says that form is this coordinator's own and may be repeated.
	issued  bool
	forming bool
	prepare *Prepare
	votes   *VoteCount
	// decided is the outcome of the last switch.
	decided  Outcome
	began    time.Duration
	formedAt time.Duration
	lead     uint64
	// lastFullProbe is when probes to all members were last made due early.
	lastFullProbe time.Duration
	// repeatAt is when unanswered messages are sent again; pause is the time from then to the
	// next, which doubles up to ProbeInterval.
	repeatAt   time.Duration
	pause      time.Duration
	superseded bool
}

// NewCoordinator returns the coordinator of a lease that was granted under the fencing token
// fence.
func NewCoordinator(cfg CoordinatorConfig, fence uint64, now time.Duration) *Coordinator {
	s := &Coordinator{given: cfg, cfg: cfg.withDefaults(), fence: fence, states: make(map[string]*memberState)}
	s.lead = s.cfg.Lead
	for _, m := range cfg.Members {
		s.addMember(m, now)
	}
	s.lastFullProbe = now
	s.resetRepeat(now)
	return s
}

// addMember makes sure that there is a state for a member.
func (s *Coordinator) addMember(member string, now time.Duration) {
	if s.states[member] == nil {
		s.states[member] = &memberState{lastProbe: now - s.cfg.ProbeInterval}
	}
}

// SetMembers changes the configured ranks, as when an instance is replaced by one with another
// name. The group is formed again once enough of them answer.
func (s *Coordinator) SetMembers(now time.Duration, members []string) {
	if slices.Equal(members, s.cfg.Members) {
		return
	}
	s.given.Members = slices.Clone(members)
	s.cfg = s.given.withDefaults()
	for _, m := range members {
		s.addMember(m, now)
	}
}

// SetDesired sets the map that the group should use; the zero Version means the one it uses. A
// change before ranks are armed drops the switch that was prepared.
func (s *Coordinator) SetDesired(v Version) {
	if v == s.desired {
		return
	}
	s.desired, s.prepare = v, nil
}

// Superseded reports whether a member knows of a newer lease. The adapter gives up the lease
// then.
func (s *Coordinator) Superseded() bool {
	return s.superseded
}

// Settled reports whether every member is in one epoch, no switch is under way and the desired
// map is in force.
func (s *Coordinator) Settled() bool {
	if s.form == nil || s.forming || s.votes != nil {
		return false
	}
	for _, m := range s.form.Members {
		r := s.states[m].report
		if r.Rank.Epoch != s.form.Number || !r.Rank.Armed.Number.IsZero() {
			return false
		}
		if s.desired != 0 && r.Rank.Version != s.desired {
			return false
		}
	}
	return true
}

// Receive handles a message from a member's agent.
func (s *Coordinator) Receive(now time.Duration, from string, msg Message) []Action {
	if s.states[from] == nil || s.superseded {
		return nil
	}
	switch msg := msg.(type) {
	case Report:
		s.handleReport(now, from, msg)
		return s.advance(now)
	case VoteResponse:
		if s.votes != nil && s.votes.Switch.Number == msg.Number {
			s.votes.Add(from, msg.Vote)
			return s.finish(now)
		}
	}
	return nil
}

func (s *Coordinator) handleReport(now time.Duration, from string, r Report) {
	if r.Fence > s.fence {
		s.superseded = true
		return
	}
	st := s.states[from]
	// A report that arrives after a later one would restore an old state.
	if st.known && !st.report.before(r) {
		return
	}
	if len(r.Rank.Members) == 0 && r.Rank.Epoch == st.report.Rank.Epoch {
		r.Rank.Members = st.report.Rank.Members
	}
	if !st.known || s.silent(now, st) || r.Health == Dead {
		st.answeringSince = now
	}
	st.report, st.known, st.lastReport, st.awaitingReport = r, true, now, false
	switch {
	case r.Health != Stalled:
		st.stalledSince = 0
	case st.stalledSince == 0:
		st.stalledSince = now
	}
	if r.Health != Stepping && now-s.lastFullProbe >= s.cfg.DeadAfter {
		s.probeAllSoon(now)
	}
}

// probeAllSoon makes the next tick probe every member. Members report when their ranks stop,
// and in a lock-step group all ranks stop when one does, so that even an instance that died
// with its agent is detected at once between rare probes.
func (s *Coordinator) probeAllSoon(now time.Duration) {
	s.lastFullProbe = now
	for _, st := range s.states {
		st.lastProbe = now - s.cfg.ProbeInterval
	}
}

// Tick handles the passing of time: it probes, and repeats what has not been answered.
func (s *Coordinator) Tick(now time.Duration) []Action {
	if s.superseded {
		return nil
	}
	acts := append(s.probe(now), s.advance(now)...)
	if now < s.repeatAt {
		return acts
	}
	s.repeatAt = now + s.pause
	s.pause = min(2*s.pause, s.cfg.ProbeInterval)
	return append(acts, s.repeat()...)
}

// resetRepeat makes repeats frequent again, at the start of a new operation.
func (s *Coordinator) resetRepeat(now time.Duration) {
	s.pause = s.cfg.FastProbeInterval
	s.repeatAt = now + s.pause
}

// probe requests reports: from each member at ProbeInterval, and from those that have not
// answered at FastProbeInterval.
func (s *Coordinator) probe(now time.Duration) []Action {
	var acts []Action
	for _, m := range s.cfg.Members {
		st := s.states[m]
		pause := s.cfg.ProbeInterval
		if st.awaitingReport {
			pause = s.cfg.FastProbeInterval
		}
		if now-st.lastProbe < pause {
			continue
		}
		if !st.awaitingReport {
			st.awaitingReport, st.firstProbe = true, now
		}
		st.lastProbe = now
		acts = append(acts, Send{To: m, Message: Probe{Fence: s.fence, Known: s.knownEpoch(st)}})
	}
	return acts
}

// knownEpoch returns the epoch whose members the member need not list again.
func (s *Coordinator) knownEpoch(st *memberState) lease.Number {
	if s.form == nil && len(st.report.Rank.Members) == 0 {
		return lease.Number{}
	}
	return st.report.Rank.Epoch
}

// nextNumber returns an unused base number.
func (s *Coordinator) nextNumber() lease.Number {
	s.sequence += numberStride
	return lease.Number{Fence: s.fence, Sequence: s.sequence}
}

// advance does what the reports require. It is safe to call at any time: nothing depends on
// which message came last.
func (s *Coordinator) advance(now time.Duration) []Action {
	if s.superseded {
		return nil
	}
	acts, busy := s.advanceForm(now)
	switch {
	case busy:
		return acts
	case s.votes != nil:
		return append(acts, s.finish(now)...)
	}
	if requests := s.adoptSwitch(now); len(requests) > 0 {
		return append(acts, requests...)
	}
	return append(acts, s.advanceSwitch(now)...)
}

// repeat sends again what a member has not yet answered.
func (s *Coordinator) repeat() []Action {
	switch {
	case s.form == nil:
		return nil
	case s.forming:
		return s.sendForm()
	case s.votes != nil:
		return s.sendArm()
	case s.prepare != nil:
		return append(s.sendOutcome(), s.sendPrepare()...)
	default:
		return s.sendOutcome()
	}
}
