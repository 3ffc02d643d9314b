package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/pause"
)

// suspicionsPrefix is the prefix of the keys under which gateways share which targets fail.
const suspicionsPrefix = "verbenashift/doubts/"

const (
	// shareInterval is the shortest time between two writes of a gateway's suspicions.
	shareInterval = 300 * time.Millisecond
	// shareCheckInterval is how often it checks whether there are any to share.
	shareCheckInterval = 20 * time.Millisecond
	// maxShared bounds the suspicions in one write.
	maxShared = 16
)

// suspicion is the report of a gateway that a target fails while others do not.
type suspicion struct {
	Target string `json:"target"`
	// StartedAt distinguishes the incarnations of a target under one name.
	StartedAt int64  `json:"born"`
	Cause     string `json:"cause"`
}

// suspicionKey returns the key for the suspicions of a gateway.
func suspicionKey(instance string) string { return suspicionsPrefix + kv.ShortHash(instance) }

// suspicionExchange shares the suspected targets of this gateway with the others through the
// store, and receives theirs. It is safe for concurrent use.
type suspicionExchange struct {
	log   *slog.Logger
	store changer
	key   string
	// report receives a suspicion of another gateway.
	report func(d suspicion, source string, now time.Time)

	mu       sync.Mutex
	unshared []suspicion
}

func newSuspicionExchange(instance string, store changer, log *slog.Logger) *suspicionExchange {
	return &suspicionExchange{log: log, store: store, key: suspicionKey(instance), report: func(suspicion, string, time.Time) {}}
}

// share queues a suspicion to be shared with the other gateways.
func (s *suspicionExchange) share(d suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unshared) < maxShared {
		s.unshared = append(s.unshared, d)
	}
}

// apply reports what others write under suspicionsPrefix as it changes. Items that already
// exist are ignored, since their age is not known.
func (s *suspicionExchange) apply(items []kv.Item) {
	now := time.Now()
	for _, it := range items {
		if it.Deleted || it.Key == s.key {
			continue
		}
		var shared []suspicion
		if err := json.Unmarshal(it.Value, &shared); err != nil {
			s.log.Warn("item not understood", "key", it.Key, "revision", it.Revision, "error", err.Error())
			continue
		}
		for _, d := range shared[:min(len(shared), maxShared)] {
			s.report(d, strings.TrimPrefix(it.Key, suspicionsPrefix), now)
		}
	}
}

// run shares suspicions until the context ends. A failed write is not repeated, since the
// suspicions would be outdated by then.
func (s *suspicionExchange) run(ctx context.Context) {
	for pause.For(ctx, shareCheckInterval) {
		s.mu.Lock()
		shared := s.unshared
		s.unshared = nil
		s.mu.Unlock()
		if len(shared) == 0 {
			continue
		}
		if err := s.write(ctx, shared); err != nil {
			s.log.Warn("suspicions not shared", "targets", len(shared), "error", err.Error())
		}
		pause.For(ctx, shareInterval)
	}
}

func (s *suspicionExchange) write(ctx context.Context, shared []suspicion) error {
	value, err := json.Marshal(shared)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = s.store.Change(ctx, kv.Txn{Puts: []kv.Write{{Key: s.key, Value: value}}})
	return err
}

// The causes of suspicions, as in the log and in the store.
const (
	causeUnanswered = "unanswered"
	causeBroken     = "broken"
	causeFailing    = "failing"
	causeSlow       = "slow"
)

// suspect makes this gateway avoid a target, and the others as soon as enough of them agree.
// It is called with the lock held.
func (f *fleet) suspect(p *targetState, cause string, now time.Time) {
	known := f.suspicions.Agreed(p.ID, now)
	f.suspicions.Report(p.ID, ownSuspicion, true, now)
	metricSuspicions.Add(cause, 1)
	f.log.Warn("target doubted", "target", p.ID, "service", p.Service, "cause", cause, "by", "own requests", "known", known)
	f.avoidSuspected(now)
	f.updateAvoided(p, now)
	if !known {
		// All gateways read each shared suspicion.
		f.shareSuspicion(suspicion{Target: p.ID, StartedAt: p.StartedAt, Cause: cause})
	}
}

// ownSuspicion is the source of this gateway's own suspicions.
const ownSuspicion = "own"

// addSuspicion records the suspicion of another gateway.
func (f *fleet) addSuspicion(d suspicion, source string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.targetStates[d.Target]
	if p == nil || p.StartedAt != d.StartedAt {
		return
	}
	f.suspicions.Report(d.Target, source, false, now)
	metricSuspicions.Add("told", 1)
	f.log.Info("target doubted", "target", d.Target, "service", p.Service, "cause", d.Cause, "by", source, "reports", f.suspicions.Count(d.Target, now))
	f.avoidSuspected(now)
	f.updateAvoided(p, now)
}

// avoidSuspected makes the gateway avoid suspected targets, provided that their service has
// enough others. It is called with the lock held.
func (f *fleet) avoidSuspected(now time.Time) {
	if !f.suspicions.Any() {
		return
	}
	services := map[string][]string{}
	for id, p := range f.targetStates {
		services[p.Service] = append(services[p.Service], id)
	}
	for _, targets := range services {
		for _, id := range f.suspicions.Avoided(targets, now) {
			f.targetStates[id].suspectedUntil = now.Add(suspicionHold)
		}
	}
	f.suspicions.Expire(now)
}

// suspicionHold is how long one call of avoidSuspected applies: until after the next one.
const suspicionHold = 3 * tickEvery / 2

// strike counts a failure that is attributed to its target. It is called with the lock
// held.
func (f *fleet) strike(p *targetState, cause string, now time.Time) {
	if p.strikes.Add(now) {
		f.suspect(p, cause, now)
	}
}

// pendingBroke records that a plain request ended without an answer.
func (f *fleet) pendingBroke(p *pending, err error, now time.Time) {
	if severityOf(err) == health.Hard || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strike(p.target, causeBroken, now)
}
