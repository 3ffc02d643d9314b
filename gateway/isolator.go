package main

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/quarantine"
)

const (
	// isolatorTick is how often the isolator checks whether there is something to decide or to
	// write. It is a small part of the time within which all gateways must know of a crash.
	isolatorTick = 100 * time.Millisecond
	// holdJitter spreads the writes of gateways that have come to the same decision: one
	// writes, the others see it.
	holdJitter = 300 * time.Millisecond
	// writeTimeout is how long the store may take to answer a write, and writeRetryDelay the
	// delay of the next write after a failure.
	writeTimeout    = 900 * time.Millisecond
	writeRetryDelay = 500 * time.Millisecond
	// probeSettleTime is the longest time until it is known whether the target of a broken
	// answer has crashed.
	probeSettleTime = time.Second
	// maxUnwritten bounds what is buffered while the store is unavailable.
	maxUnwritten = 64
	// maxWritten and writtenMaxAge bound the reports that are written again after the store has
	// come back from an older copy.
	maxWritten    = 32
	writtenMaxAge = time.Minute
)

// changer is the part of the store that an isolator writes to.
type changer interface {
	Change(ctx context.Context, c kv.Txn) (int64, error)
}

// isolator quarantines requests that crash their targets. It shares the observations of this
// gateway with the others through the store, and applies theirs. It is safe for concurrent
// use.
type isolator struct {
	log      *slog.Logger
	store    changer
	instance string

	mu       sync.Mutex
	register *quarantine.Register
	// unwritten is the report that is not in the store yet, and removedHolds lists the holds
	// to be removed from the store.
	unwritten    quarantine.Report
	removedHolds []quarantine.Fingerprint
	// reports counts the reports that were written.
	reports int
	// written holds the last of them, oldest first, and restored says that the store may have lost
	// them.
	written  []writtenReport
	restored bool
	// era is that of the store.
	era int64
}

// writtenReport is a report that was written to the store, with the holds that were removed.
type writtenReport struct {
	quarantine.Report
	removedHolds []quarantine.Fingerprint
	at           time.Time
}

func newIsolator(instance string, store changer, log *slog.Logger) *isolator {
	process := kv.ShortHash(instance + " " + strconv.FormatInt(time.Now().UnixNano(), 10))
	return &isolator{log: log, store: store, instance: instance, register: quarantine.New(process)}
}

// crashed records a crash that this gateway has observed.
func (s *isolator) crashed(c quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := quarantine.Report{Crashes: []quarantine.Crash{c}}
	s.queueCompleted(s.register.Report(&r, time.Now()))
	if len(s.unwritten.Crashes) < maxUnwritten {
		s.unwritten.Crashes = append(s.unwritten.Crashes, c)
	}
}

// completed records that a target of a service has answered a request completely, and whether it has
// succeeded: one that failed early may not have got as far as its parts can do harm.
func (s *isolator) completed(r quarantine.Request, service string, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.register.Completed(r.Content) {
		s.log.Info("request cleared", "print", r.Content.Short(), "reason", "answered completely")
		s.queueCleared(r.Content)
	}
	if !succeeded {
		return
	}
	for _, p := range s.register.CompletedParts(service, r.Parts, time.Now()) {
		s.log.Info("part cleared", "part", p.Short(), "reason", "answered completely")
		s.queueCleared(p)
	}
}

// queueCleared queues what the others must hear of a request or a part that was cleared. It is called
// with the lock held.
func (s *isolator) queueCleared(p quarantine.Fingerprint) {
	s.queueCompleted([]quarantine.Fingerprint{p})
	s.queueRemovedHold(p)
}

// queueCompleted queues requests that were answered completely for the next report. It is called
// with the lock held.
func (s *isolator) queueCompleted(fingerprints []quarantine.Fingerprint) {
	for _, p := range fingerprints {
		if len(s.unwritten.Completed) < maxUnwritten {
			s.unwritten.Completed = append(s.unwritten.Completed, p)
		}
	}
}

