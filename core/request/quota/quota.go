// Package quota enforces the limit of a workspace over all entries without a central counter
// and without a call on the path of a request.
//
// Each workspace has a home among the agents, chosen by rendezvous hashing. An entry reports to
// the home the demand of the workspace and how much of it was admitted. The home replies with
// the fraction of the demand that fits the limit, and with the time to the next report: a
// second for a demand that changes, longer for one that is steady and comes through many
// entries. Every entry admits that fraction of what it sees ("global random drop" in Raghavan
// et al., "Cloud Control with Distributed Rate Limiting", 2007, with an error accumulator in
// place of the random draw), so that demand may move between entries without shares having to
// follow it. The home keeps a token bucket of what was admitted: what was admitted in excess is
// taken back. An entry whose demand grows reports early.
//
// What an entry admits before the home knows is bounded by its allowance, so that over any time
// t the entries together admit at most
//
//	Rate*t + Burst + n*(Burst/sqrt(n) + L) + 2*Rate*ReportInterval
//
// tokens, where n is the number of entries and L the largest cost. An entry that cannot reach
// the home falls back to its safe share, Rate/n, with a bucket of Burst/sqrt(n). A home that
// starts empty knows the demand again after one report of each entry.
//
// A Limiter is the entry's side and a Home the agent's side. Neither has a clock or a lock: the
// owner passes the time and serialises the calls.
//
// # Usage
//
//	l := quota.New(name, rnd)
//	l.SetMembers(entries, agents)
//	l.SetLimit("studio", quota.Limit{Rate: 5000, Burst: 5000})
//	ok, retryAfter := l.Allow("studio", cost, now) // for each request
//	for _, home := range l.Due(now) {              // some times a second
//		reply, err := exchange(home, l.AppendReport(nil, home, now))
//		if err != nil {
//			l.ReportFailed(home)
//			continue
//		}
//		l.Merge(home, reply, now)
//	}
package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReportInterval is the time between two reports of a workspace whose demand changes; the
	// home may ask for a longer one.
	ReportInterval = time.Second
	// MinReportInterval is the shortest time between two reports of a workspace.
	MinReportInterval = 100 * time.Millisecond
	// ReplyTimeout is how long a report may stay without a reply before the entry falls back to
	// its safe share.
	ReplyTimeout = 3 * time.Second
	// openValidity and cutValidity are how long a fraction of 1 and a lower one remain valid
	// beyond the time to the next report. An entry that did not report then had no demand, and
	// must not refuse requests because of a burst long past.
	openValidity = time.Minute
	cutValidity  = time.Second

	maxRetryAfter = 10 * time.Second

	// costRatioGain is the weight of one response in the moving average of the true cost over
	// the expected one, maxCostRatio the bound of that average in either direction.
	costRatioGain = 1.0 / 16
	maxCostRatio  = 64
)

// Limit is the limit of one workspace over all entries. A Rate of 0 or less
// means no limit; a Burst of 0 or less means one second of the rate.
type Limit struct {
	// Rate is in tokens (or requests) a second, Burst in tokens.
	Rate, Burst float64
}

func (l Limit) withDefaults() Limit {
	if !(l.Burst > 0) {
		l.Burst = l.Rate
	}
	return l
}

// state is what an entry knows of one workspace.
type state struct {
	Limit
	id   uint64
	home string
	// fraction is the last one that the home sent, received at receivedAt.
	fraction   float64
	receivedAt time.Time
	// credit is the part of the admitted fraction that is not used yet.
	credit   float64
	phaseSet bool
	// safeTokens is the token bucket of the safe share, filled up to filledAt.
	safeTokens float64
	filledAt   time.Time
	// offered and admitted are still to be reported; the sent ones await the reply to the
	// report of sentAt.
	offered, admitted         int64
	sentOffered, sentAdmitted int64
	sentAt, sentSince         time.Time
	sentSpan                  time.Duration
	// pendingSince is when the first report was sent that has no reply yet.
	pendingSince time.Time
	// demandSince is when the oldest unreported demand came, reportedAt the time of the last
	// report, recentRate what was admitted per second before it.
	demandSince, reportedAt time.Time
	recentRate              float64
	// answeredUntil is the end of the last interval that the home has answered for, and
	// interval the time until it wants the next report; headroomLeft is what may be admitted
	// before that.
	answeredUntil time.Time
	interval      time.Duration
	headroomLeft  float64
	// reportedDemand is the demand last reported, in tokens a second.
	reportedDemand float64
	// active reports whether the state is in the limiter's list of active states.
	active bool
	// costRatio is the moving average of the true cost over the expected one.
	costRatio float64
}

