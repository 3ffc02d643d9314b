// Package mirror keeps a process's copy of what the platform's store says: the
// operator's configuration and the servers' entries.
//
// A Mirror is the decision: which configuration is in force, and which targets
// may be sent work. It takes what was read or watched, in the order of the
// store's revisions, and never goes back to an older configuration. A Follower
// carries the store's answers into it. There is one watch for everything, so
// that a configuration and the keys and targets that come with it can't be seen
// in two orders.
//
// # Usage
//
//	f := mirror.NewFollower(store, formats, log)
//	f.OnChange(func(v *mirror.View) { table.Update(v.Targets) })
//	go f.Run(ctx)
//	view := f.View() // nil until the first configuration
package mirror

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/rankpeer"
)

// reregisterGrace is how long targets that were known before an outage of the
// store, and are missing after it, count as present: entries that lapsed in
// the outage are back within about two seconds if their server lives.
const reregisterGrace = 2200 * time.Millisecond

// Snapshot is one consistent state of what the store says. It is not changed after
// it was published.
type Snapshot struct {
	Config *deployment.Config
	// Targets are all registered servers, by their ID.
	Targets map[string]deployment.Target
	// Coordinators are the newest claims to be the steward of an expert group, by group.
	Coordinators map[string]rankpeer.Claim
	// Revision is the store's revision up to which the view is complete.
	Revision int64
}

// defaultEventGap stands in where no route says how long a pause may be.
const defaultEventGap = 120 * time.Millisecond

// ShortestGap returns the shortest pause between events that a route to a
// service allows.
func (v *Snapshot) ShortestGap(service string) time.Duration {
	shortest := time.Duration(0)
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		for _, s := range r.Split {
			if s.Service == service && r.MaxEventGap > 0 && (shortest == 0 || r.MaxEventGap < shortest) {
				shortest = r.MaxEventGap
			}
		}
	}
	if shortest == 0 {
		return defaultEventGap
	}
	return shortest
}

// Mirror decides what is in force. It is not safe for concurrent use.
type Mirror struct {
	log     *slog.Logger
	formats deployment.Formats
	config  *deployment.Config
	targets map[string]deployment.Target
	// claims are the claims by what follows the prefix of their keys.
	claims   map[string]rankpeer.Claim
	revision int64
	// missing are targets that an outage of the store may have hidden, with
	// the time until which they are kept.
	missing map[string]time.Time
	// targetsOnly says that no configuration is followed: targets of any service count.
	targetsOnly bool
}

// New returns an empty Mirror.
func New(formats deployment.Formats, log *slog.Logger) *Mirror {
	return &Mirror{log: log, formats: formats, targets: map[string]deployment.Target{}, claims: map[string]rankpeer.Claim{}, missing: map[string]time.Time{}}
}

// NewTargets returns an empty Mirror of the targets alone. A configuration may have hundreds
// of kilobytes, half a second of a sidecar's link; a steward does not need it.
func NewTargets(formats deployment.Formats, log *slog.Logger) *Mirror {
	m := New(formats, log)
	m.targetsOnly, m.config = true, &deployment.Config{}
	return m
}

// Snapshot returns the present state, or nil before the first configuration.
func (m *Mirror) Snapshot() *Snapshot {
	if m.config == nil {
		return nil
	}
	stewards := make(map[string]rankpeer.Claim, len(m.claims))
	for _, c := range m.claims {
		stewards[c.Group] = c
	}
	return &Snapshot{Config: m.config, Targets: m.usableTargets(), Coordinators: stewards, Revision: m.revision}
}

// usableTargets returns the targets of services that the configuration names, without
// those whose address another one has registered later. A server that was started
// again may be a new target; the entry of its earlier life stays until its
// heartbeats are missed, and what is sent there in the meantime is refused.
//
// An entry of another writer may name a service that does not exist, at the address
// of a server that does. It must not hide that one.
func (m *Mirror) usableTargets() map[string]deployment.Target {
	named := make(map[string]bool, len(m.config.Services))
	for i := range m.config.Services {
		named[m.config.Services[i].Name] = true
	}
	newest := make(map[netip.AddrPort]deployment.Target, len(m.targets))
	for _, t := range m.targets {
		if !m.targetsOnly && !named[t.Service] {
			continue
		}
		if old, ok := newest[t.Addr]; !ok || t.CreateRevision > old.CreateRevision {
			newest[t.Addr] = t
		}
	}
	targets := make(map[string]deployment.Target, len(newest))
	for _, t := range newest {
		targets[t.ID] = t
	}
	return targets
}

// Revision is where a watch has to go on.
func (m *Mirror) Revision() int64 { return m.revision }

// Apply takes changes up to a revision, oldest first. It reports whether the
// view has changed.
func (m *Mirror) Apply(events []kv.Item, asOf int64) bool {
	changed := false
	for _, it := range events {
		if m.applyOne(it) {
			changed = true
		}
	}
	m.revision = max(m.revision, asOf)
	return changed
}