// apply applies the items of the store under quarantine.Prefix.
func (s *isolator) apply(items []kv.Item, snapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	keys := map[string]bool{}
	for _, it := range items {
		keys[it.Key] = !it.Deleted
	}
	if snapshot && s.restored {
		s.restored = false
		items = s.rewrite(items, keys, now)
	}
	for _, it := range items {
		if it.Deleted {
			if p, ok := s.register.Remove(it.Key); ok {
				s.log.Info("request cleared", "print", p.Short(), "reason", "its hold was removed")
				s.queueCompleted([]quarantine.Fingerprint{p})
			}
			continue
		}
		completed, err := s.register.Apply(it.Key, it.Revision, it.Value, now)
		if err != nil {
			s.log.Warn("item not understood", "key", it.Key, "revision", it.Revision, "error", err.Error())
		}
		s.queueCompleted(completed)
	}
	if snapshot {
		s.register.RetainOnly(keys)
	}
	s.show()
}

// storeRestored processes that the store has come back from an older copy.
func (s *isolator) storeRestored(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored, s.era = true, era
}

// rewrite queues what the restored store, which holds the given keys, may have lost. It returns the
// items without the holds of requests that were released, and without the reports that are known,
// which must not undo what came after them. It is called with the lock held.
func (s *isolator) rewrite(items []kv.Item, keys map[string]bool, now time.Time) []kv.Item {
	again := map[string]bool{}
	for _, p := range s.register.Restored(keys) {
		again[quarantine.HoldKey(p)] = true
		s.queueRemovedHold(p)
	}
	for _, w := range s.written {
		if now.Sub(w.at) > writtenMaxAge {
			continue
		}
		s.queueCompleted(w.Completed)
		for _, c := range w.Crashes[:min(len(w.Crashes), maxUnwritten-len(s.unwritten.Crashes))] {
			s.unwritten.Crashes = append(s.unwritten.Crashes, c)
		}
		for _, p := range w.removedHolds {
			s.queueRemovedHold(p)
		}
	}
	s.written = nil
	return slices.DeleteFunc(slices.Clone(items), func(it kv.Item) bool {
		return again[it.Key] || s.register.HasReport(it.Key, it.Revision)
	})
}

// queueRemovedHold queues the removal of a hold. It is called with the lock held.
func (s *isolator) queueRemovedHold(p quarantine.Fingerprint) {
	if len(s.removedHolds) < maxUnwritten && !slices.Contains(s.removedHolds, p) {
		s.removedHolds = append(s.removedHolds, p)
	}
}

// show sets the metric of the quarantined requests. It is called with the lock held.
func (s *isolator) show() { metricQuarantined.Set(int64(s.register.Quarantined())) }

// hasQuarantined reports whether any request is quarantined.
func (s *isolator) hasQuarantined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Quarantined() > 0
}

// decide returns the decision on a request with one content, or one part, that is about to be sent.
func (s *isolator) decide(p quarantine.Fingerprint) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Decide(p, time.Now())
}

// decideRequest returns the decision on a request that is about to be sent, and what it is
// quarantined for.
func (s *isolator) decideRequest(r quarantine.Request) (quarantine.Decision, quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.DecideRequest(r, time.Now())
}

// claimProbe reports whether this gateway may send a quarantined request to find out whether it
// still crashes targets. Once the store has accepted the claim, no other gateway sends one.
func (s *isolator) claimProbe(ctx context.Context, p quarantine.Fingerprint, v quarantine.Decision) bool {
	if !s.writeHold(ctx, p, v.Revision, v.Hold.WithProbe()) {
		return false
	}
	s.log.Info("quarantined request probed", "print", p.Short(), "part", v.Hold.Part, "trials-before", v.Hold.Probes, "crashes", v.Hold.Crashes)
	return true
}

// concludeProbe waits until it is known whether the target of a probe without a complete answer
// has crashed. If it has not, the probe is inconclusive, and the next one need not wait.
func (s *isolator) concludeProbe(p quarantine.Fingerprint, before int) {
	pause.For(context.Background(), probeSettleTime)
	if s.crashes(p) > before {
		return
	}
	if v := s.decide(p); v.Quarantined && v.Revision > 0 {
		s.log.Info("probe was inconclusive", "print", p.Short(), "trials", v.Hold.Probes)
		s.writeHold(context.Background(), p, v.Revision, v.Hold.WithInconclusiveProbe())
	}
}

// crashes returns how many targets have crashed while a request was in progress.
func (s *isolator) crashes(p quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Crashes(p)
}