// Limiter is the entry's side. Use New to make one.
type Limiter struct {
	id      uint64
	rnd     *rand.Rand
	entries float64
	agents  []string
	states  map[string]*state
	byID    map[uint64]*state
	due     []string
	// active are the states that have something to report.
	active []*state
}

// New returns the limiter of the entry of the given name, without limits. The random source
// spreads the first decisions of the entries and the Retry-After times; give each entry a
// different seed.
func New(name string, rnd *rand.Rand) *Limiter {
	return &Limiter{id: ID(name), rnd: rnd, entries: 1, states: make(map[string]*state), byID: make(map[uint64]*state)}
}

// ID returns the hash that identifies a workspace in reports.
func ID(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// HomeOf returns the agent that is the home of a workspace, or "" if there is
// none (rendezvous hashing; Thaler and Ravishankar, 1998).
func HomeOf(workspace string, agents []string) string {
	best, most := "", uint64(0)
	var d xxhash.Digest
	for _, agent := range agents {
		d.Reset()
		_, _ = d.WriteString(agent)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(workspace)
		if sum := d.Sum64(); best == "" || sum > most || sum == most && agent < best {
			best, most = agent, sum
		}
	}
	return best
}

// SetMembers sets the number of entries, which determines the safe share, and the agents among
// which the homes are chosen. It costs a hash for each workspace and agent, so call it only
// when the membership has changed.
func (l *Limiter) SetMembers(entries int, agents []string) {
	l.entries = float64(max(1, entries))
	l.agents = slices.Clone(agents)
	for workspace, s := range l.states {
		l.move(s, HomeOf(workspace, agents))
	}
}

// move assigns another home to a workspace. What the old one has not answered is reported to
// the new one.
func (l *Limiter) move(s *state, home string) {
	if s.home == home {
		return
	}
	s.restoreSent()
	s.home = home
}

// SetLimit sets the limit of a workspace.
func (l *Limiter) SetLimit(workspace string, limit Limit) {
	limit = limit.withDefaults()
	if s, ok := l.states[workspace]; ok {
		s.Limit = limit
		return
	}
	s := &state{Limit: limit, id: ID(workspace), fraction: 1, costRatio: 1, interval: ReportInterval, home: HomeOf(workspace, l.agents)}
	s.safeTokens = l.allowance(s)
	l.states[workspace] = s
	l.byID[s.id] = s
}

// Forget removes a workspace that is no longer in the configuration.
func (l *Limiter) Forget(workspace string) {
	if s, ok := l.states[workspace]; ok {
		delete(l.states, workspace)
		delete(l.byID, s.id)
		l.active = slices.DeleteFunc(l.active, func(other *state) bool { return other == s })
	}
}

// markActive records that the workspace has something to report.
func (l *Limiter) markActive(s *state, now time.Time) {
	if s.offered == 0 {
		s.demandSince = now
	}
	if !s.active {
		s.active = true
		l.active = append(l.active, s)
	}
}

// allowance returns what the entry may admit without a reply from the home. It falls with the
// square root of the number of entries: with the whole burst at each entry a flash crowd would
// get n times the burst, and with an n-th part the batch of a member on one connection would be
// refused needlessly.
func (l *Limiter) allowance(s *state) float64 { return s.Burst / math.Sqrt(l.entries) }

func (s *state) fresh(now time.Time) bool {
	if s.receivedAt.IsZero() || s.cutOff(now) {
		return false
	}
	if s.fraction < 1 {
		return now.Sub(s.receivedAt) < s.interval+s.interval/2+cutValidity
	}
	return now.Sub(s.receivedAt) < 2*s.interval+openValidity
}

// cutOff reports whether the home has not replied for ReplyTimeout. It guards against an entry
// that goes on with an old fraction when the home is unreachable: all entries in that state
// together would exceed the limit for as long as the outage lasts. The safe shares add up to
// the limit.
func (s *state) cutOff(now time.Time) bool {
	return !s.pendingSince.IsZero() && now.Sub(s.pendingSince) >= ReplyTimeout
}

func (l *Limiter) jitter(seconds float64) time.Duration {
	after := time.Duration(math.Min(math.Max(seconds, MinReportInterval.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
	return time.Duration((0.5 + l.rnd.Float64()) * float64(after))
}

// RequestLimitKey returns the name of the second limit of a workspace, that on its requests. No
// workspace name contains a slash, so the two cannot collide.
func RequestLimitKey(workspace string) string { return workspace + "/requests" }
