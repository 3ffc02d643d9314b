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
const doubtsPrefix = "verbenashift/doubts/"

const (
	// tellEvery bounds how often a gateway tells its doubts.
	tellEvery = 300 * time.Millisecond
	// tellCheck is how often it looks whether there are any.
	tellCheck = 20 * time.Millisecond
	// maxTold bounds the doubts that are told at once.
	maxTold = 16
)

// doubt is a gateway's word that a target fails while others do not.
type doubt struct {
	Target string `json:"target"`
	// Born tells the lives of a target under one name apart.
	Born  int64  `json:"born"`
	Cause string `json:"cause"`
}

// doubtKey returns the key for the doubts of a gateway.
func doubtKey(instance string) string { return doubtsPrefix + kv.ShortHash(instance) }

// doubts tells the other gateways which targets this one doubts, and takes what they say. It
// is safe for concurrent use.
type doubts struct {
	log   *slog.Logger
	store changer
	key   string
	// report takes a doubt of another gateway.
	report func(d doubt, source string, now time.Time)

	mu     sync.Mutex
	untold []doubt
}

func newDoubts(instance string, store changer, log *slog.Logger) *doubts {
	return &doubts{log: log, store: store, key: doubtKey(instance), report: func(doubt, string, time.Time) {}}
}

// tell has the other gateways told of a doubt.
func (s *doubts) tell(d doubt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.untold) < maxTold {
		s.untold = append(s.untold, d)
	}
}

// take takes what others write under doubtsPrefix, as it comes: what stands there is of a
// time that is not known.
func (s *doubts) take(items []kv.Item) {
	now := time.Now()
	for _, it := range items {
		if it.Deleted || it.Key == s.key {
			continue
		}
		var told []doubt
		if err := json.Unmarshal(it.Value, &told); err != nil {
			s.log.Warn("item not understood", "key", it.Key, "revision", it.Revision, "error", err.Error())
			continue
		}
		for _, d := range told[:min(len(told), maxTold)] {
			s.report(d, strings.TrimPrefix(it.Key, doubtsPrefix), now)
		}
	}
}

// run tells doubts until the context ends. One that the store does not take is given up: it
// would be old when it is told.
func (s *doubts) run(ctx context.Context) {
	for pause.For(ctx, tellCheck) {
		s.mu.Lock()
		told := s.untold
		s.untold = nil
		s.mu.Unlock()
		if len(told) == 0 {
			continue
		}
		if err := s.write(ctx, told); err != nil {
			s.log.Warn("doubts not told", "targets", len(told), "error", err.Error())
		}
		pause.For(ctx, tellEvery)
	}
}

func (s *doubts) write(ctx context.Context, told []doubt) error {
	value, err := json.Marshal(told)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeWait)
	defer cancel()
	_, err = s.store.Change(ctx, kv.Txn{Puts: []kv.Write{{Key: s.key, Value: value}}})
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
func (f *fleet) doubt(p *pooled, cause string, now time.Time) {
	known := f.doubts.Agreed(p.ID, now)
	f.doubts.Report(p.ID, ownDoubt, true, now)
	metricDoubts.Add(cause, 1)
	f.log.Warn("target doubted", "target", p.ID, "service", p.Service, "cause", cause, "by", "own requests", "known", known)
	f.avoidDoubted(now)
	f.avoid(p, now)
	if !known {
		// Each word is read by all gateways.
		f.tellDoubt(doubt{Target: p.ID, Born: p.StartedAt, Cause: cause})
	}
}

// ownDoubt is the source of this gateway's own doubts.
const ownDoubt = "own"

// doubted takes the doubt of another gateway.
func (f *fleet) doubted(d doubt, source string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[d.Target]
	if p == nil || p.StartedAt != d.Born {
		return
	}
	f.doubts.Report(d.Target, source, false, now)
	metricDoubts.Add("told", 1)
	f.log.Info("target doubted", "target", d.Target, "service", p.Service, "cause", d.Cause, "by", source, "reports", f.doubts.Count(d.Target, now))
	f.avoidDoubted(now)
	f.avoid(p, now)
}

// avoidDoubted has no requests sent to targets that are doubted, as far as their service has
// enough others. It is called with the lock held.
func (f *fleet) avoidDoubted(now time.Time) {
	if !f.doubts.Any() {
		return
	}
	services := map[string][]string{}
	for id, p := range f.pools {
		services[p.Service] = append(services[p.Service], id)
	}
	for _, targets := range services {
		for _, id := range f.doubts.Avoided(targets, now) {
			f.pools[id].doubtedUntil = now.Add(doubtHold)
		}
	}
	f.doubts.Expire(now)
}

// doubtHold is how long a target is avoided by one look: until after the next.
const doubtHold = 3 * tickEvery / 2

// strike counts a failure that says something of its target. It is called with the lock
// held.
func (f *fleet) strike(p *pooled, cause string, now time.Time) {
	if p.strikes.Add(now) {
		f.doubt(p, cause, now)
	}
}

// broke takes the end of a plain request without an answer.
func (f *fleet) broke(p *pending, err error, now time.Time) {
	if severityOf(err) == health.Hard || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strike(p.target, causeBroken, now)
}