// writeHold writes the hold of a request if the store still has revision over, and reports
// whether it did.
func (s *isolator) writeHold(ctx context.Context, p quarantine.Fingerprint, over int64, h quarantine.Hold) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := quarantine.HoldKey(p)
	revision, err := s.store.Change(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key, Revision: over}},
		Puts:       []kv.Write{{Key: key, Value: h.Bytes()}},
	})
	if err != nil {
		s.logWriteError(err)
		return false
	}
	s.apply([]kv.Item{{Key: key, Value: h.Bytes(), Revision: revision}}, false)
	return true
}

// logWriteError logs a failed write, except for a conflict with a faster gateway.
func (s *isolator) logWriteError(err error) {
	var status *kv.StatusError
	if errors.As(err, &status) && status.Conflict() {
		return
	}
	s.log.Warn("crashes not reported", "error", err.Error())
}

// run writes reports and holds until the context ends.
func (s *isolator) run(ctx context.Context) {
	for pause.For(ctx, isolatorTick) {
		if !s.writeReport(ctx) {
			pause.For(ctx, writeRetryDelay)
		}
		s.writeHolds(ctx)
	}
}

// writeReport writes what the other gateways do not know yet. It reports false if the write has
// failed.
func (s *isolator) writeReport(ctx context.Context) bool {
	s.mu.Lock()
	report, removedHolds, surplus := s.unwritten, s.removedHolds, s.register.Surplus()
	var answered []quarantine.Answered
	if len(report.Crashes) > 0 {
		answered = s.register.Answered(time.Now())
	}
	s.mu.Unlock()
	if report.Empty() && len(removedHolds) == 0 {
		return true
	}
	report.Answered = answered
	change := kv.Txn{Deletes: surplus}
	for _, p := range removedHolds[:min(len(removedHolds), kv.MaxTxnEntries/4)] {
		change.Deletes = append(change.Deletes, quarantine.HoldKey(p))
	}
	if !report.Empty() {
		change.Puts = []kv.Write{{Key: quarantine.ReportKey(s.instance, s.reports), Value: report.Bytes()}}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := s.store.Change(ctx, change)
	if err != nil {
		s.logWriteError(err)
		return false
	}
	s.reports++
	s.mu.Lock()
	defer s.mu.Unlock()
	if kv.Era(revision) < s.era {
		return false // The store was restored since, and has lost it.
	}
	removed := removedHolds[:min(len(removedHolds), kv.MaxTxnEntries/4)]
	s.written = append(s.written, writtenReport{report, slices.Clone(removed), time.Now()})
	s.written = s.written[max(0, len(s.written)-maxWritten):]
	s.unwritten.Crashes = s.unwritten.Crashes[len(report.Crashes):]
	s.unwritten.Completed = s.unwritten.Completed[len(report.Completed):]
	s.removedHolds = s.removedHolds[min(len(removedHolds), kv.MaxTxnEntries/4):]
	return true
}

// writeHolds quarantines the requests that were found to crash their targets.
func (s *isolator) writeHolds(ctx context.Context) {
	s.mu.Lock()
	due := s.register.PendingWrites(time.Now())
	s.show()
	s.mu.Unlock()
	if len(due) == 0 {
		return
	}
	pause.For(ctx, rand.N(holdJitter))
	for p, h := range due {
		if v := s.decide(p); v.Revision > 0 {
			continue // Another gateway has written it.
		}
		if s.writeHold(ctx, p, 0, h) {
			s.logQuarantined(p, h)
		}
	}
}

// logQuarantined logs that this gateway has quarantined a request or a part.
func (s *isolator) logQuarantined(p quarantine.Fingerprint, h quarantine.Hold) {
	if h.Part {
		s.log.Warn("part quarantined", "part", p.Short(), "crashes", h.Crashes, "trial-soon", h.ProbeNow)
		return
	}
	s.log.Warn("request quarantined", "print", p.Short(), "crashes", h.Crashes, "trial-soon", h.ProbeNow)
}

// metricQuarantined is how many requests are quarantined, and metricQuarantinedCalls how many
// calls were refused because of it.
var (
	metricQuarantined      = expvar.NewInt("requests-held-back")
	metricQuarantinedCalls = expvar.NewInt("calls-held-back")
)
