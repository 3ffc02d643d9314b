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

// doubtsPrefix begins the keys under which gateways tell each other which targets fail.
const suspicionsPrefix = "verbenashift/doubts/"

const (
	// tellEvery bounds how often a gateway tells its doubts.
	shareInterval = 300 * time.Millisecond
	// tellCheck is how often it looks whether there are any.
	shareCheckInterval = 20 * time.Millisecond
	// maxTold bounds the doubts that are told at once.
	maxShared = 16
)

// doubt is a gateway's word that a target fails while others do not.
type suspicion struct {
	Target string `json:"target"`
	// Born tells the lives of a target under one name apart.
	Born  int64  `json:"born"`
	Cause string `json:"cause"`
}

// doubtKey returns the key for the doubts of a gateway.
func suspicionKey(instance string) string { return suspicionsPrefix + kv.Short(instance) }

// doubts tells the other gateways which targets this one doubts, and takes what they say. It
// is safe for concurrent use.
type suspicionExchange struct {
	log   *slog.Logger
	store changer
	key   string
	// report takes a doubt of another gateway.
	report func(d suspicion, source string, now time.Time)

	mu       sync.Mutex
	unshared []suspicion
}

func newSuspicionExchange(instance string, store changer, log *slog.Logger) *suspicionExchange {
	return &suspicionExchange{log: log, store: store, key: suspicionKey(instance), report: func(suspicion, string, time.Time) {}}
}

// tell has the other gateways told of a doubt.
func (s *suspicionExchange) share(d suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unshared) < maxShared {
		s.unshared = append(s.unshared, d)
	}
}

// take takes what others write under doubtsPrefix, as it comes: what stands there is of a
// time that is not known.
func (s *suspicionExchange) apply(items []kv.Item) {
	now := time.Now()
	for _, it := range items {
		if it.Removed || it.Key == s.key {
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

// run tells doubts until the context ends. One that the store does not take is given up: it
// would be old when it is told.
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
			s.log.Warn("doubts not told", "targets", len(shared), "error", err.Error())
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
	_, err = s.store.Change(ctx, kv.Change{Puts: []kv.Write{{Key: s.key, Value: value}}})
	return err
}

// The causes of doubts, as log lines and the other gateways have them.
const (
	causeUnanswered = "unanswered"
	causeBroken     = "broken"
	causeFailing    = "failing"
)

// doubt has a target avoided by this gateway, and by the others once enough of them agree. It
// is called with the lock held.
func (f *fleet) suspect(p *pooled, cause string, now time.Time) {
	known := f.suspicions.Agreed(p.ID, now)
	f.suspicions.Report(p.ID, ownSuspicion, true, now)
	metricSuspicions.Add(cause, 1)
	f.log.Warn("target doubted", "target", p.ID, "service", p.Service, "cause", cause, "by", "own requests", "known", known)
	f.avoidSuspected(now)
	f.updateAvoided(p, now)
	if !known {
		// Each word is read by all gateways.
		f.shareSuspicion(suspicion{Target: p.ID, Born: p.Born, Cause: cause})
	}
}

// ownDoubt is the source of this gateway's own doubts.
const ownSuspicion = "own"

// doubted takes the doubt of another gateway.
func (f *fleet) addSuspicion(d suspicion, source string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[d.Target]
	if p == nil || p.Born != d.Born {
		return
	}
	f.suspicions.Report(d.Target, source, false, now)
	metricSuspicions.Add("told", 1)
	f.log.Info("target doubted", "target", d.Target, "service", p.Service, "cause", d.Cause, "by", source, "reports", f.suspicions.Count(d.Target, now))
	f.avoidSuspected(now)
	f.updateAvoided(p, now)
}

// avoidDoubted has no requests sent to targets that are doubted, as far as their service has
// enough others. It is called with the lock held.
func (f *fleet) avoidSuspected(now time.Time) {
	if !f.suspicions.Any() {
		return
	}
	services := map[string][]string{}
	for id, p := range f.pools {
		services[p.Service] = append(services[p.Service], id)
	}
	for _, targets := range services {
		for _, id := range f.suspicions.Avoided(targets, now) {
			f.pools[id].suspectedUntil = now.Add(suspicionHold)
		}
	}
	f.suspicions.Expire(now)
}

// doubtHold is how long a target is avoided by one look: until after the next.
const suspicionHold = 3 * tickEvery / 2

// strike counts a failure that says something of its target. It is called with the lock
// held.
func (f *fleet) strike(p *pooled, cause string, now time.Time) {
	if p.strikes.Add(now) {
		f.suspect(p, cause, now)
	}
}

// broke takes the end of a plain request without an answer.
func (f *fleet) pendingBroke(p *pending, err error, now time.Time) {
	if severityOf(err) == health.Hard || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strike(p.target, causeBroken, now)
}