func (m *Mirror) applyOne(it kv.Item) bool {
	switch {
	case it.Key == m.formats.ConfigKey && !it.Deleted:
		return m.applyConfig(it)
	case strings.HasPrefix(it.Key, m.formats.TargetPrefix):
		return m.applyTarget(it)
	case strings.HasPrefix(it.Key, rankpeer.ClaimPrefix):
		return m.applyClaim(it)
	}
	return false
}

// applyClaim takes a claim. One that is under another group's key, or can't be
// read, says nothing of this group's steward.
func (m *Mirror) applyClaim(it kv.Item) bool {
	key := strings.TrimPrefix(it.Key, rankpeer.ClaimPrefix)
	if it.Deleted {
		_, known := m.claims[key]
		delete(m.claims, key)
		return known
	}
	claim, err := rankpeer.ParseClaim(it.Key, it.Value)
	if err != nil {
		m.log.Warn("claim not understood", "key", it.Key, "revision", it.Revision, "error", err.Error())
		return false
	}
	changed := m.claims[key] != claim
	m.claims[key] = claim
	return changed
}

// applyConfig takes a configuration if it is newer than the one in force. A
// read that was answered late, or from a lagging copy, may bring an older one:
// acting on it would take back what callers have already seen.
func (m *Mirror) applyConfig(it kv.Item) bool {
	cfg, err := m.formats.Config(it.Value)
	if err != nil {
		m.log.Error("configuration not understood", "revision", it.Revision, "error", err.Error())
		return false
	}
	if m.config != nil && cfg.Version <= m.config.Version {
		return false
	}
	m.config = cfg
	m.log.Info("configuration in force", "version", cfg.Version, "revision", it.Revision,
		"routes", len(cfg.Routes), "workspaces", len(cfg.Workspaces))
	return true
}

func (m *Mirror) applyTarget(it kv.Item) bool {
	id := strings.TrimPrefix(it.Key, m.formats.TargetPrefix)
	delete(m.missing, id)
	if it.Deleted {
		return m.remove(id, "its entry was removed", it.Revision)
	}
	t, err := m.formats.Target(it)
	if err != nil {
		m.log.Warn("server entry not understood", "target", id, "revision", it.Revision, "error", err.Error())
		return m.remove(id, "its entry names no server to use", it.Revision)
	}
	old, known := m.targets[id]
	if known && (old.StartedAt != t.StartedAt || old.Addr != t.Addr) {
		// The server has started again under its ID: it has its address from now.
		t.CreateRevision = max(t.CreateRevision, it.Revision)
		m.log.Info("target started again", "target", id, "born", t.StartedAt, "born-before", old.StartedAt, "addr", t.Addr.String(), "revision", it.Revision)
	} else if known {
		t.CreateRevision = old.CreateRevision
	}
	if known && old == t {
		return false
	}
	m.targets[id] = t
	if !known || old.Draining != t.Draining || old.Group != t.Group || old.GroupComplete != t.GroupComplete {
		m.log.Info("target", "target", id, "service", t.Service, "addr", t.Addr.String(), "draining", t.Draining,
			"group", t.Group.Name, "epoch", t.Group.Epoch, "open", t.GroupComplete, "revision", it.Revision)
	}
	return true
}

func (m *Mirror) remove(id, reason string, revision int64) bool {
	if _, ok := m.targets[id]; !ok {
		return false
	}
	delete(m.targets, id)
	m.log.Info("target gone", "target", id, "reason", reason, "revision", revision)
	return true
}

// Replace takes the whole state as it was read, which is needed at the start
// and after a gap in the history. Outage says that the store was away before:
// then targets that are missing are kept for a while, since their entries may
// have lapsed with nobody there to renew them.
func (m *Mirror) Replace(all []kv.Item, asOf int64, outage bool, now time.Time) bool {
	changed := m.Apply(all, asOf)
	seen := map[string]bool{}
	for _, it := range all {
		seen[strings.TrimPrefix(it.Key, m.formats.TargetPrefix)] = true
	}
	for _, id := range slices.Sorted(maps.Keys(m.targets)) {
		switch {
		case seen[id]:
		case outage:
			if _, waiting := m.missing[id]; !waiting {
				m.missing[id] = now.Add(reregisterGrace)
				m.log.Info("target missing after an outage of the store", "target", id)
			}
		default:
			changed = m.remove(id, "no entry any more", asOf) || changed
		}
	}
	return changed
}

// NextExpiry returns how long it is until a target that an outage has hidden is to be dropped, and
// false if there is none.
func (m *Mirror) NextExpiry(now time.Time) (time.Duration, bool) {
	first := time.Time{}
	for _, until := range m.missing {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return max(first.Sub(now), 0), !first.IsZero()
}

// ExpireMissing drops targets that have not come back after an outage.
func (m *Mirror) ExpireMissing(now time.Time) bool {
	changed := false
	for id, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, id)
			changed = m.remove(id, "not back after an outage of the store", m.revision) || changed
		}
	}
	return changed
}
