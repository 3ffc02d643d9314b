// Package mirror keeps a process's copy of the platform's store: the operator's
// configuration and the servers' entries.
//
// A Mirror decides which configuration is in force, and which targets may be
// sent work. It applies what was read or watched, in the order of the store's
// revisions, and never goes back to an older configuration. A Follower reads and
// watches the store for it. There is one watch for all keys, so that a
// configuration and the keys and targets that come with it are always seen in
// the same order. In large fleets most Followers get the changes from feeds, which a few
// processes serve (package changefeed), and start from a checkpoint in the store.
//
// # Usage
//
//	f := mirror.NewFollower(store, formats, log)
//	f.OnChange(func(s *mirror.Snapshot) { table.Update(s.Targets) })
//	go f.Run(ctx)
//	snapshot := f.Snapshot() // nil until the first configuration
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
// store, and are missing after it, count as present: entries whose leases expired
// in the outage are registered again within about two seconds if their server is
// still running.
const reregisterGrace = 2200 * time.Millisecond

const (
	// rewriteGrace is how long what was known before the store came back from an older copy counts
	// in place of what the copy says: the operator and the servers write again what it lacks.
	rewriteGrace = reregisterGrace
	// removalGrace is the same for targets that were removed before: the store removes their entries
	// again after three missed heartbeats.
	removalGrace = 10 * time.Second
	// maxRemoved bounds the removed targets that are remembered, of which the oldest are forgotten.
	maxRemoved = 1024
)

// Snapshot is one consistent state of the store. It is immutable once published.
type Snapshot struct {
	Config *deployment.Config
	// Targets are all registered servers, by their ID.
	Targets map[string]deployment.Target
	// Coordinators are the newest claims to coordinate an expert group, by group.
	Coordinators map[string]rankpeer.Claim
	// Evacuated holds the availability zones whose targets get no new requests.
	Evacuated map[string]bool
	// Revision is the store's revision up to which the snapshot is complete.
	Revision int64
}

// defaultEventGap applies if no route limits the pause between events.
const defaultEventGap = 120 * time.Millisecond

// ShortestGap returns the shortest of the limits on the pause between events
// that the routes to a service set.
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

// Mirror holds the configuration in force and the registered targets. It is not
// safe for concurrent use.
type Mirror struct {
	log     *slog.Logger
	formats deployment.Formats
	config  *deployment.Config
	targets map[string]deployment.Target
	// claims are the claims by their keys without the prefix.
	claims map[string]rankpeer.Claim
	// evacuated holds the evacuated availability zones.
	evacuated map[string]bool
	revision  int64
	// deferred holds what a complete read says of targets and evacuations, by key, and is not
	// applied yet because the store may have lost a newer state.
	deferred map[string]deferredItem
	// removed holds the targets that were removed, by key.
	removed removedTargets
	// targetsOnly says that no configuration is followed: targets of all services
	// are included.
	targetsOnly bool
}

// New returns an empty Mirror.
func New(formats deployment.Formats, log *slog.Logger) *Mirror {
	return &Mirror{
		log: log, formats: formats, targets: map[string]deployment.Target{}, claims: map[string]rankpeer.Claim{},
		evacuated: map[string]bool{}, deferred: map[string]deferredItem{},
	}
}

// NewTargets returns an empty Mirror of the targets alone. A configuration may have hundreds
// of kilobytes, half a second of a sidecar's link, and the coordinator of a group
// does not need it.
func NewTargets(formats deployment.Formats, log *slog.Logger) *Mirror {
	m := New(formats, log)
	m.targetsOnly, m.config = true, &deployment.Config{}
	return m
}

// Snapshot returns the current state, or nil before the first configuration.
func (m *Mirror) Snapshot() *Snapshot {
	if m.config == nil {
		return nil
	}
	coordinators := make(map[string]rankpeer.Claim, len(m.claims))
	for _, c := range m.claims {
		coordinators[c.Group] = c
	}
	return &Snapshot{
		Config: m.config, Targets: m.usableTargets(), Coordinators: coordinators,
		Evacuated: maps.Clone(m.evacuated), Revision: m.revision,
	}
}

// usableTargets returns the targets of services that the configuration names, without
// those whose address another target has registered later. A restarted server may
// be a new target; the entry of its previous instance remains until its heartbeats
// are missed, and requests to it are refused in the meantime.
//
// Another writer may register an entry with an unknown service and the address of
// a valid server. It must not hide the valid one.
func (m *Mirror) usableTargets() map[string]deployment.Target {
	configured := make(map[string]bool, len(m.config.Services))
	for i := range m.config.Services {
		configured[m.config.Services[i].Name] = true
	}
	newest := make(map[netip.AddrPort]deployment.Target, len(m.targets))
	for _, t := range m.targets {
		if !m.targetsOnly && !configured[t.Service] {
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

// Revision is the revision after which a watch has to continue.
func (m *Mirror) Revision() int64 { return m.revision }

// configVersion returns the version of the configuration in force, or 0.
func (m *Mirror) configVersion() int64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

// Apply applies changes up to a revision, oldest first. It reports whether the
// snapshot has changed.
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
	delete(m.deferred, it.Key)
	switch {
	case it.Key == m.formats.ConfigKey && !it.Deleted:
		return m.applyConfig(it)
	case strings.HasPrefix(it.Key, m.formats.EvacuationPrefix):
		return m.applyEvacuation(it)
	case strings.HasPrefix(it.Key, m.formats.TargetPrefix):
		return m.applyTarget(it)
	case strings.HasPrefix(it.Key, rankpeer.ClaimPrefix):
		return m.applyClaim(it)
	}
	return false
}

// applyClaim applies a claim. A claim under another group's key, or one that cannot be
// parsed, is ignored.
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

// applyEvacuation begins or ends the evacuation of an availability zone. The value of the key
// says nothing.
func (m *Mirror) applyEvacuation(it kv.Item) bool {
	return m.setEvacuated(strings.TrimPrefix(it.Key, m.formats.EvacuationPrefix), !it.Deleted, it.Revision)
}

// setEvacuated records whether a zone is evacuated, and reports whether that has changed.
func (m *Mirror) setEvacuated(zone string, evacuated bool, revision int64) bool {
	if zone == "" || m.evacuated[zone] == evacuated {
		return false
	}
	if !evacuated {
		delete(m.evacuated, zone)
		m.log.Info("zone restored", "zone", zone, "revision", revision)
		return true
	}
	m.evacuated[zone] = true
	in, total := m.targetsIn(zone)
	line := []any{"zone", zone, "revision", revision, "targets", in, "targets-of-all-zones", total}
	if in == 0 || in == total {
		m.log.Error("evacuation of a zone that holds no target, or all", line...)
		return true
	}
	m.log.Warn("zone evacuated", line...)
	return true
}

// targetsIn returns how many targets are in a zone, and in all zones that are not evacuated or are
// this one.
func (m *Mirror) targetsIn(zone string) (in, total int) {
	for _, t := range m.targets {
		switch {
		case t.Zone == zone:
			in++
			total++
		case !m.evacuated[t.Zone]:
			total++
		}
	}
	return in, total
}

// applyConfig puts a configuration in force if it is newer than the current one.
// A read that was answered late, or from a lagging replica, may return an older
// one: applying it would revert what callers have already seen.
func (m *Mirror) applyConfig(it kv.Item) bool {
	cfg, err := m.formats.Config(it.Value)
	if err != nil {
		m.log.Error("cannot decode configuration", "revision", it.Revision, "error", err.Error())
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
		// The server has restarted with the same ID: it holds its address from this
		// revision on.
		t.CreateRevision = max(t.CreateRevision, it.Revision)
		m.log.Info("target started again", "target", id, "born", t.StartedAt, "born-before", old.StartedAt, "addr", t.Addr.String(), "revision", it.Revision)
	} else if known && kv.Era(old.CreateRevision) == kv.Era(it.Revision) {
		t.CreateRevision = old.CreateRevision
	}
	m.removed.forget(it.Key)
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
	t, known := m.targets[id]
	if !known {
		return false
	}
	delete(m.targets, id)
	m.removed.add(m.formats.TargetPrefix+id, t.StartedAt)
	m.log.Info("target gone", "target", id, "reason", reason, "revision", revision)
	return true
}

// Replace applies a complete read of the store, which is needed at the start and
// after a gap in the history. outage says that the store was unavailable before:
// then missing targets are retained for a while, since the leases of their
// entries may have expired because they could not be renewed. If the store has come back from an
// older copy, what was known is retained as well until it is written again.
func (m *Mirror) Replace(all []kv.Item, asOf int64, outage bool, now time.Time) bool {
	restored := m.revision > 0 && kv.Era(asOf) > kv.Era(m.revision)
	read := make(map[string]bool, len(all))
	var current []kv.Item
	for _, it := range all {
		read[it.Key] = true
		if restored && m.deferItem(it, now) {
			continue
		}
		current = append(current, it)
	}
	changed := m.Apply(current, asOf)
	for _, zone := range slices.Sorted(maps.Keys(m.evacuated)) {
		key := m.formats.EvacuationPrefix + zone
		switch {
		case read[key]:
		case restored:
			m.postpone(kv.Item{Key: key, Revision: asOf, Deleted: true}, rewriteGrace, now)
		default:
			changed = m.setEvacuated(zone, false, asOf) || changed
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.targets)) {
		key := m.formats.TargetPrefix + id
		switch {
		case read[key]:
		case outage || restored:
			m.postpone(kv.Item{Key: key, Revision: asOf, Deleted: true}, reregisterGrace, now)
		default:
			changed = m.remove(id, "no entry any more", asOf) || changed
		}
	}
	return changed
}
